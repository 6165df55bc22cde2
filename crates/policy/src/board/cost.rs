//! How long engines take for prompts and tokens.

use std::time::Duration;

/// Prompt tokens from which on a prompt is followed through the caches and told to other instances
/// at once: 27 ms at an engine, most of a datagram round.
pub const NOTABLE_TOKENS: u32 = 2500;

/// Costs of a model engine, from the deployment's sheet.
#[derive(Clone, Copy, Debug)]
pub struct EngineCosts {
    /// Prompt tokens that a prefill engine reads in a millisecond.
    pub read_rate: f64,
    /// Milliseconds for a million pairs of a read token and one before it.
    pub pair_ms: f64,
    /// Milliseconds of a decode step without context.
    pub step_ms: f64,
    /// Milliseconds of a decode step for each thousand tokens in its batch's memory.
    pub context_ms: f64,
    /// Milliseconds before an engine begins with a request, whatever its load.
    pub intake_ms: f64,
    /// Milliseconds to set up a transfer.
    pub setup_ms: f64,
    /// How much slower a decode engine reads prompts.
    pub mixed_factor: f64,
    /// Prompt tokens that a decode engine reads between two steps.
    pub chunk: f64,
    /// Prompts of fewer tokens are not followed through the caches.
    pub notable: u32,
    /// Tokens of an engine's memory while the configuration tells none.
    pub memory: u32,
    /// Tokens of one event of a stream while the configuration tells none.
    pub stride: u32,
}

impl Default for EngineCosts {
    fn default() -> Self {
        Self {
            read_rate: 93.0,
            pair_ms: 0.442,
            step_ms: 3.29,
            context_ms: 0.0262,
            intake_ms: 80.0,
            setup_ms: 2.5,
            mixed_factor: 2.0,
            chunk: 1024.0,
            notable: NOTABLE_TOKENS,
            memory: 350_000,
            stride: 11,
        }
    }
}

impl EngineCosts {
    /// Time to read `fresh` tokens behind `cached` ones, in milliseconds.
    pub fn read_ms(&self, fresh: u32, cached: u32) -> f64 {
        let (fresh, cached) = (f64::from(fresh), f64::from(cached));
        let pairs = fresh * (cached + fresh / 2.0) / 1e6;
        fresh / self.read_rate + pairs * self.pair_ms
    }

    /// Time of one decode step with `context` tokens in memory, in milliseconds.
    pub fn step(&self, context: u32) -> f64 {
        self.step_ms + self.context_ms * f64::from(context) / 1000.0
    }
}

/// Milliseconds as a duration, zero for anything below.
pub(crate) fn millis(value: f64) -> Duration {
    Duration::from_secs_f64(value.max(0.0) / 1000.0)
}
