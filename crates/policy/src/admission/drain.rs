//! Drain rate: the rate at which a pool takes work from this entry.

use std::time::Duration;

use crate::moment::Moment;

/// Time constant of the measured rate, in seconds.
const RATE_SECS: f64 = 1.5;

/// Weight of the expected rate against the measured one, in seconds of measurement.
const PRIOR_SECS: f64 = 0.15;

/// Time without a backlog for which the measurement continues.
const BACKLOG_GRACE: Duration = Duration::from_millis(100);

/// Time without a backlog after which the measured rate is discarded.
const FORGET_AFTER: Duration = Duration::from_secs(5);

/// Measures the engine time dispatched per second while requests wait.
#[derive(Clone, Debug, Default)]
pub(crate) struct DrainMeter {
    /// Decayed measurement time, in seconds.
    secs: f64,
    /// Decayed engine time dispatched during the measurement, in seconds.
    work: f64,
    updated: Moment,
    /// When requests last waited for room; `None` while the rate is not measured.
    full: Option<Moment>,
    last_full: Moment,
}

impl DrainMeter {
    /// Advances the measurement to `now`; `full` is set if requests wait for room from now on.
    pub(crate) fn advance(&mut self, now: Moment, full: bool) {
        let elapsed = now.since(self.updated).as_secs_f64();
        self.updated = now;
        if let Some(last) = self.full {
            let decay = (-elapsed / RATE_SECS).exp();
            self.secs = self.secs * decay + elapsed;
            self.work *= decay;
            if full {
                self.full = Some(now);
            } else if now.since(last) >= BACKLOG_GRACE {
                self.full = None;
            }
        } else if full {
            self.full = Some(now);
        } else if now.since(self.last_full) >= FORGET_AFTER {
            *self = Self { updated: now, last_full: now, ..Self::default() };
        }
        if full {
            self.last_full = now;
        }
    }

    /// Records dispatched work, in seconds of engine time.
    pub(crate) fn note(&mut self, work: f64) {
        if self.full.is_some() {
            self.work += work;
        }
    }

    /// Engine time that the pool takes per second; `expected` dominates until enough was measured.
    pub(crate) fn rate(&self, expected: f64) -> f64 {
        let rate = (self.work + expected * PRIOR_SECS) / (self.secs + PRIOR_SECS);
        rate.max(expected * 0.02).max(1e-3)
    }
}
