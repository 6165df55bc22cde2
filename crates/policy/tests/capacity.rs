//! Loads and faults that the orders for engines answer, played against a simulated platform.

use std::time::Duration;

use agatestair_policy::{
    CapacityOrder, CapacitySettings, DomainCapacity, EngineKind, KindCapacity, ServiceCapacity,
    plan_capacity,
};
use googletest::prelude::*;

const DOMAINS: usize = 3;
const KINDS: [EngineKind; 2] = [EngineKind::Standing, EngineKind::Reclaimable];
const STEP_MS: u64 = 500;
const BOOT_MS: u64 = 4000;
const LENGTH_MS: u64 = 180_000;
/// Standing engines in each domain that operators provide.
const PROVIDED: u32 = 8;
const MOST: u32 = 20;

/// Load in busy engines, and what goes wrong.
#[derive(Clone, Copy)]
struct Case {
    name: &'static str,
    demand: fn(u64) -> f64,
    /// When all reclaimable engines of the first domain go.
    reclaim: Option<u64>,
    /// When no domain has reclaimable engines, and when none has engines at all.
    no_reclaimable: (u64, u64),
    none: (u64, u64),
    /// Every order with this number is lost after it was executed, or before.
    answers_lost: usize,
    orders_lost: usize,
    late_ms: u64,
    /// When another instance takes the duties over.
    change: Option<u64>,
    /// From when on enough is known to order engines away.
    knows: u64,
    /// Longest time in which callers lack engines.
    max_short_ms: u64,
    max_orders: usize,
}

const STEADY: Case = Case {
    name: "start of a fleet with a steady load",
    demand: |_| 8.0,
    reclaim: None,
    no_reclaimable: (0, 0),
    none: (0, 0),
    answers_lost: 0,
    orders_lost: 0,
    late_ms: 200,
    change: None,
    knows: 5000,
    max_short_ms: 0,
    max_orders: 9,
};

/// Long and short prompts that alternate every 2.8 s.
fn bursts(at: u64) -> f64 {
    if (at / 2800).is_multiple_of(2) { 1.9 * 7.0 } else { 0.4 * 7.0 }
}

fn wave(at: u64) -> f64 {
    10.0 + 6.0 * (at as f64 / 60_000.0 * std::f64::consts::TAU).sin()
}

const CASES: [Case; 12] = [
    STEADY,
    Case { name: "bursts", demand: bursts, max_orders: 12, ..STEADY },
    Case { name: "a wave", demand: wave, max_orders: 30, ..STEADY },
    Case {
        name: "a step to three times the load",
        demand: |at| if at < 60_000 { 6.0 } else { 18.0 },
        max_orders: 16,
        ..STEADY
    },
    Case {
        name: "reclaim of a domain in bursts",
        demand: bursts,
        reclaim: Some(60_000),
        max_orders: 16,
        ..STEADY
    },
    Case {
        name: "none to be had anywhere for 11 s after a reclaim",
        demand: bursts,
        reclaim: Some(60_000),
        none: (60_000, 71_000),
        max_orders: 30,
        ..STEADY
    },
    Case {
        name: "no reclaimable ones from the start",
        demand: bursts,
        no_reclaimable: (0, LENGTH_MS),
        max_orders: 200,
        ..STEADY
    },
    Case { name: "answers lost", demand: wave, answers_lost: 2, max_orders: 50, ..STEADY },
    Case { name: "orders lost", demand: wave, orders_lost: 3, max_orders: 40, ..STEADY },
    Case { name: "orders carried out late", demand: wave, late_ms: 6000, max_orders: 40, ..STEADY },
    Case {
        name: "a new holder in the middle of a reclaim",
        demand: bursts,
        reclaim: Some(60_000),
        change: Some(61_000),
        max_orders: 24,
        ..STEADY
    },
    Case {
        name: "too little known",
        demand: |at| if at < 30_000 { 12.0 } else { 1.0 },
        knows: LENGTH_MS,
        max_orders: 9,
        ..STEADY
    },
];

/// Engines of one kind in a domain: when each begins to serve.
#[derive(Clone, Default)]
struct Place {
    engines: Vec<u64>,
    /// Orders that the platform has accepted and not carried out: when, and the number.
    accepted: Vec<(u64, u32)>,
    ordered: Option<u32>,
    sent: Option<u64>,
    refused: bool,
    unanswered: bool,
}

impl Place {
    fn serving(&self, now: u64) -> u32 {
        self.engines.iter().filter(|from| **from <= now).count() as u32
    }

    fn carry_out(&mut self, now: u64) {
        let (due, later) = self.accepted.iter().partition::<Vec<_>, _>(|(at, _)| *at <= now);
        self.accepted = later;
        for (_, engines) in due {
            self.engines.resize(engines as usize, now + BOOT_MS);
        }
    }

    fn view(&self, now: u64) -> KindCapacity {
        KindCapacity {
            serving: self.serving(now),
            ordered: self.ordered,
            age: self.sent.map_or(Duration::MAX, |at| Duration::from_millis(now - at)),
            refused: self.refused,
            unanswered: self.unanswered,
        }
    }
}

#[derive(Default)]
struct Outcome {
    short_ms: u64,
    orders: usize,
    lowered: usize,
    /// Orders that raised a number within 20 s after it was lowered.
    flaps: usize,
    /// Smallest number of engines that served.
    least: u32,
    last: Vec<[u32; 2]>,
}

fn is_in((from, to): (u64, u64), now: u64) -> bool {
    (from..to).contains(&now)
}

fn play(case: Case) -> Outcome {
    let settings = CapacitySettings::default();
    let standing = Place { engines: vec![0; PROVIDED as usize], ..Place::default() };
    let mut places = vec![[standing, Place::default()]; DOMAINS];
    let mut outcome = Outcome { least: u32::MAX, ..Outcome::default() };
    let (mut peaks, mut lowered): (Vec<(u64, f64)>, Option<u64>) = (Vec::new(), None);
    let mut lowered_at = [[None::<u64>; 2]; DOMAINS];
    let mut since = 0;
    for now in (0..LENGTH_MS).step_by(STEP_MS as usize) {
        places.iter_mut().flatten().for_each(|place| place.carry_out(now));
        if case.reclaim == Some(now) {
            places[0][1].engines.clear();
        }
        if case.change == Some(now) {
            (peaks, lowered, since) = (Vec::new(), None, now);
            for place in places.iter_mut().flatten() {
                (place.sent, place.refused, place.unanswered) = (Some(now), false, false);
            }
        }
        let busy = (case.demand)(now);
        let serving: u32 = places.iter().flatten().map(|place| place.serving(now)).sum();
        outcome.least = outcome.least.min(serving);
        outcome.short_ms += if f64::from(serving) < busy { STEP_MS } else { 0 };
        peaks.push((now, busy));
        peaks.retain(|(at, _)| u128::from(now - at) <= settings.peak_time.as_millis());
        let domains =
            places.iter().enumerate().map(|(index, [standing, reclaimable])| DomainCapacity {
                domain: index.to_string().into(),
                standing: standing.view(now),
                reclaimable: reclaimable.view(now),
            });
        let view = ServiceCapacity {
            least: 2,
            most: MOST,
            boot: Duration::from_millis(BOOT_MS),
            base: PROVIDED * DOMAINS as u32,
            peak: peaks.iter().map(|(_, busy)| *busy).fold(0.0, f64::max),
            busy,
            may_lower: now >= case.knows && now - since >= 5000,
            lowered: lowered.map(|at| Duration::from_millis(now - at)),
            domains: domains.collect(),
        };
        for order in plan_capacity(&settings, &view) {
            let CapacityOrder { domain, kind, engines, .. } = order;
            let index: usize = domain.parse().expect("domains are numbers");
            let slot = usize::from(kind == KINDS[1]);
            let place = &mut places[index][slot];
            outcome.orders += 1;
            let former = place.ordered.unwrap_or_else(|| place.serving(now));
            if engines < former {
                outcome.lowered += 1;
                lowered_at[index][slot] = Some(now);
                lowered = if slot == 0 { Some(now) } else { lowered };
            } else if engines > former {
                let flaps = lowered_at[index][slot].is_some_and(|at| now - at < 20_000);
                outcome.flaps += usize::from(flaps);
            }
            let more = engines > place.engines.len() as u32;
            let none = is_in(case.none, now) || slot == 1 && is_in(case.no_reclaimable, now);
            let hits = |every: usize| every > 0 && outcome.orders.is_multiple_of(every);
            place.refused = more && none && !hits(case.orders_lost);
            place.unanswered = hits(case.orders_lost) || hits(case.answers_lost);
            (place.ordered, place.sent) = (Some(engines), Some(now));
            if !place.refused && !hits(case.orders_lost) {
                place.accepted.push((now + case.late_ms, engines));
            }
            if place.unanswered {
                place.refused = false;
            }
        }
    }
    outcome.last =
        places.iter().map(|kinds| [0, 1].map(|slot| kinds[slot].serving(LENGTH_MS))).collect();
    outcome
}

// Guards against callers that lack engines in a load or after a fault, and against orders that
// alternate or are many.
#[gtest]
fn callers_have_engines_and_orders_are_few() {
    for case in CASES {
        let Outcome { short_ms, orders, flaps, lowered, least, last } = play(case);
        println!(
            "{}: {short_ms} ms short, {orders} orders, {lowered} lower, {flaps} flaps, least \
             {least}, at the end {last:?}",
            case.name
        );
        expect_that!(short_ms, le(case.max_short_ms), "{}", case.name);
        expect_that!(orders, le(case.max_orders), "{}", case.name);
        expect_that!(flaps, eq(0), "{}", case.name);
        let standing: u32 = last.iter().map(|kinds| kinds[0]).sum();
        if case.knows == LENGTH_MS {
            expect_that!(lowered, eq(0), "{}", case.name);
        } else if case.no_reclaimable.1 == 0 {
            expect_that!(standing, le(2 * DOMAINS as u32), "{}", case.name);
        }
    }
}

// Guards against a fleet that stays expensive, or that depends on one domain.
#[gtest]
fn most_engines_are_reclaimable_and_spread() {
    let Outcome { last, .. } = play(STEADY);
    let sum = |slot: usize| last.iter().map(|kinds| kinds[slot]).sum::<u32>();
    let (standing, reclaimable) = (sum(0), sum(1));
    expect_that!(standing, ge(DOMAINS as u32), "{last:?}");
    expect_that!(reclaimable, ge(4 * standing), "{last:?}");
    let largest = last.iter().map(|kinds| kinds.iter().sum::<u32>()).max().unwrap_or(0);
    expect_that!(largest * 5, le((standing + reclaimable) * 2), "{last:?}");
}
