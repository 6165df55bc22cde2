//! Holders of the duties that share one row with conditional writes.

use std::sync::Arc;
use std::time::Duration;

use agatestair_policy::{HolderRow, Moment, Tenure, TenureStep, Tenures};
use googletest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const INSTANCES: usize = 4;
const LEASE_MS: u64 = 3000;
/// Longest time from the confirmation of a tenure to the end of a call: 0.5 s and a timeout of 1 s.
const CALL_MS: u64 = 1500;
const STEP_MS: u64 = 100;
/// Time of day at the start of a simulation.
const EPOCH_MS: u64 = 1_700_000_000_000;

/// What a simulation does to the instances and to the store.
#[derive(Clone, Copy, Debug, Default)]
struct Case {
    name: &'static str,
    /// Chances in 1000 per instance and step.
    kill: u32,
    freeze: u32,
    release: u32,
    /// Between an instance and all others, and between an instance and the row.
    peer_cut: u32,
    store_cut: u32,
    /// Share of the transactions in 1000 whose answer is lost.
    lost: u32,
    /// Chance of a restore per step in 100,000.
    restore: u32,
}

const CASES: [Case; 8] = [
    Case { name: "kills", kill: 3, ..QUIET },
    Case { name: "freezes", freeze: 3, ..QUIET },
    Case { name: "releases", release: 4, ..QUIET },
    Case { name: "peers cut", peer_cut: 4, ..QUIET },
    Case { name: "store cut", store_cut: 4, ..QUIET },
    Case { name: "answers lost", lost: 300, kill: 3, ..QUIET },
    Case { name: "restores", restore: 150, kill: 2, ..QUIET },
    Case {
        name: "all",
        kill: 2,
        freeze: 2,
        release: 2,
        peer_cut: 2,
        store_cut: 2,
        lost: 100,
        restore: 50,
    },
];

const QUIET: Case = Case {
    name: "",
    kill: 0,
    freeze: 0,
    release: 0,
    peer_cut: 0,
    store_cut: 0,
    lost: 0,
    restore: 0,
};

#[derive(Clone, Debug, Default)]
struct Store {
    row: Option<HolderRow>,
    version: u64,
    next: u64,
}

impl Store {
    fn commit(&mut self, expected: u64, row: Option<HolderRow>) -> bool {
        if expected != self.version {
            return false;
        }
        if let Some(row) = row {
            // Other rows take versions too.
            self.next += 3;
            (self.row, self.version) = (Some(row), self.next);
        }
        true
    }
}

struct Instance {
    tenures: Tenures,
    until: u64,
    peer_cut: u64,
    store_cut: u64,
    born: u64,
}

/// A call: its holder, its token, and the times of its first and last possible execution.
#[derive(Clone, Copy, Debug)]
struct Call {
    holder: usize,
    fencing: u64,
    first: u64,
    last: u64,
}

fn at(ms: u64) -> Moment {
    Moment::default() + Duration::from_millis(ms)
}

fn name(index: usize) -> Arc<str> {
    format!("i-{index}").into()
}

fn start(index: usize, now: u64) -> Instance {
    let (born, lease) = (EPOCH_MS + now, Duration::from_millis(LEASE_MS));
    let tenures = Tenures::new(name(index), born, lease, at(now));
    Instance { tenures, until: 0, peer_cut: 0, store_cut: 0, born }
}

/// Plays a case for ten minutes; returns all calls.
fn play(case: Case, seed: u64) -> Vec<Call> {
    let mut draws = StdRng::seed_from_u64(seed);
    let mut store = Store { next: 10, ..Store::default() };
    let mut copy = store.clone();
    let mut instances: Vec<Instance> = (0..INSTANCES).map(|index| start(index, 0)).collect();
    let mut calls = Vec::new();
    for now in (0..600_000).step_by(STEP_MS as usize) {
        if now % 20_000 == 0 {
            copy = store.clone();
        }
        if draws.random_range(0..100_000) < case.restore {
            store = Store { next: store.next + 100, ..copy.clone() };
        }
        for index in 0..INSTANCES {
            let hits = |draws: &mut StdRng, chance: u32| draws.random_range(0..1000) < chance;
            if hits(&mut draws, case.kill) {
                instances[index] = start(index, now);
                instances[index].until = now + draws.random_range(100..4000);
            }
            let instance = &mut instances[index];
            if hits(&mut draws, case.freeze) {
                instance.until = now + draws.random_range(100..15_000);
            }
            if hits(&mut draws, case.peer_cut) {
                instance.peer_cut = now + draws.random_range(100..15_000);
            }
            if hits(&mut draws, case.store_cut) {
                instance.store_cut = now + draws.random_range(100..15_000);
            }
            if now < instance.until {
                continue;
            }
            let reachable = now >= instance.store_cut;
            if reachable
                && hits(&mut draws, case.release)
                && let Some((row, held)) = instance.tenures.release()
            {
                store.commit(held.version, Some(row));
                instance.tenures.lose(at(now));
            }
            let lost = hits(&mut draws, case.lost);
            step(instance, index, &mut store, reachable, now, lost);
            let current = instance.tenures.current(at(now));
            if let Some(Tenure { fencing, version }) = current.filter(|_| reachable) {
                if store.commit(version, None) {
                    let held = Tenure { fencing, version };
                    instance.tenures.note_confirmed(held, at(now), at(now));
                    let last = now + CALL_MS;
                    calls.push(Call { holder: index, fencing, first: now, last });
                } else {
                    let (row, version) = (store.row.clone(), store.version);
                    instance.tenures.note_row(row, version, false, at(now));
                }
            }
            let announced = instance.tenures.announced(at(now)).filter(|_| now % 1000 == 0);
            if let Some(held) = announced.filter(|_| now >= instances[index].peer_cut) {
                for (_, other) in instances.iter_mut().enumerate().filter(|(at, _)| *at != index) {
                    if now >= other.until && now >= other.peer_cut {
                        other.tenures.note_announced(held.fencing, at(now));
                    }
                }
            }
        }
    }
    calls
}

fn step(
    instance: &mut Instance,
    index: usize,
    store: &mut Store,
    reachable: bool,
    now: u64,
    lost: bool,
) {
    let tenures = &mut instance.tenures;
    tenures.expire(at(now));
    match tenures.step(index, EPOCH_MS + now, at(now)) {
        TenureStep::Read if reachable => {
            let own = store.row.as_ref().is_some_and(|row| row.born == instance.born);
            tenures.note_row(store.row.clone(), store.version, false, at(now));
            // A tenure of an earlier time never returns.
            assert!(own || tenures.held().is_none());
        }
        TenureStep::Take { row, version } if reachable => {
            let done = store.commit(version, Some(row.clone()));
            if lost || !done {
                tenures.note_attempted(&row);
                tenures.note_row(store.row.clone(), store.version, false, at(now));
            } else {
                tenures.note_taken(&row, store.version, at(now));
            }
        }
        _ => {}
    }
}

// Guards against a token that two holders send, a lower token after a higher one, and holders
// A, B, A within the lease, also if calls are carried out late.
#[gtest]
fn tokens_of_calls_rise_and_holders_do_not_alternate() {
    for case in CASES {
        for seed in 0..30 {
            let calls = play(case, seed);
            let context = || format!("{} seed {seed}", case.name);
            expect_that!(calls.len(), gt(500), "{}", context());
            for pair in calls.windows(2) {
                let [former, call] = pair else { continue };
                if call.fencing == former.fencing {
                    expect_that!(call.holder, eq(former.holder), "{}", context());
                    continue;
                }
                expect_that!(call.fencing, gt(former.fencing), "{}: {pair:?}", context());
                if call.holder != former.holder {
                    expect_that!(call.first, gt(former.last), "{}: {pair:?}", context());
                    let earlier = calls.iter().filter(|known| known.holder == call.holder);
                    let earlier = earlier.filter(|known| known.first < call.first);
                    let last = earlier.map(|known| known.last).max();
                    let clear = last.is_none_or(|last| call.first > last + LEASE_MS);
                    expect_that!(clear, eq(true), "{}: {pair:?} {last:?}", context());
                }
            }
        }
    }
}

// Guards against a holder that reaches the others but not the store, and keeps the duties idle.
#[gtest]
fn a_holder_without_the_store_is_replaced() {
    let mut store = Store { next: 10, ..Store::default() };
    let mut holder = start(0, 0);
    let mut other = start(1, 0);
    for now in (0..20_000).step_by(STEP_MS as usize) {
        step(&mut holder, 0, &mut store, now < 5000, now, false);
        if now % 1000 == 0
            && let Some(held) = holder.tenures.announced(at(now))
        {
            other.tenures.note_announced(held.fencing, at(now));
        }
        step(&mut other, 1, &mut store, true, now, false);
    }
    expect_that!(other.tenures.current(at(20_000)), some(anything()));
}

// Guards against a tenure that returns with its old token after the platform refused the token or
// the store was restored from a copy.
#[gtest]
fn a_former_token_is_not_used_again() {
    let mut instance = start(0, 0);
    let mut store = Store { next: 10, ..Store::default() };
    for now in (0..4000).step_by(STEP_MS as usize) {
        step(&mut instance, 0, &mut store, true, now, false);
    }
    let former = instance.tenures.held().expect("there is no other instance").fencing;
    instance.tenures.lose(at(4000));
    for now in (4000..12_000).step_by(STEP_MS as usize) {
        step(&mut instance, 0, &mut store, true, now, false);
    }
    expect_that!(instance.tenures.held().map(|held| held.fencing), some(gt(former)));
}
