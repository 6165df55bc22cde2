//! Property tests: every request ends exactly once, and non-idempotent calls run at most once.

mod fake;

use std::time::Duration;

use agatestair_policy::{AttemptEnd, HedgeRule, HedgeSettings, SchedulerSettings};
use agatestair_schema::link::EndpointRole;
use agatestair_schema::settings::PolicyName;
use fake::{PlanCase, Simulation, call, completion, lists};
use proptest::prelude::*;

const PLANS: [PlanCase; 2] = [
    PlanCase { name: "gold", priority: 2, share: 0.5, borrow: true },
    PlanCase { name: "base", priority: 1, share: 0.3, borrow: false },
];

#[derive(Clone, Copy, Debug)]
enum Event {
    SubmitCompletion { gold: bool, customer: u8, prompt: u32, output: u32 },
    SubmitCall { idempotent: bool },
    Withdraw(usize),
    SetFault { endpoint: usize, fault: Option<AttemptEnd> },
    SetSlowdown { endpoint: usize, factor: f64 },
    Advance(u64),
    Silence,
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let fault = prop_oneof![
        Just(None),
        Just(Some(AttemptEnd::NotRun)),
        Just(Some(AttemptEnd::Failed)),
        Just(Some(AttemptEnd::Cancelled)),
    ];
    let event = prop_oneof![
        8 => (any::<bool>(), 0..4_u8, 1..8_000_u32, 1..300_u32).prop_map(
            |(gold, customer, prompt, output)| {
                Event::SubmitCompletion { gold, customer, prompt, output }
            }
        ),
        4 => any::<bool>().prop_map(|idempotent| Event::SubmitCall { idempotent }),
        2 => any::<prop::sample::Index>().prop_map(|index| Event::Withdraw(index.index(1000))),
        1 => (0..8_usize, fault).prop_map(|(endpoint, fault)| Event::SetFault { endpoint, fault }),
        1 => (0..8_usize, 1.0..20.0)
            .prop_map(|(endpoint, factor)| Event::SetSlowdown { endpoint, factor }),
        4 => (1..200_u64).prop_map(Event::Advance),
        1 => Just(Event::Silence),
    ];
    prop::collection::vec(event, 1..150)
}

fn policies() -> impl Strategy<Value = (PolicyName, HedgeRule)> {
    let rule = prop_oneof![
        Just(HedgeRule::Off),
        Just(HedgeRule::Fixed(Duration::from_millis(100))),
        Just(HedgeRule::Percentile(0.9)),
        Just(HedgeRule::Progress(2)),
    ];
    let policy = prop_oneof![4 => Just(PolicyName::Own), 1 => Just(PolicyName::RoundRobin), 1 => Just(PolicyName::LeastReported)];
    (policy, rule)
}

fn check_invariants(policy: PolicyName, rule: HedgeRule, split_roles: bool, events: &[Event]) {
    let hedge = HedgeSettings { rule, benefit: 0.0, ..HedgeSettings::default() };
    let settings = SchedulerSettings { policy, hedge, ..SchedulerSettings::default() };
    let mut sim = Simulation::new(&settings, &lists(&PLANS), 1);
    if split_roles {
        sim.add_endpoints(2, EndpointRole::Prefill, 0);
        sim.add_endpoints(4, EndpointRole::Decode, 2);
    } else {
        sim.add_endpoints(6, EndpointRole::Mixed, 2);
    }
    sim.step();
    let mut admitted = Vec::new();
    let mut idempotent_by_key = std::collections::HashMap::new();
    for event in events {
        let deadline = sim.now + Duration::from_secs(20);
        match *event {
            Event::SubmitCompletion { gold, customer, prompt, output } => {
                let plan = if gold { "gold" } else { "base" };
                let facts = completion(plan, &format!("c{customer}"), prompt, output, deadline);
                if let Ok(key) = sim.submit(0, facts) {
                    admitted.push(key);
                    idempotent_by_key.insert(key, true);
                }
            }
            Event::SubmitCall { idempotent } => {
                if let Ok(key) = sim.submit(0, call("gold", "c", idempotent, deadline)) {
                    admitted.push(key);
                    idempotent_by_key.insert(key, idempotent);
                }
            }
            Event::Withdraw(index) if !admitted.is_empty() => {
                sim.withdraw(0, admitted[index % admitted.len()]);
            }
            Event::Withdraw(_) => {}
            Event::SetFault { endpoint, fault } => sim.endpoints[endpoint].fault = fault,
            Event::SetSlowdown { endpoint, factor } => sim.endpoints[endpoint].slowdown = factor,
            Event::Advance(millis) => sim.run(Duration::from_millis(millis)),
            Event::Silence => sim.silence(0),
        }
    }
    for endpoint in &mut sim.endpoints {
        endpoint.fault = None;
        endpoint.slowdown = 1.0;
    }
    sim.run(Duration::from_secs(40));
    for (key, record) in &sim.entries[0].records {
        let outcomes = [record.done.is_some(), record.refused.is_some(), record.withdrawn];
        assert_eq!(outcomes.iter().filter(|ended| **ended).count(), 1, "{record:?}");
        if !idempotent_by_key[key] {
            assert!(
                record.executions <= 1,
                "a non-idempotent call was executed {} times",
                record.executions
            );
        }
    }
    assert_eq!(sim.entries[0].scheduler.open(), 0);
    assert_eq!(sim.entries[0].scheduler.waiting(), 0);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn each_request_ends_once((policy, rule) in policies(), split_roles: bool, events in events()) {
        check_invariants(policy, rule, split_roles, &events);
    }
}

/// A request whose attempt failed was refused even though it had been withdrawn before the refusal
/// was returned. Found by `each_request_ends_once`.
#[test]
fn a_withdrawn_request_is_not_refused_afterwards() {
    let events = [
        Event::SubmitCompletion { gold: false, customer: 0, prompt: 1, output: 1 },
        Event::SubmitCompletion { gold: false, customer: 0, prompt: 1, output: 1 },
        Event::SubmitCompletion { gold: false, customer: 0, prompt: 1, output: 1 },
        Event::SetFault { endpoint: 6, fault: Some(AttemptEnd::NotRun) },
        Event::SubmitCompletion { gold: false, customer: 0, prompt: 1, output: 3 },
        Event::SubmitCompletion { gold: false, customer: 2, prompt: 2322, output: 36 },
        Event::SetFault { endpoint: 7, fault: Some(AttemptEnd::Cancelled) },
        Event::SubmitCompletion { gold: true, customer: 1, prompt: 5368, output: 169 },
        Event::SubmitCompletion { gold: false, customer: 1, prompt: 7071, output: 267 },
        Event::SubmitCall { idempotent: false },
        Event::SubmitCompletion { gold: true, customer: 3, prompt: 6606, output: 290 },
        Event::SubmitCompletion { gold: true, customer: 3, prompt: 5941, output: 84 },
        Event::SubmitCall { idempotent: false },
        Event::SubmitCompletion { gold: true, customer: 3, prompt: 2942, output: 261 },
        Event::SubmitCompletion { gold: false, customer: 0, prompt: 6084, output: 263 },
        Event::SubmitCompletion { gold: true, customer: 1, prompt: 1849, output: 32 },
        Event::SubmitCompletion { gold: true, customer: 0, prompt: 4323, output: 43 },
        Event::SubmitCall { idempotent: false },
        Event::SubmitCompletion { gold: true, customer: 3, prompt: 5687, output: 206 },
        Event::SubmitCompletion { gold: true, customer: 0, prompt: 4340, output: 192 },
        Event::SubmitCompletion { gold: true, customer: 1, prompt: 6467, output: 67 },
        Event::SubmitCall { idempotent: true },
        Event::SubmitCompletion { gold: true, customer: 1, prompt: 6649, output: 203 },
        Event::SubmitCall { idempotent: false },
        Event::Advance(7),
        Event::SubmitCall { idempotent: false },
        Event::Withdraw(594),
    ];
    check_invariants(PolicyName::Own, HedgeRule::Off, false, &events);
}
