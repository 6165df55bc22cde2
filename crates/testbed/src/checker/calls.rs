//! Checks the promises on calls and completions.

use std::collections::HashMap;

use agatestair_schema::caller::RunState;
use agatestair_schema::standins::{RunKind, RunRecord};

use super::caller_record::{CallKind, CallerRecord, Outcome};
use super::promises::{Promise, PromiseCounts};
use super::records::Records;

/// Runs that took effect, indexed by idempotency key, body and request identifier.
struct Effects<'a> {
    by_key: HashMap<&'a str, Vec<&'a RunRecord>>,
    by_body: HashMap<&'a str, Vec<&'a RunRecord>>,
    by_request: HashMap<&'a str, Vec<&'a RunRecord>>,
}

impl<'a> Effects<'a> {
    fn new(runs: &'a [RunRecord]) -> Self {
        let mut effects =
            Self { by_key: HashMap::new(), by_body: HashMap::new(), by_request: HashMap::new() };
        for run in runs.iter().filter(|run| run.started_ms > 0) {
            effects.by_request.entry(&run.request).or_default().push(run);
            if run.kind == RunKind::Call && run.method == "POST" {
                effects.by_key.entry(&run.key).or_default().push(run);
                effects.by_body.entry(&run.body).or_default().push(run);
            }
        }
        effects
    }

    /// Runs of the caller's request that took effect.
    fn runs_of(&self, record: &CallerRecord) -> &[&'a RunRecord] {
        let found = match record.kind {
            CallKind::Keyed => self.by_key.get(record.key.as_str()),
            CallKind::Unkeyed => self.by_body.get(record.body.as_str()),
            CallKind::Completion | CallKind::Read => self.by_request.get(record.request.as_str()),
        };
        found.map_or(&[], Vec::as_slice)
    }
}

/// Checks the outcomes that callers saw against the runs.
pub fn check_calls(records: &Records, callers: &[CallerRecord], counts: &mut PromiseCounts) {
    let effects = Effects::new(&records.runs);
    for record in callers {
        check_response(record, counts);
        check_refusal(record, &effects, counts);
        check_lost_write(record, &effects, counts);
    }
    check_duplicates(&effects, counts);
}

fn check_response(record: &CallerRecord, counts: &mut PromiseCounts) {
    if matches!(record.outcome, Outcome::Complete | Outcome::Wrong) {
        let violation = (record.outcome == Outcome::Wrong).then(|| describe(record));
        counts.observe(Promise::WrongAnswer, violation);
    }
    if matches!(record.outcome, Outcome::Complete | Outcome::Truncated) {
        let violation = (record.outcome == Outcome::Truncated).then(|| describe(record));
        counts.observe(Promise::Cut, violation);
    }
}

/// Checks that a request refused as not run did not run, except in a later attempt with its key.
fn check_refusal(record: &CallerRecord, effects: &Effects<'_>, counts: &mut PromiseCounts) {
    if record.outcome != Outcome::Refused(RunState::NotRun) {
        return;
    }
    let unidentified = record.kind != CallKind::Unkeyed && record.request.is_empty();
    if unidentified && record.kind != CallKind::Keyed {
        return;
    }
    let ran = effects.runs_of(record).iter().find(|run| {
        record.kind != CallKind::Keyed
            || run.started_ms <= record.ended_ms
            || run.request == record.request
    });
    let violation = ran.map(|run| format!("{}; ran at {}", describe(record), run.endpoint));
    counts.observe(Promise::FalseNotRun, violation);
}

fn check_lost_write(record: &CallerRecord, effects: &Effects<'_>, counts: &mut PromiseCounts) {
    let write = matches!(record.kind, CallKind::Keyed | CallKind::Unkeyed);
    if write && record.outcome == Outcome::Complete {
        let lost = effects.runs_of(record).is_empty();
        counts.observe(Promise::LostWrite, lost.then(|| describe(record)));
    }
}

fn check_duplicates(effects: &Effects<'_>, counts: &mut PromiseCounts) {
    for (key, runs) in &effects.by_key {
        if key.is_empty() {
            continue;
        }
        counts.observe(Promise::DoubleRun, duplicate_detail(key, runs));
    }
    for (body, runs) in &effects.by_body {
        if runs.iter().all(|run| run.key.is_empty()) {
            counts.observe(Promise::DoubleRun, duplicate_detail(body, runs));
        }
    }
}

fn duplicate_detail(name: &str, runs: &[&RunRecord]) -> Option<String> {
    let places: Vec<String> = runs
        .iter()
        .map(|run| format!("{} for request {} at {}", run.endpoint, run.request, run.started_ms))
        .collect();
    (runs.len() > 1).then(|| format!("{name}: {}", places.join(", ")))
}

fn describe(record: &CallerRecord) -> String {
    format!(
        "{:?} request {} key {:?} at {}: {:?} {}",
        record.kind, record.request, record.key, record.entry, record.outcome, record.code
    )
}
