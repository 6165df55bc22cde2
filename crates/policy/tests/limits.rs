//! Rate limits that endpoints name, as one instance applies its share of them.

use std::time::Duration;

use agatestair_policy::board::{
    Board, BoardSettings, Denial, DenialCause, EndpointFacts, LimitReport, PlacementRequest,
};
use agatestair_policy::{EndpointKey, Moment};
use googletest::prelude::*;

const START: Moment = Moment(10_000_000);
const SERVICE: &str = "s";
const OWN: u64 = 7;

fn facts(name: &str, born: u64) -> EndpointFacts {
    EndpointFacts {
        name: name.into(),
        service: SERVICE.into(),
        address: ([127, 0, 0, 1], 80).into(),
        domain: "a".into(),
        slots: 8,
        leaving: false,
        stage: None,
        born,
        reclaimable: false,
    }
}

fn board(names: &[&str]) -> (Board, Vec<EndpointKey>) {
    let mut board = Board::new(BoardSettings::default());
    let keys = names.iter().map(|name| board.upsert(facts(name, 1))).collect();
    (board, keys)
}

fn request(rank: u8) -> PlacementRequest {
    PlacementRequest {
        service: SERVICE.into(),
        limit: Duration::from_secs(3),
        objective: Duration::from_secs(3),
        max_concurrent: 100,
        rank,
        ..PlacementRequest::default()
    }
}

/// Places a request as an instance with the whole limit does.
fn place(board: &mut Board, rank: u8, now: Moment) -> std::result::Result<EndpointKey, Denial> {
    board.earn_limits(SERVICE, 1.0, OWN, now);
    let request = request(rank);
    let placed = board.choose_plain(&request, now).map(|choice| choice.key);
    match &placed {
        Ok(key) => drop(board.spend_limit(*key)),
        Err(denial) if denial.cause == DenialCause::Limited => board.note_limited(&request, now),
        Err(_) => {}
    }
    placed
}

fn at_ms(ms: u64) -> Moment {
    START + Duration::from_millis(ms)
}

#[gtest]
fn an_endpoint_without_a_limit_takes_what_a_limited_one_may_not() {
    let (mut board, keys) = board(&["limited", "free"]);
    expect_that!(board.note_limit(keys[0], Some(1.0), START), eq(true));
    let placed: Vec<EndpointKey> =
        (0..400).map(|step| place(&mut board, 0, at_ms(step * 25)).expect("one is free")).collect();
    let limited = placed.iter().filter(|key| **key == keys[0]).count();
    // Ten seconds at one request per second.
    expect_that!(limited, all![ge(4), le(11)]);
}

#[gtest]
fn requests_beyond_the_limits_of_all_endpoints_are_refused_with_a_time() {
    let (mut board, keys) = board(&["a", "b"]);
    for key in &keys {
        board.note_limit(*key, Some(1.0), START);
    }
    let mut refused = 0;
    for step in 0..400 {
        let Err(denial) = place(&mut board, 0, at_ms(step * 25)) else { continue };
        refused += 1;
        expect_that!(denial.cause, eq(DenialCause::Limited));
        expect_that!(denial.retry_after, le(Duration::from_millis(1200)));
    }
    // Two requests per second for ten seconds, and one saved at each endpoint.
    expect_that!(400 - refused, all![ge(10), le(22)]);
}

#[gtest]
fn urgent_requests_go_first_while_limits_refuse_some() {
    let (mut board, keys) = board(&["a"]);
    board.note_limit(keys[0], Some(5.0), START);
    let mut placed = [0, 0];
    for step in 0..2000 {
        let rank = step % 2;
        // Callers of either rank ask for ten times the limit.
        if place(&mut board, rank as u8 * 3, at_ms(step * 10)).is_ok() {
            placed[rank as usize] += 1;
        }
    }
    expect_that!(placed[0], ge(10 * placed[1]));
    // Without urgent requests the others get the limit.
    let later = (0..1000).filter(|step| place(&mut board, 3, at_ms(22_000 + step * 10)).is_ok());
    expect_that!(later.count(), ge(25));
}

/// What a report of another instance changes.
struct ReportCase {
    name: &'static str,
    born: u64,
    rate: Option<f64>,
    age: Duration,
    /// The limit afterwards; 2.0 was observed 100 ms before.
    expected: Option<f64>,
}

const REPORTS: [ReportCase; 5] = [
    ReportCase {
        name: "newer",
        born: 1,
        rate: Some(3.0),
        age: Duration::from_millis(10),
        expected: Some(3.0),
    },
    ReportCase {
        name: "older",
        born: 1,
        rate: Some(3.0),
        age: Duration::from_millis(200),
        expected: Some(2.0),
    },
    ReportCase {
        name: "lifted",
        born: 1,
        rate: None,
        age: Duration::from_millis(10),
        expected: None,
    },
    ReportCase {
        name: "lifted before",
        born: 1,
        rate: None,
        age: Duration::from_secs(4000),
        expected: Some(2.0),
    },
    ReportCase {
        name: "another process",
        born: 0,
        rate: Some(3.0),
        age: Duration::ZERO,
        expected: Some(2.0),
    },
];

#[gtest]
fn the_latest_observation_of_a_limit_counts() {
    for case in &REPORTS {
        let (mut board, keys) = board(&["a"]);
        board.note_limit(keys[0], Some(2.0), START);
        let endpoint = board.endpoints[keys[0]].name_hash;
        let report = LimitReport { endpoint, born: case.born, rate: case.rate, age: case.age };
        let changed = board.note_peer_limit(&report, at_ms(100)).is_some();
        expect_that!(changed, eq(case.expected != Some(2.0)), "{}", case.name);
        expect_that!(board.endpoints[keys[0]].limit.rate(), eq(case.expected), "{}", case.name);
    }
}

#[gtest]
fn small_changes_of_a_limit_add_up_to_a_reported_one() {
    let (mut board, keys) = board(&["a"]);
    let changes = (0..100).filter(|step| {
        let rate = 10.0 * 1.01_f64.powi(*step);
        board.note_limit(keys[0], Some(rate), at_ms(*step as u64 * 10))
    });
    // A hundred times 1% is a factor of 2.7, about 20 times 5%.
    expect_that!(changes.count(), all![ge(10), le(25)]);
    expect_that!(board.endpoints[keys[0]].limit.rate(), some(gt(26.0)));
}

#[gtest]
fn a_limit_ends_with_a_response_without_it_and_with_the_process() {
    let (mut board, keys) = board(&["a"]);
    expect_that!(board.note_limit(keys[0], None, START), eq(false));
    expect_that!(board.note_limit(keys[0], Some(0.0), START), eq(true));
    expect_that!(board.note_limit(keys[0], Some(0.0), at_ms(10)), eq(false));
    expect_that!(place(&mut board, 0, at_ms(20)).is_err(), eq(true));
    expect_that!(board.note_limit(keys[0], None, at_ms(30)), eq(true));
    expect_that!(place(&mut board, 0, at_ms(40)).is_ok(), eq(true));
    board.note_limit(keys[0], Some(0.0), at_ms(50));
    let restarted = board.upsert(facts("a", 2));
    expect_that!(board.endpoints[restarted].limit.rate(), none());
    expect_that!(place(&mut board, 0, at_ms(60)).is_ok(), eq(true));
}

#[gtest]
fn an_endpoint_with_a_limit_of_zero_is_asked_now_and_then() {
    let (mut board, keys) = board(&["a"]);
    board.note_limit(keys[0], Some(0.0), START);
    let placed = (0..2400).filter(|step| place(&mut board, 0, at_ms(step * 25)).is_ok()).count();
    // In a minute; five within four seconds are allowed.
    expect_that!(placed, all![ge(3), le(16)]);
}
