//! Rate limits that endpoints name in their responses, and this instance's share of them.

use std::time::Duration;

use crate::moment::Moment;

/// Relative change of a limit from which on it is reported to other instances.
const REPORTED_CHANGE: f64 = 0.05;

/// Fraction of a limit that all instances together use, since their shares briefly overlap when
/// instances or loads change.
const USED_SHARE: f64 = 0.9;

/// Requests per second of all instances together at an endpoint with a lower limit. Only a response
/// can show that a limit was raised or lifted.
const MIN_RATE: f64 = 0.25;

/// Time for which unused requests are saved. Many instances that saved one request each would
/// together exceed a low limit.
const SAVED_TIME: Duration = Duration::from_millis(500);

/// Time by which the age of a limit in force is overstated to instances that may not know of it.
/// Longer than a datagram takes.
pub const STANDING_AGE: Duration = Duration::from_millis(500);

/// Longest time until the next request that is reported to callers.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// A limit on the requests that an endpoint gets, as last observed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Observation {
    /// Requests per second of all instances together, `None` if the endpoint names no limit.
    pub rate: Option<f64>,
    /// When an instance received the response that says so.
    pub at: Moment,
}

/// A limit that one instance reports to others.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitReport {
    /// Hash of the endpoint's name.
    pub endpoint: u64,
    /// Start time of the endpoint's process in Unix milliseconds.
    pub born: u64,
    /// Requests per second of all instances together, `None` if the limit was lifted.
    pub rate: Option<f64>,
    /// Time since the response that says so.
    pub age: Duration,
}

/// Requests that this instance may send to an endpoint with a limit.
#[derive(Clone, Copy, Debug)]
struct Allowance {
    /// Number of requests; a fraction is not enough for a request.
    saved: f64,
    updated: Moment,
    /// When a single request was saved, if this instance's rate is too low to save more.
    full_since: Option<Moment>,
}

impl Allowance {
    /// Adds what a rate in requests per second yields until `now`.
    fn earn(&mut self, rate: f64, now: Moment) {
        let elapsed = now.since(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        let most = rate * SAVED_TIME.as_secs_f64();
        if most >= 1.0 {
            self.full_since = None;
            self.saved = (self.saved + rate * elapsed).min(most);
            return;
        }
        let (saved, elapsed) = match self.full_since {
            Some(since) => (1.0, now.since(since).as_secs_f64()),
            None => (self.saved, elapsed),
        };
        // A saved request is dropped after `SAVED_TIME`, and the next one is earned from then on.
        let (to_full, kept) = ((1.0 - saved).max(0.0) / rate, SAVED_TIME.as_secs_f64());
        let full_for = (elapsed - to_full) % (kept + 1.0 / rate);
        (self.saved, self.full_since) = if full_for < 0.0 {
            (saved + rate * elapsed, None)
        } else if full_for < kept {
            (1.0, Some(now - Duration::from_secs_f64(full_for)))
        } else {
            (rate * (full_for - kept), None)
        };
    }
}

/// The rate limit of one endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub struct RateLimit {
    latest: Option<Observation>,
    /// Requests per second that the other instances know of. Small changes add up to a reported
    /// one.
    common: Option<f64>,
    /// The latest change that this instance observed itself.
    reported: Option<Observation>,
    allowance: Option<Allowance>,
    /// Requests per second of this instance.
    own_rate: f64,
}

impl RateLimit {
    /// Requests per second of all instances together, `None` if there is no limit.
    pub fn rate(&self) -> Option<f64> {
        self.latest.and_then(|latest| latest.rate)
    }

    /// The latest observation.
    pub fn latest(&self) -> Option<Observation> {
        self.latest
    }

    /// Records what a response to this instance says; returns whether that is a change.
    pub fn note_direct(&mut self, rate: Option<f64>, now: Moment) -> bool {
        let changed = self.note(Observation { rate, at: now });
        if changed {
            self.reported = self.latest;
        }
        changed
    }

    /// Records what a response to another instance said; returns whether that is a change.
    pub fn note_peer(&mut self, observed: Observation) -> bool {
        let newer = self.latest.is_none_or(|latest| latest.at < observed.at);
        newer && self.note(observed)
    }

    fn note(&mut self, observed: Observation) -> bool {
        // Nothing is kept for endpoints that never named a limit.
        if observed.rate.is_none() && self.latest.is_none() {
            return false;
        }
        self.latest = Some(observed);
        let changed = match (self.common, observed.rate) {
            (Some(known), Some(rate)) => (rate - known).abs() > REPORTED_CHANGE * known,
            (known, rate) => known != rate,
        };
        if changed {
            self.common = observed.rate;
        }
        changed
    }

    /// Adds the requests that this instance's share of the limit yields until `now`. `start` is the
    /// fraction of a request that it has when it learns of the limit; the values of all instances
    /// should be spread evenly, so that they do not send their first requests together.
    pub fn earn(&mut self, share: f64, start: f64, now: Moment) {
        let Some(rate) = self.rate() else {
            self.allowance = None;
            return;
        };
        self.own_rate = rate.max(MIN_RATE) * USED_SHARE * share;
        let first = Allowance { saved: start, updated: now, full_since: None };
        self.allowance.get_or_insert(first).earn(self.own_rate, now);
    }

    /// Whether this instance may send a request, as of the last call of [`Self::earn`].
    pub fn allows(&self) -> bool {
        self.rate().is_none() || self.allowance.is_some_and(|allowance| allowance.saved >= 1.0)
    }

    /// Spends one request; returns `false` if there is none.
    pub fn spend(&mut self) -> bool {
        let allows = self.allows();
        if let Some(allowance) = self.allowance.as_mut().filter(|_| allows) {
            allowance.saved -= 1.0;
            allowance.full_since = None;
        }
        allows
    }

    /// Time until this instance may send a request, at most `MAX_WAIT`; `None` if there is no
    /// limit.
    pub fn wait(&self) -> Option<Duration> {
        self.rate()?;
        let missing = self.allowance.map_or(1.0, |allowance| (1.0 - allowance.saved).max(0.0));
        let wait = Duration::try_from_secs_f64(missing / self.own_rate);
        Some(wait.map_or(MAX_WAIT, |wait| wait.min(MAX_WAIT)))
    }

    /// The latest change that this instance observed itself, if that was within `within`.
    pub fn recent_change(&self, within: Duration, now: Moment) -> Option<Observation> {
        self.reported.filter(|reported| now.since(reported.at) < within)
    }
}
