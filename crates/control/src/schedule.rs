//! Periodic tasks.

use std::time::Duration;

use agatestair_policy::Moment;

/// Schedule of one periodic task.
#[derive(Clone, Copy, Debug)]
pub struct Periodic {
    interval: Duration,
    due: Moment,
    running: bool,
}

impl Periodic {
    /// A task that is due at once and then every `interval`.
    pub fn new(interval: Duration) -> Self {
        Self { interval, due: Moment(0), running: false }
    }

    /// Returns whether the task is due, and if so schedules the next run. Returns false while an
    /// earlier run is in progress.
    pub fn try_start(&mut self, now: Moment) -> bool {
        if self.running || now < self.due {
            return false;
        }
        self.due = now + self.interval;
        true
    }

    /// Like [`Self::try_start`], but the task is not due again before [`Self::finish`].
    pub fn try_start_exclusive(&mut self, now: Moment) -> bool {
        self.running = self.try_start(now);
        self.running
    }

    /// Ends a run that [`Self::try_start_exclusive`] started.
    pub fn finish(&mut self) {
        self.running = false;
    }

    /// Sets the interval, beginning with the next start.
    pub fn set_interval(&mut self, interval: Duration) {
        self.interval = interval;
    }

    /// Makes the task due at once.
    pub fn make_due(&mut self) {
        self.due = Moment(0);
    }
}
