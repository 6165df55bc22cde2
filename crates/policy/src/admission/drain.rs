//! Rate at which a pool takes work from this entry.

use std::time::Duration;

use crate::moment::Moment;

/// Time constant of the measured rate, in seconds.
const RATE_SECS: f64 = 0.6;

/// Weight of the expected rate beside the measured one, in seconds.
const PRIOR_SECS: f64 = 0.15;

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
    backlogged: Option<Moment>,
}

impl DrainMeter {
    /// Notes whether requests wait from now on; call it whenever time has passed.
    pub(crate) fn advance(&mut self, now: Moment, waiting: bool) {
        let elapsed = now.since(self.updated).as_secs_f64();
        self.updated = now;
        match self.backlogged {
            Some(_) if waiting => {
                let decay = (-elapsed / RATE_SECS).exp();
                self.secs = self.secs * decay + elapsed;
                self.work *= decay;
                self.backlogged = Some(now);
            }
            Some(since) if now.since(since) >= FORGET_AFTER => {
                *self = Self { updated: now, ..Self::default() }
            }
            _ if waiting => self.backlogged = Some(now),
            _ => {}
        }
    }

    /// Notes dispatched work, in seconds of engine time.
    pub(crate) fn note(&mut self, work: f64, waiting: bool) {
        if waiting {
            self.work += work;
        }
    }

    /// Engine time that the pool takes a second; `expected` counts while little was measured.
    pub(crate) fn rate(&self, expected: f64) -> f64 {
        let rate = (self.work + expected * PRIOR_SECS) / (self.secs + PRIOR_SECS);
        rate.max(expected * 0.02).max(1e-3)
    }
}
