//! Budgets that all instances share without a coordinator.

mod support;

use std::sync::Arc;
use std::time::Duration;

use agatestair_policy::Moment;
use agatestair_policy::RetrySettings;
use agatestair_policy::board::{BoardSettings, PlacementRequest};
use agatestair_serve::{Node, NodeSettings, Search};
use googletest::prelude::*;

use self::support::simulation::{endpoint, member};

/// Sizes of a fleet.
const SIZES: [usize; 6] = [1, 9, 13, 30, 100, 343];

/// Retries of all instances together within a window.
const SLACK: f64 = 60.0;

/// Connections that an endpoint accepts from all instances together.
const CONNECTIONS: u32 = 170;

const START: Moment = Moment(10_000_000);

/// Instances that have just read each other's rows from the store and heard nothing yet.
fn started_together(size: usize) -> Vec<Node> {
    let start = |index: usize| {
        let settings = NodeSettings {
            own: member(index),
            board: BoardSettings::default(),
            retry: RetrySettings { slack: SLACK, ratio: 0.0, ..RetrySettings::default() },
            draw: 0.5,
        };
        let mut node = Node::new(settings);
        for other in (0..size).filter(|other| *other != index) {
            node.members.note_row(member(other), START);
        }
        node
    };
    (0..size).map(start).collect()
}

#[gtest]
fn retries_of_instances_that_start_together_fit_the_budget() {
    for size in SIZES {
        let now = START + Duration::from_millis(100);
        let mut fleet = started_together(size);
        let spent = |node: &mut Node| {
            (0..1000).take_while(|_| node.spend_retry(&"engines".into(), now)).count()
        };
        let all: usize = fleet.iter_mut().map(spent).sum();
        expect_that!(all as f64, le(SLACK), "{size} instances");
    }
}

/// Requests per second of all instances.
const RATE: u64 = 400;

/// Window of the retry budget.
const WINDOW: Duration = Duration::from_secs(10);

/// What happens to the instances in the middle of a window while all of them want to retry.
struct Day {
    /// Whether all processes end and start again.
    restarts: bool,
    /// Whether the callers of half of the instances move to the other half.
    moves: bool,
}

/// Plays a day of 40 s; returns the times of all requests and of all retries, in milliseconds.
fn play_day(day: &Day, size: usize) -> (Vec<u64>, Vec<u64>) {
    let service = Arc::<str>::from("engines");
    let ratio = |node: &mut Node| {
        node.set_retry(RetrySettings { slack: SLACK, ratio: 0.2, window: WINDOW });
    };
    let mut fleet = started_together(size);
    fleet.iter_mut().for_each(ratio);
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    // The budget of the former processes; those that start again count their time anew.
    let mut begun = 0;
    for ms in 0..40_000_u64 {
        if day.restarts && ms == 24_000 {
            fleet = started_together(size);
            fleet.iter_mut().for_each(ratio);
            begun = ms;
        }
        let at = ms - begun;
        let now = if begun == 0 { START } else { Moment(0) } + Duration::from_millis(at);
        let number = ms * RATE / 1000;
        if number != (ms + 1) * RATE / 1000 {
            let targets = if day.moves && ms >= 20_000 { size.div_ceil(2) } else { size };
            let index = usize::try_from(number).expect("it is small") % targets;
            fleet[index].note_first(&service, now);
            requests.push(ms);
        }
        // Nothing fails at first, so that a whole window of requests is not used up.
        if ms % 20 != 0 || ms < 12_000 {
            continue;
        }
        for node in &mut fleet {
            if node.spend_retry(&service, now) {
                retries.push(ms);
            }
        }
    }
    (requests, retries)
}

/// Plays a day with fleets of two sizes and checks each window.
fn check_day(day: &Day) {
    let window = u64::try_from(WINDOW.as_millis()).expect("it is short");
    for size in [9, 84] {
        let (requests, retries) = play_day(day, size);
        let within = |times: &[u64], from: u64| {
            let before = |end: u64| times.partition_point(|ms| *ms < end);
            before(from + window) - before(from)
        };
        let over = |from: u64| {
            let starts = [from, from - window / 2, from - window];
            let most = starts.map(|start| within(&requests, start)).into_iter().max();
            let allowed = SLACK + 0.2 * most.unwrap_or_default() as f64;
            within(&retries, from) as f64 - allowed
        };
        let most = (window..30_000).step_by(50).map(over).fold(f64::NEG_INFINITY, f64::max);
        println!("{size} instances: {most:.1} retries over the budget");
        expect_that!(most, le(0.0), "{size} instances");
    }
}

#[gtest]
fn retries_of_a_fleet_fit_the_budget_in_each_window() {
    check_day(&Day { restarts: false, moves: false });
}

#[gtest]
fn retries_of_a_fleet_that_is_killed_fit_the_budget_in_each_window() {
    check_day(&Day { restarts: true, moves: false });
}

#[gtest]
fn retries_of_a_fleet_whose_callers_move_fit_the_budget_in_each_window() {
    check_day(&Day { restarts: false, moves: true });
}

#[gtest]
fn attempts_of_all_instances_fit_an_endpoints_connections() {
    for size in SIZES {
        let now = START + Duration::from_millis(100);
        let request = PlacementRequest {
            service: "engines".into(),
            limit: Duration::from_secs(60),
            objective: Duration::from_secs(60),
            max_wait: Duration::from_secs(60),
            ..PlacementRequest::default()
        };
        let placed = |node: &mut Node| {
            node.note_endpoint(endpoint(0));
            let placed = |_: &usize| node.place(&request, Search::Plain, CONNECTIONS, now).is_ok();
            (0..1000).take_while(placed).count()
        };
        let all: usize = started_together(size).iter_mut().map(placed).sum();
        expect_that!(all, le(CONNECTIONS as usize), "{size} instances");
    }
}
