//! Malformed, oversized, slow, truncated and ambiguously framed requests are rejected cleanly.

mod support;

use agatestair_schema::caller::RunState;
use googletest::prelude::*;
use serde_json::json;

use self::support::caller::{prompt_body, send, send_raw, status};
use self::support::{API_KEY, MODEL, Rig, RigSettings};

/// Raw bytes of a request and the expected start of the response.
struct RawCase {
    name: &'static str,
    bytes: fn() -> Vec<u8>,
    ends: bool,
    response: &'static str,
}

const HEAD: &str = "POST /v1/completions HTTP/1.1\r\nHost: e\r\nAuthorization: Bearer test-key\r\n";

fn with_head(rest: &str) -> Vec<u8> {
    format!("{HEAD}{rest}").into_bytes()
}

fn large_header() -> Vec<u8> {
    with_head(&format!("X-Large: {}\r\n\r\n", "x".repeat(64 * 1024)))
}

fn many_headers() -> Vec<u8> {
    with_head(&format!("{}\r\n", "X-Many: 1\r\n".repeat(200)))
}

fn large_chunks() -> Vec<u8> {
    let chunk = format!("8000\r\n{}\r\n", "x".repeat(0x8000));
    with_head(&format!("Transfer-Encoding: chunked\r\n\r\n{}0\r\n\r\n", chunk.repeat(4)))
}

const RAW_CASES: [RawCase; 14] = [
    RawCase {
        name: "no request line",
        bytes: || b"nonsense\r\n\r\n".to_vec(),
        ends: false,
        response: "HTTP/1.1 400",
    },
    RawCase {
        name: "HTTP/2 preface",
        bytes: || b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_vec(),
        ends: false,
        response: "",
    },
    RawCase {
        name: "header without a colon",
        bytes: || with_head("broken header\r\n\r\n"),
        ends: false,
        response: "HTTP/1.1 400",
    },
    RawCase {
        name: "folded header",
        bytes: || with_head("X-A: 1\r\n 2\r\n\r\n"),
        ends: false,
        response: "HTTP/1.1 400",
    },
    RawCase {
        name: "head over the limit",
        bytes: large_header,
        ends: false,
        response: "HTTP/1.1 431",
    },
    RawCase { name: "many headers", bytes: many_headers, ends: false, response: "HTTP/1.1 431" },
    RawCase {
        name: "conflicting lengths",
        bytes: || with_head("Content-Length: 2\r\nContent-Length: 3\r\n\r\n{}"),
        ends: false,
        response: "HTTP/1.1 400",
    },
    RawCase {
        name: "invalid length",
        bytes: || with_head("Content-Length: -1\r\n\r\n"),
        ends: false,
        response: "HTTP/1.1 400",
    },
    RawCase {
        name: "length and chunked encoding",
        bytes: || with_head("Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
        ends: false,
        response: "HTTP/1.1 400",
    },
    RawCase {
        name: "invalid chunk size",
        bytes: || with_head("Transfer-Encoding: chunked\r\n\r\nzz\r\n"),
        ends: false,
        response: "HTTP/1.1 400",
    },
    RawCase {
        name: "truncated body",
        bytes: || with_head("Content-Length: 100\r\n\r\n{\"model\""),
        ends: true,
        response: "HTTP/1.1 400",
    },
    RawCase { name: "truncated head", bytes: || with_head("X-A"), ends: true, response: "" },
    RawCase {
        name: "declared length over the limit",
        bytes: || with_head("Content-Length: 10000000\r\n\r\n"),
        ends: false,
        response: "HTTP/1.1 413",
    },
    RawCase {
        name: "chunked body over the limit",
        bytes: large_chunks,
        ends: false,
        response: "HTTP/1.1 413",
    },
];

#[gtest]
fn raw_requests_are_rejected() -> Result<()> {
    let rig = Rig::start(RigSettings::default());
    for case in &RAW_CASES {
        let response = send_raw(rig.entry.address, &(case.bytes)(), case.ends);
        expect_that!(response, starts_with(case.response), "{}", case.name);
        if case.response.is_empty() {
            expect_that!(response, not(starts_with("HTTP/1.1 2")), "{}", case.name);
        }
    }
    expect_that!(rig.runs().len(), eq(0));
    expect_that!(status(rig.entry.address, "/healthz"), some(eq(200)));
    Ok(())
}

#[gtest]
fn incomplete_head_times_out() -> Result<()> {
    let rig = Rig::start(RigSettings::default());
    let response = send_raw(rig.entry.address, &with_head("X-Slow: 1"), false);
    expect_that!(response, not(starts_with("HTTP/1.1 2")));
    Ok(())
}

/// An invalid request in well-formed HTTP, with the expected refusal.
struct Case {
    name: &'static str,
    method: &'static str,
    path: &'static str,
    headers: &'static [(&'static str, &'static str)],
    body: fn() -> String,
    status: u16,
    code: &'static str,
    says: &'static str,
}

const COMPLETIONS: &str = "/v1/completions";

fn no_body() -> String {
    String::new()
}

#[rustfmt::skip]
const CASES: [Case; 20] = [
    Case { name: "not JSON", method: "POST", path: COMPLETIONS, headers: &[], body: || "{".to_owned(), status: 400, code: "bad_request", says: "JSON body" },
    Case { name: "unknown field", method: "POST", path: COMPLETIONS, headers: &[], body: || json!({"model": MODEL, "prompt": "a", "promt": 1}).to_string(), status: 400, code: "bad_request", says: "promt" },
    Case { name: "no prompt", method: "POST", path: COMPLETIONS, headers: &[], body: || json!({"model": MODEL}).to_string(), status: 400, code: "bad_request", says: "prompt" },
    Case { name: "empty prompt", method: "POST", path: COMPLETIONS, headers: &[], body: || prompt_body("", 5, false), status: 400, code: "bad_request", says: "prompt" },
    Case { name: "max_tokens of 0", method: "POST", path: COMPLETIONS, headers: &[], body: || prompt_body("a", 0, false), status: 400, code: "bad_request", says: "max_tokens" },
    Case { name: "max_tokens over the limit", method: "POST", path: COMPLETIONS, headers: &[], body: || prompt_body("a", 4_000_000, false), status: 400, code: "bad_request", says: "max_tokens" },
    Case { name: "negative max_tokens", method: "POST", path: COMPLETIONS, headers: &[], body: || json!({"model": MODEL, "prompt": "a", "max_tokens": -1}).to_string(), status: 400, code: "bad_request", says: "JSON body" },
    Case { name: "deeply nested", method: "POST", path: COMPLETIONS, headers: &[], body: || "[".repeat(60_000), status: 400, code: "bad_request", says: "JSON body" },
    Case { name: "no messages", method: "POST", path: "/v1/chat/completions", headers: &[], body: || json!({"model": MODEL, "messages": []}).to_string(), status: 400, code: "bad_request", says: "messages" },
    Case { name: "model not allowed", method: "POST", path: COMPLETIONS, headers: &[], body: || json!({"model": "m9", "prompt": "a"}).to_string(), status: 403, code: "not_allowed", says: "m9" },
    Case { name: "service not allowed", method: "GET", path: "/v1/services/other/a", headers: &[], body: no_body, status: 403, code: "not_allowed", says: "other" },
    Case { name: "unknown path", method: "GET", path: "/v2", headers: &[], body: no_body, status: 404, code: "not_found", says: "path" },
    Case { name: "reserved path", method: "GET", path: "/v1/services/ledger/agatestair/state", headers: &[], body: no_body, status: 404, code: "not_found", says: "path" },
    Case { name: "encoded reserved path", method: "POST", path: "/v1/services/ledger//%61gatestair/order", headers: &[], body: || "{}".to_owned(), status: 404, code: "not_found", says: "path" },
    Case { name: "path traversal", method: "GET", path: "/v1/services/ledger/a/%2e%2e/agatestair/state", headers: &[], body: no_body, status: 400, code: "bad_request", says: "path" },
    Case { name: "wrong method", method: "GET", path: COMPLETIONS, headers: &[], body: no_body, status: 405, code: "wrong_method", says: "POST" },
    Case { name: "unsupported method", method: "PURGE", path: "/v1/services/ledger/a", headers: &[], body: no_body, status: 405, code: "wrong_method", says: "POST" },
    Case { name: "empty key", method: "POST", path: "/v1/services/ledger/a", headers: &[("Idempotency-Key", "")], body: || "b".to_owned(), status: 400, code: "bad_request", says: "idempotency-key" },
    Case { name: "two keys", method: "POST", path: "/v1/services/ledger/a", headers: &[("Idempotency-Key", "a"), ("Idempotency-Key", "b")], body: || "b".to_owned(), status: 400, code: "bad_request", says: "idempotency-key" },
    Case { name: "body over the limit", method: "POST", path: COMPLETIONS, headers: &[], body: || prompt_body(&"x".repeat(70_000), 5, false), status: 413, code: "too_large", says: "65536" },
];

#[gtest]
fn invalid_requests_are_refused_with_the_cause() -> Result<()> {
    let rig = Rig::start(RigSettings::default());
    for case in &CASES {
        let body = (case.body)();
        let response = send(rig.entry.address, case.method, case.path, case.headers, &body);
        expect_that!(response.status, eq(case.status), "{}: {}", case.name, response.body);
        expect_that!(response.refusal().0, eq(case.code), "{}", case.name);
        expect_that!(response.body, contains_substring(case.says), "{}", case.name);
        let keyed = !case.headers.is_empty();
        let ran = if keyed { RunState::Unknown } else { RunState::NotRun };
        expect_that!(response.refusal().1, eq(ran), "{}", case.name);
        expect_that!(response.header("x-request-id"), some(anything()), "{}", case.name);
    }
    expect_that!(rig.runs().len(), eq(0));
    Ok(())
}

#[gtest]
fn invalid_api_keys_are_refused_and_never_disclosed() -> Result<()> {
    let rig = Rig::start(RigSettings::default());
    let secret = "wrong-secret-key";
    for header in [None, Some(format!("Bearer {secret}")), Some(format!("Basic {API_KEY}"))] {
        let mut request = ureq::post(format!("http://{}/v1/completions", rig.entry.address));
        if let Some(header) = &header {
            request = request.header("Authorization", header);
        }
        let response = request.config().http_status_as_error(false).build().send("{}");
        let mut response = response.or_fail()?;
        expect_that!(response.status().as_u16(), eq(401));
        let body = response.body_mut().read_to_string().or_fail()?;
        expect_that!(body, not(contains_substring(secret)));
        expect_that!(body, not(contains_substring(API_KEY)));
    }
    let metrics = send(rig.entry.address, "GET", "/metrics", &[], "");
    expect_that!(metrics.status, eq(200));
    expect_that!(metrics.body, not(contains_substring(secret)));
    expect_that!(metrics.body, not(contains_substring(API_KEY)));
    Ok(())
}

#[gtest]
fn explanations_are_visible_to_their_customer_only() -> Result<()> {
    let rig = Rig::start(RigSettings::default());
    let address = rig.entry.address;
    let response = send(address, "POST", COMPLETIONS, &[], &prompt_body("abc", 3, false));
    let id = response.header("x-request-id").unwrap_or_default().to_owned();
    let explained = send(address, "GET", &format!("/v1/explain/{id}"), &[], "");
    expect_that!(explained.body, contains_substring("First attempt at"));
    let path = format!("http://{address}/v1/explain/{id}");
    let other = ureq::get(path).header("Authorization", "Bearer other");
    let other = other.config().http_status_as_error(false).build().call().or_fail()?;
    expect_that!(other.status().as_u16(), eq(404));
    Ok(())
}
