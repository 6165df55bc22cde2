//! Rates of requested and dispatched tokens of one plan.

use agatestair_schema::link::PlanDemand;

use crate::moment::Moment;

/// Time constant of the rates, in seconds.
const RATE_SECS: f64 = 0.5;

/// Numbers of prefill and decode tokens.
#[derive(Clone, Copy, Debug, Default)]
struct Tokens {
    prefill: f64,
    decode: f64,
}

/// Measures the rates of requested and dispatched tokens of one plan.
#[derive(Clone, Debug, Default)]
pub(crate) struct DemandMeter {
    asked: Tokens,
    drawn: Tokens,
    asked_rate: Tokens,
    drawn_rate: Tokens,
    sampled: Moment,
}

impl DemandMeter {
    /// Records tokens requested by a request, whether it is then admitted or refused for load.
    pub(crate) fn note_asked(&mut self, prefill: u32, decode: u32) {
        self.asked.prefill += f64::from(prefill);
        self.asked.decode += f64::from(decode);
    }

    /// Records dispatched tokens.
    pub(crate) fn note_drawn(&mut self, prefill: u32, decode: u32) {
        self.drawn.prefill += f64::from(prefill);
        self.drawn.decode += f64::from(decode);
    }

    /// Updates the rates with the tokens since the last call and returns them, in tokens per
    /// second.
    pub(crate) fn take(&mut self, now: Moment, plan: &str, waiting: u32) -> PlanDemand {
        let secs = now.since(self.sampled).as_secs_f64().max(1e-3);
        self.sampled = now;
        let keep = (-secs / RATE_SECS).exp();
        let asked = std::mem::take(&mut self.asked);
        let drawn = std::mem::take(&mut self.drawn);
        let mix = |old: f64, count: f64| old * keep + count / secs * (1.0 - keep);
        self.asked_rate.prefill = mix(self.asked_rate.prefill, asked.prefill);
        self.asked_rate.decode = mix(self.asked_rate.decode, asked.decode);
        self.drawn_rate.prefill = mix(self.drawn_rate.prefill, drawn.prefill);
        self.drawn_rate.decode = mix(self.drawn_rate.decode, drawn.decode);
        PlanDemand {
            plan: plan.to_owned(),
            prefill_demand: self.asked_rate.prefill,
            decode_demand: self.asked_rate.decode,
            prefill_drawn: self.drawn_rate.prefill,
            decode_drawn: self.drawn_rate.decode,
            waiting,
        }
    }
}
