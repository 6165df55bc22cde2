//! Learns the engines' speed from their answers.

use crate::settings::EngineModel;

/// Step of the decode time towards the observed pace, per observation.
const PACE_GAIN: f64 = 0.02;

/// Factors on the prefill time for a first token that came later or earlier than expected; they
/// balance where a quarter comes earlier, since most delays have other causes.
const LATER: f64 = 1.01;
const EARLIER: f64 = 0.97;

/// Greatest factor between the prior and the learned times.
const MAX_FACTOR: f64 = 20.0;

/// Engine time of both kinds of work, in seconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KindTimes {
    pub(crate) prefill: f64,
    pub(crate) decode: f64,
}

/// Keeps a model of the engines' speed up to date.
#[derive(Clone, Debug)]
pub(crate) struct SpeedLearner {
    prior: EngineModel,
}

impl SpeedLearner {
    /// Starts from what is expected.
    pub(crate) fn new(prior: EngineModel) -> Self {
        Self { prior }
    }

    /// Engine time of a prompt and an answer at the nominal speed, in seconds; shares, budgets and
    /// rates are counted in it, so that learning does not move them.
    pub(crate) fn nominal(&self, prompt: u32, output: u32) -> KindTimes {
        KindTimes {
            prefill: f64::from(prompt) * self.prior.prefill_us / 1e6,
            decode: f64::from(output) * self.prior.token_us() / 1e6,
        }
    }

    /// Takes over the usual ratio of real to expected streaming time.
    pub(crate) fn note_pace(&self, model: &mut EngineModel, pace: f64) {
        let factor = pace.clamp(0.2, 5.0).powf(PACE_GAIN);
        model.step_us = bounded(model.step_us * factor, self.prior.step_us);
        model.sequence_us = bounded(model.sequence_us * factor, self.prior.sequence_us);
    }

    /// Takes over a first token whose delay was mostly due to its prompt.
    pub(crate) fn note_first(&self, model: &mut EngineModel, ratio: f64) {
        let factor = if ratio > 1.0 { LATER } else { EARLIER };
        model.prefill_us = bounded(model.prefill_us * factor, self.prior.prefill_us);
    }
}

fn bounded(value: f64, prior: f64) -> f64 {
    value.clamp(prior / MAX_FACTOR, prior * MAX_FACTOR)
}
