//! Estimates the engines' speed from their responses.

use crate::settings::EngineModel;

/// Exponent that damps the correction of the decode time by one observed pace.
const PACE_GAIN: f64 = 0.02;

/// Factors on the prefill time for a first token that arrived later or earlier than expected. The
/// estimate is stable when a quarter arrives earlier, since most delays have other causes.
const SLOWER_FACTOR: f64 = 1.01;
const FASTER_FACTOR: f64 = 0.97;

/// Greatest factor between the configured and the estimated times.
const MAX_FACTOR: f64 = 20.0;

/// Engine time of prefill and decode, in seconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EngineTimes {
    pub(crate) prefill: f64,
    pub(crate) decode: f64,
}

/// Updates a model of the engines' speed from observations.
#[derive(Clone, Debug)]
pub(crate) struct SpeedEstimator {
    prior: EngineModel,
}

impl SpeedEstimator {
    /// Creates an estimator that starts from `prior`.
    pub(crate) fn new(prior: EngineModel) -> Self {
        Self { prior }
    }

    /// Engine time of a prompt and a response at the nominal speed, in seconds. Shares, budgets and
    /// rates are counted in nominal time, so that changes of the estimate do not affect them.
    pub(crate) fn nominal(&self, prompt: u32, output: u32) -> EngineTimes {
        EngineTimes {
            prefill: f64::from(prompt) * self.prior.prefill_us / 1e6,
            decode: f64::from(output) * self.prior.token_us() / 1e6,
        }
    }

    /// Records the usual ratio of real to expected streaming time.
    pub(crate) fn note_pace(&self, model: &mut EngineModel, pace: f64) {
        let factor = pace.clamp(0.2, 5.0).powf(PACE_GAIN);
        model.step_us = bounded(model.step_us * factor, self.prior.step_us);
        model.sequence_us = bounded(model.sequence_us * factor, self.prior.sequence_us);
    }

    /// Records the ratio of real to expected delay of a first token, for a prompt that accounts for
    /// most of that delay.
    pub(crate) fn note_first(&self, model: &mut EngineModel, ratio: f64) {
        let factor = if ratio > 1.0 { SLOWER_FACTOR } else { FASTER_FACTOR };
        model.prefill_us = bounded(model.prefill_us * factor, self.prior.prefill_us);
    }
}

fn bounded(value: f64, prior: f64) -> f64 {
    value.clamp(prior / MAX_FACTOR, prior * MAX_FACTOR)
}
