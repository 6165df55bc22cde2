//! Shares hold over all entries, also under skew and while an entry dies or is cut off.

mod fake;

use std::time::Duration;

use agatestair_policy::{Moment, SchedulerSettings, ShareAllocator, ShareSettings};
use agatestair_schema::link::{DemandReport, EndpointRole, PlanDemand};
use fake::{PlanCase, World, completion, lists};
use googletest::prelude::*;
use proptest::prelude::{ProptestConfig, any, proptest};

const ENGINES: usize = 9;

/// Engine time that one engine gives in a second.
const CAPACITY: f64 = ENGINES as f64;

const PLANS: [PlanCase; 2] = [
    PlanCase { name: "capped", priority: 2, share: 0.3, borrow: false },
    PlanCase { name: "open", priority: 1, share: 0.7, borrow: true },
];

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Loss {
    None,
    Dies,
    CutOff,
}

struct Case {
    entries: usize,
    /// Part of the capped plan's arrivals that come to the first entry.
    skew: f64,
    loss: Loss,
}

const CASES: [Case; 9] = [
    Case { entries: 1, skew: 1.0, loss: Loss::None },
    Case { entries: 3, skew: 0.8, loss: Loss::None },
    Case { entries: 7, skew: 0.8, loss: Loss::None },
    Case { entries: 9, skew: 0.8, loss: Loss::None },
    Case { entries: 9, skew: 0.2, loss: Loss::None },
    Case { entries: 3, skew: 0.8, loss: Loss::Dies },
    Case { entries: 9, skew: 0.8, loss: Loss::Dies },
    Case { entries: 7, skew: 0.8, loss: Loss::CutOff },
    Case { entries: 9, skew: 0.2, loss: Loss::CutOff },
];

/// Offers `plan` at `load` times the capacity for a time, skewed to the first entry.
fn offer(world: &mut World, plans: &[(&str, f64)], skew: f64, duration: Duration) {
    let end = world.now + duration;
    let cost = (1_000.0 * 15.0 + 50.0 * 400.0) / 1e6;
    let mut due: Vec<f64> = vec![0.0; plans.len()];
    let mut turn = 0_usize;
    while world.now < end {
        for (index, (plan, load)) in plans.iter().enumerate() {
            due[index] += load * CAPACITY / cost * 0.002;
            while due[index] >= 1.0 {
                due[index] -= 1.0;
                turn += 1;
                let first = (turn % 10) as f64 / 10.0 < skew;
                let entry = if first { 0 } else { turn / 10 % world.entries.len() };
                let limit = world.now + Duration::from_secs(20);
                let facts = completion(plan, &format!("c{}", turn % 5), 1_000, 50, limit);
                if world.entries[entry].alive {
                    let _ = world.submit(entry, facts);
                }
            }
        }
        world.step();
    }
}

fn drawn(world: &World, plan: &str) -> f64 {
    world.entries.iter().filter_map(|entry| entry.drawn.get(plan)).sum()
}

#[gtest]
fn sum_drawn_keeps_to_the_limit() {
    for case in &CASES {
        let mut world = World::new(&SchedulerSettings::default(), &lists(&PLANS), case.entries);
        world.add(ENGINES, EndpointRole::Mixed, 0);
        world.run(Duration::from_secs(1));
        offer(&mut world, &[("capped", 1.0), ("open", 0.6)], case.skew, Duration::from_secs(4));
        if case.loss != Loss::None {
            world.entries[1].alive = case.loss != Loss::Dies;
            world.entries[1].connected = false;
        }
        let before = drawn(&world, "capped");
        let secs = 6.0;
        offer(&mut world, &[("capped", 1.0), ("open", 0.6)], case.skew, Duration::from_secs(6));
        let limit = PLANS[0].share * CAPACITY * secs;
        // The burst of the accounts and one request an entry may come on top.
        let burst = PLANS[0].share * CAPACITY * 1.0 + 0.035 * case.entries as f64;
        let sum = drawn(&world, "capped") - before;
        println!(
            "{} entries, skew {}, {:?}: drawn {:.2} of {:.2} engine seconds",
            case.entries, case.skew, case.loss, sum, limit
        );
        expect_that!(sum, le(limit + burst), "{} entries {:?}", case.entries, case.loss);
    }
}

#[gtest]
fn idle_share_is_lent_and_taken_back() {
    let plans = [
        PlanCase { name: "owner", priority: 1, share: 0.5, borrow: true },
        PlanCase { name: "borrower", priority: 2, share: 0.1, borrow: true },
    ];
    for entries in [1, 3, 7, 9] {
        let mut world = World::new(&SchedulerSettings::default(), &lists(&plans), entries);
        world.add(ENGINES, EndpointRole::Mixed, 0);
        world.run(Duration::from_secs(1));
        offer(&mut world, &[("borrower", 2.0)], 0.5, Duration::from_secs(4));
        let lent = drawn(&world, "borrower") / 4.0 / CAPACITY;
        offer(&mut world, &[("borrower", 2.0), ("owner", 1.5)], 0.5, Duration::from_secs(1));
        let before = (drawn(&world, "owner"), drawn(&world, "borrower"));
        offer(&mut world, &[("borrower", 2.0), ("owner", 1.5)], 0.5, Duration::from_secs(3));
        let owner = drawn(&world, "owner") - before.0;
        let sum = owner + drawn(&world, "borrower") - before.1;
        let back = owner / sum.min(CAPACITY * 3.0);
        println!(
            "{entries} entries: lent {lent:.2}, then the owner draws {owner:.1} of {sum:.1} engine \
             seconds"
        );
        expect_that!(lent, ge(0.5), "{entries} entries");
        expect_that!(back, ge(0.45), "{entries} entries");
    }
}

fn report(name: &str, demand: f64) -> DemandReport {
    let plan = PlanDemand {
        plan: "p".into(),
        prefill_demand: demand,
        decode_demand: 0.0,
        prefill_drawn: 0.0,
        decode_drawn: 0.0,
        waiting: 0,
    };
    DemandReport { instance: name.into(), plans: vec![plan] }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, failure_persistence: None, ..ProptestConfig::default() })]

    /// Two allocators that hear different entries never hand out more than the whole, counting
    /// the even share of each entry that neither has heard within the life of a grant.
    #[test]
    fn shares_add_up_to_at_most_one(
        entries in 1..12_usize,
        rounds in proptest::collection::vec(proptest::collection::vec((any::<bool>(), 0.0..1e6_f64), 12), 1..30),
    ) {
        let names: Vec<String> = (0..entries).map(|index| format!("e{index}")).collect();
        let mut allocator = ShareAllocator::new(ShareSettings::default());
        allocator.set_entries(&names);
        let mut now = Moment(1_000_000);
        let mut held: Vec<Option<(Moment, f64)>> = vec![None; entries];
        for round in rounds {
            now = now + Duration::from_millis(400);
            for (index, name) in names.iter().enumerate() {
                if round[index].0 {
                    allocator.note_demand(now, &report(name, round[index].1));
                }
            }
            let grants = allocator.allocate(now);
            for (index, name) in names.iter().enumerate() {
                if let Some(grant) = grants.get(name.as_str()).filter(|_| round[index].0) {
                    let share = grant.plans.iter().map(|plan| plan.share).sum();
                    held[index] = Some((now, share));
                }
            }
            let total: f64 = grants.values().flat_map(|g| &g.plans).map(|plan| plan.share).sum();
            let silent = (entries - grants.len()) as f64 / entries as f64;
            assert!(total + silent <= 1.0 + 1e-9, "{total} with {silent} silent");
        }
    }
}
