//! What is dropped when the memory that callers may hold is used up.

use std::time::Duration;

use agatestair_policy::{Holding, PressureSettings, choose_drops};
use googletest::prelude::*;

const MEGABYTE: usize = 1024 * 1024;

const fn holding(key: u64, bytes: usize, age_ms: u64, still_ms: u64) -> Holding {
    let (age, still) = (Duration::from_millis(age_ms), Duration::from_millis(still_ms));
    Holding { key, bytes, age, still }
}

/// A choice among holdings.
struct Case {
    name: &'static str,
    holdings: &'static [Holding],
    wanted: usize,
    short: usize,
    dropped: &'static [u64],
}

const STALLED_SMALL: Holding = holding(1, 1000, 2000, 1000);
const STALLED_LARGE: Holding = holding(2, MEGABYTE, 2000, 1000);
const SLOW: Holding = holding(3, 60_000, 2000, 100);
const FAST: Holding = holding(4, MEGABYTE, 100, 0);
const FAST_SMALL: Holding = holding(5, 2000, 100, 0);
const YOUNG: Holding = holding(6, 10, 400, 400);

const CASES: [Case; 9] = [
    Case { name: "nothing is held", holdings: &[], wanted: 1, short: 1, dropped: &[] },
    Case {
        name: "the largest stalled one goes first",
        holdings: &[STALLED_SMALL, FAST, STALLED_LARGE, SLOW],
        wanted: 2000,
        short: 1,
        dropped: &[2],
    },
    Case {
        name: "stalled before slow, slow before fast",
        holdings: &[FAST, SLOW, STALLED_SMALL],
        wanted: 2000,
        short: 70_000,
        dropped: &[1, 3, 4],
    },
    Case {
        name: "a small request displaces a large one in progress",
        holdings: &[FAST, FAST_SMALL],
        wanted: 2000,
        short: 1,
        dropped: &[4],
    },
    Case {
        name: "equal requests in progress do not displace each other",
        holdings: &[FAST, FAST],
        wanted: MEGABYTE,
        short: 1,
        dropped: &[],
    },
    Case {
        name: "a large request displaces no small one in progress",
        holdings: &[FAST_SMALL],
        wanted: MEGABYTE,
        short: 1,
        dropped: &[],
    },
    Case {
        name: "nothing is dropped if it does not suffice",
        holdings: &[STALLED_SMALL, SLOW],
        wanted: MEGABYTE,
        short: MEGABYTE,
        dropped: &[],
    },
    Case {
        name: "a holding that has just begun is neither stalled nor slow",
        holdings: &[YOUNG],
        wanted: MEGABYTE,
        short: 1,
        dropped: &[],
    },
    Case {
        name: "an empty holding frees nothing",
        holdings: &[holding(7, 0, 2000, 2000)],
        wanted: 1,
        short: 1,
        dropped: &[],
    },
];

// Guards against dropping requests in progress while others make no progress.
#[gtest]
fn what_makes_no_progress_is_dropped_first() {
    for Case { name, holdings, wanted, short, dropped } in CASES {
        let settings = PressureSettings::default();
        let drops = choose_drops(holdings, wanted, short, &settings);
        expect_that!(drops, eq(dropped), "{name}");
    }
}
