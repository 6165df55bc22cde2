//! Plan shares are enforced across all entries, also when arrivals are skewed and when an entry
//! crashes or loses its connection to the allocator.

mod fake;

use std::time::Duration;

use agatestair_policy::{Moment, SchedulerSettings, ShareAllocator, ShareSettings};
use agatestair_schema::link::{DemandReport, EndpointRole, PlanDemand};
use fake::{PlanCase, Simulation, completion, lists};
use googletest::prelude::*;
use proptest::prelude::{ProptestConfig, any, proptest};

const ENGINES: usize = 9;

/// Engine seconds that all engines provide per second.
const CAPACITY: f64 = ENGINES as f64;

const PLANS: [PlanCase; 2] = [
    PlanCase { name: "capped", priority: 2, share: 0.3, borrow: false },
    PlanCase { name: "open", priority: 1, share: 0.7, borrow: true },
];

/// What happens to the second entry before the measurement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Failure {
    None,
    Crashed,
    Disconnected,
}

struct Case {
    entries: usize,
    /// Fraction of the requests that are submitted at the first entry.
    skew: f64,
    failure: Failure,
}

const CASES: [Case; 9] = [
    Case { entries: 1, skew: 1.0, failure: Failure::None },
    Case { entries: 3, skew: 0.8, failure: Failure::None },
    Case { entries: 7, skew: 0.8, failure: Failure::None },
    Case { entries: 9, skew: 0.8, failure: Failure::None },
    Case { entries: 9, skew: 0.2, failure: Failure::None },
    Case { entries: 3, skew: 0.8, failure: Failure::Crashed },
    Case { entries: 9, skew: 0.8, failure: Failure::Crashed },
    Case { entries: 7, skew: 0.8, failure: Failure::Disconnected },
    Case { entries: 9, skew: 0.2, failure: Failure::Disconnected },
];

/// Submits requests of each plan at the given multiple of the capacity, for a `duration`.
///
/// A fraction `skew` goes to the first entry, the rest to all entries in turn.
fn offer(sim: &mut Simulation, plans: &[(&str, f64)], skew: f64, duration: Duration) {
    let end = sim.now + duration;
    let cost = (1_000.0 * 15.0 + 50.0 * 400.0) / 1e6;
    let mut arrivals_due: Vec<f64> = vec![0.0; plans.len()];
    let mut submitted = 0_usize;
    while sim.now < end {
        for (index, (plan, load)) in plans.iter().enumerate() {
            arrivals_due[index] += load * CAPACITY / cost * 0.002;
            while arrivals_due[index] >= 1.0 {
                arrivals_due[index] -= 1.0;
                submitted += 1;
                let first = (submitted % 10) as f64 / 10.0 < skew;
                let entry = if first { 0 } else { submitted / 10 % sim.entries.len() };
                let deadline = sim.now + Duration::from_secs(20);
                let facts = completion(plan, &format!("c{}", submitted % 5), 1_000, 50, deadline);
                if sim.entries[entry].alive {
                    let _ = sim.submit(entry, facts);
                }
            }
        }
        sim.step();
    }
}

/// Engine seconds that all entries together dispatched for a plan.
fn dispatched(sim: &Simulation, plan: &str) -> f64 {
    sim.entries.iter().filter_map(|entry| entry.dispatched.get(plan)).sum()
}

#[gtest]
fn dispatched_work_stays_within_the_plan_limit() {
    for case in &CASES {
        let mut sim = Simulation::new(&SchedulerSettings::default(), &lists(&PLANS), case.entries);
        sim.add_endpoints(ENGINES, EndpointRole::Mixed, 0);
        sim.run(Duration::from_secs(1));
        offer(&mut sim, &[("capped", 1.0), ("open", 0.6)], case.skew, Duration::from_secs(4));
        if case.failure != Failure::None {
            sim.entries[1].alive = case.failure != Failure::Crashed;
            sim.entries[1].connected = false;
        }
        let before = dispatched(&sim, "capped");
        let secs = 6.0;
        offer(&mut sim, &[("capped", 1.0), ("open", 0.6)], case.skew, Duration::from_secs(6));
        let limit = PLANS[0].share * CAPACITY * secs;
        // The limit may be exceeded by the token buckets' burst and by one request per entry.
        let burst = PLANS[0].share * CAPACITY * 1.0 + 0.035 * case.entries as f64;
        let sum = dispatched(&sim, "capped") - before;
        println!(
            "{} entries, skew {}, {:?}: dispatched {:.2} of {:.2} engine seconds",
            case.entries, case.skew, case.failure, sum, limit
        );
        expect_that!(sum, le(limit + burst), "{} entries {:?}", case.entries, case.failure);
    }
}

#[gtest]
fn idle_share_is_lent_and_reclaimed() {
    let plans = [
        PlanCase { name: "owner", priority: 1, share: 0.5, borrow: true },
        PlanCase { name: "borrower", priority: 2, share: 0.1, borrow: true },
    ];
    for entries in [1, 3, 7, 9] {
        let mut sim = Simulation::new(&SchedulerSettings::default(), &lists(&plans), entries);
        sim.add_endpoints(ENGINES, EndpointRole::Mixed, 0);
        sim.run(Duration::from_secs(1));
        offer(&mut sim, &[("borrower", 2.0)], 0.5, Duration::from_secs(4));
        let borrowed = dispatched(&sim, "borrower") / 4.0 / CAPACITY;
        offer(&mut sim, &[("borrower", 2.0), ("owner", 1.5)], 0.5, Duration::from_secs(1));
        let before = (dispatched(&sim, "owner"), dispatched(&sim, "borrower"));
        offer(&mut sim, &[("borrower", 2.0), ("owner", 1.5)], 0.5, Duration::from_secs(3));
        let owner = dispatched(&sim, "owner") - before.0;
        let sum = owner + dispatched(&sim, "borrower") - before.1;
        let reclaimed = owner / sum.min(CAPACITY * 3.0);
        println!(
            "{entries} entries: borrowed {borrowed:.2} of the capacity, then the owner was \
             dispatched {owner:.1} of {sum:.1} engine seconds"
        );
        expect_that!(borrowed, ge(0.5), "{entries} entries");
        expect_that!(reclaimed, ge(0.45), "{entries} entries");
    }
}

fn demand_report(name: &str, demand: f64) -> DemandReport {
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

    /// The granted shares of a plan plus an even share for each silent entry never exceed 1.
    ///
    /// An entry without a grant falls back to an even share, so two allocators that hear from
    /// disjoint sets of entries cannot grant more than the whole allowance together.
    #[test]
    fn shares_add_up_to_at_most_one(
        entries in 1..12_usize,
        rounds in proptest::collection::vec(proptest::collection::vec((any::<bool>(), 0.0..1e6_f64), 12), 1..30),
    ) {
        let names: Vec<String> = (0..entries).map(|index| format!("e{index}")).collect();
        let mut allocator = ShareAllocator::new(ShareSettings::default());
        allocator.set_entries(&names);
        let mut now = Moment(1_000_000);
        let mut grants_held: Vec<Option<(Moment, f64)>> = vec![None; entries];
        for round in rounds {
            now = now + Duration::from_millis(400);
            for (index, name) in names.iter().enumerate() {
                if round[index].0 {
                    allocator.note_demand(now, &demand_report(name, round[index].1));
                }
            }
            let grants = allocator.allocate(now);
            for (index, name) in names.iter().enumerate() {
                if let Some(grant) = grants.get(name.as_str()).filter(|_| round[index].0) {
                    let share = grant.plans.iter().map(|plan| plan.share).sum();
                    grants_held[index] = Some((now, share));
                }
            }
            let total: f64 = grants.values().flat_map(|g| &g.plans).map(|plan| plan.share).sum();
            let silent = (entries - grants.len()) as f64 / entries as f64;
            assert!(
                total + silent <= 1.0 + 1e-9,
                "granted {total}, reserved {silent} for silent entries"
            );
        }
    }
}
