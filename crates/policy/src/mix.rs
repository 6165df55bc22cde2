//! Mix of short and long prompts, and the number of engines reserved for short ones.

use crate::moment::Moment;

/// Time constant of the mix, in seconds.
const MIX_SECS: f64 = 3.0;

/// Headroom for fluctuations, as a factor on the fraction of engines reserved for short prompts.
const HEADROOM: f64 = 1.4;

/// Greatest fraction of the engines that is reserved for short prompts.
const MAX_RESERVED: f64 = 0.5;

/// Fraction of the work below which no engines are reserved for short prompts.
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

    /// How many of a pool's engines should be reserved for short prompts.
    pub(crate) fn reserved(&self, engines: usize) -> usize {
        let sum = self.short + self.long;
        let fraction = if sum > 0.0 { self.short / sum } else { 0.0 };
        if fraction < MIN_SHORT || self.long <= 0.0 || engines < 2 {
            return 0;
        }
        let most = (engines as f64 * MAX_RESERVED) as usize;
        ((engines as f64 * fraction * HEADROOM).ceil() as usize).clamp(1, most.max(1))
    }
}
