//! Number of engines that prefill and decode need.

use agatestair_schema::link::{EndpointRole, EndpointView};

use crate::moment::Moment;
use crate::roles::RoleSettings;

/// Time constant of the smoothed needs, in seconds.
const NEED_SECS: f64 = 1.0;

/// Time in which queued work should be completed, in seconds.
const CATCH_UP_SECS: f64 = 1.0;

/// Assumed prompt tokens of a request that waits at an entry.
const WAITING_PROMPT: f64 = 4_000.0;

/// Assumed output tokens of a waiting request.
const WAITING_OUTPUT: f64 = 64.0;

/// Number of engines in one pool, and the number needed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PoolLoad {
    pub(crate) engines: usize,
    /// Engines needed at full load.
    pub(crate) need: f64,
}

impl PoolLoad {
    /// Ratio of the engines needed to those in the pool.
    pub(crate) fn load(self) -> f64 {
        if self.engines == 0 { f64::MAX } else { self.need / self.engines as f64 }
    }

    /// Number of engines missing to keep the load at or below `full`.
    pub(crate) fn excess(self, full: f64) -> f64 {
        (self.need / full - self.engines as f64).max(0.0)
    }

    /// The pool with `more` engines, or fewer if negative.
    pub(crate) fn resized(self, more: isize) -> Self {
        Self { engines: self.engines.saturating_add_signed(more), ..self }
    }
}

/// Smoothed numbers of engines needed for prefill and decode.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Needs {
    prefill: f64,
    decode: f64,
    waiting_prefill: u32,
    waiting_decode: u32,
    updated: Option<Moment>,
}

impl Needs {
    /// Sets how many requests wait at the entries for prefill and for decode.
    pub(crate) fn note_waiting(&mut self, prefill: u32, decode: u32) {
        self.waiting_prefill = prefill;
        self.waiting_decode = decode;
    }

    /// Number of engines needed in a role.
    pub(crate) fn need(&self, role: EndpointRole) -> f64 {
        match role {
            EndpointRole::Prefill => self.prefill,
            EndpointRole::Decode => self.decode,
            EndpointRole::Mixed => 0.0,
        }
    }

    /// Updates the needs from new load reports.
    pub(crate) fn update(&mut self, now: Moment, engines: &[&EndpointView], s: &RoleSettings) {
        let sum = |role: EndpointRole, amount: fn(&EndpointView) -> f64| -> f64 {
            engines.iter().filter(|engine| engine.role == role).map(|engine| amount(engine)).sum()
        };
        let backlog = sum(EndpointRole::Prefill, |e| e.prefill_backlog as f64)
            + f64::from(self.waiting_prefill) * WAITING_PROMPT;
        let rate = sum(EndpointRole::Prefill, |e| e.prefill_rate);
        let prefill = (rate + backlog / CATCH_UP_SECS) / s.prefill_peak;
        let queued =
            sum(EndpointRole::Decode, |e| f64::from(e.queued)) + f64::from(self.waiting_decode);
        let rate = sum(EndpointRole::Decode, |e| e.decode_rate);
        let decode = (rate + queued * WAITING_OUTPUT / CATCH_UP_SECS) / s.decode_peak;
        let elapsed = self.updated.map_or(f64::MAX, |at| now.since(at).as_secs_f64());
        let keep = (-elapsed / NEED_SECS).exp();
        self.updated = Some(now);
        self.prefill = self.prefill * keep + prefill * (1.0 - keep);
        self.decode = self.decode * keep + decode * (1.0 - keep);
    }
}
