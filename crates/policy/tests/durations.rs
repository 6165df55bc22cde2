//! Bounds on the duration of requests, from the cost model and from experience.

use std::time::Duration;

use agatestair_policy::{Durations, Moment};
use googletest::prelude::*;

/// Observations of one route, each as expected and real milliseconds, and the bound that follows.
struct Case {
    name: &'static str,
    observed: Vec<(u64, u64)>,
    /// Seconds since the last observation.
    idle: u64,
    expected: u64,
    bound: Option<u64>,
}

#[gtest]
fn the_bound_follows_the_model_and_experience() {
    let cases = [
        Case { name: "unknown", observed: vec![], idle: 0, expected: 100, bound: None },
        Case {
            name: "as the model says",
            observed: vec![(100, 100)],
            idle: 0,
            expected: 1000,
            bound: Some(1250),
        },
        Case {
            name: "longer than the model says",
            observed: vec![(60, 2575), (60, 100)],
            idle: 0,
            expected: 60,
            bound: Some(2575),
        },
        Case {
            name: "shorter than the model says, often observed",
            observed: [(4000, 1000)].repeat(40),
            idle: 0,
            expected: 4000,
            bound: Some(1250),
        },
        Case {
            name: "shorter than the model says, observed once",
            observed: vec![(4000, 1000)],
            idle: 0,
            expected: 4000,
            bound: Some(5000),
        },
        Case {
            name: "shorter than the model says, long ago",
            observed: [(4000, 1000)].repeat(40),
            idle: 120,
            expected: 4000,
            bound: Some(5000),
        },
        Case {
            name: "nothing expected, nothing observed",
            observed: vec![(0, 0)],
            idle: 0,
            expected: 0,
            bound: Some(0),
        },
    ];
    for case in cases {
        let ms = Duration::from_millis;
        let mut durations = Durations::default();
        let now = Moment(1_000_000);
        for (expected, real) in &case.observed {
            durations.note(ms(*expected), ms(*real), now);
        }
        let bound = durations.bound(ms(case.expected), now + Duration::from_secs(case.idle));
        expect_that!(
            bound.map(|bound| bound.as_millis()),
            eq(case.bound.map(u128::from)),
            "{}",
            case.name
        );
    }
}
