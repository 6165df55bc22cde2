//! Hedged requests: when a second attempt of a slow request may begin beside the first one.
//!
//! Each instance decides from what it has seen itself: the times until the head of recent responses,
//! and the second attempts that it has begun.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::moment::Moment;

/// Sliding window in which second attempts are compared with requests.
const WINDOW: Duration = Duration::from_secs(10);

/// Length of the slots in which both are counted.
const SLOT: Duration = Duration::from_millis(250);

/// Time after which a histogram is closed; it counts until the next one is closed. An instance that
/// gets one request of a kind every two seconds still collects [`MIN_SAMPLES`].
const PERIOD: Duration = Duration::from_secs(30);

/// Smallest number of samples that give a delay.
const MIN_SAMPLES: u64 = 20;

/// Time for which a computed delay is used again.
const DELAY_LIFETIME: Duration = Duration::from_millis(250);

/// Bounds of the delay as multiples of the median. Below the lower one a second attempt seldom
/// overtakes the first. The upper one counts where so many endpoints are slow that the quantile is
/// itself the time of a slow one.
const MEDIAN_BOUNDS: (f64, f64) = (1.5, 3.0);

/// Number of latest samples that tell whether the endpoints are slow together.
const LATEST: u32 = 32;

/// Number of late ones among them from which on the endpoints count as slow together.
const MAX_LATE: u32 = 8;

/// Pace from which on an endpoint counts as slow and gets no second attempt.
const SLOW_PACE: f64 = 1.5;

/// Length of the unit of histograms, in microseconds.
const UNIT_MICROS: u128 = 100;

/// Longest time of a histogram, one minute, in its unit.
const MAX_UNITS: u64 = 600_000;

/// Upper bounds of all size classes but the last, in tokens.
const SIZES: [u32; CLASSES - 1] = [512, 2048, 8192];

/// Number of size classes.
const CLASSES: usize = 4;

/// Bounds on second attempts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HedgeLimits {
    /// Second attempts for each request of the service in any sliding window that ends with one.
    pub share: f64,
    /// Largest fraction of an endpoint's slots that may be busy before it gets a second attempt.
    pub room: f64,
}

impl Default for HedgeLimits {
    fn default() -> Self {
        Self { share: 0.05, room: 0.7 }
    }
}

/// State of an endpoint that may get a second attempt.
#[derive(Clone, Copy, Debug)]
pub struct HedgeCandidate {
    /// Attempts of all instances there.
    pub busy: u32,
    /// Number of attempts that it runs at a time.
    pub slots: u32,
    /// Time that work takes there relative to the median of the service's endpoints.
    pub pace: f64,
}

impl HedgeLimits {
    /// Checks whether an endpoint may get a second attempt.
    ///
    /// # Errors
    ///
    /// [`HedgeDenial::Slow`] or [`HedgeDenial::Full`].
    pub fn check(&self, candidate: HedgeCandidate) -> Result<(), HedgeDenial> {
        if candidate.pace >= SLOW_PACE {
            return Err(HedgeDenial::Slow);
        }
        let busy = f64::from(candidate.busy + 1) / f64::from(candidate.slots.max(1));
        if busy > self.room { Err(HedgeDenial::Full) } else { Ok(()) }
    }
}

/// Why a request gets no second attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HedgeDenial {
    /// Too few recent requests of the service and size were answered.
    FewSamples,
    /// So many recent requests were late that the endpoints are slow together.
    AllSlow,
    /// The share of the service's requests is spent.
    ShareSpent,
    /// No other endpoint is known.
    NoEndpoint,
    /// The other endpoints are slow.
    Slow,
    /// The other endpoints have no room.
    Full,
    /// What is left of the retry budget is kept for failures.
    RetriesKept,
}

#[derive(Clone, Copy, Debug)]
struct Slot {
    begin: Moment,
    requests: u32,
    hedges: u32,
}

/// Times of requests of one size class.
#[derive(Clone, Debug)]
struct Times {
    current: Histogram<u32>,
    previous: Histogram<u32>,
    /// When the current histogram was opened.
    opened: Moment,
    /// The latest computed delay, its share, and when it was computed.
    delay: Option<(Moment, f64, Duration)>,
}

impl Times {
    fn new(now: Moment) -> Self {
        // Two significant digits need 7 KB each.
        let empty = Histogram::new_with_max(MAX_UNITS, 2).expect("the bounds are valid");
        Self { current: empty.clone(), previous: empty, opened: now, delay: None }
    }

    /// Closes the histograms that are old at `now`.
    fn advance(&mut self, now: Moment) {
        let age = now.since(self.opened);
        if age < PERIOD {
            return;
        }
        std::mem::swap(&mut self.current, &mut self.previous);
        self.current.reset();
        if age >= PERIOD * 2 {
            self.previous.reset();
        }
        self.opened = now;
        self.delay = None;
    }

    fn note(&mut self, time: Duration, now: Moment) {
        self.advance(now);
        let units = u64::try_from(time.as_micros() / UNIT_MICROS).unwrap_or(MAX_UNITS);
        self.current.saturating_record(units.max(1));
    }

    /// Delay of a second attempt: the quantile that the share leaves, within [`MEDIAN_BOUNDS`].
    fn delay(&mut self, share: f64, now: Moment) -> Option<Duration> {
        self.advance(now);
        if self.current.len() + self.previous.len() < MIN_SAMPLES {
            return None;
        }
        if let Some((at, known, delay)) = self.delay
            && known.total_cmp(&share).is_eq()
            && now.since(at) < DELAY_LIFETIME
        {
            return Some(delay);
        }
        let mut both = self.previous.clone();
        both.add(&self.current).expect("the bounds are the same");
        let micros = |quantile: f64| both.value_at_quantile(quantile) as f64 * UNIT_MICROS as f64;
        let (median, tail) = (micros(0.5), micros(1.0 - share));
        let micros = tail.clamp(median * MEDIAN_BOUNDS.0, median * MEDIAN_BOUNDS.1);
        let delay = Duration::from_micros(micros as u64);
        self.delay = Some((now, share, delay));
        Some(delay)
    }
}

#[derive(Clone, Debug, Default)]
struct Service {
    slots: VecDeque<Slot>,
    times: [Option<Box<Times>>; CLASSES],
    /// Whether the latest samples were late, the newest one in the lowest bit.
    late: u32,
}

impl Service {
    /// The slot that counts at `now`.
    fn slot(&mut self, now: Moment) -> &mut Slot {
        // A slot is dropped only when all of it is outside the window.
        while self.slots.front().is_some_and(|slot| now.since(slot.begin) > WINDOW + SLOT) {
            self.slots.pop_front();
        }
        if self.slots.back().is_none_or(|slot| now.since(slot.begin) >= SLOT) {
            self.slots.push_back(Slot { begin: now, requests: 0, hedges: 0 });
        }
        self.slots.back_mut().expect("a slot was pushed")
    }

    /// Whether a further second attempt stays within the share.
    fn has_share(&mut self, share: f64, now: Moment) -> bool {
        self.slot(now);
        // Requests count only if all of their slot is inside the window, second attempts as long as
        // any of it may be, so that the limit holds for the exact times.
        let inside = self.slots.iter().filter(|slot| now.since(slot.begin) < WINDOW);
        let requests: u32 = inside.map(|slot| slot.requests).sum();
        let hedges: u32 = self.slots.iter().map(|slot| slot.hedges).sum();
        f64::from(hedges + 1) <= share * f64::from(requests)
    }

    /// Whether the endpoints are slow together.
    fn is_slow(&self) -> bool {
        self.late.count_ones() >= MAX_LATE
    }

    fn times(&mut self, size: u32, now: Moment) -> &mut Times {
        let class = SIZES.iter().position(|bound| size < *bound).unwrap_or(CLASSES - 1);
        self.times[class].get_or_insert_with(|| Box::new(Times::new(now)))
    }
}

/// Times of recent requests and second attempts of this instance, by service.
#[derive(Clone, Debug, Default)]
pub struct Hedges {
    services: HashMap<Arc<str>, Service>,
}

impl Hedges {
    /// Counts a request, which adds to the share of its service.
    pub fn note_request(&mut self, service: &Arc<str>, now: Moment) {
        self.service(service).slot(now).requests += 1;
    }

    /// Records the time until the response head of an attempt, or the time that an attempt waited
    /// for it when it was cancelled. `size` is that of the request in tokens.
    pub fn note_time(
        &mut self,
        service: &Arc<str>,
        size: u32,
        time: Duration,
        limits: &HedgeLimits,
        now: Moment,
    ) {
        let known = self.service(service);
        let times = known.times(size, now);
        let delay = times.delay(limits.share, now);
        times.note(time, now);
        if let Some(delay) = delay {
            known.late = known.late << 1 | u32::from(time >= delay);
        }
        debug_assert_eq!(LATEST, u32::BITS, "one bit for each of the latest samples");
    }

    /// Time without a response head after which a request may get a second attempt.
    ///
    /// # Errors
    ///
    /// [`HedgeDenial`] if it may get none.
    pub fn delay(
        &mut self,
        service: &Arc<str>,
        size: u32,
        limits: &HedgeLimits,
        now: Moment,
    ) -> Result<Duration, HedgeDenial> {
        let known = self.service(service);
        let delay = known.times(size, now).delay(limits.share, now);
        let delay = delay.ok_or(HedgeDenial::FewSamples)?;
        if known.is_slow() { Err(HedgeDenial::AllSlow) } else { Ok(delay) }
    }

    /// Spends a second attempt that begins now.
    ///
    /// # Errors
    ///
    /// [`HedgeDenial`] if it must not begin; nothing is spent then.
    pub fn spend(
        &mut self,
        service: &Arc<str>,
        limits: &HedgeLimits,
        now: Moment,
    ) -> Result<(), HedgeDenial> {
        let known = self.service(service);
        if known.is_slow() {
            return Err(HedgeDenial::AllSlow);
        }
        if !known.has_share(limits.share, now) {
            return Err(HedgeDenial::ShareSpent);
        }
        known.slot(now).hedges += 1;
        Ok(())
    }

    /// Gives back a second attempt that was spent at this moment and not begun.
    pub fn restore(&mut self, service: &Arc<str>, now: Moment) {
        let slot = self.service(service).slot(now);
        slot.hedges = slot.hedges.saturating_sub(1);
    }

    fn service(&mut self, service: &Arc<str>) -> &mut Service {
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), Service::default());
        }
        self.services.get_mut(service).expect("it was inserted")
    }
}
