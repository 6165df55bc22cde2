//! Recent history of this entry's open work at an endpoint.

use std::collections::VecDeque;

use crate::moment::Moment;

/// Greatest number of changes kept.
const MAX_CHANGES: usize = 128;

/// This entry's open work at one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct OpenWork {
    /// Number of attempts.
    pub(crate) count: u32,
    /// Prompt tokens not yet processed.
    pub(crate) prefill: u64,
}

/// History of open work, used to subtract this entry's own part from a load report that lags.
#[derive(Clone, Debug, Default)]
pub(crate) struct OpenHistory {
    changes: VecDeque<(Moment, OpenWork)>,
}

impl OpenHistory {
    /// Records the open work from now on.
    pub(crate) fn note(&mut self, now: Moment, open: OpenWork) {
        if let Some(last) = self.changes.back_mut().filter(|last| last.0 == now) {
            last.1 = open;
            return;
        }
        if self.changes.len() == MAX_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back((now, open));
    }

    /// The open work at a past moment. Before the oldest known change, this is that change, or no
    /// work if no change has been dropped yet.
    pub(crate) fn at(&self, moment: Moment) -> OpenWork {
        let later = self.changes.partition_point(|change| change.0 <= moment);
        match later {
            0 if self.changes.len() < MAX_CHANGES => OpenWork::default(),
            0 => self.changes.front().map(|change| change.1).unwrap_or_default(),
            _ => self.changes[later - 1].1,
        }
    }
}
