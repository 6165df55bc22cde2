//! Mix of short and long prompts, and the engines kept free of long ones.

use crate::moment::Moment;

/// Time constant of the mix, in seconds.
const MIX_SECS: f64 = 3.0;

/// Room for swings in the part of the engines that is kept for short prompts.
const HEADROOM: f64 = 1.4;

/// Greatest part of the engines that is kept for short prompts.
const MAX_PART: f64 = 0.5;

/// Part of the work below which short prompts get no engines of their own.
const MIN_SHORT: f64 = 0.005;

/// Decayed engine time of requests with short and with long prompts.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct WorkMix {
    short: f64,
    long: f64,
    updated: Moment,
}

impl WorkMix {
    /// Adds the engine time of an admitted request, in seconds.
    pub(crate) fn note(&mut self, now: Moment, work: f64, long: bool) {
        let keep = (-now.since(self.updated).as_secs_f64() / MIX_SECS).exp();
        self.updated = now;
        self.short *= keep;
        self.long *= keep;
        if long {
            self.long += work;
        } else {
            self.short += work;
        }
    }

    /// How many of a pool's engines should be kept free of long prompts.
    pub(crate) fn reserved(&self, engines: usize) -> usize {
        let sum = self.short + self.long;
        let part = if sum > 0.0 { self.short / sum } else { 0.0 };
        if part < MIN_SHORT || self.long <= 0.0 || engines < 2 {
            return 0;
        }
        let most = (engines as f64 * MAX_PART) as usize;
        ((engines as f64 * part * HEADROOM).ceil() as usize).clamp(1, most.max(1))
    }
}
