//! Tests that the checker detects each kind of violation and reports no false ones.

use std::sync::Arc;
use std::time::Duration;

use agatestair_load::{
    Arrival, CheckInput, Class, CompletionShape, LEAVE_GRACE, Operation, Outcome, Promises,
    Records, Refusal, Reply, RequestRecord, RevisionSample, check_promises,
};
use agatestair_schema::caller::RunState;
use agatestair_schema::standins::{LeaveRecord, OrderRecord, RunRecord};
use googletest::prelude::*;
use serde_json::{Value, json};

/// Observations of one request, and the names of the promises that they violate.
struct Case {
    name: &'static str,
    operation: Operation,
    replies: Vec<Reply>,
    records: Records,
    revisions: Vec<(usize, u64)>,
    violated: &'static [&'static str],
}

impl Default for Case {
    fn default() -> Self {
        Self {
            name: "",
            operation: Operation::Completion(CompletionShape::default()),
            replies: vec![reply(Outcome::Success)],
            records: Records::default(),
            revisions: vec![(0, 1), (0, 2), (1, 1), (1, 2)],
            violated: &[],
        }
    }
}

const KEY: &str = "key-1";
const REQUEST: &str = "request-1";

fn reply(outcome: Outcome) -> Reply {
    let first = Some(Duration::from_millis(5));
    let end = Duration::from_millis(9);
    Reply { outcome, request: REQUEST.to_owned(), first, end, tokens: 3 }
}

fn refused(ran: RunState) -> Reply {
    let code = "over_capacity".to_owned();
    reply(Outcome::Refused(Refusal { status: 503, code, ran: Some(ran), retry_after: None }))
}

/// Builds a record from `base` with the given fields replaced.
fn record<T: serde::de::DeserializeOwned>(base: &Value, fields: &Value) -> T {
    let mut value = base.clone();
    for (name, field) in fields.as_object().into_iter().flatten() {
        value[name] = field.clone();
    }
    serde_json::from_value(value).expect("the record is complete")
}

fn run(fields: &Value) -> RunRecord {
    let base = json!({
        "id": 1, "endpoint": "e1", "service": "s", "boot": "b", "kind": "call", "request": REQUEST,
        "attempt": "", "key": "", "method": "POST", "path": "/entries", "body": "",
        "received_ms": 1000, "started_ms": 1000, "ended_ms": 1001, "outcome": "done",
        "prompt_tokens": 0, "cached_tokens": 0, "first_token": 0, "tokens": 0, "pieces": 0,
        "altered": 0,
    });
    record(&base, fields)
}

fn order(fields: &Value) -> OrderRecord {
    let base = json!({
        "id": 1, "endpoint": "e1", "boot": "b", "order": "o2", "kind": "set_role",
        "argument": "decode", "holder": "n1", "epoch": 2, "fencing": 2, "sequence": 1,
        "highest": 2, "during": "", "during_holder": "", "repeat": false, "result": "started",
        "received_ms": 1000, "effect_ms": 4000,
    });
    record(&base, fields)
}

fn leave(leaving: bool, at_ms: u64) -> LeaveRecord {
    let value = json!({
        "endpoint": "e1", "source": "wish", "leaving": leaving, "at_ms": at_ms,
    });
    serde_json::from_value(value).expect("the record is complete")
}

fn runs(list: &[Value]) -> Records {
    Records { runs: list.iter().map(run).collect(), ..Records::default() }
}

fn orders(list: &[Value]) -> Records {
    Records { orders: list.iter().map(order).collect(), ..Records::default() }
}

fn response_cases() -> Vec<Case> {
    let success = || vec![reply(Outcome::Success)];
    vec![
        Case { name: "complete response", ..Case::default() },
        Case {
            name: "truncated response",
            replies: vec![reply(Outcome::Truncated)],
            violated: &["cut"],
            ..Case::default()
        },
        Case {
            name: "no response",
            replies: vec![reply(Outcome::Failed)],
            violated: &["cut"],
            ..Case::default()
        },
        Case { name: "not sent", replies: vec![reply(Outcome::Unreached)], ..Case::default() },
        Case {
            name: "wrong text",
            replies: vec![reply(Outcome::Wrong)],
            violated: &["wrong_answer"],
            ..Case::default()
        },
        Case {
            name: "write executed once",
            operation: Operation::Write,
            records: runs(&[json!({"key": KEY})]),
            ..Case::default()
        },
        Case {
            name: "write executed twice",
            operation: Operation::Write,
            records: runs(&[json!({"key": KEY}), json!({"key": KEY, "endpoint": "e2"})]),
            violated: &["double_run"],
            ..Case::default()
        },
        Case {
            name: "write received twice, executed once",
            operation: Operation::Write,
            records: runs(&[json!({"key": KEY}), json!({"key": KEY, "started_ms": 0})]),
            ..Case::default()
        },
        Case {
            name: "confirmed write was never executed",
            operation: Operation::Write,
            replies: success(),
            violated: &["wrong_answer"],
            ..Case::default()
        },
    ]
}

fn refusal_cases() -> Vec<Case> {
    vec![
        Case {
            name: "refusal reports not run, and the request did not run",
            replies: vec![refused(RunState::NotRun)],
            ..Case::default()
        },
        Case {
            name: "refusal reports not run, but the completion started",
            replies: vec![refused(RunState::NotRun)],
            records: runs(&[json!({"kind": "completion"})]),
            violated: &["false_not_run"],
            ..Case::default()
        },
        Case {
            name: "refusal reports not run, but the write ran",
            operation: Operation::Write,
            replies: vec![refused(RunState::NotRun)],
            records: runs(&[json!({"key": KEY, "request": "another"})]),
            violated: &["false_not_run"],
            ..Case::default()
        },
        Case {
            name: "refusal reports unknown, and the write ran",
            operation: Operation::Write,
            replies: vec![refused(RunState::Unknown)],
            records: runs(&[json!({"key": KEY})]),
            ..Case::default()
        },
    ]
}

fn fleet_cases() -> Vec<Case> {
    let grace = u64::try_from(LEAVE_GRACE.as_millis()).unwrap_or(0);
    let after_leave = |received_ms, restored_ms: Option<u64>| {
        let mut leaves = vec![leave(true, 1000)];
        leaves.extend(restored_ms.map(|at_ms| leave(false, at_ms)));
        Records { leaves, ..runs(&[json!({"received_ms": received_ms})]) }
    };
    vec![
        Case { name: "accepted order", records: orders(&[json!({})]), ..Case::default() },
        Case {
            name: "order during a change by the same holder",
            records: orders(&[json!({"during": "o1", "during_holder": "n1"})]),
            ..Case::default()
        },
        Case {
            name: "order during a change by another holder",
            records: orders(&[json!({"during": "o1", "during_holder": "n2"})]),
            violated: &["conflicting_order"],
            ..Case::default()
        },
        Case {
            name: "stale order rejected",
            records: orders(&[json!({"fencing": 1, "result": "stale", "effect_ms": 0})]),
            ..Case::default()
        },
        Case {
            name: "stale order that took effect",
            records: orders(&[json!({"fencing": 1})]),
            violated: &["stale_order_effect"],
            ..Case::default()
        },
        Case {
            name: "work within the grace period",
            records: after_leave(1000 + grace, None),
            ..Case::default()
        },
        Case {
            name: "work after the grace period",
            records: after_leave(1001 + grace, None),
            violated: &["work_after_leave"],
            ..Case::default()
        },
        Case {
            name: "work after the endpoint was restored",
            records: after_leave(1001 + grace, Some(900 + grace)),
            ..Case::default()
        },
        Case {
            name: "process reverted to an older revision",
            revisions: vec![(0, 2), (1, 1), (0, 1)],
            violated: &["config_revert"],
            ..Case::default()
        },
    ]
}

fn check(case: &Case) -> Promises {
    let class = Class::Standard;
    let arrival =
        Arrival { at: Duration::ZERO, class, customer: 0, operation: case.operation, seed: 1 };
    let request = RequestRecord {
        index: 0,
        target: Arc::from("127.0.0.1:1"),
        sent: Duration::ZERO,
        retries: 0,
        unreachable: 0,
        replies: case.replies.clone(),
        key: Arc::from(if case.operation == Operation::Write { KEY } else { "" }),
        repeat: None,
    };
    let revisions: Vec<RevisionSample> = case
        .revisions
        .iter()
        .map(|(instance, revision)| RevisionSample {
            instance: *instance,
            at_ms: 0,
            revision: *revision,
        })
        .collect();
    check_promises(&CheckInput {
        arrivals: &[arrival],
        requests: &[request],
        records: Some(&case.records),
        revisions: &revisions,
    })
}

#[gtest]
fn reports_exactly_the_expected_violations() {
    for case in response_cases().into_iter().chain(refusal_cases()).chain(fleet_cases()) {
        let promises = check(&case);
        let violated: Vec<&str> = promises
            .each()
            .iter()
            .filter(|(_, promise)| promise.count > 0)
            .map(|(name, _)| *name)
            .collect();
        expect_that!(
            violated,
            eq(&case.violated.to_vec()),
            "{}: {:?}",
            case.name,
            promises.examples
        );
        expect_that!(promises.kept(), eq(case.violated.is_empty()), "{}", case.name);
    }
}
