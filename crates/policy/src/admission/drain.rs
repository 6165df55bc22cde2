//! Rate at which a pool takes work from this entry.

use std::time::Duration;

use crate::moment::Moment;

/// Time constant of the measured rate, in seconds.
const RATE_SECS: f64 = 1.5;

/// Weight of the expected rate beside the measured one, in seconds.
const PRIOR_SECS: f64 = 0.15;

/// Time without a backlog for which the rate is still measured.
const EBB: Duration = Duration::from_millis(100);

/// Time without a backlog after which the measured rate is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(5);

/// Measures the engine time dispatched a second while requests wait.
#[derive(Clone, Debug, Default)]
pub(crate) struct DrainMeter {
    /// Decayed time with a backlog, in seconds.
    secs: f64,
    /// Decayed engine time dispatched meanwhile, in seconds.
    work: f64,
    updated: Moment,
    /// When requests last waited for room, while the rate is measured.
    full: Option<Moment>,
    emptied: Moment,
}

impl DrainMeter {
    /// Notes whether requests wait for room from now on; call it whenever time has passed.
    pub(crate) fn advance(&mut self, now: Moment, full: bool) {
        let elapsed = now.since(self.updated).as_secs_f64();
        self.updated = now;
        if let Some(last) = self.full {
            let decay = (-elapsed / RATE_SECS).exp();
            self.secs = self.secs * decay + elapsed;
            self.work *= decay;
            if full {
                self.full = Some(now);
            } else if now.since(last) >= EBB {
                self.full = None;
            }
        } else if full {
            self.full = Some(now);
        } else if now.since(self.emptied) >= FORGET_AFTER {
            *self = Self { updated: now, emptied: now, ..Self::default() };
        }
        if full {
            self.emptied = now;
        }
    }

    /// Notes dispatched work, in seconds of engine time.
    pub(crate) fn note(&mut self, work: f64) {
        if self.full.is_some() {
            self.work += work;
        }
    }

    /// Engine time that the pool takes a second; `expected` counts while little was measured.
    pub(crate) fn rate(&self, expected: f64) -> f64 {
        let rate = (self.work + expected * PRIOR_SECS) / (self.secs + PRIOR_SECS);
        rate.max(expected * 0.02).max(1e-3)
    }
}
