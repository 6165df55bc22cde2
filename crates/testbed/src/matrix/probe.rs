//! Probes which revision of the lists each entry applies, by sending requests as a caller.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::caller::{Caller, CompletionRequest, Target};
use crate::checker::{CallerRecord, Outcome, Promise, PromiseCounts, Records};
use crate::deployment::Testbed;

use super::traffic::targets;

/// Pause between two rounds of probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(150);
/// Timeout of one probe.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time limit for accepted lists to take effect at every entry, in milliseconds.
const APPLY_LIMIT_MS: u64 = 7000;
/// Error code of a request that the lists do not allow.
const NOT_ALLOWED: &str = "not_allowed";

/// Repeatedly requests the model that the changed lists disallow, from every entry.
pub struct ListsProbe {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<Vec<CallerRecord>>,
}

impl ListsProbe {
    /// Starts probing in a background thread.
    pub fn start(testbed: &Testbed) -> Self {
        let layout = &testbed.options.layout;
        let customer = layout.customers[layout.customers.len() - 1];
        let caller = Caller::new(&customer.key(), RESPONSE_TIMEOUT);
        let request = CompletionRequest {
            model: layout.models[1].to_owned(),
            prompt: "probe of the lists".to_owned(),
            max_tokens: 1,
        };
        let targets = targets(testbed);
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        let thread = thread::spawn(move || probe(&caller, &request, &targets, &stopped));
        Self { stop, thread }
    }

    /// Stops probing and checks that no entry reverted to the earlier lists or applied the new ones
    /// too late.
    pub fn finish(self, records: &Records, counts: &mut PromiseCounts) {
        self.stop.store(true, Ordering::Relaxed);
        let Ok(probes) = self.thread.join() else {
            return;
        };
        let accepted_ms = records.lists.get(1).map(|lists| lists.at_ms);
        let mut changed = HashSet::new();
        for record in &probes {
            if record.code == NOT_ALLOWED {
                changed.insert(record.entry.clone());
                counts.observe(Promise::ConfigRevert, None);
            } else if record.outcome == Outcome::Complete {
                counts.observe(Promise::ConfigRevert, revert_detail(record, &changed, accepted_ms));
            }
        }
    }
}

fn probe(
    caller: &Caller,
    request: &CompletionRequest,
    targets: &[Target],
    stopped: &AtomicBool,
) -> Vec<CallerRecord> {
    let mut records = Vec::new();
    while !stopped.load(Ordering::Relaxed) {
        records.extend(targets.iter().map(|target| caller.complete(target, request)));
        thread::sleep(PROBE_INTERVAL);
    }
    records
}

/// Describes a response under the earlier lists that breaks the promise; `None` if it is allowed.
fn revert_detail(
    record: &CallerRecord,
    changed: &HashSet<String>,
    accepted_ms: Option<u64>,
) -> Option<String> {
    if changed.contains(&record.entry) {
        return Some(format!("{} applied the earlier lists again", record.entry));
    }
    let late_ms = record.sent_ms.checked_sub(accepted_ms?)?;
    let detail = || {
        format!("{} still applied the earlier lists {late_ms} ms after the change", record.entry)
    };
    (late_ms > APPLY_LIMIT_MS).then(detail)
}
