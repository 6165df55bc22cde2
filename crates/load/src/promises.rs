//! Checks the promises: joins what the callers saw with what the stand-ins recorded.

use std::collections::HashMap;
use std::time::Duration;

use agatestair_schema::caller::RunState;
use agatestair_schema::standins::{LeaveRecord, OrderRecord, RunRecord};
use serde::Serialize;

use crate::outcome::{CallRecord, Outcome, Reply};
use crate::probe::RevisionSample;
use crate::records::Records;
use crate::work::{Arrival, Work};

/// Time after which a leaving endpoint must get no new work.
pub const LEAVE_GRACE: Duration = Duration::from_secs(5);
/// Breaches described in words, at most.
const MAX_EXAMPLES: usize = 20;

/// Breaches of one promise and how often it could have been broken.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Promise {
    /// Breaches.
    pub count: u64,
    /// Chances to be broken.
    pub chances: u64,
}

/// Breaches of all promises.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Promises {
    /// Requests that were sent and whose answer ended early or never came.
    pub cut: Promise,
    /// Answers taken as whole that were not the caller's own, and writes confirmed that never ran.
    pub wrong_answer: Promise,
    /// Non-idempotent calls that ran more than once.
    pub double_run: Promise,
    /// Refusals that said "not run" of a request that ran.
    pub false_not_run: Promise,
    /// Orders that reached an engine during a change ordered by another holder.
    pub conflicting_order: Promise,
    /// Orders with an old fencing number that had an effect.
    pub stale_order_effect: Promise,
    /// Work that reached an endpoint which had been leaving for longer than the grace.
    pub work_after_leave: Promise,
    /// Revisions of the lists that went down in a process.
    pub config_revert: Promise,
    /// Some of the breaches in words.
    pub examples: Vec<String>,
}

/// What the checker decides from.
pub struct Evidence<'a> {
    /// What callers were to send.
    pub arrivals: &'a [Arrival],
    /// What callers saw, in the same order.
    pub calls: &'a [CallRecord],
    /// What the stand-ins recorded; `None` if there was no recorder.
    pub records: Option<&'a Records>,
    /// Revisions seen in the processes, in order of time.
    pub revisions: &'a [RevisionSample],
}

impl Promises {
    /// Whether no promise was broken.
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

/// Checks all promises against the evidence.
pub fn check_promises(evidence: &Evidence<'_>) -> Promises {
    let mut checker = Checker::default();
    checker.check_answers(evidence);
    if let Some(records) = evidence.records {
        let index = RunIndex::new(&records.runs);
        checker.check_runs(evidence, &index);
        checker.check_orders(&records.orders);
        checker.check_leaves(&records.runs, &records.leaves);
    }
    checker.check_revisions(evidence.revisions);
    checker.promises
}

/// Runs by request and by idempotency key.
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

    /// Runs that took effect for a call, by its key if it has one.
    fn started(&self, call: &CallRecord, reply: &Reply) -> usize {
        if call.key.is_empty() {
            return self.by_request.get(&*reply.request).map_or(0, Vec::len);
        }
        self.by_key.get(&*call.key).map_or(0, Vec::len)
    }
}

#[derive(Default)]
struct Checker {
    promises: Promises,
}

impl Checker {
    fn note(&mut self, text: impl FnOnce() -> String) {
        if self.promises.examples.len() < MAX_EXAMPLES {
            self.promises.examples.push(text());
        }
    }

    fn check_answers(&mut self, evidence: &Evidence<'_>) {
        for call in evidence.calls {
            for reply in call.replies.iter().chain(&call.repeat) {
                self.check_reply(call, reply);
            }
        }
    }

    fn check_reply(&mut self, call: &CallRecord, reply: &Reply) {
        match reply.outcome {
            Outcome::Unreached | Outcome::Refused(_) => return,
            Outcome::Whole | Outcome::Wrong => self.promises.wrong_answer.chances += 1,
            Outcome::Cut | Outcome::Failed => {}
        }
        self.promises.cut.chances += 1;
        match reply.outcome {
            Outcome::Wrong => {
                self.promises.wrong_answer.count += 1;
                self.note(|| format!("wrong_answer: request {} of {}", reply.request, call.target));
            }
            Outcome::Cut | Outcome::Failed => {
                self.promises.cut.count += 1;
                self.note(|| {
                    let (request, end) = (&reply.request, reply.end.as_millis());
                    format!("cut: request {request} at {} ended at {end} ms", call.target)
                });
            }
            _ => {}
        }
    }

    fn check_runs(&mut self, evidence: &Evidence<'_>, index: &RunIndex<'_>) {
        for (arrival, call) in evidence.arrivals.iter().zip(evidence.calls) {
            for reply in &call.replies {
                self.check_refusal(call, reply, index.started(call, reply));
            }
            if arrival.work == Work::Write {
                self.check_write(call, index);
            }
        }
    }

    fn check_refusal(&mut self, call: &CallRecord, reply: &Reply, started: usize) {
        let Outcome::Refused(refusal) = &reply.outcome else { return };
        if refusal.ran != Some(RunState::NotRun) {
            return;
        }
        self.promises.false_not_run.chances += 1;
        if started > 0 {
            self.promises.false_not_run.count += 1;
            self.note(|| {
                let (code, key) = (&refusal.code, &call.key);
                format!("false_not_run: request {} key {key} code {code}", reply.request)
            });
        }
    }

    fn check_write(&mut self, call: &CallRecord, index: &RunIndex<'_>) {
        let runs = index.by_key.get(&*call.key).map_or(0, Vec::len);
        self.promises.double_run.chances += 1;
        if runs > 1 {
            self.promises.double_run.count += 1;
            self.note(|| format!("double_run: key {} ran {runs} times", call.key));
        }
        if call.whole() && runs == 0 {
            self.promises.wrong_answer.count += 1;
            self.note(|| format!("wrong_answer: key {} confirmed but never ran", call.key));
        }
    }

    fn check_orders(&mut self, orders: &[OrderRecord]) {
        for order in orders.iter().filter(|order| !order.repeat) {
            self.promises.conflicting_order.chances += 1;
            let other = !order.during.is_empty() && order.during_holder != order.holder;
            if other && order.result != "stale" {
                self.promises.conflicting_order.count += 1;
                self.note(|| format!("conflicting_order: {} at {}", order.order, order.endpoint));
            }
            self.promises.stale_order_effect.chances += 1;
            if order.effect_ms > 0 && order.fencing < order.highest {
                self.promises.stale_order_effect.count += 1;
                self.note(|| format!("stale_order_effect: {} at {}", order.order, order.endpoint));
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
                self.note(|| {
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
                self.note(|| text);
            }
            *known = (*known).max(sample.revision);
        }
    }
}

/// Since when the endpoint has been leaving at `at_ms`, from any source; `None` if it is not.
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
