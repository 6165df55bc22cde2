//! Times at which refused callers should come back.

use std::time::Duration;

use rand::Rng;

use crate::moment::Moment;

/// Latest time to come back.
const MAX_RETURN: Duration = Duration::from_secs(30);

/// Greatest factor by which a time to come back is drawn out at random.
const MAX_SPREAD: f64 = 1.25;

/// Part of the pool's rate that is left to callers who come back, the rest being for new requests.
const RETURN_PART: f64 = 0.1;

/// Spreads refused callers over the time in which their work can be taken.
///
/// Each refusal reserves the time that its work needs after the reservations before it, so that
/// callers come back at a small part of the rate at which the pool takes work, however many were
/// refused at once, and do not keep up the overload that they were refused for.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReturnPlanner {
    reserved: Moment,
}

impl ReturnPlanner {
    /// Time after which a caller should come back whose work takes `secs` of the pool's time.
    pub(crate) fn next<R: Rng>(
        &mut self,
        now: Moment,
        least: Duration,
        secs: f64,
        random: &mut R,
    ) -> Duration {
        let earliest = now + least;
        let latest = now + MAX_RETURN;
        let start = self.reserved.max(earliest).min(latest);
        self.reserved = start + Duration::from_secs_f64((secs / RETURN_PART).clamp(0.0, 5.0));
        let wait = start.since(now).as_secs_f64();
        let most = MAX_RETURN.as_secs_f64();
        if wait * MAX_SPREAD >= most {
            return Duration::from_secs_f64(random.random_range(0.5..1.0) * most);
        }
        Duration::from_secs_f64(wait * random.random_range(1.0..MAX_SPREAD))
    }
}
