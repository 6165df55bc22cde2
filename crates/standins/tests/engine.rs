//! Tests of the engine stand-in over HTTP: streams and their faults, orders, roles, prefix cache.

use std::io::{BufRead, BufReader};
use std::thread;
use std::time::{Duration, Instant};

use agatestair_schema::answer_text;
use agatestair_schema::endpoint::{CompletionPiece, EngineRole, EngineState, OrderReply};
use agatestair_schema::standins::{EndpointFaults, RunPage};
use agatestair_testbed::{EngineSpeed, Layout, Testbed, TestbedOptions, address, build_binaries};
use googletest::prelude::*;
use serde_json::{Value, json};

fn start(fenced: bool) -> Testbed {
    build_binaries().unwrap();
    let speed = EngineSpeed {
        prefill_us: 1.0,
        step_ms: 2.0,
        role_ms: 50,
        report_lag: 20,
        ..EngineSpeed::default()
    };
    let layout = Layout { engines: 1, plain: 1, speed, fenced, ..Layout::lexicon() };
    Testbed::start(TestbedOptions { layout, entries: 0, ..Default::default() }).unwrap()
}

fn engine(testbed: &Testbed) -> String {
    address(testbed.addresses.engines)
}

fn request(prompt: &str, attempt: &str, tokens: u32, resume: u32) -> Value {
    json!({
        "model": "rulebook", "prompt": prompt, "max_tokens": tokens, "request": "r",
        "attempt": attempt, "resume_offset": resume
    })
}

/// Sends a completion request; returns the stream's pieces and whether it ended with `[DONE]`.
fn stream(testbed: &Testbed, body: &Value) -> (Vec<CompletionPiece>, bool) {
    let url = format!("http://{}/v1/completions", engine(testbed));
    let response = ureq::post(&url).send_json(body).unwrap();
    let mut pieces = Vec::new();
    for line in BufReader::new(response.into_body().into_reader()).lines() {
        let Ok(line) = line else {
            return (pieces, false);
        };
        if line == "data: [DONE]" {
            return (pieces, true);
        }
        if let Some(data) = line.strip_prefix("data: ") {
            pieces.push(serde_json::from_str(data).unwrap());
        }
    }
    (pieces, false)
}

fn text(pieces: &[CompletionPiece]) -> String {
    pieces.iter().map(|piece| piece.choices[0].text.as_str()).collect()
}

struct PieceCase {
    name: &'static str,
    faults: EndpointFaults,
    offsets: &'static [u32],
    complete: bool,
}

fn piece_cases() -> Vec<PieceCase> {
    let all = || EndpointFaults { share: 1.0, ..Default::default() };
    vec![
        PieceCase { name: "none", faults: all(), offsets: &[0, 1, 2, 3], complete: true },
        PieceCase {
            name: "doubled",
            faults: EndpointFaults { double: true, ..all() },
            offsets: &[0, 0, 1, 1, 2, 2, 3, 3],
            complete: true,
        },
        PieceCase {
            name: "omitted",
            faults: EndpointFaults { omit: true, ..all() },
            offsets: &[],
            complete: true,
        },
        PieceCase {
            name: "swapped",
            faults: EndpointFaults { swap: true, ..all() },
            offsets: &[1, 0, 3, 2],
            complete: true,
        },
        PieceCase {
            name: "late",
            faults: EndpointFaults { late_ms: 1000, ..all() },
            offsets: &[0, 1, 2, 3],
            complete: true,
        },
        PieceCase {
            name: "cut",
            faults: EndpointFaults { cut_after: 2, ..all() },
            offsets: &[0, 1],
            complete: false,
        },
        PieceCase {
            name: "cut in order",
            faults: EndpointFaults { cut_after: 2, cut_in_order: true, ..all() },
            offsets: &[0, 1],
            complete: true,
        },
    ]
}

#[googletest::test]
fn piece_faults_alter_the_stream() {
    let testbed = start(true);
    let name = &testbed.engine_names()[0];
    for case in piece_cases() {
        testbed.set_endpoint_faults(name, &case.faults).unwrap();
        let (pieces, complete) = stream(&testbed, &request("hello", case.name, 4, 0));
        let offsets: Vec<u32> = pieces.iter().map(|piece| piece.agatestair.offset).collect();
        expect_that!(offsets, eq(case.offsets), "{}", case.name);
        expect_that!(complete, eq(case.complete), "{}", case.name);
    }
}

#[googletest::test]
fn a_stream_resumes_at_any_offset() {
    let testbed = start(true);
    let expected = answer_text("rulebook", "hello", 5);
    for resume in 0..=5 {
        let (pieces, complete) =
            stream(&testbed, &request("hello", &format!("a{resume}"), 5, resume));
        expect_that!(complete, eq(true));
        expect_that!(text(&pieces), eq(&expected[resume as usize * 6..]));
        expect_that!(pieces.last().unwrap().agatestair.total, some(eq(5)));
    }
}

#[googletest::test]
fn complete_prompt_blocks_are_cached() {
    let testbed = start(true);
    let prompt = "abcd".repeat(2 * 4096 + 100);
    for attempt in ["a1", "a2"] {
        stream(&testbed, &request(&prompt, attempt, 2, 0));
    }
    let page: RunPage = testbed.client.get(&testbed.addresses.recorder, "/runs").unwrap();
    let cached: Vec<u32> = page.runs.iter().map(|run| run.cached_tokens).collect();
    expect_that!(cached, elements_are![eq(&0), eq(&8192)]);
}

struct OrderCase {
    name: &'static str,
    fenced: bool,
    /// Fencing number, identifier and expected result of each order.
    orders: &'static [(u64, &'static str, &'static str)],
    draining: bool,
}

const ORDER_CASES: &[OrderCase] = &[
    OrderCase {
        name: "an old fencing number is refused",
        fenced: true,
        orders: &[(2, "o1", "done"), (1, "o2", "stale")],
        draining: true,
    },
    OrderCase {
        name: "an old fencing number is accepted without fencing",
        fenced: false,
        orders: &[(2, "o1", "done"), (1, "o2", "done")],
        draining: false,
    },
    OrderCase {
        name: "a repeated order has no further effect",
        fenced: true,
        orders: &[(2, "o1", "done"), (2, "o2", "done"), (2, "o1", "done")],
        draining: false,
    },
];

fn order(testbed: &Testbed, fencing: u64, id: &str, kind: &str, role: Option<&str>) -> OrderReply {
    let order = json!({
        "epoch": 1, "fencing": fencing, "holder": "h", "id": id, "kind": kind, "role": role,
        "sequence": 1
    });
    let reply = testbed.client.post(&engine(testbed), "/agatestair/order", &order).unwrap();
    serde_json::from_str(&reply).unwrap()
}

fn state(testbed: &Testbed) -> EngineState {
    testbed.client.get(&engine(testbed), "/agatestair/state").unwrap()
}

#[googletest::test]
fn orders_are_fenced_if_configured() {
    for case in ORDER_CASES {
        let testbed = start(case.fenced);
        for (fencing, id, result) in case.orders {
            let kind = if *id == "o1" { "drain" } else { "resume" };
            let reply = order(&testbed, *fencing, id, kind, None);
            expect_that!(reply.result.to_string(), eq(*result), "{}: {id}", case.name);
        }
        expect_that!(state(&testbed).draining, eq(case.draining), "{}", case.name);
    }
}

#[googletest::test]
fn a_role_change_refuses_requests_and_completes() {
    let testbed = start(true);
    let reply = order(&testbed, 1, "o1", "set_role", Some("prefill"));
    expect_that!(reply.result.to_string(), eq("started"));
    let body = request("hello", "a1", 2, 0);
    let refused = testbed.client.post(&engine(&testbed), "/v1/completions", &body);
    expect_that!(refused.unwrap_err().to_string(), contains_substring("not_run"));
    let deadline = Instant::now() + Duration::from_secs(10);
    while state(&testbed).role != EngineRole::Prefill && Instant::now() < deadline {
        thread::sleep(Duration::from_millis(5));
    }
    expect_that!(state(&testbed).last_order, eq("o1"));
    let refused = testbed.client.post(&engine(&testbed), "/v1/completions", &body);
    expect_that!(refused.unwrap_err().to_string(), contains_substring("\"role\""));
}
