//! Second attempts: the decisions one by one, and their effect on simulated loads.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;
use std::time::Duration;

use agatestair_policy::{HedgeCandidate, HedgeDenial, HedgeLimits, Hedges, Moment};
use googletest::prelude::*;
use proptest::prelude::{any, prop};
use proptest::{prop_assert, proptest};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const WINDOW: Duration = Duration::from_secs(10);
const SECOND: u64 = 1_000_000;

/// When slowness begins, after a time in which delays are learned, and when the load ends.
const SLOW_FROM: u64 = 25 * SECOND;
const END: u64 = 60 * SECOND;

/// A load of a fleet.
#[derive(Clone, Copy, Debug)]
struct Load {
    name: &'static str,
    instances: usize,
    endpoints: usize,
    slots: u32,
    /// Requests per second of the whole fleet.
    rate: f64,
    /// Usual time of a request at an endpoint with room, in milliseconds.
    usual_ms: f64,
    /// Number of endpoints that become five times slower.
    slow: usize,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive,
    Late(usize),
    Done(usize, usize),
}

/// A request with its attempts: endpoint and begin of each.
struct Request {
    instance: usize,
    begun: u64,
    attempts: Vec<(usize, u64)>,
    done: bool,
}

/// Outcome of a load.
#[derive(Debug, Default)]
struct Outcome {
    /// Times of the requests that arrived while endpoints were slow, sorted, in microseconds.
    times: Vec<u64>,
    /// Second attempts, in that time.
    hedges: usize,
    /// Time at endpoints of all attempts, and of those that were cancelled.
    work: f64,
    wasted: f64,
    /// Requests and second attempts of each instance.
    moments: BTreeMap<usize, [Vec<u64>; 2]>,
}

impl Outcome {
    fn quantile_ms(&self, quantile: f64) -> f64 {
        self.times[((self.times.len() - 1) as f64 * quantile) as usize] as f64 / 1000.0
    }

    /// Work added by second attempts, relative to the rest.
    fn added(&self) -> f64 {
        self.wasted / (self.work - self.wasted)
    }

    /// Largest number of second attempts beyond the share in any window that ends with one.
    fn excess(&self, share: f64) -> f64 {
        let excess = self.moments.values().flat_map(|[requests, hedges]| {
            hedges.iter().enumerate().map(move |(index, at)| {
                let from = at.saturating_sub(WINDOW.as_micros() as u64);
                let recent = requests.iter().filter(|when| **when > from && *when <= at).count();
                let second = hedges[..=index].iter().filter(|when| **when > from).count();
                second as f64 - share * recent as f64
            })
        });
        excess.fold(f64::NEG_INFINITY, f64::max)
    }
}

/// Plays a load. First attempts go to the less busy of two endpoints, whether these are slow or not,
/// and second attempts know of no pace: the decision has only times and room to go by.
fn play(load: &Load, limits: Option<HedgeLimits>, seed: u64) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let service: Arc<str> = "ledger".into();
    let mut hedges = vec![Hedges::default(); load.instances];
    let mut busy = vec![0_u32; load.endpoints];
    let (mut requests, mut outcome) = (Vec::<Request>::new(), Outcome::default());
    let mut events = BinaryHeap::from([Reverse((0, Event::Arrive))]);
    // Arrivals and the times of first attempts are the same with and without second attempts.
    let duration = |index: usize, second: bool, endpoint: usize, busy: u32, now: u64| {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(1 + 2 * index as u64 + u64::from(second));
        // The sum of uniform numbers is nearly normal.
        let normal = (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
        let factor = if endpoint < load.slow && now >= SLOW_FROM { 5.0 } else { 1.0 };
        let crowd = (f64::from(busy) / f64::from(load.slots)).max(1.0);
        (load.usual_ms * 1000.0 * (normal * 0.25).exp() * factor * crowd) as u64
    };
    while let Some(Reverse((now, event))) = events.pop() {
        let moment = Moment(now);
        match event {
            Event::Arrive if now >= END => {}
            Event::Arrive => {
                let gap = -rng.random::<f64>().max(1e-9).ln() / load.rate;
                events.push(Reverse((now + (gap * 1e6) as u64, Event::Arrive)));
                let instance = rng.random_range(0..load.instances);
                let pair = [(); 2].map(|()| rng.random_range(0..load.endpoints));
                let endpoint = if busy[pair[0]] <= busy[pair[1]] { pair[0] } else { pair[1] };
                busy[endpoint] += 1;
                let index = requests.len();
                let time = duration(index, false, endpoint, busy[endpoint], now);
                events.push(Reverse((now + time, Event::Done(index, 0))));
                requests.push(Request {
                    instance,
                    begun: now,
                    attempts: vec![(endpoint, now)],
                    done: false,
                });
                let Some(limits) = limits else { continue };
                hedges[instance].note_request(&service, moment);
                outcome.moments.entry(instance).or_default()[0].push(now);
                if let Ok(delay) = hedges[instance].delay(&service, 100, &limits, moment) {
                    let at = now + delay.as_micros() as u64;
                    events.push(Reverse((at, Event::Late(index))));
                }
            }
            Event::Late(index) => {
                let (request, limits) = (&mut requests[index], limits.unwrap_or_default());
                let (first, _) = request.attempts[0];
                let fits = |endpoint: &usize| {
                    let (busy, slots) = (busy[*endpoint], load.slots);
                    let candidate = HedgeCandidate { busy, slots, pace: 1.0 };
                    *endpoint != first && limits.check(candidate).is_ok()
                };
                let known: Vec<usize> = (0..load.endpoints).filter(fits).collect();
                if request.done || known.is_empty() {
                    continue;
                }
                if hedges[request.instance].spend(&service, &limits, moment).is_err() {
                    continue;
                }
                outcome.moments.entry(request.instance).or_default()[1].push(now);
                outcome.hedges += usize::from(now >= SLOW_FROM);
                let endpoint = known[index % known.len()];
                busy[endpoint] += 1;
                request.attempts.push((endpoint, now));
                let time = duration(index, true, endpoint, busy[endpoint], now);
                events.push(Reverse((now + time, Event::Done(index, 1))));
            }
            Event::Done(index, _) if requests[index].done => {}
            Event::Done(index, winner) => {
                let request = &mut requests[index];
                request.done = true;
                let counts = request.begun >= SLOW_FROM;
                if counts {
                    outcome.times.push(now - request.begun);
                }
                for (number, (endpoint, begun)) in request.attempts.iter().enumerate() {
                    busy[*endpoint] -= 1;
                    let time = now - begun;
                    if counts {
                        outcome.work += time as f64;
                        outcome.wasted += if number == winner { 0.0 } else { time as f64 };
                    }
                    if let Some(limits) = limits {
                        let time = Duration::from_micros(time);
                        let known = &mut hedges[request.instance];
                        known.note_time(&service, 100, time, &limits, moment);
                    }
                }
            }
        }
    }
    outcome.times.sort_unstable();
    outcome
}

/// Plays a load without and with second attempts and prints the figures.
fn compare(load: &Load) -> [Outcome; 2] {
    let limits = HedgeLimits::default();
    let [before, after] = [None, Some(limits)].map(|limits| play(load, limits, 7));
    println!(
        "{}: {} requests, p99 {:.0} -> {:.0} ms, p99.9 {:.0} -> {:.0} ms, {} second attempts, \
         work +{:.2}%",
        load.name,
        after.times.len(),
        before.quantile_ms(0.99),
        after.quantile_ms(0.99),
        before.quantile_ms(0.999),
        after.quantile_ms(0.999),
        after.hedges,
        after.added() * 100.0
    );
    expect_that!(after.excess(limits.share), le(1e-9), "{}", load.name);
    [before, after]
}

/// Short requests of deployment A, of the design size, and of a small fleet; 2 to 4 in 100 endpoints
/// are five times slower.
const FEW_SLOW: [Load; 3] = [
    Load {
        name: "9 instances, 1 of 24 slow",
        instances: 9,
        endpoints: 24,
        slots: 16,
        rate: 200.0,
        usual_ms: 40.0,
        slow: 1,
    },
    Load {
        name: "85 instances, 2 of 90 slow",
        instances: 85,
        endpoints: 90,
        slots: 16,
        rate: 507.0,
        usual_ms: 40.0,
        slow: 2,
    },
    Load {
        name: "343 instances, 20 of 910 slow",
        instances: 343,
        endpoints: 910,
        slots: 16,
        rate: 2046.0,
        usual_ms: 40.0,
        slow: 20,
    },
];

/// Guards against second attempts that begin too late, or are spent on requests that are not late.
#[gtest]
fn a_few_slow_endpoints_cost_less_at_the_tail() {
    for load in &FEW_SLOW {
        let [before, after] = compare(load);
        let gain = after.quantile_ms(0.99) / before.quantile_ms(0.99);
        expect_that!(gain, lt(0.9), "{}", load.name);
        let gain = after.quantile_ms(0.999) / before.quantile_ms(0.999);
        expect_that!(gain, lt(1.0), "{}", load.name);
        expect_that!(after.added(), lt(0.12), "{}", load.name);
    }
}

/// Guards against work that is added where it helps no request, as all endpoints are slow.
#[gtest]
fn endpoints_that_are_slow_together_get_little_added_work() {
    for load in FEW_SLOW {
        let load = Load { name: "all slow", slow: load.endpoints, ..load };
        let [before, after] = compare(&load);
        expect_that!(after.added(), lt(0.03), "{} instances", load.instances);
        let change = after.quantile_ms(0.99) / before.quantile_ms(0.99);
        expect_that!(change, lt(1.05), "{} instances", load.instances);
    }
}

/// Guards against second attempts that make an overload worse.
#[gtest]
fn full_endpoints_get_no_added_work() {
    for load in FEW_SLOW {
        let busy = load.rate / load.endpoints as f64;
        let usual_ms = 2.0 * 0.9 / busy * 1000.0;
        let load = Load { name: "full", slots: 2, usual_ms, slow: 0, ..load };
        let [before, after] = compare(&load);
        expect_that!(after.added(), lt(0.02), "{} instances", load.instances);
        let change = after.quantile_ms(0.99) / before.quantile_ms(0.99);
        expect_that!(change, lt(1.05), "{} instances", load.instances);
    }
}

/// An endpoint and whether it gets a second attempt under the default bounds.
struct CandidateCase {
    candidate: HedgeCandidate,
    denial: Option<HedgeDenial>,
}

/// Guards against second attempts at endpoints that are full or slow.
#[gtest]
fn only_endpoints_with_room_and_pace_get_second_attempts() {
    let case = |busy, slots, pace, denial| CandidateCase {
        candidate: HedgeCandidate { busy, slots, pace },
        denial,
    };
    let cases = [
        case(0, 10, 1.0, None),
        case(6, 10, 1.0, None),
        case(7, 10, 1.0, Some(HedgeDenial::Full)),
        case(0, 1, 1.0, Some(HedgeDenial::Full)),
        case(0, 10, 1.5, Some(HedgeDenial::Slow)),
        case(0, 10, 2.5, Some(HedgeDenial::Slow)),
    ];
    for CandidateCase { candidate, denial } in cases {
        let denied = HedgeLimits::default().check(candidate).err();
        expect_that!(denied, eq(denial), "{candidate:?}");
    }
}

/// Times that were seen, and the delay in milliseconds.
struct DelayCase {
    name: &'static str,
    times_ms: Vec<u64>,
    /// Time since the last of them, in seconds.
    age_s: u64,
    delay: std::result::Result<u64, HedgeDenial>,
}

/// Guards against delays from too few or old times, and against a delay that is itself the time of
/// a slow endpoint.
#[gtest]
fn the_delay_follows_recent_times() {
    let mixed = |slow: u64| (0..100).map(|n| if n % 10 < slow { 500 } else { 100 }).collect();
    let cases = [
        DelayCase {
            name: "too few",
            times_ms: vec![100; 19],
            age_s: 0,
            delay: Err(HedgeDenial::FewSamples),
        },
        DelayCase { name: "equal", times_ms: vec![100; 20], age_s: 0, delay: Ok(150) },
        DelayCase { name: "one in ten slow", times_ms: mixed(1), age_s: 0, delay: Ok(300) },
        DelayCase { name: "still known", times_ms: vec![100; 20], age_s: 31, delay: Ok(150) },
        DelayCase {
            name: "too old",
            times_ms: vec![100; 20],
            age_s: 61,
            delay: Err(HedgeDenial::FewSamples),
        },
        DelayCase {
            name: "slow together",
            times_ms: [vec![100; 100], vec![500; 8]].concat(),
            age_s: 0,
            delay: Err(HedgeDenial::AllSlow),
        },
    ];
    let (service, limits): (Arc<str>, _) = ("ledger".into(), HedgeLimits::default());
    for case in cases {
        let mut hedges = Hedges::default();
        let mut now = Moment(SECOND);
        for time in case.times_ms {
            now = now + Duration::from_millis(1);
            hedges.note_time(&service, 100, Duration::from_millis(time), &limits, now);
        }
        now = now + Duration::from_secs(case.age_s);
        let delay = hedges.delay(&service, 100, &limits, now);
        // The histogram rounds by less than one part in a hundred.
        let delay = delay.map(|delay| (delay.as_millis() as f64 / 10.0).round() as u64 * 10);
        expect_that!(delay, eq(case.delay), "{}", case.name);
        let other = hedges.delay(&service, 5000, &limits, now);
        expect_that!(other, err(eq(HedgeDenial::FewSamples)), "{}, another size", case.name);
    }
}

proptest! {
    /// Guards against a share that is passed in a window that begins or ends within a slot, or after
    /// a pause or a second attempt that was given back.
    #[test]
    fn the_share_is_never_passed(
        steps in prop::collection::vec((0_u64..600_000, 0_usize..30, any::<bool>()), 1..300),
        share in 0.01_f64..0.5,
    ) {
        let (service, mut hedges): (Arc<str>, _) = ("ledger".into(), Hedges::default());
        let limits = HedgeLimits { share, ..HedgeLimits::default() };
        let (mut now, mut moments) = (0, [Vec::new(), Vec::new()]);
        for (gap, requests, returns) in steps {
            now += gap;
            for _ in 0..requests {
                hedges.note_request(&service, Moment(now));
                moments[0].push(now);
            }
            for _ in 0..3 {
                if hedges.spend(&service, &limits, Moment(now)).is_ok() {
                    moments[1].push(now);
                }
            }
            if returns && moments[1].last() == Some(&now) {
                hedges.restore(&service, Moment(now));
                moments[1].pop();
            }
        }
        let outcome = Outcome { moments: BTreeMap::from([(0, moments)]), ..Outcome::default() };
        prop_assert!(outcome.excess(share) <= 1e-9);
    }
}
