//! A crest of long prompts: who is served on time, late, or never.

use std::time::Duration;

use agatestair_policy::board::{Board, BoardSettings, Load, SeatFacts, Stage, Wanted};
use agatestair_policy::{EndpointKey, Moment};
use googletest::prelude::*;

/// Engines of each stage.
const ENGINES: usize = 3;

/// Callers of the crest, all within a second, and calm ones after it.
const CREST: usize = 60;
const CALM: usize = 30;

/// Time within which an answer should begin, and after which callers leave.
const OBJECTIVE: Duration = Duration::from_millis(500);
const PATIENCE: Duration = Duration::from_millis(2400);
const LIMIT: Duration = Duration::from_secs(10);
const STEP: Duration = Duration::from_millis(20);

/// A caller who is still to be served.
#[derive(Clone, Copy)]
struct Caller {
    first: Moment,
    next: Moment,
    returned: bool,
}

/// What became of all callers.
#[derive(Debug, Default)]
struct Outcome {
    on_time: usize,
    late: usize,
    never: usize,
}

fn board() -> Board {
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
    board
}

/// Plays the crest with a wait for others of so many objectives. Refused callers come back once.
fn play(slack: f64) -> Outcome {
    let mut board = board();
    let start = Moment(10_000_000);
    let arrivals = (0..CREST + CALM).map(|index| {
        let calm = index.saturating_sub(CREST) as u32;
        let first = start
            + Duration::from_secs(1) * index.min(CREST) as u32 / CREST as u32
            + Duration::from_millis(150) * calm;
        Caller { first, next: first, returned: false }
    });
    let mut waiting: Vec<Caller> = arrivals.collect();
    let mut work: Vec<(Moment, EndpointKey, Load)> = Vec::new();
    let mut outcome = Outcome::default();
    let mut now = start;
    while !waiting.is_empty() {
        now = now + STEP;
        for (_, key, load) in work.extract_if(.., |(until, _, _)| *until <= now) {
            board.finish(key, load, now);
        }
        for caller in waiting.extract_if(.., |caller| caller.next <= now).collect::<Vec<_>>() {
            let wanted = Wanted {
                service: "s".into(),
                domain: "a".into(),
                prompt: 12_000,
                output: 400,
                limit: PATIENCE.min(LIMIT.saturating_sub(now.since(caller.first))),
                aim: OBJECTIVE,
                slack: OBJECTIVE.mul_f64(slack),
                pause: Duration::from_millis(300),
                share: 100,
                ..Wanted::default()
            };
            match board.choose_run(&wanted, true, now) {
                Ok(choice) => {
                    board.start(choice.key, choice.load);
                    work.push((now + choice.expected, choice.key, choice.load));
                    let begins = (now + choice.expected).since(caller.first);
                    if begins <= OBJECTIVE { outcome.on_time += 1 } else { outcome.late += 1 }
                }
                Err(_) if caller.returned => outcome.never += 1,
                Err(denial) => {
                    waiting.push(Caller { next: now + denial.back, returned: true, ..caller });
                }
            }
        }
    }
    outcome
}

#[gtest]
fn some_wait_beyond_the_objective_serves_more_and_hardly_fewer_on_time() {
    let (short, borne, long) = (play(0.7), play(1.1), play(100.0));
    expect_that!(short.never, gt(0), "the crest is more than the engines can serve");
    expect_that!(borne.never, lt(short.never), "{short:?}, {borne:?}");
    expect_that!(borne.on_time * 10, ge(short.on_time * 9), "{short:?}, {borne:?}");
    // An unbounded wait makes those late who come after the crest.
    expect_that!(long.on_time, lt(borne.on_time), "{long:?}, {borne:?}");
}
