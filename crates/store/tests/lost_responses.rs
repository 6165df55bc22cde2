//! Outcomes of transactions whose responses are lost, against a scripted table service.

use std::thread;

use agatestair_schema::platform::{Committed, Row};
use agatestair_schema::settings::PlatformSettings;
use agatestair_store::{Outcome, PlatformClient, PlatformError, Purpose, put_row, require};
use googletest::prelude::*;
use tiny_http::{Response, Server};

/// Reaction of the scripted table to one request.
#[derive(Clone, Copy)]
enum Step {
    /// Closes the connection without a response.
    Lose,
    /// Responds that the writes took effect.
    Commit,
    /// Responds with a conflict and this current version.
    Conflict(u64),
    /// Responds with this HTTP status.
    Status(u16),
}

/// Expected outcome of a case.
#[derive(Debug, PartialEq)]
enum Expected {
    Committed,
    Conflict,
    Unknown,
    Unavailable,
}

struct Case {
    name: &'static str,
    steps: &'static [Step],
    expected: Expected,
}

const CASES: &[Case] = &[
    Case { name: "response received", steps: &[Step::Commit], expected: Expected::Committed },
    Case { name: "conflict", steps: &[Step::Conflict(9)], expected: Expected::Conflict },
    Case {
        name: "lost, then committed",
        steps: &[Step::Lose, Step::Commit],
        expected: Expected::Committed,
    },
    Case {
        name: "lost, and another attempt committed first",
        steps: &[Step::Lose, Step::Conflict(4)],
        expected: Expected::Conflict,
    },
    Case {
        name: "lost, and overwritten meanwhile",
        steps: &[Step::Lose, Step::Conflict(5)],
        expected: Expected::Unknown,
    },
    Case {
        name: "lost, and the row is gone",
        steps: &[Step::Lose, Step::Conflict(0)],
        expected: Expected::Unknown,
    },
    Case {
        name: "lost, then the store is down",
        steps: &[Step::Lose, Step::Status(503), Step::Status(503)],
        expected: Expected::Unknown,
    },
    Case { name: "store down", steps: &[Step::Status(503)], expected: Expected::Unavailable },
];

#[gtest]
fn lost_responses_are_resolved() {
    let runs: Vec<_> = CASES.iter().map(|case| thread::spawn(|| outcome_of(case))).collect();
    for (case, run) in CASES.iter().zip(runs) {
        let outcome = run.join().expect("the case ends");
        expect_that!(outcome, eq(&case.expected), "case {}", case.name);
    }
}

fn outcome_of(case: &Case) -> Expected {
    let server = Server::http("127.0.0.1:0").expect("a free port");
    let address = server.server_addr().to_ip().expect("an IP address").to_string();
    let steps = case.steps;
    let script = thread::spawn(move || run_script(&server, steps));
    let settings = PlatformSettings { address, reads_s: 100, timeout_ms: 2000, writes_s: 100 };
    let table = PlatformClient::new(&settings).table();
    let result =
        table.transact(Purpose::Lease, vec![require("k", 3)], vec![put_row("k", &"value")]);
    script.join().expect("the script ends");
    match result {
        Ok(Outcome::Committed(_)) => Expected::Committed,
        Ok(Outcome::Conflict(_)) => Expected::Conflict,
        Ok(Outcome::Unknown(_)) => Expected::Unknown,
        Err(PlatformError::Unavailable { .. }) => Expected::Unavailable,
        Err(error) => panic!("case {}: {error}", case.name),
    }
}

/// Runs the steps and checks that all requests carry the same attempt identifier.
fn run_script(server: &Server, steps: &[Step]) {
    let mut attempts = Vec::new();
    for step in steps {
        let mut request = server.recv().expect("a request");
        let mut body = String::new();
        request.as_reader().read_to_string(&mut body).expect("a body");
        let body: serde_json::Value = serde_json::from_str(&body).expect("a JSON body");
        attempts.push(body["attempt"].clone());
        match *step {
            Step::Lose => drop(request.into_writer()),
            Step::Commit => respond(request, true, 4),
            Step::Conflict(version) => respond(request, false, version),
            Step::Status(status) => {
                request.respond(Response::empty(status)).expect("response sent");
            }
        }
    }
    attempts.dedup();
    assert_eq!(attempts.len(), 1);
}

fn respond(request: tiny_http::Request, committed: bool, version: u64) {
    let row = Row { key: "k".to_owned(), version, value: "1".to_owned() };
    let text = serde_json::to_string(&Committed { committed, rows: vec![row] }).expect("JSON");
    request.respond(Response::from_string(text)).expect("response sent");
}
