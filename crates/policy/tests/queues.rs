//! Order, bounds and fairness of the queues, and refusals that spread callers out.

mod fake;

use std::time::Duration;

use agatestair_policy::{RefusalCode, SchedulerSettings};
use agatestair_schema::link::EndpointRole;
use fake::{PlanCase, Record, World, completion, lists};
use googletest::prelude::*;

const PLANS: [PlanCase; 2] = [
    PlanCase { name: "gold", priority: 2, share: 0.5, borrow: true },
    PlanCase { name: "base", priority: 1, share: 0.5, borrow: true },
];

fn world(engines: usize, settings: &SchedulerSettings) -> World {
    let mut world = World::new(settings, &lists(&PLANS), 1);
    world.add(engines, EndpointRole::Mixed, 0);
    world.run(Duration::from_millis(500));
    world
}

/// Settings under which requests wait as long as their deadline allows.
fn patient() -> SchedulerSettings {
    let mut settings = SchedulerSettings::default();
    settings.queue.late_factor = 100.0;
    settings
}

/// Records whose customer's requests were `key`ed by their plan.
fn records<'a>(world: &'a World, plan: &'a str) -> impl Iterator<Item = &'a Record> {
    world.entries[0].records.values().filter(move |record| record.plan == plan)
}

#[gtest]
fn long_requests_are_not_starved_by_short_ones() {
    let mut world = world(1, &patient());
    let mut long = Vec::new();
    for step in 0..6_000 {
        let end = world.now + Duration::from_secs(60);
        if step % 2 == 0 {
            let _ = world.submit(0, completion("gold", "short", 200, 10, end));
        }
        if step == 1_000 {
            long.extend(world.submit(0, completion("gold", "long", 20_000, 200, end)));
        }
        world.step();
    }
    let record = &world.entries[0].records[&long[0]];
    expect_that!(record.first.is_some(), eq(true), "{record:?}");
}

#[gtest]
fn short_requests_pass_long_ones() {
    let mut world = world(1, &patient());
    let end = world.now + Duration::from_secs(60);
    for _ in 0..100 {
        let _ = world.submit(0, completion("gold", "long", 6_000, 100, end));
    }
    world.run(Duration::from_millis(100));
    let short = world.submit(0, completion("gold", "short", 100, 10, end)).unwrap();
    world.run(Duration::from_secs(2));
    let done = records(&world, "gold").filter(|record| record.done.is_some()).count();
    expect_that!(world.entries[0].records[&short].done.is_some(), eq(true));
    expect_that!(done, le(40));
}

#[gtest]
fn one_customer_cannot_fill_the_queue_of_a_plan() {
    let mut world = world(1, &patient());
    let end = world.now + Duration::from_secs(60);
    let mut refused = 0;
    for _ in 0..1_000 {
        refused +=
            u32::from(world.submit(0, completion("base", "greedy", 2_000, 20, end)).is_err());
    }
    expect_that!(refused, ge(500));
    let other = world.submit(0, completion("base", "modest", 2_000, 20, end));
    expect_that!(other.is_ok(), eq(true));
    world.run(Duration::from_millis(1_000));
    let record = &world.entries[0].records[&other.unwrap()];
    expect_that!(record.first.is_some(), eq(true), "served in turn, not behind the greedy one");
}

#[gtest]
fn waiting_requests_keep_to_the_plans_bound() {
    let mut world = world(1, &patient());
    let end = world.now + Duration::from_secs(60);
    for index in 0..5_000 {
        let customer = format!("c{}", index % 50);
        let _ = world.submit(0, completion("base", &customer, 500, 20, end));
        world.poll(0);
        assert!(world.entries[0].scheduler.waiting() <= 500);
    }
}

#[gtest]
fn refusals_are_early_and_spread_callers_out() {
    let mut world = world(2, &SchedulerSettings::default());
    let mut waits = Vec::new();
    for step in 0..3_000 {
        let end = world.now + Duration::from_secs(30);
        let customer = format!("c{}", step % 20);
        if let Err(refusal) = world
            .submit(0, completion("gold", &customer, 500 + step % 7 * 500, 20 + step % 11 * 8, end))
        {
            expect_that!(refusal.code, any!(eq(RefusalCode::TooLate), eq(RefusalCode::QueueFull)));
            waits.extend(refusal.retry_after);
        }
        world.step();
    }
    world.run(Duration::from_secs(5));
    let late = records(&world, "gold").filter(|record| record.refused.is_some()).count();
    let admitted = records(&world, "gold").count();
    expect_that!(waits.len(), ge(1_000));
    expect_that!(late * 5, le(admitted), "{late} of {admitted} given up after admission");
    waits.sort();
    let spread = waits[waits.len() * 9 / 10].saturating_sub(waits[waits.len() / 10]);
    expect_that!(spread, ge(Duration::from_secs(5)));
}
