//! Runs non-idempotent calls that carry an idempotency key: at most once.

use std::sync::Arc;

use agatestair_schema::caller::RunState;
use agatestair_schema::lists::{ClaimState, StoreRule};
use agatestair_schema::slo::SloKind;
use tokio::sync::oneshot;
use tokio::task::spawn_blocking;

use crate::claims::record::{digest_of, now_ms, row_key, running_row};
use crate::claims::settle::{Knowledge, ask_service};
use crate::claims::{Claimed, Held};
use crate::core::message::{CallAnswer, CallRequest, Caller};
use crate::core::slo::SloOutcome;
use crate::http::calls::submit;
use crate::http::front::Front;
use crate::protections::Protections;
use crate::refusal::{RefusalKind, Refused};
use crate::view::ListsView;

/// Header that says that an answer is one kept from an earlier call.
const REPLAYED_HEADER: &str = "x-agatestair-replayed";
/// Header that says that no record of the call was kept.
const RECORD_HEADER: &str = "x-agatestair-record";

/// A call with an idempotency key.
pub struct KeyedCall {
    /// Who asks.
    pub caller: Caller,
    /// Service wanted.
    pub service: Arc<str>,
    /// The key.
    pub key: String,
    /// What is sent.
    pub call: Arc<CallRequest>,
    /// Lists in force when it came.
    pub lists: Arc<ListsView>,
}

type Reply = oneshot::Sender<Result<CallAnswer, Refused>>;

/// Claims the key, dispatches the call, replies and records the outcome.
pub async fn run_keyed(front: &Arc<Front>, keyed: KeyedCall, reply: Reply) {
    if !Protections::from(&*front.settings).claim {
        answer(reply, dispatch(front, &keyed).await);
        return;
    }
    let row_key = row_key(&keyed.caller.customer.name, &keyed.service, &keyed.key);
    let digest = digest_of(&keyed.call);
    let row = running_row(&keyed.caller, digest, &front.settings.instance.name, &front.boot);
    match front.claims.claim(row_key.clone(), row.clone()).await {
        Claimed::Held(held) => run_held(front, &keyed, held, reply).await,
        Claimed::Present(held) if held.row.digest != row.digest => {
            answer(reply, Err(Refused::not_run(RefusalKind::KeyMismatch)));
        }
        Claimed::Present(held) => repeat(front, &keyed, held, reply).await,
        Claimed::Unavailable { maybe } => {
            let result = store_down(front, &keyed).await;
            let dispatched = !matches!(&result, Err(r) if r.kind == RefusalKind::StoreDown);
            answer(reply, result);
            if maybe && !dispatched {
                front.claims.abandon(row_key, row.request);
            }
        }
    }
}

/// Dispatches a call whose key this request holds.
async fn run_held(front: &Arc<Front>, keyed: &KeyedCall, held: Held, reply: Reply) {
    // While the store was down the call may have been dispatched without a record.
    if keyed.lists.store_rule(&keyed.service) == StoreRule::DispatchOnce {
        match ask(front, keyed).await {
            Knowledge::Unseen | Knowledge::Unreachable => {}
            Knowledge::Running => {
                answer(reply, Err(state(RefusalKind::StillRunning, RunState::Running)));
                return;
            }
            Knowledge::Done(done) => {
                answer(reply, Ok(replayed(done.clone())));
                front.claims.record(held, Some(&done)).await;
                return;
            }
        }
    }
    match dispatch(front, keyed).await {
        Ok(done) => {
            answer(reply, Ok(done.clone()));
            front.claims.record(held, Some(&done)).await;
        }
        Err(refused) if refused.ran == RunState::NotRun => {
            answer(reply, Err(refused));
            front.claims.release(held).await;
        }
        Err(refused) => match ask(front, keyed).await {
            Knowledge::Done(done) => {
                answer(reply, Ok(replayed(done.clone())));
                front.claims.record(held, Some(&done)).await;
            }
            Knowledge::Running => {
                answer(reply, Err(state(RefusalKind::StillRunning, RunState::Running)));
            }
            Knowledge::Unseen | Knowledge::Unreachable => {
                answer(reply, Err(refused));
                front.claims.record(held, None).await;
            }
        },
    }
}

/// Answers a repeat from the record, from what the service knows, or with the truth.
async fn repeat(front: &Arc<Front>, keyed: &KeyedCall, held: Held, reply: Reply) {
    if held.row.state == ClaimState::Done {
        let kept = front.claims.kept_answer(&held.row).await;
        let unreadable = || state(RefusalKind::StoreDown, RunState::Done);
        answer(reply, kept.map(replayed).ok_or_else(unreadable));
        return;
    }
    match ask(front, keyed).await {
        Knowledge::Done(done) => {
            answer(reply, Ok(replayed(done.clone())));
            front.claims.record(held, Some(&done)).await;
        }
        Knowledge::Running => {
            answer(reply, Err(state(RefusalKind::StillRunning, RunState::Running)));
        }
        Knowledge::Unseen | Knowledge::Unreachable if claimer_works(front, keyed, &held) => {
            answer(reply, Err(state(RefusalKind::StillRunning, RunState::Running)));
        }
        Knowledge::Unseen | Knowledge::Unreachable => {
            answer(reply, Err(state(RefusalKind::OutcomeUnknown, RunState::Unknown)));
        }
    }
}

/// What happens without a record: the service is asked, and the service's rule decides.
async fn store_down(front: &Arc<Front>, keyed: &KeyedCall) -> Result<CallAnswer, Refused> {
    let refused = || {
        let (caller, service) = (&keyed.caller, &keyed.service);
        front.count_end(caller, service, SloKind::Call, SloOutcome::Store);
        Err(state(RefusalKind::StoreDown, RunState::Unknown))
    };
    match ask(front, keyed).await {
        Knowledge::Done(done) => Ok(replayed(done)),
        Knowledge::Running => Err(state(RefusalKind::StillRunning, RunState::Running)),
        Knowledge::Unreachable => refused(),
        Knowledge::Unseen => match keyed.lists.store_rule(&keyed.service) {
            StoreRule::Refuse => refused(),
            StoreRule::DispatchOnce => {
                let mut done = dispatch(front, keyed).await?;
                done.headers.push((RECORD_HEADER.to_owned(), "none".to_owned()));
                Ok(done)
            }
        },
    }
}

async fn dispatch(front: &Front, keyed: &KeyedCall) -> Result<CallAnswer, Refused> {
    submit(front, keyed.caller.clone(), keyed.service.clone(), keyed.call.clone(), false).await
}

async fn ask(front: &Front, keyed: &KeyedCall) -> Knowledge {
    let fleet = front.view().fleet;
    let addresses = fleet.and_then(|fleet| fleet.services.get(&keyed.service).cloned());
    let addresses = addresses.unwrap_or_default();
    let key = keyed.key.clone();
    let asking = spawn_blocking(move || ask_service(&addresses, &key));
    asking.await.unwrap_or(Knowledge::Unreachable)
}

/// Whether the entry that claimed a call may still be at work on it.
fn claimer_works(front: &Front, keyed: &KeyedCall, held: &Held) -> bool {
    let row = &held.row;
    if row.state != ClaimState::Running {
        return false;
    }
    let limit = keyed.lists.call_deadline(&keyed.service).as_millis();
    let age = now_ms().saturating_sub(row.claimed_ms);
    let own = row.entry == front.settings.instance.name;
    let live = if own {
        *row.boot == *front.boot
    } else {
        front.view().directory.iter().any(|record| record.name == row.entry)
    };
    live && u128::from(age) <= limit
}

fn state(kind: RefusalKind, ran: RunState) -> Refused {
    Refused::with_state(kind, ran)
}

fn replayed(mut answer: CallAnswer) -> CallAnswer {
    answer.headers.push((REPLAYED_HEADER.to_owned(), "true".to_owned()));
    answer
}

fn answer(reply: Reply, result: Result<CallAnswer, Refused>) {
    // The caller has gone if this fails; the outcome is recorded all the same.
    let _ = reply.send(result);
}
