//! Token bucket that limits rows in bulletins to a fraction of the instance's link.

use std::time::Duration;

use agatestair_policy::Moment;

/// Fraction of the instance's link for rows in bulletins; callers, endpoints and the store need the
/// rest.
const LINK_SHARE: f64 = 0.2;

/// Time over which unused bytes accumulate; limits the size of a burst.
const MAX_BURST: Duration = Duration::from_secs(1);

/// Bytes per second at one megabit per second.
const BYTES_PER_MEGABIT: f64 = 125_000.0;

/// Token bucket, in bytes, that refills at a fraction of the link's rate.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    available: f64,
    updated: Moment,
}

impl Default for TokenBucket {
    fn default() -> Self {
        Self { available: f64::INFINITY, updated: Moment(0) }
    }
}

impl TokenBucket {
    /// Takes bytes if enough are available, and returns whether they were.
    ///
    /// `link_mbps` is the link's rate in megabits per second.
    pub fn take(&mut self, bytes: usize, link_mbps: f64, now: Moment) -> bool {
        let rate = link_mbps * BYTES_PER_MEGABIT * LINK_SHARE;
        let refilled = self.available + rate * now.since(self.updated).as_secs_f64();
        self.available = refilled.min(rate * MAX_BURST.as_secs_f64());
        self.updated = now;
        let fits = bytes as f64 <= self.available;
        if fits {
            self.available -= bytes as f64;
        }
        fits
    }
}
