//! Durations of the requests of one route.

use std::time::Duration;

use crate::moment::Moment;

/// Factor on the cost model's duration, and on the longest observed one, that allows for spread.
const SPREAD: f64 = 1.25;

/// Time constant of the decay of observations.
const TIME_CONSTANT: Duration = Duration::from_secs(30);

/// Weight of observations, one each when new, from which on the longest of them is a bound.
const MIN_WEIGHT: f64 = 8.0;

/// Durations of the recent requests of one route.
#[derive(Clone, Copy, Debug, Default)]
pub struct Durations {
    /// Longest duration.
    longest: Duration,
    /// Longest time by which a request took longer than the model's duration times [`SPREAD`].
    excess: Duration,
    /// Number of observations, where older ones count less.
    weight: f64,
    updated: Moment,
}

impl Durations {
    /// Records the real duration of a request that the model expected to take `expected`.
    pub fn note(&mut self, expected: Duration, real: Duration, now: Moment) {
        let known = self.decayed(now);
        *self = Self {
            longest: known.longest.max(real),
            excess: known.excess.max(real.saturating_sub(expected.mul_f64(SPREAD))),
            weight: known.weight + 1.0,
            updated: now,
        };
    }

    /// Bound on the duration of a request that the model expects to take `expected`, unless it is
    /// an outlier; `None` without observations.
    pub fn bound(&self, expected: Duration, now: Moment) -> Option<Duration> {
        if self.weight == 0.0 {
            return None;
        }
        let known = self.decayed(now);
        let modelled = expected.mul_f64(SPREAD) + known.excess;
        // The longest observation does not decay, since a route may be idle for long.
        let observed = Some(self.longest.mul_f64(SPREAD)).filter(|_| known.weight >= MIN_WEIGHT);
        Some(observed.map_or(modelled, |observed| observed.min(modelled)))
    }

    fn decayed(self, now: Moment) -> Self {
        let age = now.since(self.updated).as_secs_f64();
        let factor = (-age / TIME_CONSTANT.as_secs_f64()).exp();
        Self {
            longest: self.longest.mul_f64(factor),
            excess: self.excess.mul_f64(factor),
            weight: self.weight * factor,
            updated: now,
        }
    }
}
