//! Tests of the platform stand-in over HTTP: transactions, lost responses, holds, outages and the
//! delayed instance list.

use std::thread;
use std::time::{Duration, Instant};

use agatestair_schema::platform::{
    Check, Committed, InstanceList, InstanceState, PlatformFaults, Rows, Transaction, Write,
};
use agatestair_schema::standins::HoldPage;
use agatestair_testbed::{Layout, Testbed, TestbedOptions, build_binaries};
use googletest::prelude::*;

fn start() -> Testbed {
    build_binaries().unwrap();
    let layout = Layout { engines: 1, plain: 1, ..Layout::lexicon() };
    Testbed::start(TestbedOptions { layout, entries: 0, list_lag: 100, ..Default::default() })
        .unwrap()
}

fn transaction(attempt: &str, key: &str, version: u64, value: Option<&str>) -> Transaction {
    Transaction {
        attempt: attempt.to_owned(),
        checks: vec![Check { key: key.to_owned(), version }],
        writes: vec![Write { key: key.to_owned(), value: value.map(str::to_owned), ttl_ms: None }],
    }
}

fn transact(testbed: &Testbed, transaction: &Transaction) -> Option<Committed> {
    let response = testbed.client.post(&testbed.addresses.platform, "/table/transact", transaction);
    serde_json::from_str(&response.ok()?).ok()
}

fn version(testbed: &Testbed, key: &str) -> u64 {
    let path = format!("/table/rows?prefix={key}");
    let rows: Rows = testbed.client.get(&testbed.addresses.platform, &path).unwrap();
    rows.rows.first().map_or(0, |row| row.version)
}

struct Case {
    name: &'static str,
    attempt: &'static str,
    version: u64,
    value: Option<&'static str>,
    committed: bool,
    after: u64,
}

const CASES: &[Case] = &[
    Case { name: "absent", attempt: "1", version: 0, value: Some("a"), committed: true, after: 1 },
    Case { name: "repeat", attempt: "1", version: 0, value: Some("a"), committed: true, after: 1 },
    Case { name: "stale", attempt: "2", version: 0, value: Some("b"), committed: false, after: 1 },
    Case { name: "current", attempt: "3", version: 1, value: Some("c"), committed: true, after: 2 },
    Case { name: "delete", attempt: "4", version: 2, value: None, committed: true, after: 0 },
    Case { name: "re-add", attempt: "5", version: 0, value: Some("d"), committed: true, after: 4 },
];

#[googletest::test]
fn transactions_check_versions_and_remember_attempts() {
    let testbed = start();
    for case in CASES {
        let sent = transaction(case.attempt, "t/row", case.version, case.value);
        let result = transact(&testbed, &sent).unwrap();
        expect_that!(result.committed, eq(case.committed), "{}", case.name);
        expect_that!(version(&testbed, "t/row"), eq(case.after), "{}", case.name);
    }
}

#[googletest::test]
fn a_transaction_with_a_lost_response_takes_effect() {
    let testbed = start();
    let faults = PlatformFaults { lose_replies: 1, prefix: "t/".to_owned(), ..Default::default() };
    testbed.set_platform_faults(&faults).unwrap();
    expect_that!(
        transact(&testbed, &transaction("1", "other/row", 0, Some("a"))),
        some(anything())
    );
    expect_that!(transact(&testbed, &transaction("2", "t/row", 0, Some("a"))), none());
    expect_that!(version(&testbed, "t/row"), eq(1));
}

#[googletest::test]
fn an_outage_is_limited_to_its_prefix() {
    let testbed = start();
    let faults = PlatformFaults { outage: true, prefix: "t/".to_owned(), ..Default::default() };
    testbed.set_platform_faults(&faults).unwrap();
    expect_that!(transact(&testbed, &transaction("1", "t/row", 0, Some("a"))), none());
    expect_that!(transact(&testbed, &transaction("2", "u/row", 0, Some("a"))), some(anything()));
    testbed.set_platform_faults(&PlatformFaults::default()).unwrap();
    expect_that!(version(&testbed, "t/row"), eq(0));
}

fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + Duration::from_secs(10);
    while !condition() {
        assert!(Instant::now() < deadline, "{what}");
        thread::sleep(Duration::from_millis(5));
    }
}

#[googletest::test]
fn transactions_are_held_before_or_after_their_effect() {
    for (before, during) in [(true, 0), (false, 1)] {
        let testbed = start();
        let (hold_before, hold_after) = (u32::from(before), u32::from(!before));
        let faults = PlatformFaults { hold_before, hold_after, ..Default::default() };
        testbed.set_platform_faults(&faults).unwrap();
        thread::scope(|scope| {
            let sent = transaction("1", "t/row", 0, Some("a"));
            let testbed = &testbed;
            let held = scope.spawn(move || transact(testbed, &sent));
            wait_until("the transaction is held", || {
                let page: HoldPage =
                    testbed.client.get(&testbed.addresses.recorder, "/holds").unwrap();
                !page.holds.is_empty()
            });
            expect_that!(version(testbed, "t/row"), eq(during));
            testbed.release_holds().unwrap();
            expect_that!(held.join().unwrap().unwrap().committed, eq(true));
        });
        expect_that!(version(&testbed, "t/row"), eq(1));
    }
}

#[googletest::test]
fn the_instance_list_shows_changes_after_its_lag() {
    build_binaries().unwrap();
    let testbed = start();
    let list = || -> InstanceList {
        testbed.client.get(&testbed.addresses.platform, "/instances").unwrap()
    };
    let mut record = list().instances.remove(0);
    record.state = InstanceState::Leaving;
    let path = format!("/instances/{}", record.name);
    testbed.client.put(&testbed.addresses.platform, &path, &record).unwrap();
    let state = || list().instances.remove(0).state;
    wait_until("the list shows the change", || state() == InstanceState::Leaving);
    expect_that!(list().instances.len(), eq(2));
}
