//! Model of an engine's processing times.

use std::time::Duration;

use agatestair_schema::settings::EngineSettings;

/// Size of the KV cache of one token in bytes.
pub const KV_TOKEN_BYTES: u64 = 65_536;
/// Bandwidth of KV cache imports in bytes per second.
const IMPORT_BYTES_S: f64 = 25e9;

/// Processing times of prompt tokens and decode steps.
#[derive(Clone, Copy, Debug)]
pub struct TokenTimes {
    /// Processing time of one prompt token in microseconds.
    pub prefill_us: f64,
    /// Fixed time of one decode step, without its sequences, in milliseconds.
    pub step_ms: f64,
    /// Time that each sequence adds to a decode step, in microseconds.
    pub sequence_us: f64,
}

impl TokenTimes {
    /// Time of a step that processes `prefill` prompt tokens and decodes `decoding` sequences.
    pub fn step(&self, prefill: u32, decoding: usize) -> Duration {
        let mut time_us = f64::from(prefill) * self.prefill_us;
        if decoding > 0 {
            time_us += self.step_ms * 1000.0 + decoding as f64 * self.sequence_us;
        }
        Duration::from_secs_f64(time_us / 1e6)
    }

    /// Time to import the KV cache of `tokens` tokens.
    pub fn import(tokens: u32) -> Duration {
        Duration::from_secs_f64(f64::from(tokens) * KV_TOKEN_BYTES as f64 / IMPORT_BYTES_S)
    }
}

impl From<&EngineSettings> for TokenTimes {
    fn from(settings: &EngineSettings) -> Self {
        Self {
            prefill_us: settings.prefill_us,
            step_ms: settings.step_ms,
            sequence_us: settings.sequence_us,
        }
    }
}
