//! Endpoint responses that are truncated or not delimited are never passed on as complete.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;

use agatestair_schema::caller::RunState;
use googletest::prelude::*;

use self::support::caller::{prompt_body, send};
use self::support::{Rig, RigSettings, free_address, wait_until};

/// An endpoint that sends the same raw response to every request and closes the connection.
struct RawEndpoint {
    address: SocketAddr,
    requests: Arc<AtomicU32>,
}

impl RawEndpoint {
    fn start(response: &'static [u8]) -> Self {
        let address = free_address();
        let listener = TcpListener::bind(address).expect("the address is free");
        let requests: Arc<AtomicU32> = Arc::default();
        let count = requests.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let mut stream = stream.expect("accept succeeds");
                let mut buffer = [0; 16 * 1024];
                let size = stream.read(&mut buffer).unwrap_or(0);
                let is_lookup = buffer[..size].starts_with(b"GET /agatestair/keys/");
                if !is_lookup {
                    count.fetch_add(u32::from(size > 0), Ordering::Relaxed);
                }
                // The entry may have closed the connection.
                let _ = stream.write_all(if is_lookup { UNSEEN } else { response });
            }
        });
        Self { address, requests }
    }

    fn requests(&self) -> u32 {
        self.requests.load(Ordering::Relaxed)
    }
}

const UNSEEN: &[u8] = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";

struct Case {
    name: &'static str,
    response: &'static [u8],
    complete: bool,
}

const CASES: [Case; 7] = [
    Case {
        name: "complete",
        response: b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone",
        complete: true,
    },
    Case {
        name: "shorter than its length",
        response: b"HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\ndone",
        complete: false,
    },
    Case {
        name: "without the last chunk",
        response: b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n",
        complete: false,
    },
    Case {
        name: "without a length",
        response: b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\ndone",
        complete: false,
    },
    Case { name: "truncated head", response: b"HTTP/1.1 200 OK\r\nContent-", complete: false },
    Case { name: "not HTTP", response: b"nonsense\r\n\r\n", complete: false },
    Case { name: "empty", response: b"", complete: false },
];

#[gtest]
fn truncated_service_responses_are_not_passed_on() -> Result<()> {
    for case in &CASES {
        let rig = Rig::start(RigSettings { services: 1, ..RigSettings::default() });
        let endpoint = RawEndpoint::start(case.response);
        rig.control.set_address("ledger", endpoint.address);
        wait_until("a request has reached the endpoint", || {
            send(rig.entry.address, "GET", "/v1/services/ledger/a", &[], "");
            endpoint.requests() > 0
        });
        let before = endpoint.requests();
        let response = send(rig.entry.address, "POST", "/v1/services/ledger/a", &[], "b");
        expect_that!(response.status == 200, eq(case.complete), "{}: {}", case.name, response.body);
        expect_that!(endpoint.requests() - before, eq(1), "{}", case.name);
        if !case.complete {
            let unknown = ("outcome_unknown".to_owned(), RunState::Unknown);
            expect_that!(response.refusal(), eq(&unknown), "{}", case.name);
        }
    }
    Ok(())
}

#[gtest]
fn engine_responses_without_events_are_not_passed_on() -> Result<()> {
    for case in &CASES {
        let rig = Rig::start(RigSettings { engines: 1, ..RigSettings::default() });
        let endpoint = RawEndpoint::start(case.response);
        rig.control.set_address("engine", endpoint.address);
        let body = prompt_body("abc", 3, false);
        wait_until("a request has reached the endpoint", || {
            send(rig.entry.address, "POST", "/v1/completions", &[], &body);
            endpoint.requests() > 0
        });
        let response = send(rig.entry.address, "POST", "/v1/completions", &[], &body);
        expect_that!(response.status, ge(500), "{}: {}", case.name, response.body);
    }
    Ok(())
}
