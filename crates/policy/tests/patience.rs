//! Callers who were refused at a crest come back, and are told apart by the time that they have.

use std::sync::Arc;
use std::time::Duration;

use agatestair_policy::board::{Board, BoardSettings, Load, SeatFacts, Stage, Wanted};
use agatestair_policy::{EndpointKey, Moment, Patience};
use googletest::prelude::*;

/// Times in milliseconds that callers of a route have, and whether the last one has been here before.
struct Case {
    name: &'static str,
    told: &'static [u64],
    returned: bool,
}

const CASES: [Case; 6] = [
    Case { name: "the first one", told: &[5000], returned: false },
    Case { name: "the same time", told: &[5000, 5000, 5000], returned: false },
    Case { name: "a little less", told: &[5000, 4900], returned: false },
    Case { name: "after a wait", told: &[5000, 5000, 4200], returned: true },
    Case {
        name: "after others that came back",
        told: &[5000, 4000, 4100, 4200, 5000],
        returned: false,
    },
    Case { name: "longer than before", told: &[4000, 5000], returned: false },
];

#[gtest]
fn callers_who_come_back_have_less_time() {
    for case in &CASES {
        let mut patience = Patience::default();
        let route: Arc<str> = "r".into();
        let told = case.told.iter().map(|ms| Duration::from_millis(*ms));
        let last = told.map(|time| patience.note(&route, time)).last();
        expect_that!(last, some(eq(case.returned)), "{}", case.name);
    }
}

#[gtest]
fn a_route_whose_time_is_cut_is_learned_anew() {
    let mut patience = Patience::default();
    let route: Arc<str> = "r".into();
    patience.note(&route, Duration::from_secs(10));
    let returned = (0..400).map(|_| patience.note(&route, Duration::from_secs(5))).last();
    expect_that!(returned, some(eq(false)));
}

/// Engines of each stage, callers of a crest with long prompts, and their times.
const ENGINES: usize = 3;
const CREST: usize = 60;
const LIMIT: Duration = Duration::from_secs(10);
const OBJECTIVE: Duration = Duration::from_millis(500);
const STEP: Duration = Duration::from_millis(20);

/// Callers that are never served when all of a crest come within a second, and come back once.
fn unserved(late_is_served: bool) -> usize {
    let mut board = Board::new(BoardSettings::default());
    for index in 0..2 * ENGINES {
        board.upsert(SeatFacts {
            name: format!("e{index}").into(),
            service: "s".into(),
            address: ([127, 0, 0, 1], 80).into(),
            domain: "a".into(),
            slots: 12,
            leaving: false,
            stage: Some(if index < ENGINES { Stage::Prefill } else { Stage::Decode }),
            born: 1,
        });
    }
    let start = Moment(10_000_000);
    let mut now = start;
    let mut waiting: Vec<(Moment, bool)> =
        (0..CREST).map(|index| (now + Duration::from_secs(1) * index as u32 / 60, false)).collect();
    let mut work: Vec<(Moment, EndpointKey, Load)> = Vec::new();
    let mut unserved = 0;
    while !waiting.is_empty() {
        now = now + STEP;
        work.retain(|(until, key, load)| {
            if *until <= now {
                board.finish(*key, *load, now);
            }
            *until > now
        });
        let due: Vec<(Moment, bool)> = waiting.extract_if(.., |(at, _)| *at <= now).collect();
        for (at, returned) in due {
            let first = !(returned && late_is_served);
            let left = LIMIT.saturating_sub(now.since(start));
            let wanted = Wanted {
                service: "s".into(),
                domain: "a".into(),
                prompt: 12_000,
                output: 400,
                limit: left,
                aim: if first { OBJECTIVE } else { left },
                slack: if first { OBJECTIVE.mul_f64(0.7) } else { left },
                pause: Duration::from_millis(300),
                share: 100,
                ..Wanted::default()
            };
            match board.choose_run(&wanted, true, now) {
                Ok(choice) => {
                    board.start(choice.key, choice.load);
                    work.push((now + choice.expected, choice.key, choice.load));
                }
                Err(_) if returned => unserved += 1,
                Err(denial) => waiting.push((at.max(now) + denial.back, true)),
            }
        }
    }
    unserved
}

#[gtest]
fn callers_who_come_back_to_a_crest_are_served_late_rather_than_never() {
    let (before, after) = (unserved(false), unserved(true));
    expect_that!(before, gt(CREST / 10), "the crest is more than the engines can serve on time");
    expect_that!(after, le(before / 2), "{before} without");
}
