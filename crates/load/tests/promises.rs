//! The checker counts each kind of breach, and nothing else.

use std::sync::Arc;
use std::time::Duration;

use agatestair_load::{
    Arrival, CallRecord, Class, CompletionShape, Evidence, LEAVE_GRACE, Outcome, Promises, Records,
    Refusal, Reply, RevisionSample, Work, check_promises,
};
use agatestair_schema::caller::RunState;
use agatestair_schema::standins::{LeaveRecord, OrderRecord, RunRecord};
use googletest::prelude::*;
use serde_json::{Value, json};

/// One case: what was seen, and the names of the promises that it breaks.
struct Case {
    name: &'static str,
    work: Work,
    replies: Vec<Reply>,
    records: Records,
    revisions: Vec<(usize, u64)>,
    broken: &'static [&'static str],
}

impl Default for Case {
    fn default() -> Self {
        Self {
            name: "",
            work: Work::Completion(CompletionShape::default()),
            replies: vec![reply(Outcome::Whole)],
            records: Records::default(),
            revisions: vec![(0, 1), (0, 2), (1, 1), (1, 2)],
            broken: &[],
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
    reply(Outcome::Refused(Refusal { status: 503, code, ran: Some(ran), retry: None }))
}

/// Builds a record from the fields that matter; the others are empty.
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

fn answer_cases() -> Vec<Case> {
    let whole = || vec![reply(Outcome::Whole)];
    vec![
        Case { name: "whole answer", ..Case::default() },
        Case {
            name: "cut answer",
            replies: vec![reply(Outcome::Cut)],
            broken: &["cut"],
            ..Case::default()
        },
        Case {
            name: "no answer",
            replies: vec![reply(Outcome::Failed)],
            broken: &["cut"],
            ..Case::default()
        },
        Case { name: "not sent", replies: vec![reply(Outcome::Unreached)], ..Case::default() },
        Case {
            name: "other text",
            replies: vec![reply(Outcome::Wrong)],
            broken: &["wrong_answer"],
            ..Case::default()
        },
        Case {
            name: "write ran once",
            work: Work::Write,
            records: runs(&[json!({"key": KEY})]),
            ..Case::default()
        },
        Case {
            name: "write ran twice",
            work: Work::Write,
            records: runs(&[json!({"key": KEY}), json!({"key": KEY, "endpoint": "e2"})]),
            broken: &["double_run"],
            ..Case::default()
        },
        Case {
            name: "write arrived twice, took effect once",
            work: Work::Write,
            records: runs(&[json!({"key": KEY}), json!({"key": KEY, "started_ms": 0})]),
            ..Case::default()
        },
        Case {
            name: "confirmed write never ran",
            work: Work::Write,
            replies: whole(),
            broken: &["wrong_answer"],
            ..Case::default()
        },
    ]
}

fn refusal_cases() -> Vec<Case> {
    vec![
        Case { name: "true not run", replies: vec![refused(RunState::NotRun)], ..Case::default() },
        Case {
            name: "not run of a completion that started",
            replies: vec![refused(RunState::NotRun)],
            records: runs(&[json!({"kind": "completion"})]),
            broken: &["false_not_run"],
            ..Case::default()
        },
        Case {
            name: "not run of a write that ran",
            work: Work::Write,
            replies: vec![refused(RunState::NotRun)],
            records: runs(&[json!({"key": KEY, "request": "another"})]),
            broken: &["false_not_run"],
            ..Case::default()
        },
        Case {
            name: "unknown of a write that ran",
            work: Work::Write,
            replies: vec![refused(RunState::Unknown)],
            records: runs(&[json!({"key": KEY})]),
            ..Case::default()
        },
    ]
}

fn fleet_cases() -> Vec<Case> {
    let grace = u64::try_from(LEAVE_GRACE.as_millis()).unwrap_or(0);
    let left = |received_ms, back_ms: Option<u64>| {
        let mut leaves = vec![leave(true, 1000)];
        leaves.extend(back_ms.map(|at_ms| leave(false, at_ms)));
        Records { leaves, ..runs(&[json!({"received_ms": received_ms})]) }
    };
    vec![
        Case { name: "order taken", records: orders(&[json!({})]), ..Case::default() },
        Case {
            name: "order during a change of the same holder",
            records: orders(&[json!({"during": "o1", "during_holder": "n1"})]),
            ..Case::default()
        },
        Case {
            name: "order during a change of another holder",
            records: orders(&[json!({"during": "o1", "during_holder": "n2"})]),
            broken: &["conflicting_order"],
            ..Case::default()
        },
        Case {
            name: "old order refused",
            records: orders(&[json!({"fencing": 1, "result": "stale", "effect_ms": 0})]),
            ..Case::default()
        },
        Case {
            name: "old order with an effect",
            records: orders(&[json!({"fencing": 1})]),
            broken: &["stale_order_effect"],
            ..Case::default()
        },
        Case {
            name: "work within the grace",
            records: left(1000 + grace, None),
            ..Case::default()
        },
        Case {
            name: "work after the grace",
            records: left(1001 + grace, None),
            broken: &["work_after_leave"],
            ..Case::default()
        },
        Case {
            name: "work after the endpoint came back",
            records: left(1001 + grace, Some(900 + grace)),
            ..Case::default()
        },
        Case {
            name: "revision went down",
            revisions: vec![(0, 2), (1, 1), (0, 1)],
            broken: &["config_revert"],
            ..Case::default()
        },
    ]
}

fn check(case: &Case) -> Promises {
    let class = Class::Standard;
    let arrival = Arrival { at: Duration::ZERO, class, customer: 0, work: case.work, seed: 1 };
    let call = CallRecord {
        index: 0,
        target: Arc::from("127.0.0.1:1"),
        sent: Duration::ZERO,
        returns: 0,
        unreachable: 0,
        replies: case.replies.clone(),
        key: Arc::from(if case.work == Work::Write { KEY } else { "" }),
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
    check_promises(&Evidence {
        arrivals: &[arrival],
        calls: &[call],
        records: Some(&case.records),
        revisions: &revisions,
    })
}

#[gtest]
fn counts_each_breach_and_nothing_else() {
    for case in answer_cases().into_iter().chain(refusal_cases()).chain(fleet_cases()) {
        let promises = check(&case);
        let broken: Vec<&str> = promises
            .each()
            .iter()
            .filter(|(_, promise)| promise.count > 0)
            .map(|(name, _)| *name)
            .collect();
        expect_that!(broken, eq(&case.broken.to_vec()), "{}: {:?}", case.name, promises.examples);
        expect_that!(promises.kept(), eq(case.broken.is_empty()), "{}", case.name);
    }
}
