//! Points in time.

use std::ops::{Add, Sub};
use std::time::Duration;

/// A point in time, in microseconds of a monotonic clock chosen by the caller.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Moment(pub u64);

impl Moment {
    /// The time from `earlier` to this moment, zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Moment {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

impl Sub<Duration> for Moment {
    type Output = Self;

    fn sub(self, duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }
}
