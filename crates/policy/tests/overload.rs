//! A burst of long prompts that exceeds the capacity: how many callers are served on time, late, or
//! not at all, depending on the queueing delay that is accepted.

use std::time::Duration;

use agatestair_policy::board::{
    Board, BoardSettings, EndpointFacts, Load, PlacementRequest, Stage,
};
use agatestair_policy::{EndpointKey, Moment};
use googletest::prelude::*;

/// Number of engines of each stage.
const ENGINES: usize = 3;

/// Callers that arrive within one second.
const BURST_CALLERS: usize = 60;

/// Callers that arrive after the burst, one every 150 ms.
const STEADY_CALLERS: usize = 30;

/// Time within which a response should begin.
const OBJECTIVE: Duration = Duration::from_millis(500);

/// Longest expected time to the first piece for which a caller waits.
const PATIENCE: Duration = Duration::from_millis(2400);

/// Time after its first request at which a caller no longer needs a response.
const LIMIT: Duration = Duration::from_secs(10);

/// Length of one step of virtual time.
const STEP: Duration = Duration::from_millis(20);

/// A caller that has not been served yet.
#[derive(Clone, Copy)]
struct Caller {
    /// Time of its first request.
    arrived: Moment,
    /// Time of its next request.
    next: Moment,
    /// Whether it has been refused once and retries.
    retried: bool,
}

/// Numbers of callers by how they were served.
#[derive(Debug, Default)]
struct Outcome {
    on_time: usize,
    late: usize,
    unserved: usize,
}

fn board() -> Board {
    let mut board = Board::new(BoardSettings::default());
    for index in 0..2 * ENGINES {
        board.upsert(EndpointFacts {
            name: format!("e{index}").into(),
            service: "s".into(),
            address: ([127, 0, 0, 1], 80).into(),
            domain: "a".into(),
            slots: 12,
            leaving: false,
            stage: Some(if index < ENGINES { Stage::Prefill } else { Stage::Decode }),
            born: 1,
            reclaimable: false,
        });
    }
    board
}

/// Simulates the burst with a `slack` of that many objectives. Refused callers retry once.
fn simulate(slack: f64) -> Outcome {
    let mut board = board();
    let start = Moment(10_000_000);
    let arrivals = (0..BURST_CALLERS + STEADY_CALLERS).map(|index| {
        let steady = index.saturating_sub(BURST_CALLERS) as u32;
        let arrived = start
            + Duration::from_secs(1) * index.min(BURST_CALLERS) as u32 / BURST_CALLERS as u32
            + Duration::from_millis(150) * steady;
        Caller { arrived, next: arrived, retried: false }
    });
    let mut waiting: Vec<Caller> = arrivals.collect();
    let mut running: Vec<(Moment, EndpointKey, Load)> = Vec::new();
    let mut outcome = Outcome::default();
    let mut now = start;
    while !waiting.is_empty() {
        now = now + STEP;
        for (_, key, load) in running.extract_if(.., |(until, _, _)| *until <= now) {
            board.finish(key, load, now);
        }
        for caller in waiting.extract_if(.., |caller| caller.next <= now).collect::<Vec<_>>() {
            let request = PlacementRequest {
                service: "s".into(),
                domain: "a".into(),
                prompt: 12_000,
                output: 400,
                limit: PATIENCE.min(LIMIT.saturating_sub(now.since(caller.arrived))),
                objective: OBJECTIVE,
                max_wait: OBJECTIVE.mul_f64(slack),
                max_gap: Duration::from_millis(300),
                max_concurrent: 100,
                ..PlacementRequest::default()
            };
            match board.choose_run(&request, true, now) {
                Ok(choice) => {
                    board.start(choice.key, choice.load);
                    running.push((now + choice.expected, choice.key, choice.load));
                    let latency = (now + choice.expected).since(caller.arrived);
                    if latency <= OBJECTIVE { outcome.on_time += 1 } else { outcome.late += 1 }
                }
                Err(_) if caller.retried => outcome.unserved += 1,
                Err(denial) => {
                    waiting.push(Caller {
                        next: now + denial.retry_after,
                        retried: true,
                        ..caller
                    });
                }
            }
        }
    }
    outcome
}

#[gtest]
fn slack_beyond_the_objective_serves_more_callers_and_hardly_fewer_on_time() {
    let (short, moderate, long) = (simulate(0.7), simulate(1.1), simulate(100.0));
    expect_that!(short.unserved, gt(0), "the burst must exceed what the engines can serve");
    expect_that!(moderate.unserved, lt(short.unserved), "{short:?}, {moderate:?}");
    expect_that!(moderate.on_time * 10, ge(short.on_time * 9), "{short:?}, {moderate:?}");
    // With unlimited slack the queue left by the burst makes the steady callers late.
    expect_that!(long.on_time, lt(moderate.on_time), "{long:?}, {moderate:?}");
}
