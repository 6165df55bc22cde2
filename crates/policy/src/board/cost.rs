//! Cost model of prefill and decode at an engine.

use std::time::Duration;

/// Prompt tokens from which a prompt is tracked in the cache models and reported to other instances
/// at once: its prefill takes 27 ms, most of the interval between two datagram rounds.
pub const MIN_TRACKED_TOKENS: u32 = 2500;

/// Cost model of an engine, with defaults from the deployment's specification sheet.
#[derive(Clone, Copy, Debug)]
pub struct EngineCosts {
    /// Prefill rate of a prefill engine, in prompt tokens per millisecond.
    pub prefill_rate: f64,
    /// Attention cost: milliseconds for a million pairs of a processed token and an earlier one.
    pub pair_ms: f64,
    /// Milliseconds of a decode step without context.
    pub step_ms: f64,
    /// Milliseconds of a decode step per thousand tokens of context in its batch.
    pub context_ms: f64,
    /// Fixed delay in milliseconds before an engine begins with a request, regardless of load.
    pub intake_ms: f64,
    /// Milliseconds to set up a KV cache transfer.
    pub setup_ms: f64,
    /// Factor by which prefill takes longer at a decode engine.
    pub mixed_factor: f64,
    /// Prompt tokens that a decode engine processes between two steps.
    pub chunk: f64,
    /// Prompts of fewer tokens are not tracked in the cache models.
    pub min_tracked: u32,
    /// Capacity of an engine's KV cache in tokens, if the configuration gives none.
    pub kv_tokens: u32,
    /// Tokens per stream event, if the configuration gives no number.
    pub stride: u32,
}

impl Default for EngineCosts {
    fn default() -> Self {
        Self {
            prefill_rate: 93.0,
            pair_ms: 0.442,
            step_ms: 3.29,
            context_ms: 0.0262,
            intake_ms: 80.0,
            setup_ms: 2.5,
            mixed_factor: 2.0,
            chunk: 1024.0,
            min_tracked: MIN_TRACKED_TOKENS,
            kv_tokens: 350_000,
            stride: 11,
        }
    }
}

impl EngineCosts {
    /// Prefill time of `fresh` tokens after `cached` ones, in milliseconds.
    pub fn prefill_ms(&self, fresh: u32, cached: u32) -> f64 {
        let (fresh, cached) = (f64::from(fresh), f64::from(cached));
        let pairs = fresh * (cached + fresh / 2.0) / 1e6;
        fresh / self.prefill_rate + pairs * self.pair_ms
    }

    /// Duration of one decode step with `context` tokens in the batch, in milliseconds.
    pub fn step(&self, context: u32) -> f64 {
        self.step_ms + self.context_ms * f64::from(context) / 1000.0
    }
}

/// Converts milliseconds to a duration; negative values become zero.
pub(crate) fn millis(value: f64) -> Duration {
    Duration::from_secs_f64(value.max(0.0) / 1000.0)
}
