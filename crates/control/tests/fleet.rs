//! Promises about orders and lists, tested with real processes and checked against the records of
//! the stand-ins.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use agatestair_control::LeaseSettings;
use agatestair_ctl::{CtlError, OperatorClient};
use agatestair_policy::assign::assign_evenly;
use agatestair_schema::lists::WishState;
use agatestair_schema::platform::PlatformFaults;
use agatestair_schema::standins::{HoldPage, OrderPage, OrderRecord};
use agatestair_schema::status::StatusReport;
use agatestair_testbed::checker::{PromiseCounts, Records, check};
use agatestair_testbed::{Layout, Testbed, TestbedOptions, Timing, build_binaries};
use googletest::prelude::*;

/// Longest wait for an event; the test fails after it.
const EVENT_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval between polls.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Starts three instances in front of the engines of the lexicon layout.
fn start(fenced: bool) -> Testbed {
    build_binaries().expect("binaries build");
    let options = TestbedOptions {
        layout: Layout { fenced, ..Layout::lexicon() },
        entries: 3,
        plan_roles: false,
        list_lag: 300,
        timing: Timing::short(),
        ..TestbedOptions::default()
    };
    Testbed::start(options).expect("the deployment starts")
}

/// Polls until `poll` returns a value.
fn wait_for<T>(what: &str, mut poll: impl FnMut() -> Option<T>) -> T {
    let deadline = Instant::now() + EVENT_TIMEOUT;
    while Instant::now() < deadline {
        if let Some(seen) = poll() {
            return seen;
        }
        thread::sleep(POLL_INTERVAL);
    }
    panic!("timed out waiting for {what}");
}

fn operator(testbed: &Testbed) -> OperatorClient {
    OperatorClient::new(&testbed.addresses.ctl_settings())
}

/// Status report of one instance.
fn status(testbed: &Testbed, index: usize) -> Option<StatusReport> {
    testbed.client.get(&testbed.instances[index].addresses.admin, "/v1/status").ok()
}

/// Holder of the lease on `endpoint` and the number of former holders, as known to an instance.
fn holder(testbed: &Testbed, index: usize, endpoint: &str) -> Option<(String, u32)> {
    let status = status(testbed, index)?;
    let shard = status.endpoints.iter().find(|known| known.name == endpoint)?.shard;
    let lease = status.leases.iter().find(|lease| lease.shard == shard)?;
    (!lease.holder.is_empty()).then(|| (lease.holder.clone(), lease.former))
}

/// Indices of the instance that holds the lease on `endpoint` and of another one.
///
/// Waits until every instance sees all others as live and the lease at its preferred holder, which
/// keeps it while the instances run: before that, it may be released for balance at any moment.
fn find_holder(testbed: &Testbed, endpoint: &str) -> (usize, usize) {
    let indices = 0..testbed.instances.len();
    let name = wait_for("a balanced lease", || {
        let statuses: Option<Vec<StatusReport>> =
            indices.clone().map(|index| status(testbed, index)).collect();
        let statuses = statuses?;
        let holder = preferred_holder(testbed, statuses.first()?, endpoint)?;
        statuses.iter().all(|status| is_balanced(status, &holder, endpoint)).then_some(holder)
    });
    let found = testbed.instances.iter().position(|instance| *instance.addresses.name == *name);
    let held = found.expect("the holder is an instance");
    (held, (held + 1) % testbed.instances.len())
}

/// The instance that the lease on `endpoint` goes to while all instances are live.
fn preferred_holder(testbed: &Testbed, status: &StatusReport, endpoint: &str) -> Option<Arc<str>> {
    let known = status.endpoints.iter().find(|known| known.name == endpoint)?;
    let shards: Vec<Arc<str>> =
        (0..LeaseSettings::default().shards).map(|shard| format!("shard-{shard}").into()).collect();
    let mut names: Vec<Arc<str>> =
        testbed.instances.iter().map(|instance| instance.addresses.name.as_str().into()).collect();
    names.sort_unstable();
    let owner = assign_evenly(&shards, &names).get(usize::try_from(known.shard).ok()?).copied();
    owner.and_then(|owner| names.get(owner).cloned())
}

/// Whether an instance sees all others as live and the lease on `endpoint` at `holder`.
fn is_balanced(status: &StatusReport, holder: &str, endpoint: &str) -> bool {
    let shard = status.endpoints.iter().find(|known| known.name == endpoint).map(|e| e.shard);
    let lease = status.leases.iter().find(|lease| Some(lease.shard) == shard);
    lease.is_some_and(|lease| lease.holder == holder && lease.former == 0)
        && status.instances.iter().all(|instance| instance.presence == "live")
}

fn orders(testbed: &Testbed, endpoint: &str) -> Vec<OrderRecord> {
    let page: OrderPage =
        testbed.client.get(&testbed.addresses.recorder, "/orders").expect("the recorder responds");
    page.orders.into_iter().filter(|order| order.endpoint == endpoint).collect()
}

/// Waits until an order of `kind` has taken effect at `endpoint`.
fn wait_order(testbed: &Testbed, endpoint: &str, kind: &str) -> OrderRecord {
    wait_for("an order", || {
        let done = |order: &OrderRecord| order.kind == kind && order.result == "done";
        orders(testbed, endpoint).into_iter().find(done)
    })
}

/// Counts of violated promises in the records of the stand-ins.
fn promises(testbed: &Testbed) -> PromiseCounts {
    let records = Records::read(&testbed.client, &testbed.addresses.recorder).expect("records");
    check(&records, &[])
}

fn drain(testbed: &Testbed, endpoint: &str) {
    operator(testbed).set_wish(endpoint, WishState::Drain, None).expect("the wish is accepted");
}

#[gtest]
fn paused_holder_is_replaced_if_engines_check_fencing() {
    let testbed = start(true);
    let engine = testbed.engine_names().remove(0);
    let (held, other) = find_holder(&testbed, &engine);
    testbed.instances[held].control.pause();
    drain(&testbed, &engine);
    let order = wait_order(&testbed, &engine, "drain");
    expect_that!(order.holder, not(eq(&testbed.instances[held].addresses.name)));
    testbed.instances[held].control.resume();
    wait_for("an acknowledged loss", || holder(&testbed, other, &engine).filter(|h| h.1 == 0));
    let counts = promises(&testbed);
    expect_that!(counts.is_clean(), eq(true), "{counts}");
}

#[gtest]
fn orders_wait_for_the_former_holder_if_engines_ignore_fencing() {
    let testbed = start(false);
    let engine = testbed.engine_names().remove(0);
    let (held, other) = find_holder(&testbed, &engine);
    let name = testbed.instances[held].addresses.name.clone();
    testbed.instances[held].control.pause();
    drain(&testbed, &engine);
    let taken = wait_for("a new holder", || {
        holder(&testbed, other, &engine).filter(|(holder, _)| *holder != name)
    });
    expect_that!(taken.1, eq(1));
    expect_that!(orders(&testbed, &engine), is_empty());
    testbed.instances[held].control.resume();
    let order = wait_order(&testbed, &engine, "drain");
    expect_that!(order.holder, not(eq(&name)));
    let counts = promises(&testbed);
    expect_that!(counts.is_clean(), eq(true), "{counts}");
}

/// Point at which the lease holder is killed.
struct CrashCase {
    name: &'static str,
    hold_before: u32,
    hold_after: u32,
    hold_count: u32,
}

const CRASH_CASES: &[CrashCase] = &[
    CrashCase { name: "before the intent", hold_before: 1, hold_after: 0, hold_count: 0 },
    CrashCase { name: "after the intent", hold_before: 0, hold_after: 1, hold_count: 0 },
    CrashCase {
        name: "before the record of the effect",
        hold_before: 1,
        hold_after: 0,
        hold_count: 1,
    },
    CrashCase {
        name: "after the record of the effect",
        hold_before: 0,
        hold_after: 1,
        hold_count: 1,
    },
];

#[gtest]
fn order_takes_effect_once_if_its_holder_crashes() {
    for case in CRASH_CASES {
        let mut testbed = start(true);
        let engine = testbed.engine_names().remove(0);
        let (held, _) = find_holder(&testbed, &engine);
        let faults = PlatformFaults {
            delay_ms: 0,
            hold_after: case.hold_after,
            hold_before: case.hold_before,
            hold_count: case.hold_count,
            list_lag_ms: 300,
            lose_replies: 0,
            outage: false,
            prefix: "order/".to_owned(),
        };
        testbed.set_platform_faults(&faults).expect("the platform responds");
        drain(&testbed, &engine);
        wait_for("a held transaction", || {
            let page: HoldPage = testbed.client.get(&testbed.addresses.recorder, "/holds").ok()?;
            (!page.holds.is_empty()).then_some(())
        });
        testbed.spawn_control(held).expect("the control process starts");
        testbed.release_holds().expect("the recorder responds");
        wait_order(&testbed, &engine, "drain");
        wait_for("a record marked as done", || {
            let row = testbed
                .client
                .get::<agatestair_schema::platform::Row>(
                    &testbed.addresses.platform,
                    &format!("/table/row?key=order/{engine}"),
                )
                .ok()?;
            row.value.contains("\"done\":true").then_some(())
        });
        let effects = orders(&testbed, &engine)
            .into_iter()
            .filter(|order| order.result == "done" && !order.repeat)
            .count();
        expect_that!(effects, eq(1), "case {}", case.name);
        let counts = promises(&testbed);
        expect_that!(counts.is_clean(), eq(true), "case {}: {counts}", case.name);
    }
}

#[gtest]
fn concurrent_operators_get_consecutive_revisions() {
    const OPERATORS: usize = 4;
    const CHANGES: usize = 6;
    let testbed = start(true);
    let settings = testbed.addresses.ctl_settings();
    let apply = || {
        let operator = OperatorClient::new(&settings);
        let mut accepted = Vec::new();
        for _ in 0..CHANGES {
            let (lists, _) = operator.current_lists().expect("a read").expect("lists");
            match operator.apply(lists.plans, lists.allowances, Some(lists.revision), "apply") {
                Ok(lists) => accepted.push(lists.revision),
                Err(CtlError::Conflict { base, newer, .. }) => assert!(newer > base),
                Err(error) => panic!("{error}"),
            }
        }
        accepted
    };
    let mut accepted: Vec<u64> = thread::scope(|scope| {
        let runs: Vec<_> = (0..OPERATORS).map(|_| scope.spawn(apply)).collect();
        runs.into_iter().flat_map(|run| run.join().expect("the operator ends")).collect()
    });
    accepted.sort_unstable();
    let count = accepted.len() as u64;
    let first = accepted[0];
    expect_that!(accepted, eq(&(first..first + count).collect::<Vec<u64>>()));
    let last = first + count - 1;
    for index in 0..testbed.instances.len() {
        wait_for("the last revision", || {
            status(&testbed, index).filter(|status| status.revision == last)
        });
    }
}

#[gtest]
fn revision_does_not_decrease_on_restarts_with_the_store_down() {
    let mut testbed = start(true);
    let operator = operator(&testbed);
    let (lists, _) = operator.current_lists().expect("a read").expect("lists");
    let applied = operator.apply(lists.plans, lists.allowances, None, "apply");
    let revision = applied.expect("the change is accepted").revision;
    for index in 0..testbed.instances.len() {
        wait_for("the new revision", || {
            status(&testbed, index).filter(|status| status.revision == revision)
        });
    }
    let faults = PlatformFaults {
        delay_ms: 0,
        hold_after: 0,
        hold_before: 0,
        hold_count: 0,
        list_lag_ms: 300,
        lose_replies: 0,
        outage: true,
        prefix: String::new(),
    };
    testbed.set_platform_faults(&faults).expect("the platform responds");
    for index in 0..testbed.instances.len() {
        testbed.restart_control(index).expect("the process gets the lists from its peers");
        let known = status(&testbed, index).expect("the process responds");
        expect_that!(known.revision, eq(revision), "instance {index}");
    }
    let up = PlatformFaults { outage: false, ..faults };
    testbed.set_platform_faults(&up).expect("the platform responds");
    let known = wait_for("a response of the store", || {
        status(&testbed, 0).filter(|status| status.store_age < 1000)
    });
    expect_that!(known.revision, eq(revision));
}

#[gtest]
fn drain_can_be_reverted() {
    let testbed = start(true);
    let engine = testbed.engine_names().remove(1);
    find_holder(&testbed, &engine);
    drain(&testbed, &engine);
    wait_order(&testbed, &engine, "drain");
    operator(&testbed).set_wish(&engine, WishState::Serve, None).expect("the wish is accepted");
    wait_order(&testbed, &engine, "resume");
    wait_for("a serving engine", || {
        let status = status(&testbed, 0)?;
        status.endpoints.into_iter().find(|known| known.name == engine && known.state == "serving")
    });
}
