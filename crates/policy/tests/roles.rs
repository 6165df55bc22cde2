//! The role planner follows the prefill and decode demand, and changes no roles for short-lived
//! load changes.

mod fake;

use std::time::Duration;

use agatestair_policy::{Moment, RolePlanner, RoleSettings};
use agatestair_schema::link::{EndpointKind, EndpointRole, EndpointView};
use fake::view;
use googletest::prelude::*;
use proptest::prelude::{ProptestConfig, proptest};

/// Sizes of the two pools, the load of each of their engines, and the first role change expected.
struct Case {
    name: &'static str,
    prefill: usize,
    decode: usize,
    /// Fraction of its throughput that each prefill engine uses.
    prefill_load: f64,
    /// Fraction of its throughput that each decode engine uses.
    decode_load: f64,
    /// Prompt tokens queued at each prefill engine.
    backlog: u64,
    expected: Option<EndpointRole>,
}

const CASES: [Case; 7] = [
    Case {
        name: "balanced",
        prefill: 5,
        decode: 9,
        prefill_load: 0.7,
        decode_load: 0.7,
        backlog: 0,
        expected: None,
    },
    Case {
        name: "both full",
        prefill: 5,
        decode: 9,
        prefill_load: 1.0,
        decode_load: 1.0,
        backlog: 0,
        expected: None,
    },
    Case {
        name: "prefill queues",
        prefill: 4,
        decode: 10,
        prefill_load: 1.0,
        decode_load: 0.4,
        backlog: 60_000,
        expected: Some(EndpointRole::Prefill),
    },
    Case {
        name: "decode full",
        prefill: 9,
        decode: 5,
        prefill_load: 0.3,
        decode_load: 1.0,
        backlog: 0,
        expected: Some(EndpointRole::Decode),
    },
    Case {
        name: "last of a pool",
        prefill: 1,
        decode: 8,
        prefill_load: 0.1,
        decode_load: 1.0,
        backlog: 0,
        expected: None,
    },
    Case {
        name: "idle",
        prefill: 5,
        decode: 9,
        prefill_load: 0.0,
        decode_load: 0.0,
        backlog: 0,
        expected: None,
    },
    Case {
        name: "all mixed",
        prefill: 0,
        decode: 0,
        prefill_load: 1.0,
        decode_load: 1.0,
        backlog: 90_000,
        expected: None,
    },
];

fn engines(case: &Case) -> Vec<EndpointView> {
    let count = (case.prefill + case.decode).max(14);
    let engine = |index: usize| {
        let role = match index {
            _ if case.prefill + case.decode == 0 => EndpointRole::Mixed,
            _ if index < case.prefill => EndpointRole::Prefill,
            _ if index < case.prefill + case.decode => EndpointRole::Decode,
            _ => return None,
        };
        let mut engine = view(&format!("engine-{index}"), EndpointKind::Engine, role);
        if role == EndpointRole::Decode {
            engine.decode_rate = case.decode_load * 2_400.0;
            engine.queued = u32::from(case.decode_load >= 1.0) * 8;
        } else {
            engine.prefill_rate = case.prefill_load * 60_000.0;
            engine.prefill_backlog = case.backlog;
        }
        Some(engine)
    };
    (0..count).filter_map(engine).collect()
}

#[gtest]
fn first_change_is_the_expected_one() {
    for case in &CASES {
        let mut planner = RolePlanner::new(RoleSettings::default());
        let views = engines(case);
        let mut first = None;
        for step in 0..40_u64 {
            let now = Moment(1_000_000) + Duration::from_millis(250 * step);
            let changes = planner.plan(now, &views);
            first = first.or_else(|| changes.first().cloned());
        }
        expect_that!(first.map(|change| change.role), eq(case.expected), "{}", case.name);
    }
}

#[gtest]
fn changes_stop_once_the_pools_match_the_demand() {
    let mut planner = RolePlanner::new(RoleSettings::default());
    let mut views = engines(&Case { prefill: 3, decode: 11, ..CASES[0] });
    let mut ready_at = vec![Moment::default(); views.len()];
    let mut now = Moment(1_000_000);
    for _ in 0..400 {
        now = now + Duration::from_millis(250);
        for (index, view) in views.iter_mut().enumerate() {
            view.changing = ready_at[index] > now;
        }
        offer(&mut views, 7.0, 4.0);
        for change in planner.plan(now, &views) {
            let index = views.iter().position(|view| *view.name == *change.engine).unwrap();
            views[index].role = change.role;
            ready_at[index] = now + Duration::from_secs(3);
        }
    }
    let prefill = views.iter().filter(|view| view.role == EndpointRole::Prefill).count();
    expect_that!(prefill, all!(ge(8), le(10)));
    expect_that!(planner.changes(), le(7));
}

/// Spreads work that needs `prefill` and `decode` engines evenly over the engines of each pool.
fn offer(views: &mut [EndpointView], prefill: f64, decode: f64) {
    for (role, need) in [(EndpointRole::Prefill, prefill), (EndpointRole::Decode, decode)] {
        let count = views.iter().filter(|view| view.role == role && !view.changing).count();
        let load = need / count.max(1) as f64;
        for view in views.iter_mut().filter(|view| view.role == role && !view.changing) {
            if role == EndpointRole::Prefill {
                view.prefill_rate = load.min(1.0) * 60_000.0;
                view.prefill_backlog = ((load - 1.0).max(0.0) * 120_000.0) as u64;
            } else {
                view.decode_rate = load.min(1.0) * 2_400.0;
                view.queued = ((load - 1.0).max(0.0) * 32.0) as u32;
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn neither_pool_becomes_empty(loads in proptest::collection::vec((0.0..20.0_f64, 0.0..20.0_f64), 1..60)) {
        let mut planner = RolePlanner::new(RoleSettings::default());
        let mut views = engines(&Case { prefill: 4, decode: 10, ..CASES[0] });
        let mut now = Moment(1_000_000);
        for (prefill, decode) in loads {
            for _ in 0..8 {
                now = now + Duration::from_millis(500);
                offer(&mut views, prefill, decode);
                let changes = planner.plan(now, &views);
                assert!(changes.len() <= 2);
                for change in changes {
                    let index = views.iter().position(|view| *view.name == *change.engine).unwrap();
                    views[index].role = change.role;
                }
                let pool = views.iter().filter(|view| view.role == EndpointRole::Prefill).count();
                assert!((1..views.len()).contains(&pool));
            }
        }
    }

    #[test]
    fn load_noise_changes_no_roles(loads in proptest::collection::vec((0.3..0.8_f64, 0.3..0.8_f64), 1..200)) {
        let mut planner = RolePlanner::new(RoleSettings::default());
        let mut views = engines(&Case { prefill: 5, decode: 9, ..CASES[0] });
        let mut now = Moment(1_000_000);
        for (prefill, decode) in loads {
            now = now + Duration::from_millis(250);
            offer(&mut views, prefill * 5.0, decode * 9.0);
            assert!(planner.plan(now, &views).is_empty());
        }
    }
}
