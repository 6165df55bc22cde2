//! Responses arrive complete in spite of faults between the entry and the engines.

mod support;

use std::io::{Read, Write};
use std::net::TcpStream;

use agatestair_schema::answer_text;
use agatestair_schema::link::EndpointRole;
use agatestair_schema::standins::{RunKind, RunOutcome};
use googletest::prelude::*;
use serde_json::{Value, json};
use socket2::SockRef;

use self::support::caller::{EventStream, StreamEnd, prompt_body, send};
use self::support::{API_KEY, MODEL, Rig, RigSettings, wait_until};

struct Case {
    name: &'static str,
    faults: fn() -> Value,
}

/// Faults of both engines under which responses must still arrive complete.
const CASES: [Case; 8] = [
    Case { name: "none", faults: || json!({}) },
    Case { name: "cut in the middle", faults: || json!({"cut_after": 7, "cut_count": 1}) },
    Case { name: "doubled pieces", faults: || json!({"double": true, "share": 0.3}) },
    Case { name: "swapped pieces", faults: || json!({"swap": true, "share": 0.2}) },
    Case { name: "crossed pieces", faults: || json!({"cross": true, "share": 0.3}) },
    Case { name: "late pieces", faults: || json!({"late_ms": 20, "share": 0.3}) },
    Case { name: "refused once", faults: || json!({"refuse": 1}) },
    Case { name: "a piece left out", faults: || json!({"omit": true, "share": 0.01}) },
];

#[gtest]
fn responses_are_complete_in_spite_of_faults() -> Result<()> {
    let rig = Rig::start(RigSettings::default());
    for case in &CASES {
        for engine in ["engine0-1", "engine1-1"] {
            rig.set_endpoint_faults(engine, &(case.faults)());
        }
        let streams: Vec<_> = (0..4)
            .map(|index| {
                let address = rig.entry.address;
                let prompt = format!("{} {index}", case.name);
                std::thread::spawn(move || {
                    let mut stream = EventStream::open(address, &prompt, 40);
                    let end = stream.read_to_end();
                    (prompt, stream, end)
                })
            })
            .collect();
        for stream in streams {
            let (prompt, stream, end) = stream.join().expect("reader ends");
            expect_that!(end, eq(StreamEnd::Complete), "{}: {:?}", case.name, stream.error);
            expect_that!(stream.text, eq(&answer_text(MODEL, &prompt, 40)), "{}", case.name);
            expect_that!(stream.finish, some(anything()), "{}", case.name);
        }
    }
    Ok(())
}

#[gtest]
fn completions_and_chats_have_the_openai_format() -> Result<()> {
    let rig = Rig::start(RigSettings::default());
    let address = rig.entry.address;
    let response =
        send(address, "POST", "/v1/completions", &[], &prompt_body("abcdefgh", 5, false));
    verify_that!(response.status, eq(200))?;
    let body: Value = serde_json::from_str(&response.body).or_fail()?;
    expect_that!(body["object"], eq(&json!("text_completion")));
    expect_that!(body["choices"][0]["text"], eq(&json!(answer_text(MODEL, "abcdefgh", 5))));
    expect_that!(
        body["usage"],
        eq(&json!({"prompt_tokens": 2, "completion_tokens": 5, "total_tokens": 7}))
    );
    expect_that!(response.header("x-request-id"), some(eq(body["id"].as_str().unwrap_or(""))));
    let chat = json!({"model": MODEL, "messages": [{"role": "user", "content": "hi"}],
        "max_tokens": 3});
    let response = send(address, "POST", "/v1/chat/completions", &[], &chat.to_string());
    let body: Value = serde_json::from_str(&response.body).or_fail()?;
    let text = answer_text(MODEL, "user: hi\nassistant:", 3);
    expect_that!(body["object"], eq(&json!("chat.completion")));
    expect_that!(body["choices"][0]["message"], eq(&json!({"role": "assistant", "content": text})));
    Ok(())
}

#[gtest]
fn engine_is_cancelled_when_the_caller_disconnects() -> Result<()> {
    let rig = Rig::start(RigSettings::default());
    let mut stream = EventStream::open(rig.entry.address, "leaving", 1000);
    for _ in 0..3 {
        verify_true!(stream.read_piece())?;
    }
    drop(stream);
    wait_until("the engine is cancelled", || {
        rig.runs().iter().any(|run| {
            run.kind == RunKind::Completion
                && matches!(run.outcome, RunOutcome::Cancelled | RunOutcome::Gone)
        })
    });
    Ok(())
}

#[gtest]
fn engine_is_cancelled_when_the_caller_disconnects_before_the_response() -> Result<()> {
    let rig = Rig::start(RigSettings::default());
    let body = prompt_body("leaving", 1000, false);
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nHost: e\r\nAuthorization: Bearer {API_KEY}\r\n\
         Content-Length: {}\r\n\r\n",
        body.len()
    );
    let mut caller = TcpStream::connect(rig.entry.address).or_fail()?;
    caller.write_all(head.as_bytes()).or_fail()?;
    caller.write_all(body.as_bytes()).or_fail()?;
    wait_until("the engine has started", || !rig.runs().is_empty());
    drop(caller);
    wait_until("the engine is cancelled", || {
        let outcome = rig.runs()[0].outcome;
        matches!(outcome, RunOutcome::Cancelled | RunOutcome::Gone)
    });
    Ok(())
}

#[gtest]
fn response_to_a_stalled_caller_is_truncated_and_the_engine_cancelled() -> Result<()> {
    let rig =
        Rig::start(RigSettings { step_ms: 0.1, deadline_ms: 600_000, ..RigSettings::default() });
    let body = prompt_body("unread", 40_000, true);
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nHost: e\r\nAuthorization: Bearer {API_KEY}\r\n\
         Content-Length: {}\r\n\r\n",
        body.len()
    );
    let mut caller = TcpStream::connect(rig.entry.address).or_fail()?;
    SockRef::from(&caller).set_recv_buffer_size(4096).or_fail()?;
    caller.write_all(head.as_bytes()).or_fail()?;
    caller.write_all(body.as_bytes()).or_fail()?;
    wait_until("the engine is cancelled", || {
        let runs = rig.runs();
        runs.iter().any(|run| matches!(run.outcome, RunOutcome::Cancelled | RunOutcome::Gone))
    });
    SockRef::from(&caller).set_recv_buffer_size(1 << 20).or_fail()?;
    let mut response = Vec::new();
    // The connection may be reset.
    let _ = caller.read_to_end(&mut response);
    let response = String::from_utf8_lossy(&response);
    expect_that!(response, starts_with("HTTP/1.1 200"));
    expect_that!(response, not(contains_substring("[DONE]")));
    Ok(())
}

#[gtest]
fn long_prompt_is_prefilled_separately_and_its_cache_transferred() -> Result<()> {
    let rig = Rig::start(RigSettings::default());
    rig.control.set_role("engine0-1", EndpointRole::Prefill);
    rig.control.set_role("engine1-1", EndpointRole::Decode);
    let prompt = "long prompt ".repeat(1000);
    wait_until("the roles are known", || {
        let mut stream = EventStream::open(rig.entry.address, &prompt, 20);
        let end = stream.read_to_end();
        assert_that!(end, eq(StreamEnd::Complete));
        assert_that!(stream.text, eq(&answer_text(MODEL, &prompt, 20)));
        rig.runs().iter().any(|run| run.kind == RunKind::Export)
    });
    let runs = rig.runs();
    let export = runs.iter().find(|run| run.kind == RunKind::Export).or_fail()?;
    let response = runs
        .iter()
        .find(|run| run.kind == RunKind::Completion && run.request == export.request)
        .or_fail()?;
    expect_that!(export.endpoint, eq("engine0-1"));
    expect_that!(response.endpoint, eq("engine1-1"));
    expect_that!(response.cached_tokens, eq(response.prompt_tokens));
    Ok(())
}

#[gtest]
fn response_survives_an_engine_crash() -> Result<()> {
    let rig = Rig::start(RigSettings::default());
    let mut stream = EventStream::open(rig.entry.address, "crash", 300);
    verify_true!(stream.read_piece())?;
    let engine = rig.runs()[0].endpoint.clone();
    rig.set_endpoint_faults(&engine, &json!({"crash_ms": 60_000}));
    expect_that!(stream.read_to_end(), eq(StreamEnd::Complete), "{:?}", stream.error);
    expect_that!(stream.text, eq(&answer_text(MODEL, "crash", 300)));
    Ok(())
}

#[gtest]
fn response_survives_a_silent_connection() -> Result<()> {
    let rig = Rig::start(RigSettings::default());
    let mut stream = EventStream::open(rig.entry.address, "silence", 200);
    verify_true!(stream.read_piece())?;
    let engine = rig.runs()[0].endpoint.clone();
    rig.set_endpoint_faults(&engine, &json!({"silence": true}));
    expect_that!(stream.read_to_end(), eq(StreamEnd::Complete), "{:?}", stream.error);
    expect_that!(stream.text, eq(&answer_text(MODEL, "silence", 200)));
    Ok(())
}

/// An engine that is silent for a while in the middle of a stream and goes on.
struct SilentCase {
    name: &'static str,
    engines: usize,
    /// Faults of the engine of the stream.
    own: fn() -> Value,
    /// Faults of the other engine.
    other: fn() -> Value,
}

/// New attempts get no answer anywhere.
const SILENT_CASES: [SilentCase; 4] = [
    SilentCase {
        name: "the other one refuses",
        engines: 2,
        own: || json!({"freeze_ms": 2400, "refuse": 1000}),
        other: || json!({"refuse": 1000}),
    },
    SilentCase {
        name: "the other one hangs",
        engines: 2,
        own: || json!({"freeze_ms": 2400, "refuse": 1000}),
        other: || json!({"hang": 1000}),
    },
    SilentCase {
        name: "there is no other one",
        engines: 1,
        own: || json!({"freeze_ms": 2400, "refuse": 1000}),
        other: || json!({}),
    },
    SilentCase {
        name: "a piece is late",
        engines: 2,
        own: || json!({"late_ms": 600, "share": 0.1, "refuse": 1000}),
        other: || json!({"refuse": 1000}),
    },
];

#[gtest]
fn silence_of_an_engine_costs_no_response_that_no_other_one_takes() -> Result<()> {
    for case in &SILENT_CASES {
        let rig = Rig::start(RigSettings {
            engines: case.engines,
            step_ms: 40.0,
            ..RigSettings::default()
        });
        let mut stream = EventStream::open(rig.entry.address, case.name, 60);
        verify_true!(stream.read_piece())?;
        let own = rig.runs()[0].endpoint.clone();
        for engine in ["engine0-1", "engine1-1"].into_iter().take(case.engines) {
            let faults = if engine == own { case.own } else { case.other };
            rig.set_endpoint_faults(engine, &faults());
        }
        let end = stream.read_to_end();
        expect_that!(end, eq(StreamEnd::Complete), "{}: {:?}", case.name, stream.error);
        expect_that!(stream.text, eq(&answer_text(MODEL, case.name, 60)), "{}", case.name);
    }
    Ok(())
}

#[gtest]
fn silent_engine_is_cancelled_once_another_one_has_answered() -> Result<()> {
    let rig = Rig::start(RigSettings { step_ms: 40.0, ..RigSettings::default() });
    let mut stream = EventStream::open(rig.entry.address, "silent", 200);
    verify_true!(stream.read_piece())?;
    let own = rig.runs()[0].clone();
    rig.set_endpoint_faults(&own.endpoint, &json!({"freeze_ms": 3000}));
    expect_that!(stream.read_to_end(), eq(StreamEnd::Complete), "{:?}", stream.error);
    expect_that!(stream.text, eq(&answer_text(MODEL, "silent", 200)));
    let runs = rig.runs();
    let silent = runs.iter().find(|run| run.id == own.id).or_fail()?;
    expect_that!(silent.outcome, any![eq(RunOutcome::Cancelled), eq(RunOutcome::Gone)]);
    expect_that!(runs.iter().filter(|run| run.outcome == RunOutcome::Done).count(), eq(1));
    Ok(())
}

#[gtest]
fn response_survives_engines_that_never_begin() -> Result<()> {
    for hanging in [&["engine0-1"][..], &["engine0-1", "engine1-1"]] {
        let rig =
            Rig::start(RigSettings { first_ms: 500, deadline_ms: 8000, ..RigSettings::default() });
        for engine in hanging {
            rig.set_endpoint_faults(engine, &json!({"hang": 1}));
        }
        let hung = || rig.runs().iter().filter(|run| run.outcome == RunOutcome::Hung).count();
        // No later request overtakes the one that hangs.
        for index in 0..40 {
            let prompt = format!("hang {index}");
            let mut stream = EventStream::open(rig.entry.address, &prompt, 200);
            expect_that!(stream.read_to_end(), eq(StreamEnd::Complete), "{:?}", stream.error);
            expect_that!(stream.text, eq(&answer_text(MODEL, &prompt, 200)));
            if hung() == hanging.len() {
                break;
            }
        }
        expect_that!(hung(), eq(hanging.len()));
    }
    Ok(())
}

#[gtest]
fn response_that_cannot_continue_is_visibly_truncated() -> Result<()> {
    let rig = Rig::start(RigSettings { engines: 1, ..RigSettings::default() });
    let mut stream = EventStream::open(rig.entry.address, "cut", 2000);
    verify_true!(stream.read_piece())?;
    rig.set_endpoint_faults("engine0-1", &json!({"crash_ms": 60_000}));
    expect_that!(stream.read_to_end(), eq(StreamEnd::Truncated));
    expect_that!(stream.error, some(anything()));
    expect_that!(stream.finish, none());
    Ok(())
}
