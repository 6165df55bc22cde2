//! Watches through callers' eyes which revision of the lists each entry applies.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::caller::{Ask, Caller, Target};
use crate::checker::{CallerRecord, Promise, PromiseCounts, Records, Seen};
use crate::deployment::Testbed;

use super::traffic::targets;

/// Time between two rounds.
const PROBE_TIME: Duration = Duration::from_millis(150);
/// Longest wait for one answer.
const ANSWER_TIME: Duration = Duration::from_secs(3);
/// Time after which accepted lists are in force everywhere, in milliseconds.
const FORCE_BOUND_MS: u64 = 7000;
/// Code of a refusal by the lists.
const NOT_ALLOWED: &str = "not_allowed";

/// Asks each entry for the model that the changed lists take away.
pub struct ListsProbe {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<Vec<CallerRecord>>,
}

impl ListsProbe {
    /// Starts to ask.
    pub fn start(testbed: &Testbed) -> Self {
        let layout = &testbed.options.layout;
        let customer = layout.customers[layout.customers.len() - 1];
        let caller = Caller::new(&customer.key(), ANSWER_TIME);
        let ask = Ask {
            model: layout.models[1].to_owned(),
            prompt: "probe of the lists".to_owned(),
            max_tokens: 1,
        };
        let targets = targets(testbed);
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        let thread = thread::spawn(move || probe(&caller, &ask, &targets, &stopped));
        Self { stop, thread }
    }

    /// Stops and checks what was seen.
    pub fn finish(self, records: &Records, counts: &mut PromiseCounts) {
        self.stop.store(true, Ordering::Relaxed);
        let Ok(seen) = self.thread.join() else {
            return;
        };
        let accepted = records.lists.get(1).map(|lists| lists.at_ms);
        let mut changed = HashSet::new();
        for record in &seen {
            if record.code == NOT_ALLOWED {
                changed.insert(record.entry.clone());
                counts.note(Promise::ConfigRevert, None);
            } else if record.seen == Seen::Whole {
                counts.note(Promise::ConfigRevert, fault(record, &changed, accepted));
            }
        }
    }
}

fn probe(
    caller: &Caller,
    ask: &Ask,
    targets: &[Target],
    stopped: &AtomicBool,
) -> Vec<CallerRecord> {
    let mut records = Vec::new();
    while !stopped.load(Ordering::Relaxed) {
        records.extend(targets.iter().map(|target| caller.complete(target, ask)));
        thread::sleep(PROBE_TIME);
    }
    records
}

/// What is wrong with an answer under the earlier lists.
fn fault(
    record: &CallerRecord,
    changed: &HashSet<String>,
    accepted: Option<u64>,
) -> Option<String> {
    if changed.contains(&record.entry) {
        return Some(format!("{} served by the earlier lists again", record.entry));
    }
    let late_ms = record.sent_ms.checked_sub(accepted?)?;
    let detail = || format!("{} served by the earlier lists {late_ms} ms later", record.entry);
    (late_ms > FORCE_BOUND_MS).then(detail)
}
