//! Periodic work.

use std::time::Duration;

use agatestair_policy::Moment;

/// One kind of periodic work.
#[derive(Clone, Copy, Debug)]
pub struct Periodic {
    interval: Duration,
    due: Moment,
    running: bool,
}

impl Periodic {
    /// Work that is due at once and then each `interval`.
    pub fn new(interval: Duration) -> Self {
        Self { interval, due: Moment(0), running: false }
    }

    /// Whether to start now; if so, the next time is set. False while an earlier run goes on.
    pub fn start(&mut self, now: Moment) -> bool {
        if self.running || now < self.due {
            return false;
        }
        self.due = now + self.interval;
        true
    }

    /// As [`Self::start`], and not again before [`Self::end`].
    pub fn begin(&mut self, now: Moment) -> bool {
        self.running = self.start(now);
        self.running
    }

    /// Ends a run that [`Self::begin`] started.
    pub fn end(&mut self) {
        self.running = false;
    }

    /// Sets the interval from the next start on.
    pub fn set_interval(&mut self, interval: Duration) {
        self.interval = interval;
    }

    /// Makes the work due at once.
    pub fn hasten(&mut self) {
        self.due = Moment(0);
    }
}
