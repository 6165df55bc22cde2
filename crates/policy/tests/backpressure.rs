//! Endpoints that ask for a pause or announce their shutdown, and what the board does then.

mod support;

use std::time::Duration;

use agatestair_policy::Moment;
use agatestair_policy::board::{
    Board, BoardSettings, DenialCause, EndpointFacts, MAX_PAUSE, Stage,
};
use googletest::prelude::*;

use self::support::{endpoint, request};

/// Time between two requests.
const GAP: Duration = Duration::from_millis(10);

/// Endpoints that ask for a pause, under one request every 10 ms for 3 s.
struct Case {
    name: &'static str,
    stage: Option<Stage>,
    /// Pause in seconds that each endpoint asks for; `None` if it accepts work.
    pauses: &'static [Option<u64>],
    /// Greatest number of requests that may go to an endpoint during one of its pauses.
    most: usize,
    /// Least fraction of the requests that must be served.
    served: f64,
}

const CASES: [Case; 5] = [
    Case {
        name: "one of three",
        stage: None,
        pauses: &[Some(30), None, None],
        most: 0,
        served: 1.0,
    },
    Case {
        name: "all but one",
        stage: None,
        pauses: &[Some(30), Some(30), None],
        most: 0,
        served: 1.0,
    },
    Case { name: "all", stage: None, pauses: &[Some(30), Some(30)], most: 1, served: 0.0 },
    Case {
        name: "all, again with every response",
        stage: None,
        pauses: &[Some(1), Some(1)],
        most: 1,
        served: 0.0,
    },
    Case {
        name: "one engine",
        stage: Some(Stage::Decode),
        pauses: &[Some(30), None],
        most: 0,
        served: 1.0,
    },
];

#[gtest]
fn paused_endpoints_get_at_most_one_trial_and_callers_are_refused_at_once() {
    for case in &CASES {
        let mut board = Board::new(BoardSettings::default());
        let names = ["one", "two", "three"];
        let keys: Vec<_> = (0..case.pauses.len())
            .map(|index| board.upsert(endpoint(names[index], case.stage)))
            .collect();
        let mut now = Moment(10_000_000);
        for (key, pause) in keys.iter().zip(case.pauses) {
            if let Some(pause) = pause {
                board.note_pause(*key, Duration::from_secs(*pause), now);
            }
        }
        // One window for each pause asked for: its start, its end and the requests sent in it.
        let mut windows: Vec<Vec<(Moment, Moment, usize)>> = keys
            .iter()
            .zip(case.pauses)
            .map(|(_, pause)| pause.map(|pause| (now, now + Duration::from_secs(pause), 0)))
            .map(|window| window.into_iter().collect())
            .collect();
        let (mut served, mut requests) = (0, 0);
        for _ in 0..300 {
            now = now + GAP;
            requests += 1;
            let chosen = match case.stage {
                None => board.choose_plain(&request(), now),
                Some(_) => board.choose_run(&request(), true, now),
            };
            match chosen {
                Ok(choice) => {
                    let index = keys.iter().position(|key| *key == choice.key).expect("known key");
                    board.note_attempt(choice.key, now);
                    for window in &mut windows[index] {
                        window.2 += usize::from(now < window.1);
                    }
                    match case.pauses[index] {
                        None => served += 1,
                        Some(pause) => {
                            let pause = Duration::from_secs(pause);
                            board.note_pause(choice.key, pause, now);
                            windows[index].push((now, now + pause, 0));
                        }
                    }
                }
                Err(denial) => {
                    expect_that!(denial.cause, eq(DenialCause::Paused), "{}", case.name);
                    expect_that!(denial.retry_after, le(Duration::from_secs(30)), "{}", case.name);
                }
            }
        }
        expect_that!(f64::from(served) / f64::from(requests), ge(case.served), "{}", case.name);
        let most = windows.iter().flatten().map(|window| window.2).max().unwrap_or_default();
        expect_that!(most, le(case.most), "{}: {windows:?}", case.name);
    }
}

#[gtest]
fn a_pause_is_limited_to_the_maximum() {
    let mut board = Board::new(BoardSettings::default());
    let key = board.upsert(endpoint("one", None));
    let now = Moment(10_000_000);
    board.note_pause(key, Duration::MAX, now);
    expect_that!(board.is_paused(key, now + MAX_PAUSE - GAP), eq(true));
    expect_that!(board.choose_plain(&request(), now + MAX_PAUSE).is_ok(), eq(true));
}

#[gtest]
fn an_endpoint_that_announced_its_shutdown_is_not_used_until_it_restarts() {
    let mut board = Board::new(BoardSettings::default());
    let one = board.upsert(endpoint("one", None));
    let two = board.upsert(endpoint("two", None));
    let now = Moment(10_000_000);
    expect_that!(board.note_leaving(one, now), eq(true));
    expect_that!(board.note_leaving(one, now), eq(false), "reported only once");
    expect_that!(board.choose_plain(&request(), now).map(|choice| choice.key), ok(eq(two)));
    // Its registration may expire and reappear in the meantime.
    board.remove(one);
    let reappeared = board.upsert(endpoint("one", None));
    expect_that!(board.is_open(reappeared), eq(false));
    let restarted = board.upsert(EndpointFacts { born: 2, ..endpoint("one", None) });
    expect_that!(board.is_open(restarted), eq(true));
}
