//! A call with an idempotency key runs at most once, and its reported run state is correct.

mod support;

use std::net::SocketAddr;

use agatestair_schema::caller::RunState;
use googletest::prelude::*;
use serde_json::json;

use self::support::caller::{Response, send};
use self::support::{Rig, RigSettings, wait_until};

const PATH: &str = "/v1/services/ledger/scores";
const LEDGERS: [&str; 2] = ["ledger0-1", "ledger1-1"];

fn post(address: SocketAddr, key: &str, body: &str) -> Response {
    send(address, "POST", PATH, &[("Idempotency-Key", key)], body)
}

/// Number of calls with this key that took effect.
fn effects(rig: &Rig, key: &str) -> usize {
    rig.runs().iter().filter(|run| run.key == key && run.started_ms > 0).count()
}

fn set_ledgers(rig: &Rig, faults: &serde_json::Value) {
    for ledger in LEDGERS {
        rig.set_endpoint_faults(ledger, faults);
    }
}

#[gtest]
fn duplicate_gets_the_stored_response() -> Result<()> {
    let rig = Rig::start(RigSettings::default());
    let large = "x".repeat(50_000);
    for (key, body) in [("small", "17 points"), ("large", large.as_str())] {
        let first = post(rig.entry.address, key, body);
        verify_that!(first.status, eq(200))?;
        expect_that!(first.header("x-agatestair-replayed"), none());
        let (_control, other) = rig.start_entry("e2");
        for address in [rig.entry.address, other.address] {
            wait_until("the outcome is recorded", || {
                let duplicate = post(address, key, body);
                duplicate.status == 200 && duplicate.header("x-agatestair-replayed") == Some("true")
            });
            let duplicate = post(address, key, body);
            expect_that!(duplicate.body, eq(&first.body), "{key}");
        }
        expect_that!(effects(&rig, key), eq(1), "{key}");
    }
    Ok(())
}

#[gtest]
fn key_with_another_body_is_refused() -> Result<()> {
    let rig = Rig::start(RigSettings::default());
    verify_that!(post(rig.entry.address, "k", "first").status, eq(200))?;
    let other = post(rig.entry.address, "k", "second");
    expect_that!(other.status, eq(422));
    expect_that!(other.refusal().0, eq("key_mismatch"));
    expect_that!(effects(&rig, "k"), eq(1));
    Ok(())
}

#[gtest]
fn duplicate_of_a_running_call_is_refused() -> Result<()> {
    let rig = Rig::start(RigSettings::default());
    let (_control, other) = rig.start_entry("e2");
    set_ledgers(&rig, &json!({"hold_before": 1}));
    let address = rig.entry.address;
    let first = std::thread::spawn(move || post(address, "k", "body"));
    wait_until("the call has arrived", || rig.runs().iter().any(|run| run.key == "k"));
    let duplicate = post(other.address, "k", "body");
    expect_that!(duplicate.refusal(), eq(&("still_running".to_owned(), RunState::Running)));
    rig.release_holds();
    expect_that!(first.join().expect("caller ends").status, eq(200));
    expect_that!(effects(&rig, "k"), eq(1));
    Ok(())
}

#[gtest]
fn lost_response_of_the_service_is_recovered() -> Result<()> {
    let rig = Rig::start(RigSettings::default());
    set_ledgers(&rig, &json!({"lose_answers": 1}));
    let first = post(rig.entry.address, "k", "body");
    expect_that!(first.status, eq(200), "{}", first.body);
    expect_that!(first.header("x-agatestair-replayed"), some(eq("true")));
    expect_that!(effects(&rig, "k"), eq(1));
    Ok(())
}

#[gtest]
fn lost_responses_of_the_store_are_resolved() -> Result<()> {
    let rig = Rig::start(RigSettings::default());
    rig.set_platform_faults(&json!({"lose_replies": 2}));
    let first = post(rig.entry.address, "k", "body");
    expect_that!(first.status, eq(200), "{}", first.body);
    expect_that!(effects(&rig, "k"), eq(1));
    Ok(())
}

#[gtest]
fn call_without_a_key_is_dispatched_once() -> Result<()> {
    let rig = Rig::start(RigSettings::default());
    set_ledgers(&rig, &json!({"lose_answers": 1}));
    let response = send(rig.entry.address, "POST", PATH, &[], "body");
    expect_that!(response.refusal(), eq(&("outcome_unknown".to_owned(), RunState::Unknown)));
    expect_that!(rig.runs().len(), eq(1));
    Ok(())
}

#[gtest]
fn idempotent_call_is_retried() -> Result<()> {
    let rig = Rig::start(RigSettings::default());
    set_ledgers(&rig, &json!({"lose_answers": 1}));
    let response = send(rig.entry.address, "GET", PATH, &[], "");
    expect_that!(response.status, eq(200), "{}", response.body);
    Ok(())
}

#[gtest]
fn refused_call_is_retried_at_another_endpoint() -> Result<()> {
    let rig = Rig::start(RigSettings::default());
    set_ledgers(&rig, &json!({"refuse": 1}));
    let response = post(rig.entry.address, "k", "body");
    expect_that!(response.status, eq(200), "{}", response.body);
    expect_that!(effects(&rig, "k"), eq(1));
    Ok(())
}

struct StoreCase {
    rule: &'static str,
    status: u16,
    effects: usize,
}

/// Status and effects of a call while the store is down, by the service's rule.
const STORE_CASES: [StoreCase; 2] = [
    StoreCase { rule: "refuse", status: 503, effects: 0 },
    StoreCase { rule: "dispatch_once", status: 200, effects: 1 },
];

#[gtest]
fn store_down_follows_the_rule_of_the_service() -> Result<()> {
    for case in &STORE_CASES {
        let rig = Rig::start(RigSettings { store_down: case.rule, ..RigSettings::default() });
        rig.set_platform_faults(&json!({"outage": true}));
        let response = post(rig.entry.address, "k", "body");
        expect_that!(response.status, eq(case.status), "{}: {}", case.rule, response.body);
        expect_that!(effects(&rig, "k"), eq(case.effects), "{}", case.rule);
        if case.effects == 0 {
            expect_that!(response.refusal(), eq(&("store_down".to_owned(), RunState::Unknown)));
        } else {
            expect_that!(response.header("x-agatestair-record"), some(eq("none")));
            let duplicate = post(rig.entry.address, "k", "body");
            expect_that!(duplicate.header("x-agatestair-replayed"), some(eq("true")));
        }
        rig.set_platform_faults(&json!({}));
        let later = post(rig.entry.address, "k", "body");
        expect_that!(later.status, eq(200), "{}: {}", case.rule, later.body);
        expect_that!(effects(&rig, "k"), eq(1), "{}", case.rule);
    }
    Ok(())
}

#[gtest]
fn call_that_ran_without_a_record_does_not_run_again_if_the_service_is_silent() -> Result<()> {
    let rig = Rig::start(RigSettings { store_down: "dispatch_once", ..RigSettings::default() });
    rig.set_platform_faults(&json!({"outage": true}));
    verify_that!(post(rig.entry.address, "k", "body").status, eq(200))?;
    verify_that!(effects(&rig, "k"), eq(1))?;
    rig.set_platform_faults(&json!({}));
    set_ledgers(&rig, &json!({"freeze_ms": 2400}));
    let later = post(rig.entry.address, "k", "body");
    expect_that!(later.status, eq(200), "{}", later.body);
    expect_that!(later.header("x-agatestair-replayed"), some(eq("true")));
    expect_that!(effects(&rig, "k"), eq(1));
    Ok(())
}

#[gtest]
fn claim_of_a_killed_entry_is_resolved_by_the_service() -> Result<()> {
    let mut rig = Rig::start(RigSettings::default());
    let (_control, other) = rig.start_entry("e2");
    set_ledgers(&rig, &json!({"hold_before": 1}));
    let address = rig.entry.address;
    std::thread::spawn(move || {
        let request = ureq::post(format!("http://{address}{PATH}"))
            .header("Authorization", format!("Bearer {}", support::API_KEY))
            .header("Idempotency-Key", "k");
        // The entry is killed before it responds.
        let _ = request.send("body");
    });
    wait_until("the call has arrived", || rig.runs().iter().any(|run| run.key == "k"));
    rig.entry.kill();
    let duplicate = post(other.address, "k", "body");
    expect_that!(duplicate.status, eq(409));
    expect_that!(duplicate.refusal().1, any![eq(RunState::Running), eq(RunState::Unknown)]);
    rig.release_holds();
    wait_until("the outcome is known", || post(other.address, "k", "body").status == 200);
    expect_that!(effects(&rig, "k"), eq(1));
    Ok(())
}

#[gtest]
fn disabled_protection_lets_a_call_run_twice() -> Result<()> {
    let rig = Rig::start(RigSettings { disabled: &["claim"], ..RigSettings::default() });
    for _ in 0..2 {
        verify_that!(post(rig.entry.address, "k", "body").status, eq(200))?;
    }
    expect_that!(effects(&rig, "k"), eq(2));
    Ok(())
}
