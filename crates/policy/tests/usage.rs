//! Sums of usage that arrive late, twice, in another order or in parts.

use std::sync::Arc;

use agatestair_policy::{UsageCounts, UsageLedger, UsageMeter, UsageWindows, usage_total};
use googletest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;

fn counts(entries: &[(&str, u32)]) -> UsageCounts {
    entries.iter().map(|(name, count)| (Arc::from(*name), *count)).collect()
}

/// Sums of one process in window 7.
struct Part {
    process: (u64, u64),
    counts: &'static [(&'static str, u32)],
    total: u64,
    closed: bool,
}

const fn part(
    process: (u64, u64),
    counts: &'static [(&'static str, u32)],
    total: u64,
    closed: bool,
) -> Part {
    Part { process, counts, total, closed }
}

struct Case {
    name: &'static str,
    parts: &'static [Part],
    sums: &'static [(&'static str, u32)],
    /// Whether the instances 1 and 2 have sent everything.
    complete: bool,
}

const CASES: [Case; 7] = [
    Case {
        name: "sums grow",
        parts: &[
            part((1, 1), &[("a", 1)], 1, false),
            part((1, 1), &[("a", 3), ("b", 1)], 4, true),
            part((2, 1), &[], 0, true),
        ],
        sums: &[("a", 3), ("b", 1)],
        complete: true,
    },
    Case {
        name: "split over two datagrams",
        parts: &[
            part((1, 1), &[("a", 3)], 5, true),
            part((1, 1), &[("b", 2)], 5, true),
            part((2, 1), &[("a", 1)], 1, true),
        ],
        sums: &[("a", 4), ("b", 2)],
        complete: true,
    },
    Case {
        name: "a part is lost",
        parts: &[part((1, 1), &[("a", 3)], 5, true), part((2, 1), &[("a", 1)], 1, true)],
        sums: &[("a", 4)],
        complete: false,
    },
    Case {
        name: "an instance was started again",
        parts: &[
            part((1, 1), &[("a", 3)], 3, false),
            part((1, 9), &[("a", 2)], 2, true),
            part((2, 1), &[], 0, true),
        ],
        sums: &[("a", 5)],
        complete: true,
    },
    Case {
        name: "an instance was stopped and started again",
        parts: &[
            part((1, 1), &[("a", 3)], 3, true),
            part((1, 9), &[("a", 2)], 2, false),
            part((2, 1), &[], 0, true),
        ],
        sums: &[("a", 5)],
        complete: false,
    },
    Case {
        name: "the window has not ended",
        parts: &[part((1, 1), &[("a", 3)], 3, false), part((2, 1), &[], 0, true)],
        sums: &[("a", 3)],
        complete: false,
    },
    Case { name: "nothing was sent", parts: &[], sums: &[], complete: false },
];

// Guards against requests that are counted twice or never if datagrams are repeated or reordered.
#[gtest]
fn sums_do_not_depend_on_the_order_of_datagrams() {
    let mut draws = StdRng::seed_from_u64(1);
    for case in CASES {
        for _ in 0..50 {
            let mut order: Vec<usize> = (0..case.parts.len()).chain(0..case.parts.len()).collect();
            order.shuffle(&mut draws);
            let mut ledger = UsageLedger::default();
            for index in order {
                let Part { process, counts: known, total, closed } = case.parts[index];
                ledger.note(7, process, &counts(known), total, closed);
            }
            expect_that!(ledger.counts(7), eq(&counts(case.sums)), "{}", case.name);
            expect_that!(ledger.is_complete(7, [1, 2]), eq(case.complete), "{}", case.name);
        }
    }
}

// Guards against a request that is counted twice or lost when the clock is set back over a window
// that is settled.
#[gtest]
fn a_request_of_a_settled_window_is_counted_in_the_next_one() {
    let customer: Arc<str> = "a".into();
    let mut meter = UsageMeter::new(5);
    for window in [5, 6, 5, 4, 6] {
        meter.note(window, &customer);
    }
    expect_that!(usage_total(&meter.counts(5)), eq(3));
    meter.settle(5);
    meter.note(5, &customer);
    meter.note(3, &customer);
    expect_that!(usage_total(&meter.counts(5)), eq(0));
    expect_that!(usage_total(&meter.counts(6)), eq(4));
    meter.settle(4);
    expect_that!(meter.first(), eq(6));
}

// Guards against a request that is counted in a window whose last counts were sent, and is lost when
// the window is settled.
#[gtest]
fn a_closed_window_gets_no_requests() {
    let customer: Arc<str> = "a".into();
    let mut meter = UsageMeter::new(5);
    meter.note(5, &customer);
    meter.close(5);
    meter.note(5, &customer);
    expect_that!([5, 6].map(|window| usage_total(&meter.counts(window))), eq([1, 1]));
    expect_that!(meter.first(), eq(5));
}

// Guards against a new holder that lacks sums which the former one had acknowledged.
#[gtest]
fn a_new_holder_gets_the_same_sums() {
    let customer: Arc<str> = "a".into();
    let mut meter = UsageMeter::new(5);
    (0..10).for_each(|index| meter.note(5 + index % 2, &customer));
    let [former, next] = std::array::from_fn(|_| {
        let mut ledger = UsageLedger::default();
        for window in [5, 6] {
            let sums = meter.counts(window);
            ledger.note(window, (1, 1), &sums, usage_total(&sums), true);
        }
        ledger
    });
    for window in [5, 6] {
        expect_that!(next.counts(window), eq(&former.counts(window)));
        expect_that!(usage_total(&next.counts(window)), eq(5));
    }
}

// Guards against windows that are kept without end, and against windows with other limits.
#[gtest]
fn windows_are_bounded() {
    let customer: Arc<str> = "a".into();
    let (mut meter, mut ledger) = (UsageMeter::new(0), UsageLedger::default());
    for window in 0..100 {
        meter.note(window, &customer);
        ledger.note(window, (1, 1), &counts(&[("a", 1)]), 1, true);
    }
    let kept = |has: &dyn Fn(u64) -> bool| (0..100).filter(|window| has(*window)).count();
    expect_that!(kept(&|window| !meter.counts(window).is_empty()), eq(16));
    expect_that!(kept(&|window| !ledger.counts(window).is_empty()), eq(16));
    let windows = UsageWindows::new(5.0);
    expect_that!(windows.of(9_999), eq(1));
    expect_that!(windows.since_end(1, 9_999), none());
    expect_that!(windows.since_end(1, 10_000), some(eq(0)));
}
