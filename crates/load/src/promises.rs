//! Checks the promises by joining the callers' observations with the stand-ins' records.

use std::collections::HashMap;
use std::time::Duration;

use agatestair_schema::caller::RunState;
use agatestair_schema::standins::{LeaveRecord, OrderRecord, RunRecord};
use serde::Serialize;

use crate::operation::{Arrival, Operation};
use crate::outcome::{Outcome, Reply, RequestRecord};
use crate::probe::RevisionSample;
use crate::records::Records;

/// An endpoint must get no new work once it has been leaving for longer than this.
pub const LEAVE_GRACE: Duration = Duration::from_secs(5);
/// Maximum number of violations described in [`Promises::examples`].
const MAX_EXAMPLES: usize = 20;

/// Number of violations of one promise, and of checks made.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Promise {
    /// Number of violations.
    pub count: u64,
    /// Number of checks, each of which could have found a violation.
    pub chances: u64,
}

/// Results of all promise checks.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Promises {
    /// Sent requests whose response was truncated or missing.
    pub cut: Promise,
    /// Complete responses with the wrong content, and confirmed writes that never ran.
    pub wrong_answer: Promise,
    /// Non-idempotent calls that were executed more than once.
    pub double_run: Promise,
    /// Refusals that reported "not run" for a request that ran.
    pub false_not_run: Promise,
    /// Orders that reached an engine during a change ordered by another lease holder.
    pub conflicting_order: Promise,
    /// Orders with an outdated fencing number that took effect.
    pub stale_order_effect: Promise,
    /// Work that reached an endpoint which had been leaving for longer than [`LEAVE_GRACE`].
    pub work_after_leave: Promise,
    /// Processes that went back to an older revision of the lists.
    pub config_revert: Promise,
    /// Descriptions of the first violations.
    pub examples: Vec<String>,
}

/// Input of [`check_promises`].
pub struct CheckInput<'a> {
    /// Scheduled requests.
    pub arrivals: &'a [Arrival],
    /// What the callers observed, in the order of `arrivals`.
    pub requests: &'a [RequestRecord],
    /// What the stand-ins recorded; `None` if there is no recorder.
    pub records: Option<&'a Records>,
    /// Revisions reported by the control processes, in chronological order.
    pub revisions: &'a [RevisionSample],
}

impl Promises {
    /// Whether no violation was found.
    pub fn kept(&self) -> bool {
        self.each().iter().all(|(_, promise)| promise.count == 0)
    }

    /// All promises with their names.
    pub fn each(&self) -> [(&'static str, Promise); 8] {
        [
            ("cut", self.cut),
            ("wrong_answer", self.wrong_answer),
            ("double_run", self.double_run),
            ("false_not_run", self.false_not_run),
            ("conflicting_order", self.conflicting_order),
            ("stale_order_effect", self.stale_order_effect),
            ("work_after_leave", self.work_after_leave),
            ("config_revert", self.config_revert),
        ]
    }
}

/// Checks all promises; those that need the stand-ins' records are skipped without them.
pub fn check_promises(input: &CheckInput<'_>) -> Promises {
    let mut checker = Checker::default();
    checker.check_responses(input);
    if let Some(records) = input.records {
        let index = RunIndex::new(&records.runs);
        checker.check_runs(input, &index);
        checker.check_orders(&records.orders);
        checker.check_leaves(&records.runs, &records.leaves);
    }
    checker.check_revisions(input.revisions);
    checker.promises
}

/// Started runs, indexed by request identifier and by idempotency key.
struct RunIndex<'a> {
    by_request: HashMap<&'a str, Vec<&'a RunRecord>>,
    by_key: HashMap<&'a str, Vec<&'a RunRecord>>,
}

impl<'a> RunIndex<'a> {
    fn new(runs: &'a [RunRecord]) -> Self {
        let mut index = Self { by_request: HashMap::new(), by_key: HashMap::new() };
        for run in runs.iter().filter(|run| run.started_ms > 0) {
            if !run.request.is_empty() {
                index.by_request.entry(&run.request).or_default().push(run);
            }
            if !run.key.is_empty() {
                index.by_key.entry(&run.key).or_default().push(run);
            }
        }
        index
    }

    /// Number of runs started for a request, found by its idempotency key if it has one.
    fn started(&self, request: &RequestRecord, reply: &Reply) -> usize {
        if request.key.is_empty() {
            return self.by_request.get(&*reply.request).map_or(0, Vec::len);
        }
        self.by_key.get(&*request.key).map_or(0, Vec::len)
    }
}

#[derive(Default)]
struct Checker {
    promises: Promises,
}

impl Checker {
    fn add_example(&mut self, text: impl FnOnce() -> String) {
        if self.promises.examples.len() < MAX_EXAMPLES {
            self.promises.examples.push(text());
        }
    }

    fn check_responses(&mut self, input: &CheckInput<'_>) {
        for request in input.requests {
            for reply in request.replies.iter().chain(&request.repeat) {
                self.check_reply(request, reply);
            }
        }
    }

    fn check_reply(&mut self, request: &RequestRecord, reply: &Reply) {
        match reply.outcome {
            Outcome::Unreached | Outcome::Refused(_) => return,
            Outcome::Success | Outcome::Wrong => self.promises.wrong_answer.chances += 1,
            Outcome::Truncated | Outcome::Failed => {}
        }
        self.promises.cut.chances += 1;
        match reply.outcome {
            Outcome::Wrong => {
                self.promises.wrong_answer.count += 1;
                self.add_example(|| {
                    format!("wrong_answer: request {} of {}", reply.request, request.target)
                });
            }
            Outcome::Truncated | Outcome::Failed => {
                self.promises.cut.count += 1;
                self.add_example(|| {
                    let (id, end) = (&reply.request, reply.end.as_millis());
                    format!("cut: request {id} at {} ended at {end} ms", request.target)
                });
            }
            _ => {}
        }
    }

    fn check_runs(&mut self, input: &CheckInput<'_>, index: &RunIndex<'_>) {
        for (arrival, request) in input.arrivals.iter().zip(input.requests) {
            for reply in &request.replies {
                self.check_refusal(request, reply, index.started(request, reply));
            }
            if arrival.operation == Operation::Write {
                self.check_write(request, index);
            }
        }
    }

    fn check_refusal(&mut self, request: &RequestRecord, reply: &Reply, started: usize) {
        let Outcome::Refused(refusal) = &reply.outcome else { return };
        if refusal.ran != Some(RunState::NotRun) {
            return;
        }
        self.promises.false_not_run.chances += 1;
        if started > 0 {
            self.promises.false_not_run.count += 1;
            self.add_example(|| {
                let (code, key) = (&refusal.code, &request.key);
                format!("false_not_run: request {} key {key} code {code}", reply.request)
            });
        }
    }

    fn check_write(&mut self, request: &RequestRecord, index: &RunIndex<'_>) {
        let runs = index.by_key.get(&*request.key).map_or(0, Vec::len);
        self.promises.double_run.chances += 1;
        if runs > 1 {
            self.promises.double_run.count += 1;
            self.add_example(|| format!("double_run: key {} ran {runs} times", request.key));
        }
        if request.is_success() && runs == 0 {
            self.promises.wrong_answer.count += 1;
            self.add_example(|| {
                format!("wrong_answer: key {} confirmed but never ran", request.key)
            });
        }
    }

    fn check_orders(&mut self, orders: &[OrderRecord]) {
        for order in orders.iter().filter(|order| !order.repeat) {
            self.promises.conflicting_order.chances += 1;
            let conflicting = !order.during.is_empty() && order.during_holder != order.holder;
            if conflicting && order.result != "stale" {
                self.promises.conflicting_order.count += 1;
                self.add_example(|| {
                    format!("conflicting_order: {} at {}", order.order, order.endpoint)
                });
            }
            self.promises.stale_order_effect.chances += 1;
            if order.effect_ms > 0 && order.fencing < order.highest {
                self.promises.stale_order_effect.count += 1;
                self.add_example(|| {
                    format!("stale_order_effect: {} at {}", order.order, order.endpoint)
                });
            }
        }
    }

    fn check_leaves(&mut self, runs: &[RunRecord], leaves: &[LeaveRecord]) {
        let mut by_endpoint: HashMap<&str, Vec<&LeaveRecord>> = HashMap::new();
        for leave in leaves {
            by_endpoint.entry(&leave.endpoint).or_default().push(leave);
        }
        for run in runs {
            let expired = by_endpoint.iter().filter_map(|(endpoint, leaves)| {
                let since = leaving_since(leaves, run.received_ms)?;
                let after = Duration::from_millis(run.received_ms.saturating_sub(since));
                (after > LEAVE_GRACE).then_some((*endpoint, after))
            });
            let expired: HashMap<&str, Duration> = expired.collect();
            self.promises.work_after_leave.chances += u64::from(!expired.is_empty());
            if let Some(after) = expired.get(&*run.endpoint) {
                self.promises.work_after_leave.count += 1;
                self.add_example(|| {
                    let after = after.as_millis();
                    format!("work_after_leave: {} got work {after} ms after", run.endpoint)
                });
            }
        }
    }

    fn check_revisions(&mut self, samples: &[RevisionSample]) {
        let mut highest: HashMap<usize, u64> = HashMap::new();
        for sample in samples {
            let known = highest.entry(sample.instance).or_insert(0);
            self.promises.config_revert.chances += 1;
            if sample.revision < *known {
                self.promises.config_revert.count += 1;
                let (instance, revision) = (sample.instance, sample.revision);
                let text = format!("config_revert: instance {instance} went to {revision}");
                self.add_example(|| text);
            }
            *known = (*known).max(sample.revision);
        }
    }
}

/// Time since which the endpoint has been leaving at `at_ms`, the earliest of all sources.
///
/// `None` if no source asks it to leave. Times are in milliseconds since the Unix epoch.
fn leaving_since(leaves: &[&LeaveRecord], at_ms: u64) -> Option<u64> {
    let mut since: HashMap<String, u64> = HashMap::new();
    for leave in leaves.iter().filter(|leave| leave.at_ms <= at_ms) {
        let source = format!("{:?}", leave.source);
        if leave.leaving {
            since.entry(source).or_insert(leave.at_ms);
        } else {
            since.remove(&source);
        }
    }
    since.into_values().min()
}
