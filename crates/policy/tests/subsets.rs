//! Division of endpoints among more instances than each of them accepts connections.

use agatestair_policy::board::Division;
use googletest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// A fleet whose endpoints each accept `connections` connections.
#[derive(Clone, Copy, Debug)]
struct Case {
    instances: usize,
    connections: usize,
    endpoints: usize,
}

const CASES: [Case; 8] = [
    Case { instances: 343, connections: 170, endpoints: 20 },
    Case { instances: 343, connections: 170, endpoints: 137 },
    Case { instances: 343, connections: 170, endpoints: 3 },
    Case { instances: 343, connections: 170, endpoints: 1 },
    Case { instances: 171, connections: 170, endpoints: 7 },
    Case { instances: 31, connections: 8, endpoints: 12 },
    Case { instances: 9, connections: 1, endpoints: 9 },
    Case { instances: 2, connections: 1, endpoints: 2 },
];

/// Fractions of the endpoints that accept work.
const OPEN: [f64; 5] = [1.0, 0.9, 0.6, 0.2, 0.0];

#[gtest]
fn endpoints_are_divided_evenly_and_within_their_connections() {
    let mut draws = StdRng::seed_from_u64(1);
    for case in CASES {
        for share in OPEN {
            for _ in 0..10 {
                let open: Vec<bool> =
                    (0..case.endpoints).map(|_| draws.random::<f64>() < share).collect();
                check(case, &open);
            }
        }
    }
}

fn check(case: Case, open: &[bool]) {
    let Case { instances, connections, endpoints } = case;
    let users = (connections * 3 / 4).min(instances);
    let mut used = vec![0; endpoints];
    let mut served = 0;
    for rank in 0..instances {
        let division = Division { instances, rank, users, spare: connections - users };
        let positions = division.positions(open);
        let mut distinct = positions.clone();
        distinct.sort_unstable();
        distinct.dedup();
        expect_that!(distinct.len(), eq(positions.len()), "{case:?}, rank {rank}: {positions:?}");
        served += usize::from(positions.iter().any(|position| open[*position]));
        positions.iter().for_each(|position| used[*position] += 1);
    }
    let live = open.iter().filter(|open| **open).count();
    let name = format!("{case:?}, {open:?}: {used:?}");
    expect_that!(used, each(le(&connections)), "{name}");
    expect_that!(served, eq(instances.min(connections * live)), "{name}");
    if live == endpoints {
        expect_that!(used, each(ge(&users)), "{name}");
    }
}
