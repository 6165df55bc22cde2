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
    requested: Tokens,
    dispatched: Tokens,
    requested_rate: Tokens,
    dispatched_rate: Tokens,
    sampled: Moment,
}

impl DemandMeter {
    /// Records tokens requested by a request, whether it is then admitted or refused for load.
    pub(crate) fn note_requested(&mut self, prefill: u32, decode: u32) {
        self.requested.prefill += f64::from(prefill);
        self.requested.decode += f64::from(decode);
    }

    /// Records dispatched tokens.
    pub(crate) fn note_dispatched(&mut self, prefill: u32, decode: u32) {
        self.dispatched.prefill += f64::from(prefill);
        self.dispatched.decode += f64::from(decode);
    }

    /// Updates the rates with the tokens since the last call and returns them, in tokens per
    /// second.
    pub(crate) fn take(&mut self, now: Moment, plan: &str, waiting: u32) -> PlanDemand {
        let secs = now.since(self.sampled).as_secs_f64().max(1e-3);
        self.sampled = now;
        let keep = (-secs / RATE_SECS).exp();
        let requested = std::mem::take(&mut self.requested);
        let dispatched = std::mem::take(&mut self.dispatched);
        let mix = |old: f64, count: f64| old * keep + count / secs * (1.0 - keep);
        self.requested_rate.prefill = mix(self.requested_rate.prefill, requested.prefill);
        self.requested_rate.decode = mix(self.requested_rate.decode, requested.decode);
        self.dispatched_rate.prefill = mix(self.dispatched_rate.prefill, dispatched.prefill);
        self.dispatched_rate.decode = mix(self.dispatched_rate.decode, dispatched.decode);
        PlanDemand {
            plan: plan.to_owned(),
            prefill_demand: self.requested_rate.prefill,
            decode_demand: self.requested_rate.decode,
            prefill_drawn: self.dispatched_rate.prefill,
            decode_drawn: self.dispatched_rate.decode,
            waiting,
        }
    }
}
