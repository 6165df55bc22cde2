//! Tests the lease book against a table in memory: when a lease may be taken, and that its former
//! holder has stopped by then.

use std::sync::Arc;
use std::time::Duration;

use agatestair_control::{LeaseBook, LeaseOp, LeaseOpKind, LeaseSettings, PlanInput, Runs};
use agatestair_policy::Moment;
use agatestair_schema::lists::LeaseRow;
use agatestair_schema::platform::{InstanceKind, InstanceRecord, InstanceState};
use googletest::prelude::*;

const SECOND: Duration = Duration::from_secs(1);
const START: Moment = Moment(1_000_000_000);

/// Contents of the in-memory table.
type Table = Vec<(LeaseRow, u64)>;

fn book(name: &str) -> LeaseBook {
    let settings = LeaseSettings { shards: 1, ..LeaseSettings::default() };
    LeaseBook::new(settings, name.into(), format!("{name}-boot").as_str().into())
}

/// Runs one round of a book against the table, as the actor does.
fn round(
    book: &mut LeaseBook,
    table: &mut Table,
    now: Moment,
    candidates: &[&str],
) -> Vec<LeaseOpKind> {
    round_with(book, table, now, candidates, false, &|_, _| false)
}

fn round_with(
    book: &mut LeaseBook,
    table: &mut Table,
    now: Moment,
    candidates: &[&str],
    shutting_down: bool,
    is_gone: &dyn Fn(&str, &str) -> bool,
) -> Vec<LeaseOpKind> {
    book.note_rows(now, table.clone());
    let candidates: Vec<Arc<str>> = candidates.iter().map(|name| (*name).into()).collect();
    let ops = book.plan(&PlanInput {
        now,
        candidates: &candidates,
        shutting_down,
        busy: &|_| false,
        is_gone,
    });
    ops.iter().for_each(|op| commit(book, table, now, op));
    book.note_orders_loaded(&book.without_orders());
    ops.iter().map(|op| op.kind).collect()
}

fn commit(book: &mut LeaseBook, table: &mut Table, now: Moment, op: &LeaseOp) {
    let (row, version) = op.rows[0].clone();
    let present = table.first().map_or(0, |(_, version)| *version);
    if present == version {
        *table = vec![(row, version + 1)];
        book.note_committed(now, op, &[(0, version + 1)].into());
    }
}

/// Takes the unheld lease for `book`; returns the time at which it was taken.
fn take(book: &mut LeaseBook, table: &mut Table, name: &str) -> Moment {
    round(book, table, START, &[name]);
    let now = START + 3 * SECOND;
    assert_eq!(round(book, table, now, &[name]), [LeaseOpKind::Take]);
    now
}

#[gtest]
fn holder_stops_before_another_instance_may_take_the_lease() {
    let (mut first, mut second, mut table) = (book("a"), book("b"), Table::new());
    let taken = take(&mut first, &mut table, "a");
    round(&mut second, &mut table, taken, &["b"]);
    let mut stopped = None;
    for step in 1..200 {
        let now = taken + step * SECOND / 10;
        if first.usable(now, 0, false).is_none() {
            stopped.get_or_insert(now);
        }
        if round(&mut second, &mut table, now, &["b"]).contains(&LeaseOpKind::Take) {
            expect_that!(stopped.is_some_and(|stopped| stopped < now), eq(true));
            return;
        }
    }
    panic!("the lease was not taken over");
}

#[gtest]
fn former_holder_blocks_orders_until_it_acknowledges() {
    let (mut first, mut second, mut table) = (book("a"), book("b"), Table::new());
    let taken = take(&mut first, &mut table, "a");
    round(&mut second, &mut table, taken, &["b"]);
    let now = taken + 7 * SECOND;
    assert_eq!(round(&mut second, &mut table, now, &["b"]), [LeaseOpKind::Take]);
    expect_that!(second.usable(now, 0, false).is_some(), eq(true));
    expect_that!(second.usable(now, 0, true).is_some(), eq(false));
    assert_eq!(round(&mut first, &mut table, now, &["b"]), [LeaseOpKind::Acknowledge]);
    round(&mut second, &mut table, now + SECOND, &["b"]);
    expect_that!(second.usable(now + SECOND, 0, true).is_some(), eq(true));
}

#[gtest]
fn former_holders_accumulate_over_several_expirations() {
    let (mut first, mut second, mut third) = (book("a"), book("b"), book("c"));
    let mut table = Table::new();
    let taken = take(&mut first, &mut table, "a");
    round(&mut second, &mut table, taken, &["b"]);
    round(&mut second, &mut table, taken + 7 * SECOND, &["b"]);
    round(&mut third, &mut table, taken + 7 * SECOND, &["c"]);
    round(&mut third, &mut table, taken + 14 * SECOND, &["c"]);
    let former: Vec<&str> = table[0].0.former.iter().map(|f| f.holder.as_str()).collect();
    expect_that!(former, elements_are![eq(&"a"), eq(&"b")]);
}

#[gtest]
fn released_lease_leaves_no_former_holder() {
    let (mut first, mut second, mut table) = (book("a"), book("b"), Table::new());
    let now = take(&mut first, &mut table, "a");
    let kinds = round_with(&mut first, &mut table, now, &["a"], true, &|_, _| false);
    assert_eq!(kinds, [LeaseOpKind::Release]);
    expect_that!(first.usable(now, 0, false).is_some(), eq(false));
    round(&mut second, &mut table, now, &["b"]);
    let later = now + 3 * SECOND;
    assert_eq!(round(&mut second, &mut table, later, &["b"]), [LeaseOpKind::Take]);
    expect_that!(second.usable(later, 0, true).is_some(), eq(true));
    expect_that!(table[0].0.fencing, eq(2));
}

/// State of the list and time after it, and whether the run then counts as gone.
struct GoneCase {
    name: &'static str,
    listed: Option<(InstanceState, &'static str)>,
    after: Duration,
    gone: bool,
}

const GONE_CASES: &[GoneCase] = &[
    GoneCase { name: "live", listed: Some((InstanceState::Live, "2")), after: SECOND, gone: false },
    GoneCase {
        name: "leaving",
        listed: Some((InstanceState::Leaving, "2")),
        after: SECOND,
        gone: false,
    },
    GoneCase { name: "gone", listed: Some((InstanceState::Gone, "2")), after: SECOND, gone: true },
    GoneCase {
        name: "later run listed",
        listed: Some((InstanceState::Live, "3")),
        after: SECOND,
        gone: true,
    },
    GoneCase {
        name: "list still shows an earlier run",
        listed: Some((InstanceState::Live, "1")),
        after: SECOND,
        gone: false,
    },
    GoneCase { name: "not listed yet", listed: None, after: SECOND, gone: false },
    GoneCase { name: "absent for long", listed: None, after: Duration::from_secs(60), gone: true },
];

#[gtest]
fn run_is_not_gone_while_the_list_lags() {
    for case in GONE_CASES {
        let mut runs = Runs::default();
        let record = case.listed.map(|(state, boot)| InstanceRecord {
            address: "127.0.0.1:1".to_owned(),
            boot: boot.to_owned(),
            control: None,
            domain: "ikeja".to_owned(),
            kind: InstanceKind::Entry,
            name: "a".to_owned(),
            region: "ng-southwest".to_owned(),
            service: String::new(),
            state,
        });
        runs.note_list(START, record.as_slice());
        let gone = runs.is_gone(START + case.after, "a", "2");
        expect_that!(gone, eq(case.gone), "case {}", case.name);
    }
}
