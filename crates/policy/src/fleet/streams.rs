//! Responses that an endpoint streams to this entry.

use crate::moment::Moment;

/// Sum over the responses in progress, from which the time since their last tokens is computed.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Streams {
    count: u64,
    /// Sum of the arrival moments of the last tokens, in microseconds.
    sum: u64,
}

impl Streams {
    /// Adds a response whose first tokens arrived.
    pub(crate) fn add(&mut self, now: Moment) {
        self.count += 1;
        self.sum += now.0;
    }

    /// Records further tokens of a response whose previous ones arrived at `last`.
    pub(crate) fn advance(&mut self, last: Moment, now: Moment) {
        self.sum = self.sum + now.0 - last.0;
    }

    /// Removes a response whose last tokens arrived at `last`.
    pub(crate) fn remove(&mut self, last: Moment) {
        self.count = self.count.saturating_sub(1);
        self.sum = self.sum.saturating_sub(last.0);
    }

    /// Number of responses in progress.
    pub(crate) fn count(&self) -> u64 {
        self.count
    }

    /// Time since the last tokens arrived, summed over the responses, in seconds.
    pub(crate) fn pending(&self, now: Moment) -> f64 {
        (self.count * now.0).saturating_sub(self.sum) as f64 / 1e6
    }
}
