//! The checker detects each broken promise from records alone, and reports no false violations.

use agatestair_schema::caller::RunState;
use agatestair_schema::standins::{
    LeaveRecord, LeaveSource, ListsRecord, OrderRecord, RunKind, RunOutcome, RunRecord,
};
use agatestair_testbed::checker::{CallKind, CallerRecord, Outcome, Promise, Records, check};
use googletest::prelude::*;

fn run(kind: RunKind, request: &str, key: &str, started_ms: u64) -> RunRecord {
    RunRecord {
        id: 1,
        endpoint: "e-1".to_owned(),
        service: "s".to_owned(),
        boot: "e-1-1".to_owned(),
        kind,
        request: request.to_owned(),
        attempt: String::new(),
        key: key.to_owned(),
        method: "POST".to_owned(),
        path: "/lines".to_owned(),
        body: format!("body-{key}"),
        received_ms: started_ms,
        started_ms,
        ended_ms: started_ms,
        outcome: RunOutcome::Done,
        prompt_tokens: 0,
        cached_tokens: 0,
        first_token: 0,
        tokens: 0,
        pieces: 0,
        altered: 0,
    }
}

fn call(request: &str, key: &str, started_ms: u64) -> RunRecord {
    run(RunKind::Call, request, key, started_ms)
}

fn caller(kind: CallKind, request: &str, key: &str, outcome: Outcome) -> CallerRecord {
    CallerRecord {
        kind,
        entry: "entry-1".to_owned(),
        request: request.to_owned(),
        key: key.to_owned(),
        body: format!("body-{key}"),
        outcome,
        code: String::new(),
        sent_ms: 900,
        ended_ms: 1000,
    }
}

fn order(holder: &str, fencing: u64, highest: u64, during: &str, result: &str) -> OrderRecord {
    OrderRecord {
        id: 1,
        endpoint: "e-1".to_owned(),
        boot: "e-1-1".to_owned(),
        order: format!("{holder}-{fencing}"),
        kind: "set_role".to_owned(),
        argument: "decode".to_owned(),
        holder: holder.to_owned(),
        epoch: 1,
        fencing,
        sequence: 1,
        highest,
        during: if during.is_empty() { String::new() } else { "other".to_owned() },
        during_holder: during.to_owned(),
        repeat: false,
        result: result.to_owned(),
        received_ms: 1000,
        effect_ms: 0,
    }
}

fn leave(at_ms: u64, leaving: bool) -> LeaveRecord {
    LeaveRecord { endpoint: "e-1".to_owned(), source: LeaveSource::Wish, leaving, at_ms }
}

fn lists(revision: u64) -> ListsRecord {
    ListsRecord { revision, at_ms: revision, attempt: String::new() }
}

struct Case {
    name: &'static str,
    records: Records,
    callers: Vec<CallerRecord>,
    promise: Promise,
    broken: u64,
}

fn calls(name: &'static str, runs: Vec<RunRecord>, caller: CallerRecord) -> Case {
    let records = Records { runs, ..Default::default() };
    Case { name, records, callers: vec![caller], promise: Promise::DoubleRun, broken: 0 }
}

fn orders(name: &'static str, order: OrderRecord) -> Case {
    let records = Records { orders: vec![order], ..Default::default() };
    Case { name, records, callers: Vec::new(), promise: Promise::StaleOrder, broken: 0 }
}

fn call_cases() -> Vec<Case> {
    use CallKind::{Completion, Keyed, Unkeyed};
    let not_run = Outcome::Refused(RunState::NotRun);
    vec![
        Case {
            broken: 1,
            ..calls(
                "a key ran twice",
                vec![call("r1", "k", 10), call("r2", "k", 20)],
                caller(Keyed, "r2", "k", Outcome::Complete),
            )
        },
        calls(
            "a key was refused by the endpoint and ran in a later attempt",
            vec![call("r1", "k", 0), call("r2", "k", 20)],
            caller(Keyed, "r2", "k", Outcome::Complete),
        ),
        Case {
            promise: Promise::LostWrite,
            broken: 1,
            ..calls(
                "a successful response without a run",
                vec![],
                caller(Keyed, "r1", "k", Outcome::Complete),
            )
        },
        Case {
            promise: Promise::FalseNotRun,
            broken: 1,
            ..calls(
                "refused as not run after it ran",
                vec![call("r1", "k", 10)],
                caller(Keyed, "r2", "k", not_run),
            )
        },
        Case {
            promise: Promise::FalseNotRun,
            ..calls(
                "refused as not run, ran in a later attempt",
                vec![call("r2", "k", 2000)],
                caller(Keyed, "r1", "k", not_run),
            )
        },
        Case {
            promise: Promise::FalseNotRun,
            broken: 1,
            ..calls(
                "refused as not run, ran later without a key",
                vec![call("r1", "", 2000)],
                caller(Unkeyed, "r1", "", not_run),
            )
        },
        Case {
            promise: Promise::FalseNotRun,
            broken: 1,
            ..calls(
                "a completion refused as not run after it ran",
                vec![run(RunKind::Completion, "r1", "", 10)],
                caller(Completion, "r1", "", not_run),
            )
        },
        Case {
            promise: Promise::Cut,
            broken: 1,
            ..calls("a truncated stream", vec![], caller(Completion, "r1", "", Outcome::Truncated))
        },
        Case {
            promise: Promise::WrongAnswer,
            broken: 1,
            ..calls("a wrong response", vec![], caller(Completion, "r1", "", Outcome::Wrong))
        },
    ]
}

fn fleet_cases() -> Vec<Case> {
    let work = |at_ms, leaves| Records {
        runs: vec![run(RunKind::Completion, "r1", "", at_ms)],
        leaves,
        ..Default::default()
    };
    let leaves = |name, records, broken| Case {
        name,
        records,
        callers: Vec::new(),
        promise: Promise::WorkAfterLeave,
        broken,
    };
    let revisions = |name, numbers: &[u64], broken| Case {
        name,
        records: Records {
            lists: numbers.iter().map(|n| lists(*n)).collect(),
            ..Default::default()
        },
        callers: Vec::new(),
        promise: Promise::ConfigRevert,
        broken,
    };
    vec![
        Case { broken: 1, ..orders("an outdated order took effect", order("a", 1, 2, "", "done")) },
        orders("an outdated order was refused", order("a", 1, 2, "", "stale")),
        orders("a current order took effect", order("a", 3, 2, "", "started")),
        Case {
            promise: Promise::ConflictingOrder,
            broken: 1,
            ..orders("an order during another holder's change", order("a", 2, 2, "b", "busy"))
        },
        Case {
            promise: Promise::ConflictingOrder,
            ..orders("an order during the same holder's change", order("a", 2, 2, "a", "busy"))
        },
        Case {
            promise: Promise::ConflictingOrder,
            ..orders(
                "an outdated order refused during another holder's change",
                order("a", 1, 2, "b", "stale"),
            )
        },
        leaves("work long after an endpoint is leaving", work(9000, vec![leave(1000, true)]), 1),
        leaves("work soon after an endpoint is leaving", work(2000, vec![leave(1000, true)]), 0),
        leaves(
            "work after an endpoint serves again",
            work(9000, vec![leave(1000, true), leave(8000, false)]),
            0,
        ),
        revisions("revisions increase", &[1, 2, 5], 0),
        revisions("a revision is repeated", &[1, 2, 2], 1),
    ]
}

#[googletest::test]
fn promises_follow_from_records() {
    for case in call_cases().into_iter().chain(fleet_cases()) {
        let counts = check(&case.records, &case.callers);
        let count = counts.get(case.promise);
        expect_that!(count.broken, eq(case.broken), "{}: {counts}", case.name);
    }
}
