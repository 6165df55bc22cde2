//! Durations of the requests of one route.

use std::time::Duration;

use crate::moment::Moment;

/// Factor on a duration that allows for spread.
const SPREAD: f64 = 1.25;

/// The same for a duration that rests on few observations.
const FEW_SPREAD: f64 = 1.5;

/// Number of observations from which on the longest of them is a bound by itself.
const MIN_COUNT: u32 = 16;

/// Smallest number of observations that allow for a bound.
const FEW_COUNT: u32 = 3;

/// Time after which a window of observations is closed; they count until the next one is closed.
const WINDOW: Duration = Duration::from_secs(60);

/// Observations of one window.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    count: u32,
    /// Longest duration.
    longest: Duration,
    /// Longest time by which a request took longer than the model's duration times [`SPREAD`].
    excess: Duration,
    /// Largest ratio of a request's duration to that of the model.
    ratio: f64,
}

impl Window {
    fn merge(self, other: Self) -> Self {
        Self {
            count: self.count.saturating_add(other.count),
            longest: self.longest.max(other.longest),
            excess: self.excess.max(other.excess),
            ratio: self.ratio.max(other.ratio),
        }
    }
}

/// Durations of the recent requests of one route.
#[derive(Clone, Copy, Debug, Default)]
pub struct Durations {
    current: Window,
    previous: Window,
    /// When the current window was opened.
    opened: Moment,
}

impl Durations {
    /// Records the real duration of a request that the model expected to take `expected`.
    pub fn note(&mut self, expected: Duration, real: Duration, now: Moment) {
        *self = self.at(now);
        let excess = real.saturating_sub(expected.mul_f64(SPREAD));
        let ratio =
            if expected.is_zero() { 0.0 } else { real.as_secs_f64() / expected.as_secs_f64() };
        self.current = self.current.merge(Window { count: 1, longest: real, excess, ratio });
    }

    /// Bound on the duration of a request, unless it is an outlier; `modelled` is the duration that
    /// a model of the endpoints gives, if there is one, and `open` the age of the oldest open
    /// request. `None` without enough recent observations, or if they don't cover that age.
    pub fn bound(
        &self,
        modelled: Option<Duration>,
        open: Duration,
        now: Moment,
    ) -> Option<Duration> {
        let Self { current, previous, .. } = self.at(now);
        let known = current.merge(previous);
        if open > known.longest {
            return None;
        }
        let spread = if known.count < MIN_COUNT { FEW_SPREAD } else { SPREAD };
        // The request may be longer than all that were observed.
        let scaled = modelled.unwrap_or_default().mul_f64(known.ratio);
        let observed = known.longest.max(scaled).mul_f64(spread);
        let observed = Some(observed).filter(|_| known.count >= FEW_COUNT);
        let modelled = modelled.map(|modelled| modelled.mul_f64(SPREAD) + known.excess);
        match (modelled, observed) {
            (Some(modelled), Some(observed)) if known.count >= MIN_COUNT => {
                Some(modelled.min(observed))
            }
            (Some(modelled), Some(observed)) => Some(modelled.max(observed)),
            (Some(_), None) => None,
            (None, observed) => observed,
        }
    }

    /// The state with the windows that are open at `now`.
    fn at(self, now: Moment) -> Self {
        let age = now.since(self.opened);
        if age < WINDOW {
            return self;
        }
        let previous = if age < WINDOW * 2 { self.current } else { Window::default() };
        Self { current: Window::default(), previous, opened: now }
    }
}
