//! Proofs that this instance knows all withdrawn API keys.
//!
//! An instance that asks the store commits a transaction that writes nothing, under the condition
//! that the configuration's row has the version that it serves by. The change feed is no proof: a
//! store that has lost its history may skip a change. Proofs are sent to all other instances.

use std::rc::Rc;
use std::time::Duration;

use agatestair_policy::{Moment, Proof};
use agatestair_runtime::{BootClock, log_event};
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::datagram::{Datagram, PulseProof};
use crate::events::{KEYS_LAPSED, KEYS_PROVEN, PROOF_FAILED};
use crate::node::ProofPlan;
use crate::pulse::send_all;
use crate::shared::Shared;
use crate::store::{StoreError, Table, Transaction};
use crate::watch::{CONFIGURATION_KEY, refresh};

/// Time between two decisions whether a proof is due.
const CHECK: Duration = Duration::from_millis(50);

/// The current time of the clock that proofs are dated by.
pub fn boot_now() -> Moment {
    BootClock.now()
}

/// Keeps the proof young as long as the configuration lists customers.
pub async fn keep_proof(shared: Rc<Shared>, socket: Rc<UdpSocket>) {
    // A call to a silent store takes long, and must not delay that this instance is not ready.
    tokio::join!(ask_store(&shared, &socket), check_lapse(&shared));
}

async fn check_lapse(shared: &Shared) {
    loop {
        update_lapse(shared);
        sleep(CHECK).await;
    }
}

async fn ask_store(shared: &Shared, socket: &UdpSocket) {
    let mut asked: Option<Moment> = None;
    let mut round = 0;
    loop {
        let since = asked.map_or(Duration::MAX, |at| boot_now().since(at));
        let plan = shared.hub.ask(move |node, now| node.plan_proof(since, now, boot_now()));
        if let ProofPlan::Ask { row, share } = plan {
            asked = Some(boot_now());
            let proof = prove(shared, row).await;
            update_lapse(shared);
            if let Some(proof) = proof.filter(|_| share) {
                let audience =
                    shared.hub.ask(move |node, now| node.members.broadcast_audience(round, now));
                send_all(shared, socket, &Datagram::Proof(proof.into()), &audience).await;
                round += 1;
            }
        }
        sleep(CHECK).await;
    }
}

/// Asks the store whether a version of the configuration's row is the newest one, and reads the row
/// if it is not.
async fn prove(shared: &Shared, row: u64) -> Option<Proof> {
    let transaction = Transaction {
        table: Table::Configuration,
        expected: vec![(CONFIGURATION_KEY.into(), row)],
        writes: Vec::new(),
        removals: Vec::new(),
    };
    let sent = boot_now();
    let reply = (shared.store.commit)(transaction).await;
    let received = boot_now();
    shared.note_timeline(&reply);
    let timeline = reply.timeline.as_ref().and_then(|named| named.as_ref().ok()).copied();
    let undated = || StoreError::Malformed("no time of its clock".to_owned());
    let at_ms = reply.outcome.and_then(|committed| committed.clock_ms.ok_or_else(undated));
    let outcome = match at_ms {
        Ok(at_ms) => Some(Proof { row, timeline, at_ms }),
        Err(StoreError::Conflict) => {
            refresh(shared, Table::Configuration).await;
            None
        }
        Err(error) => {
            metrics::counter!("agatestair_serve_proofs_failed_total").increment(1);
            log_event!(shared.log, PROOF_FAILED, "row" => row, "error" => error.to_string());
            None
        }
    };
    let proof = outcome?;
    shared.hub.ask(move |node, _| {
        node.freshness.note_clock(proof.at_ms, sent, received);
        node.freshness.note_proof(proof, received)
    });
    Some(proof)
}

/// Handles a proof of another instance, which may show that a configuration is missing here.
pub fn handle_proof(shared: &Shared, proof: PulseProof) {
    let proof = Proof::from(proof);
    let behind = shared.hub.ask(move |node, now| {
        let same = node.timeline.current() == proof.timeline;
        if !node.freshness.note_proof(proof, boot_now()) && same {
            node.cursor(Table::Configuration).note_tip(proof.row, now);
            return true;
        }
        false
    });
    if behind {
        shared.wakeups.notify(Table::Configuration);
    }
    update_lapse(shared);
}

/// Logs when requests with keys are refused, or served again, since a withdrawal may be unknown.
fn update_lapse(shared: &Shared) {
    let (changed, lapsed, row, age) = shared.hub.ask(|node, _| {
        let boot = boot_now();
        let changed = node.update_lapse(boot);
        (changed, node.has_lapsed(), node.freshness.row(), node.freshness.age(boot))
    });
    if !changed {
        return;
    }
    let age_ms = age.map(|age| age.as_millis() as u64);
    if lapsed {
        metrics::counter!("agatestair_serve_key_lapses_total").increment(1);
        log_event!(shared.log, KEYS_LAPSED, "row" => row, "age_ms" => age_ms);
    } else {
        log_event!(shared.log, KEYS_PROVEN, "row" => row, "age_ms" => age_ms);
    }
}
