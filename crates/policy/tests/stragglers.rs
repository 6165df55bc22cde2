//! Hedged attempts against slow engines, and the budget that limits them.

mod fake;

use std::time::Duration;

use agatestair_policy::{
    AttemptEnd, Budget, BudgetSettings, HedgeRule, HedgeSettings, SchedulerSettings,
};
use agatestair_schema::link::EndpointRole;
use agatestair_schema::settings::PolicyName;
use fake::{FIRST_TARGET, FakeEndpoint, PlanCase, Simulation, completion, lists};
use googletest::prelude::*;
use proptest::prelude::{ProptestConfig, proptest};

const PLANS: [PlanCase; 1] = [PlanCase { name: "gold", priority: 1, share: 1.0, borrow: true }];

const RULES: [(&str, HedgeRule); 4] = [
    ("off", HedgeRule::Off),
    ("fixed", HedgeRule::Fixed(Duration::from_millis(600))),
    ("percentile", HedgeRule::Percentile(0.95)),
    ("progress", HedgeRule::Progress(3)),
];

/// Latency in seconds, and the extra and started work in engine seconds.
struct Outcome {
    p50: f64,
    p99: f64,
    extra_work: f64,
    started_work: f64,
}

/// Offers medium-sized requests at half the capacity while `slow_engines` of eight engines are
/// slower by `factor`.
fn run(rule: HedgeRule, slow_engines: usize, factor: f64) -> Outcome {
    let hedge = HedgeSettings { rule, ..HedgeSettings::default() };
    let settings = SchedulerSettings { hedge, ..SchedulerSettings::default() };
    let mut sim = Simulation::new(&settings, &lists(&PLANS), 1);
    sim.report_lag = Duration::from_secs(3);
    sim.add_endpoints(8, EndpointRole::Mixed, 0);
    sim.run(Duration::from_millis(500));
    offer(&mut sim, 1500);
    sim.endpoints.iter_mut().take(slow_engines).for_each(|endpoint| endpoint.slowdown = factor);
    let from = sim.now;
    offer(&mut sim, 4000);
    sim.run(Duration::from_secs(30));
    let records = sim.entries[0].records.values().filter(|record| record.submitted >= from);
    let mut times: Vec<f64> =
        records.filter_map(|r| r.done.map(|done| done.since(r.submitted).as_secs_f64())).collect();
    times.sort_by(f64::total_cmp);
    let quantile = |part: f64| times[((times.len() - 1) as f64 * part) as usize];
    Outcome {
        p50: quantile(0.5),
        p99: quantile(0.99),
        extra_work: sim.extra_work(),
        started_work: sim.started_work,
    }
}

/// Submits one request in every fifth of `steps` simulation steps.
fn offer(sim: &mut Simulation, steps: usize) {
    for step in 0..steps {
        if step % 5 == 0 {
            let size = 40 + (step % 7 * 10) as u32;
            let deadline = sim.now + Duration::from_secs(25);
            let _ = sim.submit(0, completion("gold", "c", 1_000, size, deadline));
        }
        sim.step();
    }
}

/// Prints the latency and the extra work of each hedge rule; asserts nothing.
#[gtest]
fn compares_hedge_rules_with_slow_engines() {
    for (name, rule) in RULES {
        let outcome = run(rule, 2, 5.0);
        println!(
            "{name}: p50 {:.3} s, p99 {:.3} s, extra work {:.1}%",
            outcome.p50,
            outcome.p99,
            100.0 * outcome.extra_work / outcome.started_work
        );
    }
}

#[gtest]
fn extra_work_stays_within_the_budget_when_all_engines_are_slow() {
    for (name, rule) in RULES {
        let outcome = run(rule, 8, 12.0);
        let budget = HedgeSettings::default().budget;
        let bound = budget.burst + budget.ratio * outcome.started_work;
        expect_that!(outcome.extra_work, le(bound), "{name}");
    }
}

/// Engines that never answer, of three, and the number of output tokens of a request.
struct SilentCase {
    silent: usize,
    output: u32,
}

const SILENT_CASES: [SilentCase; 4] = [
    SilentCase { silent: 1, output: 24 },
    SilentCase { silent: 2, output: 24 },
    SilentCase { silent: 1, output: 1000 },
    SilentCase { silent: 2, output: 1000 },
];

/// Each silent engine costs a request at most about the plan's target to the first token, although
/// no later request overtakes it.
#[gtest]
fn requests_at_silent_engines_begin_in_time() {
    for case in &SILENT_CASES {
        let mut sim = Simulation::new(&SchedulerSettings::default(), &lists(&PLANS), 1);
        sim.add_endpoints(3, EndpointRole::Mixed, 0);
        sim.run(Duration::from_millis(500));
        for endpoint in sim.endpoints.iter_mut().take(case.silent) {
            endpoint.slowdown = f64::INFINITY;
        }
        let bound = FIRST_TARGET * (case.silent as u32 + 1);
        for _ in 0..6 {
            let deadline = sim.now + Duration::from_secs(30);
            let request = completion("gold", "c", 400, case.output, deadline);
            let key = sim.submit(0, request).expect("an idle fleet admits");
            sim.run(Duration::from_secs(25));
            let record = &sim.entries[0].records[&key];
            let first = record.first_token.map(|first| first.since(record.submitted));
            expect_that!(first, some(le(bound)), "{} silent", case.silent);
            expect_that!(record.done, some(anything()), "{} silent", case.silent);
        }
    }
}

/// An engine that is silent and goes on ends the request, although all engines are silent at first,
/// another one hangs for good, and none takes a further attempt.
#[gtest]
fn silent_attempts_are_kept_until_another_one_has_answered() {
    let mut sim = Simulation::new(&SchedulerSettings::default(), &lists(&PLANS), 1);
    sim.add_endpoints(2, EndpointRole::Mixed, 0);
    sim.run(Duration::from_millis(500));
    for endpoint in &mut sim.endpoints {
        endpoint.slowdown = f64::INFINITY;
    }
    let deadline = sim.now + Duration::from_secs(30);
    let key =
        sim.submit(0, completion("gold", "c", 400, 24, deadline)).expect("an idle fleet admits");
    sim.step();
    let first = sim.endpoints.iter().position(FakeEndpoint::is_busy).expect("an engine has it");
    while !sim.endpoints.iter().all(FakeEndpoint::is_busy) {
        sim.step();
    }
    for endpoint in &mut sim.endpoints {
        endpoint.fault = Some(AttemptEnd::NotRun);
    }
    sim.run(FIRST_TARGET * 2);
    sim.endpoints[first].slowdown = 1.0;
    sim.run(Duration::from_secs(5));
    let record = &sim.entries[0].records[&key];
    expect_that!(record.refused, none());
    expect_that!(record.done, some(anything()));
}

/// A stream whose engine is silent in its middle and goes on.
struct MiddleCase {
    name: &'static str,
    policy: PolicyName,
    retry: BudgetSettings,
    /// How new attempts end.
    fault: Option<AttemptEnd>,
    /// Whether a further attempt is started.
    tried: bool,
}

const RETRY: BudgetSettings = BudgetSettings { ratio: 0.1, burst: 100.0 };
const REFUSED: MiddleCase = MiddleCase {
    name: "refused elsewhere",
    policy: PolicyName::Own,
    retry: RETRY,
    fault: Some(AttemptEnd::NotRun),
    tried: true,
};
const MIDDLE_CASES: [MiddleCase; 5] = [
    REFUSED,
    MiddleCase { name: "failed elsewhere", fault: Some(AttemptEnd::Failed), ..REFUSED },
    MiddleCase { name: "taken elsewhere", fault: None, ..REFUSED },
    MiddleCase { name: "round robin", policy: PolicyName::RoundRobin, ..REFUSED },
    MiddleCase {
        name: "retry budget spent",
        retry: BudgetSettings { ratio: 0.0, burst: 0.0 },
        tried: false,
        ..REFUSED
    },
];

#[gtest]
fn streams_of_silent_engines_that_go_on_are_whole() {
    for case in &MIDDLE_CASES {
        let settings = SchedulerSettings {
            policy: case.policy,
            retry: case.retry.clone(),
            ..SchedulerSettings::default()
        };
        let mut sim = Simulation::new(&settings, &lists(&PLANS), 1);
        sim.add_endpoints(2, EndpointRole::Mixed, 0);
        sim.run(Duration::from_millis(500));
        let deadline = sim.now + Duration::from_secs(30);
        let request = completion("gold", "c", 400, 200, deadline);
        let key = sim.submit(0, request).expect("an idle fleet admits");
        while sim.entries[0].records[&key].first_token.is_none() {
            sim.step();
        }
        let engine = sim.endpoints.iter().position(FakeEndpoint::is_busy).expect("one has it");
        sim.endpoints[engine].slowdown = f64::INFINITY;
        for endpoint in &mut sim.endpoints {
            endpoint.fault = case.fault;
        }
        sim.silence(0);
        sim.run(Duration::from_millis(200));
        let record = &sim.entries[0].records[&key];
        expect_that!(record.attempts > 1, eq(case.tried), "{}", case.name);
        expect_that!(record.refused, none(), "{}", case.name);
        let kept = sim.endpoints[engine].is_busy();
        expect_that!(kept, eq(case.fault.is_some()), "{}", case.name);
        sim.endpoints[engine].slowdown = 1.0;
        sim.run(Duration::from_secs(20));
        let record = &sim.entries[0].records[&key];
        expect_that!(record.done, some(anything()), "{}", case.name);
        expect_that!(sim.entries[0].scheduler.waiting(), eq(0), "{}", case.name);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn budget_is_never_exceeded(
        ratio in 0.0..0.5_f64,
        burst in 0.0..20.0_f64,
        steps in proptest::collection::vec((0.0..3.0_f64, 0.0..3.0_f64, 0.0..1.0_f64), 0..200),
    ) {
        let mut budget = Budget::new(BudgetSettings { ratio, burst });
        let (mut earned, mut spent) = (0.0, 0.0);
        for (work, extra, refund) in steps {
            budget.earn(work);
            earned += work;
            if budget.spend(extra) {
                spent += extra;
                budget.refund(extra * refund);
                spent -= extra * refund;
            }
            assert!(spent <= burst + ratio * earned + 1e-9);
        }
    }
}
