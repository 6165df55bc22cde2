//! Token bucket that limits a kind of datagrams to a share of the instance's link.

use std::time::Duration;

use agatestair_policy::Moment;

/// Bytes per second at one megabit per second.
pub const BYTES_PER_MEGABIT: f64 = 125_000.0;

/// Share of the instance's link. By default that for rows in bulletins; callers, endpoints and the
/// store need the rest.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinkShare {
    /// Fraction of the link.
    pub fraction: f64,
    /// Time over which unused bytes accumulate; limits the size of a burst.
    pub burst: Duration,
}

impl Default for LinkShare {
    fn default() -> Self {
        Self { fraction: 0.2, burst: Duration::from_secs(1) }
    }
}

/// Token bucket, in bytes, that refills at a fraction of the link's rate.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    share: LinkShare,
    available: f64,
    updated: Moment,
}

impl Default for TokenBucket {
    fn default() -> Self {
        Self::new(LinkShare::default())
    }
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn new(share: LinkShare) -> Self {
        Self { share, available: f64::INFINITY, updated: Moment(0) }
    }

    /// Takes bytes if enough are available, and returns whether they were.
    ///
    /// `link_mbps` is the link's rate in megabits per second.
    pub fn take(&mut self, bytes: usize, link_mbps: f64, now: Moment) -> bool {
        self.refill(link_mbps, now);
        let fits = bytes as f64 <= self.available;
        if fits {
            self.available -= bytes as f64;
        }
        fits
    }

    /// Number of bytes that are available.
    ///
    /// `link_mbps` is the link's rate in megabits per second.
    pub fn available(&mut self, link_mbps: f64, now: Moment) -> usize {
        self.refill(link_mbps, now);
        self.available.max(0.0) as usize
    }

    /// Takes bytes that have been sent, even if they were not available.
    pub fn spend(&mut self, bytes: usize) {
        self.available -= bytes as f64;
    }

    fn refill(&mut self, link_mbps: f64, now: Moment) {
        let rate = link_mbps * BYTES_PER_MEGABIT * self.share.fraction;
        let refilled = self.available + rate * now.since(self.updated).as_secs_f64();
        self.available = refilled.min(rate * self.share.burst.as_secs_f64());
        self.updated = now;
    }
}
