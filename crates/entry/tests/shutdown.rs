//! A graceful shutdown truncates no response, and an entry with stale lists refuses requests.

mod support;

use std::collections::BTreeSet;
use std::thread;
use std::time::Instant;

use agatestair_schema::answer_text;
use agatestair_schema::caller::{EntryAnswer, RunState};
use agatestair_schema::link::Presence;
use agatestair_schema::slo::SloSnapshot;
use googletest::prelude::*;
use serde_json::{Value, json};

use self::support::caller::{
    EventStream, StreamEnd, get_json, prompt_body, send, send_raw, status,
};
use self::support::{API_KEY, MODEL, Rig, RigSettings, wait_until};

const PATH: &str = "/v1/services/ledger/scores";

fn entry_names(rig: &Rig) -> Vec<String> {
    let response: EntryAnswer = get_json(rig.entry.address, "/v1/entries");
    response.entries.into_iter().map(|entry| entry.name).collect()
}

#[gtest]
fn graceful_shutdown_finishes_open_requests() -> Result<()> {
    let mut rig = Rig::start(RigSettings::default());
    rig.control.set_directory(&["e1", "e9"]);
    wait_until("both entries are listed", || entry_names(&rig).len() == 2);
    for ledger in ["ledger0-1", "ledger1-1"] {
        rig.set_endpoint_faults(ledger, &json!({"hold_before": 1}));
    }
    let address = rig.entry.address;
    let call = thread::spawn(move || {
        send(address, "POST", PATH, &[("Idempotency-Key", "k")], "body").status
    });
    wait_until("the call has arrived", || rig.runs().iter().any(|run| run.key == "k"));
    let mut stream = EventStream::open(address, "leaving", 300);
    verify_true!(stream.read_piece())?;
    rig.entry.terminate();
    wait_until("the entry is not ready", || status(address, "/readyz") == Some(503));
    expect_that!(entry_names(&rig), elements_are![eq("e9")]);
    wait_until("the heartbeat reports the shutdown", || {
        rig.control.heartbeat().is_some_and(|beat| beat.presence == Presence::Leaving)
    });
    // Callers that learned its address earlier are still served.
    let late = send(address, "POST", "/v1/completions", &[], &prompt_body("late", 3, false));
    expect_that!(late.status, eq(200));
    expect_that!(stream.read_to_end(), eq(StreamEnd::Complete));
    expect_that!(stream.text, eq(&answer_text(MODEL, "leaving", 300)));
    wait_until("connections are refused", || status(address, "/healthz").is_none());
    rig.release_holds();
    expect_that!(call.join().expect("caller ends"), eq(200));
    expect_that!(rig.entry.wait().code(), some(eq(0)));
    Ok(())
}

/// A request that arrives during a shutdown of 20 s, whose last half second is reserved.
struct LateCase {
    name: &'static str,
    method: &'static str,
    path: &'static str,
    headers: &'static [(&'static str, &'static str)],
    body: String,
}

#[gtest]
fn leaving_entry_refuses_requests_that_may_outlast_it() -> Result<()> {
    let chat = json!({"model": MODEL, "messages": [{"role": "user", "content": "late"}],
        "max_tokens": 3});
    let completions = LateCase {
        name: "completion",
        method: "POST",
        path: "/v1/completions",
        headers: &[],
        body: prompt_body("late", 3, false),
    };
    let calls = LateCase {
        name: "idempotent call",
        method: "GET",
        path: PATH,
        headers: &[],
        body: String::new(),
    };
    let cases = [
        LateCase { name: "stream", body: prompt_body("late", 3, true), ..completions },
        LateCase {
            name: "chat",
            path: "/v1/chat/completions",
            body: chat.to_string(),
            ..completions
        },
        completions,
        LateCase { name: "call", method: "POST", body: "body".to_owned(), ..calls },
        LateCase {
            name: "call with a key",
            method: "POST",
            headers: &[("Idempotency-Key", "k")],
            body: "body".to_owned(),
            ..calls
        },
        calls,
    ];
    // Completions take up to 25 s.
    for call_ms in [4000, 25_000] {
        let settings =
            RigSettings { answer_ms: 5000, patience_ms: 20_000, call_ms, ..<_>::default() };
        let rig = Rig::start(settings);
        let address = rig.entry.address;
        rig.entry.terminate();
        wait_until("the entry is not ready", || status(address, "/readyz") == Some(503));
        for case in &cases {
            let name = format!("{}, calls take up to {call_ms} ms", case.name);
            let response = send(address, case.method, case.path, case.headers, &case.body);
            expect_that!(response.header("connection"), some(eq("close")), "{name}");
            if case.path == PATH && call_ms == 4000 {
                expect_that!(response.status, eq(200), "{name}");
                continue;
            }
            expect_that!(response.status, eq(503), "{name}");
            if response.status == 503 {
                let refused = ("leaving".to_owned(), RunState::NotRun);
                expect_that!(response.refusal(), eq(&refused), "{name}");
                expect_that!(response.header("retry-after"), some(anything()), "{name}");
            }
            let request = response.header("x-request-id").unwrap_or_default();
            expect_that!(rig.runs().iter().any(|run| run.request == request), eq(false), "{name}");
        }
        let (_control, other) = rig.start_entry("e2");
        let keyed = || send(other.address, "POST", PATH, &[("Idempotency-Key", "k")], "body");
        wait_until("the call with a key is answered elsewhere", || keyed().status == 200);
        expect_that!(rig.runs().iter().filter(|run| run.key == "k").count(), eq(1));
    }
    Ok(())
}

#[gtest]
fn requests_taken_during_a_shutdown_outlast_silent_endpoints() -> Result<()> {
    let mut rig = Rig::start(RigSettings {
        answer_ms: 3000,
        patience_ms: 12_000,
        first_ms: 500,
        deadline_ms: 6000,
        call_ms: 6000,
        ..RigSettings::default()
    });
    let address = rig.entry.address;
    rig.entry.terminate();
    wait_until("the entry is not ready", || status(address, "/readyz") == Some(503));
    for endpoint in ["engine0-1", "engine1-1", "ledger0-1", "ledger1-1"] {
        rig.set_endpoint_faults(endpoint, &json!({"freeze_ms": 2400}));
    }
    let caller = |method: &'static str, path, headers: &'static [_], body: String| {
        thread::spawn(move || send(address, method, path, headers, &body).status)
    };
    let key: &[_] = &[("Idempotency-Key", "k")];
    let callers = [
        ("completion", caller("POST", "/v1/completions", &[], prompt_body("late", 20, false))),
        ("idempotent call", caller("GET", PATH, &[], String::new())),
        ("call", caller("POST", PATH, &[], "body".to_owned())),
        ("call with a key", caller("POST", PATH, key, "body".to_owned())),
    ];
    let mut stream = EventStream::open(address, "silent", 20);
    expect_that!(stream.read_to_end(), eq(StreamEnd::Complete), "{:?}", stream.error);
    expect_that!(stream.text, eq(&answer_text(MODEL, "silent", 20)));
    for (name, caller) in callers {
        expect_that!(caller.join().expect("caller ends"), eq(200), "{name}");
    }
    expect_that!(rig.runs().iter().filter(|run| run.key == "k").count(), eq(1));
    expect_that!(rig.entry.wait().code(), some(eq(0)));
    Ok(())
}

#[gtest]
fn requests_open_at_the_end_of_a_shutdown_get_a_response() -> Result<()> {
    let mut rig = Rig::start(RigSettings {
        answer_ms: 100,
        patience_ms: 3000,
        step_ms: 20.0,
        deadline_ms: 60_000,
        call_ms: 60_000,
        keep_log: true,
        ..RigSettings::default()
    });
    for ledger in ["ledger0-1", "ledger1-1"] {
        rig.set_endpoint_faults(ledger, &json!({"hold_before": 10}));
    }
    let address = rig.entry.address;
    let caller = |method: &'static str, path, headers: &'static [_], body: String| {
        thread::spawn(move || {
            let response = send(address, method, path, headers, &body);
            let id = response.header("x-request-id").unwrap_or_default().to_owned();
            (id, response.status, response.refusal())
        })
    };
    let half = format!(
        "POST /v1/completions HTTP/1.1\r\nHost: e\r\nAuthorization: Bearer {API_KEY}\r\n\
         Content-Length: 100\r\n\r\n{{\"model\""
    );
    let half = thread::spawn(move || send_raw(address, half.as_bytes(), false));
    let key: &[_] = &[("Idempotency-Key", "k")];
    let refused = |code: &str, ran| (code.to_owned(), ran);
    let leaving = refused("leaving", RunState::Unknown);
    let unknown = refused("outcome_unknown", RunState::Unknown);
    let long = prompt_body("long", 1000, false);
    let callers = [
        ("completion", caller("POST", "/v1/completions", &[], long), 503, &leaving),
        ("idempotent call", caller("GET", PATH, &[], String::new()), 503, &leaving),
        ("call", caller("POST", PATH, &[], "body".to_owned()), 409, &unknown),
        ("call with a key", caller("POST", PATH, key, "body".to_owned()), 503, &leaving),
    ];
    let mut stream = EventStream::open(address, "leaving", 1000);
    verify_true!(stream.read_piece())?;
    let arrived = || rig.runs().into_iter().map(|run| run.request).collect::<BTreeSet<_>>();
    wait_until("all requests have arrived", || arrived().len() == 5);
    rig.entry.terminate();
    let mut ids = Vec::new();
    for (name, caller, status, refusal) in callers {
        let Ok((id, found, answer)) = caller.join() else {
            add_failure!("no response: {name}");
            continue;
        };
        expect_that!(found, eq(status), "{name}");
        expect_that!(answer, eq(refusal), "{name}");
        ids.push(id);
    }
    expect_that!(stream.read_to_end(), eq(StreamEnd::Truncated));
    let error = stream.error.unwrap_or_default();
    expect_that!(error["error"]["code"].as_str(), some(eq("leaving")));
    ids.push(error["error"]["request"].as_str().unwrap_or_default().to_owned());
    let half = half.join().expect("caller ends");
    expect_that!(half, starts_with("HTTP/1.1 503 "));
    expect_that!(half, contains_substring("\"ran\":\"not_run\""));
    expect_that!(rig.entry.wait().code(), some(eq(0)));
    let request = |record: &Value| record["request"].as_str().unwrap_or_default().to_owned();
    let mut cut: Vec<_> = rig.entry.logged(1009).iter().map(request).collect();
    cut.sort();
    ids.sort();
    expect_that!(cut, eq(&ids));
    expect_that!(rig.entry.logged(1008).len(), eq(1));
    Ok(())
}

#[gtest]
fn disabled_protection_truncates_responses_at_shutdown() -> Result<()> {
    let disabled = &["leave_wait", "drain"];
    let mut rig = Rig::start(RigSettings { disabled, ..RigSettings::default() });
    let mut stream = EventStream::open(rig.entry.address, "cut", 1000);
    verify_true!(stream.read_piece())?;
    rig.entry.terminate();
    expect_that!(stream.read_to_end(), eq(StreamEnd::Truncated));
    rig.entry.wait();
    Ok(())
}

#[gtest]
fn counters_are_written_to_the_object_store() -> Result<()> {
    let mut rig = Rig::start(RigSettings::default());
    let response =
        send(rig.entry.address, "POST", "/v1/completions", &[], &prompt_body("abc", 3, false));
    let id = response.header("x-request-id").unwrap_or_default().to_owned();
    let boot = id.split('-').nth(1).unwrap_or_default().to_owned();
    rig.entry.terminate();
    expect_that!(rig.entry.wait().code(), some(eq(0)));
    let snapshot: SloSnapshot = get_json(rig.platform, &format!("/objects/slo/e1/{boot}"));
    let last = snapshot.samples.last().or_fail()?;
    let good: u64 = last.counts.iter().map(|counts| counts.good).sum();
    expect_that!(good, eq(1));
    Ok(())
}

#[gtest]
fn entry_with_stale_lists_refuses_requests() -> Result<()> {
    let rig = Rig::start(RigSettings { stale_ms: 500, ..RigSettings::default() });
    let address = rig.entry.address;
    rig.control.set_fresh(false);
    wait_until("the entry is not ready", || status(address, "/readyz") == Some(503));
    let body = prompt_body("abc", 3, false);
    let response = send(address, "POST", "/v1/completions", &[], &body);
    expect_that!(response.refusal(), eq(&("stale".to_owned(), RunState::NotRun)));
    let keyed = send(address, "POST", PATH, &[("Idempotency-Key", "k")], "body");
    expect_that!(keyed.refusal(), eq(&("stale".to_owned(), RunState::Unknown)));
    rig.control.set_fresh(true);
    wait_until("the entry is ready", || status(address, "/readyz") == Some(200));
    Ok(())
}

#[gtest]
fn entry_that_loses_its_control_process_refuses_requests() -> Result<()> {
    let rig = Rig::start(RigSettings { stale_ms: 500, ..RigSettings::default() });
    let Rig { control, entry, .. } = rig;
    drop(control);
    let start = Instant::now();
    wait_until("the entry is not ready", || status(entry.address, "/readyz") == Some(503));
    let waited = start.elapsed().as_millis();
    expect_that!(waited, ge(100));
    Ok(())
}

#[gtest]
fn older_lists_never_replace_newer_ones() -> Result<()> {
    let rig = Rig::start(RigSettings::default());
    let revision = || rig.control.heartbeat().map(|beat| beat.revision);
    rig.control.set_lists(7, "refuse");
    wait_until("revision 7 is applied", || revision() == Some(7));
    rig.control.set_lists(6, "refuse");
    let body = prompt_body("abc", 3, false);
    for _ in 0..3 {
        verify_that!(
            send(rig.entry.address, "POST", "/v1/completions", &[], &body).status,
            eq(200)
        )?;
    }
    let metrics = send(rig.entry.address, "GET", "/metrics", &[], "").body;
    expect_that!(metrics, contains_substring("agatestair_lists_revision 7"));
    Ok(())
}
