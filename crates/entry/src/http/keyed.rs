//! Runs non-idempotent calls that carry an idempotency key at most once.

use std::sync::Arc;

use agatestair_schema::caller::RunState;
use agatestair_schema::lists::{ClaimState, StoreRule};
use agatestair_schema::slo::SloKind;
use tokio::sync::oneshot;
use tokio::task::spawn_blocking;

use crate::claims::key_lookup::{KeyLookup, look_up_key};
use crate::claims::record::{digest_of, now_ms, row_key, running_row};
use crate::claims::{Claim, ClaimResult};
use crate::core::message::{CallRequest, CallResponse, Caller};
use crate::core::slo::SloOutcome;
use crate::http::calls::submit;
use crate::http::state::ServerState;
use crate::protections::Protections;
use crate::refusal::{RefusalKind, Refused};
use crate::view::ListsView;

/// Response header that marks a replayed response of an earlier call.
const REPLAYED_HEADER: &str = "x-agatestair-replayed";
/// Response header that marks a call without an idempotency record.
const RECORD_HEADER: &str = "x-agatestair-record";

/// A call with an idempotency key.
pub struct KeyedCall {
    /// The caller.
    pub caller: Caller,
    /// Requested service.
    pub service: Arc<str>,
    /// The idempotency key.
    pub key: String,
    /// Request to forward.
    pub call: Arc<CallRequest>,
    /// Lists that were current when the call arrived.
    pub lists: Arc<ListsView>,
}

type Reply = oneshot::Sender<Result<CallResponse, Refused>>;

/// Claims the key, dispatches the call, replies and records the outcome.
pub async fn run_keyed(server: &Arc<ServerState>, keyed: KeyedCall, reply: Reply) {
    if !Protections::from(&*server.settings).claim {
        send_reply(reply, dispatch(server, &keyed).await);
        return;
    }
    let row_key = row_key(&keyed.caller.customer.name, &keyed.service, &keyed.key);
    let digest = digest_of(&keyed.call);
    let row = running_row(&keyed.caller, digest, &server.settings.instance.name, &server.boot);
    match server.claims.claim(row_key.clone(), row.clone()).await {
        ClaimResult::Acquired(claim) => run_claimed(server, &keyed, claim, reply).await,
        ClaimResult::Taken(claim) if claim.row.digest != row.digest => {
            send_reply(reply, Err(Refused::not_run(RefusalKind::KeyMismatch)));
        }
        ClaimResult::Taken(claim) => handle_duplicate(server, &keyed, claim, reply).await,
        ClaimResult::Unavailable { maybe } => {
            let result = handle_store_down(server, &keyed).await;
            let dispatched = !matches!(&result, Err(r) if r.kind == RefusalKind::StoreDown);
            send_reply(reply, result);
            if maybe && !dispatched {
                server.claims.abandon(row_key, row.request);
            }
        }
    }
}

/// Dispatches a call whose key this request has claimed.
async fn run_claimed(server: &Arc<ServerState>, keyed: &KeyedCall, claim: Claim, reply: Reply) {
    // While the store was down, the call may have been dispatched without a record.
    if keyed.lists.store_rule(&keyed.service) == StoreRule::DispatchOnce {
        match look_up(server, keyed).await {
            KeyLookup::Unseen | KeyLookup::Unreachable => {}
            KeyLookup::Running => {
                send_reply(
                    reply,
                    Err(refused_in_state(RefusalKind::StillRunning, RunState::Running)),
                );
                return;
            }
            KeyLookup::Done(done) => {
                send_reply(reply, Ok(mark_replayed(done.clone())));
                server.claims.record(claim, Some(&done)).await;
                return;
            }
        }
    }
    match dispatch(server, keyed).await {
        Ok(done) => {
            send_reply(reply, Ok(done.clone()));
            server.claims.record(claim, Some(&done)).await;
        }
        Err(refused) if refused.ran == RunState::NotRun => {
            send_reply(reply, Err(refused));
            server.claims.release(claim).await;
        }
        Err(refused) => match look_up(server, keyed).await {
            KeyLookup::Done(done) => {
                send_reply(reply, Ok(mark_replayed(done.clone())));
                server.claims.record(claim, Some(&done)).await;
            }
            KeyLookup::Running => {
                send_reply(
                    reply,
                    Err(refused_in_state(RefusalKind::StillRunning, RunState::Running)),
                );
            }
            KeyLookup::Unseen | KeyLookup::Unreachable => {
                send_reply(reply, Err(refused));
                server.claims.record(claim, None).await;
            }
        },
    }
}

/// Responds to a duplicate of an earlier request from its record or from the service's knowledge of
/// the key. Otherwise reports that the call still runs or that its outcome is unknown.
async fn handle_duplicate(
    server: &Arc<ServerState>,
    keyed: &KeyedCall,
    claim: Claim,
    reply: Reply,
) {
    if claim.row.state == ClaimState::Done {
        let stored = server.claims.stored_response(&claim.row).await;
        let unreadable = || refused_in_state(RefusalKind::StoreDown, RunState::Done);
        send_reply(reply, stored.map(mark_replayed).ok_or_else(unreadable));
        return;
    }
    match look_up(server, keyed).await {
        KeyLookup::Done(done) => {
            send_reply(reply, Ok(mark_replayed(done.clone())));
            server.claims.record(claim, Some(&done)).await;
        }
        KeyLookup::Running => {
            send_reply(reply, Err(refused_in_state(RefusalKind::StillRunning, RunState::Running)));
        }
        KeyLookup::Unseen | KeyLookup::Unreachable if claimant_active(server, keyed, &claim) => {
            send_reply(reply, Err(refused_in_state(RefusalKind::StillRunning, RunState::Running)));
        }
        KeyLookup::Unseen | KeyLookup::Unreachable => {
            send_reply(
                reply,
                Err(refused_in_state(RefusalKind::OutcomeUnknown, RunState::Unknown)),
            );
        }
    }
}

/// Handles a call while the store is down: looks up the key at the service and, if it is unseen,
/// applies the service's rule.
async fn handle_store_down(
    server: &Arc<ServerState>,
    keyed: &KeyedCall,
) -> Result<CallResponse, Refused> {
    let refused = || {
        let (caller, service) = (&keyed.caller, &keyed.service);
        server.count_end(caller, service, SloKind::Call, SloOutcome::Store);
        Err(refused_in_state(RefusalKind::StoreDown, RunState::Unknown))
    };
    match look_up(server, keyed).await {
        KeyLookup::Done(done) => Ok(mark_replayed(done)),
        KeyLookup::Running => Err(refused_in_state(RefusalKind::StillRunning, RunState::Running)),
        KeyLookup::Unreachable => refused(),
        KeyLookup::Unseen => match keyed.lists.store_rule(&keyed.service) {
            StoreRule::Refuse => refused(),
            StoreRule::DispatchOnce => {
                let mut done = dispatch(server, keyed).await?;
                done.headers.push((RECORD_HEADER.to_owned(), "none".to_owned()));
                Ok(done)
            }
        },
    }
}

async fn dispatch(server: &ServerState, keyed: &KeyedCall) -> Result<CallResponse, Refused> {
    submit(server, keyed.caller.clone(), keyed.service.clone(), keyed.call.clone(), false).await
}

async fn look_up(server: &ServerState, keyed: &KeyedCall) -> KeyLookup {
    let fleet = server.view().fleet;
    let addresses = fleet.and_then(|fleet| fleet.services.get(&keyed.service).cloned());
    let addresses = addresses.unwrap_or_default();
    let key: Arc<str> = keyed.key.as_str().into();
    let lookup = spawn_blocking(move || look_up_key(&addresses, &key));
    lookup.await.unwrap_or(KeyLookup::Unreachable)
}

/// Whether the entry that claimed a call may still be running it.
fn claimant_active(server: &ServerState, keyed: &KeyedCall, claim: &Claim) -> bool {
    let row = &claim.row;
    if row.state != ClaimState::Running {
        return false;
    }
    let limit = keyed.lists.call_deadline(&keyed.service).as_millis();
    let age = now_ms().saturating_sub(row.claimed_ms);
    let own = row.entry == server.settings.instance.name;
    let live = if own {
        *row.boot == *server.boot
    } else {
        server.view().directory.iter().any(|record| record.name == row.entry)
    };
    live && u128::from(age) <= limit
}

fn refused_in_state(kind: RefusalKind, ran: RunState) -> Refused {
    Refused::with_state(kind, ran)
}

fn mark_replayed(mut response: CallResponse) -> CallResponse {
    response.headers.push((REPLAYED_HEADER.to_owned(), "true".to_owned()));
    response
}

fn send_reply(reply: Reply, result: Result<CallResponse, Refused>) {
    // Fails if the caller has disconnected; the outcome is recorded anyway.
    let _ = reply.send(result);
}
