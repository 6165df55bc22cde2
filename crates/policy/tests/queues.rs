//! Order, limits and fairness of the request queues, and retry delays of refusals.

mod fake;

use std::time::Duration;

use agatestair_policy::{RefusalCode, SchedulerSettings};
use agatestair_schema::link::EndpointRole;
use fake::{PlanCase, Record, Simulation, completion, lists};
use googletest::prelude::*;

const PLANS: [PlanCase; 2] = [
    PlanCase { name: "gold", priority: 2, share: 0.5, borrow: true },
    PlanCase { name: "base", priority: 1, share: 0.5, borrow: true },
];

fn simulation(engines: usize, settings: &SchedulerSettings) -> Simulation {
    let mut sim = Simulation::new(settings, &lists(&PLANS), 1);
    sim.add_endpoints(engines, EndpointRole::Mixed, 0);
    sim.run(Duration::from_millis(500));
    sim
}

/// Settings under which requests wait until their deadline rather than being refused as too late.
fn long_wait_settings() -> SchedulerSettings {
    let mut settings = SchedulerSettings::default();
    settings.queue.late_factor = 100.0;
    settings
}

/// Records of a plan's requests at the only entry.
fn records<'a>(sim: &'a Simulation, plan: &'a str) -> impl Iterator<Item = &'a Record> {
    sim.entries[0].records.values().filter(move |record| record.plan == plan)
}

#[gtest]
fn long_requests_are_not_starved_by_short_ones() {
    let mut sim = simulation(1, &long_wait_settings());
    let mut long = Vec::new();
    for step in 0..6_000 {
        let deadline = sim.now + Duration::from_secs(60);
        if step % 2 == 0 {
            let _ = sim.submit(0, completion("gold", "short", 200, 10, deadline));
        }
        if step == 1_000 {
            long.extend(sim.submit(0, completion("gold", "long", 20_000, 200, deadline)));
        }
        sim.step();
    }
    let record = &sim.entries[0].records[&long[0]];
    expect_that!(record.first_token.is_some(), eq(true), "{record:?}");
}

#[gtest]
fn short_requests_overtake_long_ones() {
    let mut sim = simulation(1, &long_wait_settings());
    let deadline = sim.now + Duration::from_secs(60);
    for _ in 0..100 {
        let _ = sim.submit(0, completion("gold", "long", 6_000, 100, deadline));
    }
    sim.run(Duration::from_millis(100));
    let short = sim.submit(0, completion("gold", "short", 100, 10, deadline)).unwrap();
    sim.run(Duration::from_secs(2));
    let done = records(&sim, "gold").filter(|record| record.done.is_some()).count();
    expect_that!(sim.entries[0].records[&short].done.is_some(), eq(true));
    expect_that!(done, le(40));
}

#[gtest]
fn one_customer_cannot_fill_the_queue_of_a_plan() {
    let mut sim = simulation(1, &long_wait_settings());
    let deadline = sim.now + Duration::from_secs(60);
    let mut refused = 0;
    for _ in 0..1_000 {
        refused +=
            u32::from(sim.submit(0, completion("base", "greedy", 2_000, 20, deadline)).is_err());
    }
    expect_that!(refused, ge(500));
    let other = sim.submit(0, completion("base", "modest", 2_000, 20, deadline));
    expect_that!(other.is_ok(), eq(true));
    sim.run(Duration::from_millis(1_000));
    let record = &sim.entries[0].records[&other.unwrap()];
    expect_that!(
        record.first_token.is_some(),
        eq(true),
        "the other customer must not wait behind the greedy one"
    );
}

#[gtest]
fn queue_length_stays_within_the_plan_limit() {
    let mut sim = simulation(1, &long_wait_settings());
    let deadline = sim.now + Duration::from_secs(60);
    for index in 0..5_000 {
        let customer = format!("c{}", index % 50);
        let _ = sim.submit(0, completion("base", &customer, 500, 20, deadline));
        sim.poll(0);
        assert!(sim.entries[0].scheduler.waiting() <= 500);
    }
}

#[gtest]
fn refusals_come_early_and_spread_retries() {
    let mut sim = simulation(2, &SchedulerSettings::default());
    let mut retry_delays = Vec::new();
    for step in 0..3_000 {
        let deadline = sim.now + Duration::from_secs(30);
        let customer = format!("c{}", step % 20);
        if let Err(refusal) = sim.submit(
            0,
            completion("gold", &customer, 500 + step % 7 * 500, 20 + step % 11 * 8, deadline),
        ) {
            expect_that!(refusal.code, any!(eq(RefusalCode::TooLate), eq(RefusalCode::QueueFull)));
            retry_delays.extend(refusal.retry_after);
        }
        sim.step();
    }
    sim.run(Duration::from_secs(5));
    let refused_late = records(&sim, "gold").filter(|record| record.refused.is_some()).count();
    let admitted = records(&sim, "gold").count();
    expect_that!(retry_delays.len(), ge(1_000));
    expect_that!(
        refused_late * 5,
        le(admitted),
        "{refused_late} of {admitted} admitted requests were refused later"
    );
    retry_delays.sort();
    let spread = retry_delays[retry_delays.len() * 9 / 10]
        .saturating_sub(retry_delays[retry_delays.len() / 10]);
    expect_that!(spread, ge(Duration::from_secs(5)));
}
