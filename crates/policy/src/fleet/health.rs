//! Pace of one endpoint as seen in its answers, ejection and re-entry.

use crate::moment::Moment;
use crate::settings::EjectSettings;

/// Time constant of the pace, in seconds of streaming.
const PACE_SECS: f64 = 0.4;

/// Time constant of the first tokens' delays, in observations.
const DELAY_COUNT: f64 = 5.0;

/// Evidence below which an endpoint's pace is not judged, in seconds of streaming.
const MIN_EVIDENCE: f64 = 0.03;

/// Failures in a row that eject an endpoint.
const MAX_FAILURES: u32 = 2;

/// Whether an endpoint gets new work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Phase {
    /// It does.
    Normal,
    /// It does not until the given moment.
    Ejected(Moment),
    /// It gets at most the given number of attempts at a time.
    Probing(u32),
}

/// Pace and phase of one endpoint.
#[derive(Clone, Debug)]
pub(crate) struct Health {
    phase: Phase,
    /// Decayed time that attempts spent streaming, in seconds.
    streamed: f64,
    /// Decayed number of output tokens in that time.
    tokens: f64,
    /// Decayed sum and weight of the ratios of real to expected delay of the first token.
    delay: f64,
    delays: f64,
    failures: u32,
    ejections: u32,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            phase: Phase::Normal,
            streamed: 0.0,
            tokens: 0.0,
            delay: 0.0,
            delays: 0.0,
            failures: 0,
            ejections: 0,
        }
    }
}

impl Health {
    /// Adds streaming time and the tokens that arrived in it.
    pub(crate) fn note_stream(&mut self, secs: f64, tokens: f64, elapsed: f64) {
        let decay = (-elapsed / PACE_SECS).exp();
        self.streamed = self.streamed * decay + secs;
        self.tokens = self.tokens * decay + tokens;
    }

    /// Adds the ratio of a first token's delay, or a call's duration, to what was expected.
    pub(crate) fn note_delay(&mut self, ratio: f64) {
        let decay = 1.0 - 1.0 / DELAY_COUNT;
        self.delay = self.delay * decay + ratio.clamp(0.1, 20.0);
        self.delays = self.delays * decay + 1.0;
        self.failures = 0;
    }

    /// Seconds per output token, if there is evidence.
    pub(crate) fn gap(&self) -> Option<f64> {
        (self.streamed >= MIN_EVIDENCE).then(|| self.streamed / (self.tokens + 0.5))
    }

    /// Mean ratio of real to expected delays, if there is evidence.
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
        self.phase = Phase::Probing(1);
        self.streamed = 0.0;
        self.tokens = 0.0;
        self.delay = 0.0;
        self.delays = 0.0;
        self.failures = 0;
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
