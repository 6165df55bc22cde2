//! Spreads datagrams to many peers over time.

use std::time::Duration;

use agatestair_policy::Moment;

use crate::token_bucket::BYTES_PER_MEGABIT;

/// Fraction of the link's rate at which the rows of a bulletin are sent.
const SEND_SHARE: f64 = 0.5;

/// Time on the link that datagrams sent at once may take: a link's queue holds more than that, and
/// drops what does not fit.
const MAX_BATCH: Duration = Duration::from_millis(5);

/// Lowest rate of a link that is reckoned with, in megabits per second.
const MIN_MBPS: f64 = 1.0;

/// Spreads datagrams over time, so that the link's queue does not drop them.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pacer {
    /// When all bytes so far have been sent at the permitted rate.
    done: Moment,
}

impl Pacer {
    /// Adds a datagram, and returns how long to wait before sending it.
    ///
    /// `link_mbps` is the link's rate in megabits per second.
    pub fn delay(&mut self, bytes: usize, link_mbps: f64, now: Moment) -> Duration {
        let rate = link_mbps.max(MIN_MBPS) * BYTES_PER_MEGABIT * SEND_SHARE;
        let begin = self.done.max(now);
        self.done = begin + Duration::from_secs_f64(bytes as f64 / rate);
        let ahead = begin.since(now);
        if ahead >= MAX_BATCH { ahead } else { Duration::ZERO }
    }
}
