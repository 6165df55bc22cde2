//! Pace of one endpoint as observed in its responses, ejection and recovery.

use crate::moment::Moment;
use crate::settings::EjectSettings;

/// Time constant of the pace, in seconds.
const PACE_SECS: f64 = 0.4;

/// Time constant of the mean delay of first tokens, in observations.
const DELAY_COUNT: f64 = 5.0;

/// Least evidence for a statement on an endpoint's pace, in seconds of expected streaming.
const MIN_EVIDENCE: f64 = 0.03;

/// Consecutive failures that eject an endpoint.
const MAX_FAILURES: u32 = 2;

/// Ejection phase of an endpoint, which decides whether it gets new work.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum Phase {
    /// It gets new work.
    #[default]
    Normal,
    /// It gets no new work until the given moment.
    Ejected(Moment),
    /// It gets at most the given number of concurrent attempts.
    Probing(u32),
}

/// Real and expected streaming time of responses.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Streaming {
    /// Real time, in seconds, summed over attempts.
    pub(crate) secs: f64,
    /// Expected time, in seconds, summed over attempts.
    pub(crate) expected: f64,
    /// Output tokens.
    pub(crate) tokens: f64,
}

/// Pace and ejection phase of one endpoint.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    phase: Phase,
    /// Decayed sums.
    streaming: Streaming,
    updated: Moment,
    /// Decayed sum and weight of the ratios of real to nominal delay of the first token.
    delay: f64,
    delays: f64,
    failures: u32,
    ejections: u32,
}

impl Health {
    /// Adds the streaming of one attempt since its last tokens arrived.
    pub(crate) fn note_streaming(&mut self, now: Moment, more: Streaming) {
        let decay = (-now.since(self.updated).as_secs_f64() / PACE_SECS).exp();
        self.updated = now;
        self.streaming.secs = self.streaming.secs * decay + more.secs;
        self.streaming.expected = self.streaming.expected * decay + more.expected;
        self.streaming.tokens = self.streaming.tokens * decay + more.tokens;
    }

    /// Adds the ratio of a first token's delay, or a call's duration, to its nominal value.
    pub(crate) fn note_delay(&mut self, ratio: f64) {
        let decay = 1.0 - 1.0 / DELAY_COUNT;
        self.delay = self.delay * decay + ratio.clamp(0.1, 20.0);
        self.delays = self.delays * decay + 1.0;
        self.failures = 0;
    }

    /// Ratio of real to expected streaming time, if there is enough evidence; `pending` is the
    /// streaming since the last tokens arrived.
    pub(crate) fn pace(&self, pending: Streaming) -> Option<f64> {
        let expected = self.streaming.expected + pending.expected;
        (expected >= MIN_EVIDENCE).then(|| (self.streaming.secs + pending.secs) / expected)
    }

    /// Seconds per output token, if there is enough evidence.
    pub(crate) fn token_secs(&self) -> Option<f64> {
        let enough = self.streaming.expected >= MIN_EVIDENCE && self.streaming.tokens >= 1.0;
        enough.then(|| self.streaming.secs / self.streaming.tokens)
    }

    /// Mean ratio of real to nominal delays, if any was observed.
    pub(crate) fn delay(&self) -> Option<f64> {
        (self.delays >= 1.0).then(|| self.delay / self.delays)
    }

    /// Current ejection phase.
    pub(crate) fn phase(&self) -> Phase {
        self.phase
    }

    /// Records a failed attempt; returns whether the endpoint should be ejected.
    pub(crate) fn note_failure(&mut self) -> bool {
        self.failures += 1;
        self.failures >= MAX_FAILURES || matches!(self.phase, Phase::Probing(_))
    }

    /// Ejects the endpoint; each consecutive ejection lasts twice as long as the previous one.
    pub(crate) fn eject(&mut self, now: Moment, settings: &EjectSettings) {
        let factor = 1_u32 << self.ejections.min(6);
        let duration = (settings.duration * factor).min(settings.max_duration);
        self.ejections += 1;
        self.phase = Phase::Ejected(now + duration);
    }

    /// Starts probing an ejected endpoint and discards the observations of its pace.
    pub(crate) fn probe(&mut self) {
        let ejections = self.ejections;
        *self = Self { phase: Phase::Probing(1), ejections, ..Self::default() };
    }

    /// Doubles the number of attempts that a probed endpoint gets; at `full` it has recovered.
    pub(crate) fn recover(&mut self, full: u32) {
        if let Phase::Probing(limit) = self.phase {
            let next = limit.saturating_mul(2);
            self.phase = if next >= full { Phase::Normal } else { Phase::Probing(next) };
            if self.phase == Phase::Normal {
                self.ejections = self.ejections.saturating_sub(1);
            }
        }
    }
}
