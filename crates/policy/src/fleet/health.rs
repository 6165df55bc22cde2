//! Pace of one endpoint as seen in its answers, ejection and re-entry.

use crate::moment::Moment;
use crate::settings::EjectSettings;

/// Time constant of the pace, in seconds.
const PACE_SECS: f64 = 0.4;

/// Time constant of the first tokens' delays, in observations.
const DELAY_COUNT: f64 = 5.0;

/// Evidence below which an endpoint's pace is not judged, in seconds of expected streaming.
const MIN_EVIDENCE: f64 = 0.03;

/// Failures in a row that eject an endpoint.
const MAX_FAILURES: u32 = 2;

/// Whether an endpoint gets new work.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum Phase {
    /// It does.
    #[default]
    Normal,
    /// It does not until the given moment.
    Ejected(Moment),
    /// It gets at most the given number of attempts at a time.
    Probing(u32),
}

/// Streaming of answers.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Streaming {
    /// Time that attempts spent, in seconds.
    pub(crate) secs: f64,
    /// Time that they should have spent, in seconds.
    pub(crate) expected: f64,
    /// Output tokens.
    pub(crate) tokens: f64,
}

/// Pace and phase of one endpoint.
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
    /// Adds the streaming of one attempt since its last piece.
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

    /// Ratio of real to expected streaming time, if there is evidence; `pending` is the streaming
    /// that has brought no token yet.
    pub(crate) fn pace(&self, pending: Streaming) -> Option<f64> {
        let expected = self.streaming.expected + pending.expected;
        (expected >= MIN_EVIDENCE).then(|| (self.streaming.secs + pending.secs) / expected)
    }

    /// Seconds per output token, if there is evidence.
    pub(crate) fn gap(&self) -> Option<f64> {
        let enough = self.streaming.expected >= MIN_EVIDENCE && self.streaming.tokens >= 1.0;
        enough.then(|| self.streaming.secs / self.streaming.tokens)
    }

    /// Mean ratio of real to nominal delays, if there is evidence.
    pub(crate) fn delay(&self) -> Option<f64> {
        (self.delays >= 1.0).then(|| self.delay / self.delays)
    }

    /// The phase.
    pub(crate) fn phase(&self) -> Phase {
        self.phase
    }

    /// Notes a failed attempt; returns whether the endpoint should be ejected.
    pub(crate) fn note_failure(&mut self) -> bool {
        self.failures += 1;
        self.failures >= MAX_FAILURES || matches!(self.phase, Phase::Probing(_))
    }

    /// Ejects the endpoint, each time in a row for twice as long.
    pub(crate) fn eject(&mut self, now: Moment, settings: &EjectSettings) {
        let factor = 1_u32 << self.ejections.min(6);
        let duration = (settings.duration * factor).min(settings.max_duration);
        self.ejections += 1;
        self.phase = Phase::Ejected(now + duration);
    }

    /// Lets an ejected endpoint be probed, with no memory of its former pace.
    pub(crate) fn probe(&mut self) {
        let ejections = self.ejections;
        *self = Self { phase: Phase::Probing(1), ejections, ..Self::default() };
    }

    /// Doubles what a probed endpoint gets, up to `full`, where it counts as recovered.
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
