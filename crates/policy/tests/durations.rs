//! Bounds on the duration of requests, from the cost model and from experience.

use std::time::Duration;

use agatestair_policy::{Durations, Moment};
use googletest::prelude::*;

/// Observations of one route, each as expected and real milliseconds, and the bound that follows.
struct Case {
    name: &'static str,
    observed: Vec<(u64, u64)>,
    /// Seconds between two observations, and after the last one.
    interval: u64,
    modelled: Option<u64>,
    /// Age of the oldest open request in milliseconds.
    open: u64,
    bound: Option<u64>,
}

#[gtest]
fn the_bound_follows_the_model_and_experience() {
    let cases = [
        Case {
            name: "unknown",
            observed: vec![],
            interval: 0,
            modelled: None,
            open: 0,
            bound: None,
        },
        Case {
            name: "unknown, with a model",
            observed: vec![],
            interval: 0,
            modelled: Some(100),
            open: 0,
            bound: None,
        },
        Case {
            name: "one short answer",
            observed: vec![(60, 100)],
            interval: 1,
            modelled: None,
            open: 0,
            bound: None,
        },
        Case {
            name: "few observations",
            observed: vec![(60, 100), (60, 2500), (60, 90)],
            interval: 1,
            modelled: None,
            open: 0,
            bound: Some(3750),
        },
        Case {
            name: "rare and long",
            observed: [(60, 2500)].repeat(8),
            interval: 15,
            modelled: None,
            open: 0,
            bound: Some(3750),
        },
        Case {
            name: "rarer",
            observed: [(60, 2500)].repeat(8),
            interval: 45,
            modelled: None,
            open: 0,
            bound: None,
        },
        Case {
            name: "many observations",
            observed: [(60, 2000), (60, 100)].repeat(20),
            interval: 1,
            modelled: None,
            open: 0,
            bound: Some(2500),
        },
        Case {
            name: "a request is open for longer than any took",
            observed: [(60, 2000), (60, 100)].repeat(20),
            interval: 1,
            modelled: None,
            open: 2100,
            bound: None,
        },
        Case {
            name: "longer than the model says",
            observed: [(1000, 3000)].repeat(4),
            interval: 1,
            modelled: Some(1000),
            open: 0,
            bound: Some(4500),
        },
        Case {
            name: "much shorter than the model says",
            observed: [(4000, 1000)].repeat(40),
            interval: 1,
            modelled: Some(4000),
            open: 0,
            bound: Some(1250),
        },
        Case {
            name: "longer than all that were observed",
            observed: [(800, 400)].repeat(40),
            interval: 1,
            modelled: Some(6000),
            open: 0,
            bound: Some(3750),
        },
        Case {
            name: "much shorter than the model says, few observations",
            observed: [(4000, 1000)].repeat(4),
            interval: 1,
            modelled: Some(4000),
            open: 0,
            bound: Some(5000),
        },
        Case {
            name: "much shorter than the model says, long ago",
            observed: [(4000, 1000)].repeat(40),
            interval: 130,
            modelled: Some(4000),
            open: 0,
            bound: None,
        },
    ];
    for case in cases {
        let ms = Duration::from_millis;
        let mut durations = Durations::default();
        let mut now = Moment(1_000_000);
        for (expected, real) in &case.observed {
            durations.note(ms(*expected), ms(*real), now);
            now = now + Duration::from_secs(case.interval);
        }
        let bound = durations.bound(case.modelled.map(ms), ms(case.open), now);
        let bound = bound.map(|bound| bound.as_millis());
        expect_that!(bound, eq(case.bound.map(u128::from)), "{}", case.name);
    }
}
