//! Assignment of endpoints to entries covers all endpoints evenly, and changes little when an
//! entry leaves.

use std::sync::Arc;

use agatestair_policy::assign::{SubsetItem, assign_evenly, owner, subset};
use googletest::prelude::*;

/// Entries that each take a subset of `size` endpoints from a `pool`.
struct Case {
    entries: usize,
    pool: usize,
    size: usize,
}

const CASES: [Case; 7] = [
    Case { entries: 1, pool: 14, size: 14 },
    Case { entries: 3, pool: 14, size: 6 },
    Case { entries: 7, pool: 14, size: 5 },
    Case { entries: 9, pool: 9, size: 4 },
    Case { entries: 11, pool: 3, size: 3 },
    Case { entries: 340, pool: 910, size: 24 },
    Case { entries: 339, pool: 907, size: 24 },
];

fn names(prefix: &str, count: usize) -> Vec<Arc<str>> {
    (0..count).map(|index| format!("{prefix}-{index}").into()).collect()
}

fn items<'a>(names: &'a [Arc<str>]) -> Vec<SubsetItem<'a>> {
    let domains = ["ikeja", "yaba", "lekki"];
    names
        .iter()
        .enumerate()
        .map(|(index, name)| SubsetItem { name, domain: domains[index % 3] })
        .collect()
}

#[gtest]
fn subsets_cover_endpoints_evenly() {
    for case in &CASES {
        let entries = names("entry", case.entries);
        let pool = names("engine", case.pool);
        let mut users = vec![0_usize; case.pool];
        for entry in &entries {
            for index in subset(entry, &entries, &items(&pool), case.size) {
                users[index] += 1;
            }
        }
        let least = users.iter().min().copied().unwrap_or(0);
        let most = users.iter().max().copied().unwrap_or(0);
        expect_that!(most - least, le(1), "{} entries, {} endpoints", case.entries, case.pool);
    }
}

#[gtest]
fn subsets_span_all_failure_domains() {
    let pool = names("engine", 14);
    let entries = names("entry", 9);
    for entry in &entries {
        let mut domains = [0; 3];
        for index in subset(entry, &entries, &items(&pool), 6) {
            domains[index % 3] += 1;
        }
        expect_that!(domains.iter().min(), some(ge(&1)), "{entry}");
    }
}

#[gtest]
fn losing_an_instance_moves_only_its_items() {
    let all = names("entry", 9);
    let fewer = &all[..8];
    for item in names("engine", 200) {
        let before = owner(&item, &all);
        if before != Some(8) {
            expect_that!(owner(&item, fewer), eq(before));
        }
    }
}

#[gtest]
fn even_assignment_stays_within_its_limit() {
    for (items, instances) in [(14, 9), (910, 340), (3, 7), (12, 9)] {
        let owners = assign_evenly(&names("engine", items), &names("entry", instances));
        let mut counts = vec![0; instances];
        owners.iter().for_each(|owner| counts[*owner] += 1);
        expect_that!(owners.len(), eq(items));
        expect_that!(counts.iter().max(), some(le(&items.div_ceil(instances))));
    }
}
