//! Second attempts help against slowed endpoints and keep to their budget.

mod fake;

use std::time::Duration;

use agatestair_policy::{Budget, BudgetSettings, HedgeRule, HedgeSettings, SchedulerSettings};
use agatestair_schema::link::EndpointRole;
use fake::{PlanCase, World, completion, lists};
use googletest::prelude::*;
use proptest::prelude::{ProptestConfig, proptest};

const PLANS: [PlanCase; 1] = [PlanCase { name: "gold", priority: 1, share: 1.0, borrow: true }];

const RULES: [(&str, HedgeRule); 4] = [
    ("off", HedgeRule::Off),
    ("fixed", HedgeRule::Fixed(Duration::from_millis(600))),
    ("percentile", HedgeRule::Percentile(0.95)),
    ("progress", HedgeRule::Progress(3)),
];

struct Outcome {
    p50: f64,
    p99: f64,
    extra: f64,
    started: f64,
}

/// Offers middling requests at half the capacity while `slowed` of eight engines are slower.
fn run(rule: HedgeRule, slowed: usize, factor: f64) -> Outcome {
    let hedge = HedgeSettings { rule, ..HedgeSettings::default() };
    let settings = SchedulerSettings { hedge, ..SchedulerSettings::default() };
    let mut world = World::new(&settings, &lists(&PLANS), 1);
    world.report_lag = Duration::from_secs(3);
    world.add(8, EndpointRole::Mixed, 0);
    world.run(Duration::from_millis(500));
    offer(&mut world, 1500);
    world.endpoints.iter_mut().take(slowed).for_each(|endpoint| endpoint.slow = factor);
    let from = world.now;
    offer(&mut world, 4000);
    world.run(Duration::from_secs(30));
    let records = world.entries[0].records.values().filter(|record| record.submitted >= from);
    let mut times: Vec<f64> =
        records.filter_map(|r| r.done.map(|done| done.since(r.submitted).as_secs_f64())).collect();
    times.sort_by(f64::total_cmp);
    let at = |part: f64| times[((times.len() - 1) as f64 * part) as usize];
    Outcome { p50: at(0.5), p99: at(0.99), extra: world.extra(), started: world.started }
}

fn offer(world: &mut World, steps: usize) {
    for step in 0..steps {
        if step % 5 == 0 {
            let size = 40 + (step % 7 * 10) as u32;
            let end = world.now + Duration::from_secs(25);
            let _ = world.submit(0, completion("gold", "c", 1_000, size, end));
        }
        world.step();
    }
}

#[gtest]
fn rules_compared_under_slowed_endpoints() {
    for (name, rule) in RULES {
        let outcome = run(rule, 2, 5.0);
        println!(
            "{name}: p50 {:.3} s, p99 {:.3} s, extra work {:.1}%",
            outcome.p50,
            outcome.p99,
            100.0 * outcome.extra / outcome.started
        );
    }
}

#[gtest]
fn budget_holds_when_all_endpoints_are_slow() {
    for (name, rule) in RULES {
        let outcome = run(rule, 8, 12.0);
        let budget = HedgeSettings::default().budget;
        let bound = budget.burst + budget.ratio * outcome.started;
        expect_that!(outcome.extra, le(bound), "{name}");
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
        let (mut worked, mut spent) = (0.0, 0.0);
        for (work, extra, refund) in steps {
            budget.earn(work);
            worked += work;
            if budget.spend(extra) {
                spent += extra;
                budget.refund(extra * refund);
                spent -= extra * refund;
            }
            assert!(spent <= burst + ratio * worked + 1e-9);
        }
    }
}
