//! Failure rate, ejection and pace of one endpoint, as observed by this instance.

use std::time::Duration;

use crate::moment::Moment;

/// Time constant of the decay of an observed pace towards the usual one.
const PACE_TIME_CONSTANT: Duration = Duration::from_millis(600);

/// Weight of a new observation of the pace.
const PACE_WEIGHT: f64 = 0.3;

/// Bounds of one observation of the pace, so that a single outlier does not dominate.
const PACE_BOUNDS: (f64, f64) = (0.5, 8.0);

/// Time constant of the decay of the failure rate.
const RATE_TIME_CONSTANT: Duration = Duration::from_secs(3);

/// How an attempt failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FailureKind {
    /// No connection, no response, or a broken one.
    Broken,
    /// The endpoint responded with an error of its own.
    Failed,
    /// The endpoint refused the request without executing it.
    Refused,
}

impl FailureKind {
    /// Weight of the failure in the endpoint's failure rate. Refusals and errors count less than
    /// broken connections: a full endpoint refuses only briefly, and some requests fail anywhere.
    fn weight(self) -> f64 {
        match self {
            Self::Broken => 0.4,
            Self::Failed => 0.2,
            Self::Refused => 0.15,
        }
    }
}

/// When an endpoint is ejected, and for how long.
#[derive(Clone, Copy, Debug)]
pub struct HealthSettings {
    /// Failure rate at which an endpoint is ejected.
    pub rate: f64,
    /// Duration of the first ejection; each further one in a row takes twice as long.
    pub duration: Duration,
    /// Longest ejection.
    pub max_duration: Duration,
}

impl Default for HealthSettings {
    fn default() -> Self {
        Self {
            rate: 0.6,
            duration: Duration::from_millis(500),
            max_duration: Duration::from_secs(4),
        }
    }
}

/// Failure rate, ejection and pace of one endpoint.
#[derive(Clone, Copy, Debug)]
pub struct EndpointHealth {
    rate: f64,
    rate_updated: Moment,
    ejections: u32,
    ejected_until: Moment,
    pace: f64,
    pace_updated: Moment,
}

impl Default for EndpointHealth {
    fn default() -> Self {
        let never = Moment(0);
        Self {
            rate: 0.0,
            rate_updated: never,
            ejections: 0,
            ejected_until: never,
            pace: 1.0,
            pace_updated: never,
        }
    }
}

impl EndpointHealth {
    /// Records a response that took `ratio` times as long as expected.
    pub fn succeed(&mut self, ratio: f64, now: Moment) {
        self.rate = self.rate(now) * (1.0 - FailureKind::Failed.weight());
        self.rate_updated = now;
        self.ejections = 0;
        let known = self.pace(now);
        let ratio = ratio.clamp(PACE_BOUNDS.0, PACE_BOUNDS.1);
        self.pace = known + PACE_WEIGHT * (ratio - known);
        self.pace_updated = now;
    }

    /// Records a failure; returns whether it ejects the endpoint.
    pub fn fail(&mut self, kind: FailureKind, settings: &HealthSettings, now: Moment) -> bool {
        if self.is_ejected(now) {
            return false;
        }
        let rate = self.rate(now);
        self.rate = rate + kind.weight() * (1.0 - rate);
        self.rate_updated = now;
        // The first broken attempt after an ejection ejects the endpoint again at once.
        let again = self.ejections > 0 && kind == FailureKind::Broken;
        if self.rate < settings.rate && !again {
            return false;
        }
        let factor = 1_u32 << self.ejections.min(6);
        self.ejected_until = now + (settings.duration * factor).min(settings.max_duration);
        self.ejections += 1;
        self.rate = 0.0;
        true
    }

    /// Whether the endpoint is ejected.
    pub fn is_ejected(&self, now: Moment) -> bool {
        now < self.ejected_until
    }

    /// Weighted share of recent attempts that failed.
    pub fn rate(&self, now: Moment) -> f64 {
        self.rate * decay(now.since(self.rate_updated), RATE_TIME_CONSTANT)
    }

    /// Observed pace: ratio of real to expected durations, 1 if there is no recent observation.
    pub fn pace(&self, now: Moment) -> f64 {
        1.0 + (self.pace - 1.0) * decay(now.since(self.pace_updated), PACE_TIME_CONSTANT)
    }
}

fn decay(age: Duration, time_constant: Duration) -> f64 {
    (-age.as_secs_f64() / time_constant.as_secs_f64()).exp()
}
