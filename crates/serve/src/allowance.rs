//! Bytes that an instance may send of what only it needs to tell, as a part of its link.

use std::time::Duration;

use agatestair_policy::Moment;

/// Share of the instance's link for rows in bulletins; callers, endpoints and the store need the
/// rest.
const LINK_SHARE: f64 = 0.2;

/// Time for which unused bytes are saved up.
const SAVED: Duration = Duration::from_secs(1);

/// Bytes a second of one megabit a second.
const MEGABIT: f64 = 125_000.0;

/// A share of the link's bytes, saved up for a while.
#[derive(Clone, Copy, Debug)]
pub struct Allowance {
    left: f64,
    at: Moment,
}

impl Default for Allowance {
    fn default() -> Self {
        Self { left: f64::INFINITY, at: Moment(0) }
    }
}

impl Allowance {
    /// Takes bytes of a link of this width, in megabits a second; returns whether there are enough.
    pub fn take(&mut self, bytes: usize, link_mbps: f64, now: Moment) -> bool {
        let rate = link_mbps * MEGABIT * LINK_SHARE;
        let grown = self.left + rate * now.since(self.at).as_secs_f64();
        self.left = grown.min(rate * SAVED.as_secs_f64());
        self.at = now;
        let fits = bytes as f64 <= self.left;
        if fits {
            self.left -= bytes as f64;
        }
        fits
    }
}
