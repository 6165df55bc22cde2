//! Access by API key, and when an instance asks the store for a proof, without a network.

use std::sync::Arc;
use std::time::Duration;

use agatestair_policy::board::BoardSettings;
use agatestair_policy::{Moment, Proof, RetrySettings};
use agatestair_serve::{
    Access, Configuration, Credential, Customer, Customers, KeyHash, Limits, Member, MemberState,
    Node, NodeSettings, ProofPlan, Route, RouteKind,
};
use googletest::prelude::*;

const BOUND: Duration = Duration::from_secs(5);

fn at(ms: u64) -> Moment {
    Moment::default() + Duration::from_millis(ms)
}

fn member(name: &str) -> Member {
    Member {
        name: name.into(),
        domain: "a".into(),
        callers: ([127, 0, 0, 1], 1).into(),
        peers: ([127, 0, 0, 1], 2).into(),
        born: 1,
        weight: 120,
    }
}

fn node(draw: f64) -> Node {
    let (own, board, retry) = (member("own"), BoardSettings::default(), RetrySettings::default());
    Node::new(NodeSettings { own, board, retry, draw })
}

fn route(name: &str, public: bool) -> Route {
    Route {
        name: name.into(),
        host: "h".into(),
        prefix: format!("/{name}/").into(),
        kind: RouteKind::Once,
        timeout: Duration::from_secs(1),
        objective: Duration::from_secs(1),
        max_gap: Duration::from_secs(1),
        rank: 0,
        targets: Vec::new(),
        attempts: 1,
        public,
    }
}

fn customer(name: &str) -> Customer {
    Customer { name: name.into(), rank: None }
}

fn key(text: &str) -> Credential {
    Credential::Key(KeyHash::of(text.as_bytes()))
}

/// Serves by a version in which the customer `c` holds `keys`, or without customers.
fn configure(node: &mut Node, version: u64, keys: Option<&[&str]>) {
    let routes = vec![route("private", false), route("public", true)];
    let mut configuration = Configuration::new(version, routes, Vec::new(), Limits::default());
    configuration.customers = keys.map(|keys| {
        let mut customers = Customers::default();
        customers.insert(customer("c"), keys.iter().map(|key| KeyHash::of(key.as_bytes())));
        customers
    });
    node.adopt(configuration);
    node.note_configuration_row(version);
}

/// Records a proof of the current row from a call at this time.
fn prove(node: &mut Node, ms: u64) {
    let row = node.freshness.row().expect("a row is known");
    node.freshness.note_clock(ms, at(ms), at(ms));
    node.freshness.note_proof(Proof { row, timeline: None, at_ms: ms }, at(ms));
}

#[derive(Debug)]
struct AccessCase {
    /// The failure that the case guards against.
    guards: &'static str,
    public: bool,
    credential: Credential,
    /// Time since the proof in milliseconds.
    age: u64,
    access: Access,
}

fn cases() -> Vec<AccessCase> {
    let granted = Access::Granted(Arc::new(customer("c")));
    let (denied, unproven) = (Access::Denied, Access::Unproven);
    let none = Credential::Missing;
    [
        ("a valid key is refused", false, key("k"), 0, granted.clone()),
        ("a key is refused before the bound", false, key("k"), 4900, granted.clone()),
        ("a key is used after the bound", false, key("k"), 5000, unproven.clone()),
        ("an unknown key is served", false, key("other"), 0, denied("unknown API key")),
        ("case of a key is ignored", false, key("K"), 0, denied("unknown API key")),
        ("a new key is refused for good", false, key("other"), 2100, unproven),
        ("a request without a key is served", false, none, 0, denied("no API key")),
        ("a missing key is retried elsewhere", false, none, 9000, denied("no API key")),
        ("two keys are served", false, Credential::Malformed, 0, denied("malformed API key")),
        ("a public route needs a key", true, none, 0, Access::Anonymous),
        ("a public route needs a proof", true, none, 9000, Access::Anonymous),
        ("a public route refuses a key", true, key("other"), 0, Access::Anonymous),
        ("a public route hides the customer", true, key("k"), 0, granted),
        ("an old key names a customer", true, key("k"), 5000, Access::Anonymous),
    ]
    .into_iter()
    .map(|(guards, public, credential, age, access)| AccessCase {
        guards,
        public,
        credential,
        age,
        access,
    })
    .collect()
}

#[gtest]
fn keys_decide_while_they_are_known_to_be_current() {
    let mut node = node(0.5);
    node.set_revoke(Some(BOUND));
    configure(&mut node, 1, Some(&["k"]));
    prove(&mut node, 1000);
    for case in cases() {
        let route = if case.public { route("public", true) } else { route("private", false) };
        let access = node.access(&route, case.credential, at(1000 + case.age));
        expect_that!(access, eq(&case.access), "{}", case.guards);
    }
}

/// Guards against a request that is judged by a route or by customers of a former configuration.
#[gtest]
fn access_follows_the_current_configuration() {
    let mut node = node(0.5);
    let (private, public) = (route("private", false), route("public", true));
    let anonymous = Credential::Missing;
    configure(&mut node, 1, None);
    expect_that!(node.access(&private, key("k"), at(0)), eq(&Access::Unchecked));
    configure(&mut node, 2, Some(&[]));
    expect_that!(node.access(&private, key("k"), at(0)), eq(&Access::Denied("unknown API key")));
    let former = Route { public: true, ..private.clone() };
    expect_that!(node.access(&former, anonymous, at(0)), eq(&Access::Denied("no API key")));
    let former = Route { public: false, ..public };
    expect_that!(node.access(&former, anonymous, at(0)), eq(&Access::Anonymous));
    configure(&mut node, 3, Some(&["k"]));
    expect_that!(node.access(&private, key("k"), at(0)), matches_pattern!(Access::Granted(_)));
    configure(&mut node, 4, None);
    expect_that!(node.access(&private, anonymous, at(0)), eq(&Access::Unchecked));
}

/// Guards against an instance that is ready before its first proof or after its last one, or that is
/// never ready again.
#[gtest]
fn an_instance_lapses_without_proofs() {
    let mut node = node(0.5);
    node.set_revoke(Some(BOUND));
    configure(&mut node, 1, None);
    expect_that!((node.update_lapse(at(0)), node.has_lapsed()), eq((false, false)));
    configure(&mut node, 2, Some(&["k"]));
    expect_that!(node.has_lapsed(), eq(true), "nothing was proven yet");
    prove(&mut node, 1000);
    expect_that!((node.update_lapse(at(1000)), node.has_lapsed()), eq((true, false)));
    expect_that!((node.update_lapse(at(7000)), node.has_lapsed()), eq((true, true)));
    prove(&mut node, 7000);
    expect_that!((node.update_lapse(at(7000)), node.has_lapsed()), eq((true, false)));
    node.update_lapse(at(13_000));
    configure(&mut node, 3, None);
    expect_that!(node.has_lapsed(), eq(false), "keys are no longer checked");
}

#[gtest]
fn a_small_fleet_asks_once_a_second_while_keys_are_checked() {
    let mut node = node(0.5);
    let ask = |row| ProofPlan::Ask { row, share: true };
    let second = Duration::from_secs(1);
    let plan = |node: &Node, asked| node.plan_proof(asked, at(0), at(0));
    configure(&mut node, 1, Some(&["k"]));
    expect_that!(plan(&node, Duration::MAX), eq(ProofPlan::Off), "no bound is set");
    node.set_revoke(Some(BOUND));
    expect_that!(plan(&node, Duration::MAX), eq(ask(1)));
    expect_that!(plan(&node, second.mul_f64(0.9)), eq(ProofPlan::Wait));
    expect_that!(plan(&node, second), eq(ask(1)));
    configure(&mut node, 2, None);
    expect_that!(plan(&node, Duration::MAX), eq(ProofPlan::Off), "keys are not checked");
}

/// Guards against instances of a large fleet that call the store while proofs arrive, that all call
/// it at the same moment when they end, or that call it too late.
#[gtest]
fn a_large_fleet_asks_only_without_proofs_of_others() {
    let mut asks_at = Vec::new();
    for draw in [0.0, 0.25, 0.5, 0.75, 1.0] {
        let mut node = node(draw);
        let alive = MemberState { ready: true, leaving: false };
        for index in 0..300 {
            node.members.note_heard(member(&format!("i{index}")), alive, at(0));
        }
        expect_that!(node.members.is_large(), eq(true));
        node.set_revoke(Some(BOUND));
        configure(&mut node, 1, Some(&["k"]));
        prove(&mut node, 1000);
        let long_ago = Duration::from_secs(60);
        let due = (0..BOUND.as_millis() as u64)
            .step_by(50)
            .find(|age| node.plan_proof(long_ago, at(0), at(1000 + age)) != ProofPlan::Wait);
        asks_at.push(due.expect("it asks before the bound"));
        // 20 calls per second of 300 instances.
        let plan = |asked| node.plan_proof(Duration::from_secs(asked), at(0), at(9000));
        expect_that!(plan(14), eq(ProofPlan::Wait));
        expect_that!(plan(16), eq(ProofPlan::Ask { row: 1, share: false }));
    }
    expect_that!(asks_at, each(all!(ge(&2450), le(&3800))));
    expect_that!(asks_at.is_sorted_by(|former, next| former < next), eq(true), "{asks_at:?}");
}
