//! Times after which refused callers should retry.

use std::time::Duration;

use rand::Rng;

use crate::moment::Moment;

/// Longest time after which a caller should retry.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Greatest factor of the random jitter on a retry time.
const MAX_SPREAD: f64 = 1.25;

/// Fraction of the pool's drain rate for callers that retry; the rest is for new requests.
const RETRY_FRACTION: f64 = 0.1;

/// Spreads the retries of refused callers over the time in which their work can be served.
///
/// Each refusal reserves the time that its work needs, after all earlier reservations. Callers
/// then retry at a small fraction of the pool's drain rate, however many were refused at once, and
/// do not prolong the overload for which they were refused.
#[derive(Clone, Debug, Default)]
pub(crate) struct RetryAfterPlanner {
    reserved: Moment,
}

impl RetryAfterPlanner {
    /// Time after which a caller should retry whose work takes `secs` seconds of the pool's time;
    /// `least` is the shortest time.
    pub(crate) fn next<R: Rng>(
        &mut self,
        now: Moment,
        least: Duration,
        secs: f64,
        random: &mut R,
    ) -> Duration {
        let earliest = now + least;
        let latest = now + MAX_RETRY_AFTER;
        let start = self.reserved.max(earliest).min(latest);
        self.reserved = start + Duration::from_secs_f64((secs / RETRY_FRACTION).clamp(0.0, 5.0));
        let wait = start.since(now).as_secs_f64();
        let longest = MAX_RETRY_AFTER.as_secs_f64();
        if wait * MAX_SPREAD >= longest {
            return Duration::from_secs_f64(random.random_range(0.5..1.0) * longest);
        }
        Duration::from_secs_f64(wait * random.random_range(1.0..MAX_SPREAD))
    }
}
