//! Tracks the load that an attempt adds to its endpoint.

use std::rc::Rc;
use std::time::Duration;

use agatestair_policy::board::{FailureKind, Load};
use tokio::time::Instant;

use crate::node::Placement;
use crate::shared::Shared;

/// Guard that counts an attempt at its endpoint until it is dropped.
pub struct AttemptGuard {
    /// Endpoint of the attempt.
    pub placement: Placement,
    shared: Rc<Shared>,
    load: Load,
    begun: Instant,
}

impl AttemptGuard {
    /// Creates the guard of an attempt that [`Node::place`](crate::node::Node::place) has counted.
    pub fn new(shared: Rc<Shared>, placement: Placement) -> Self {
        shared.load_changes.note(placement.key, placement.load.unread);
        Self { load: placement.load, placement, shared, begun: Instant::now() }
    }

    /// State of the instance.
    pub fn shared(&self) -> &Shared {
        &self.shared
    }

    /// Time since the attempt began.
    pub fn elapsed(&self) -> Duration {
        self.begun.elapsed()
    }

    /// Records the first event of the response: the prompt is prefilled, and the time until now is
    /// a sample of the endpoint's pace.
    pub fn note_first(&mut self) {
        let (key, unread) =
            (self.placement.key, Load { unread: self.load.unread, ..Load::default() });
        self.load.unread = 0;
        let nominal = self.placement.nominal.as_secs_f64().max(1e-3);
        let ratio = self.elapsed().as_secs_f64() / nominal;
        self.shared.hub.ask(move |node, now| {
            node.board.finish(key, unread, now);
            node.board.note_success(key, ratio, now);
        });
        self.shared.load_changes.note(key, unread.unread);
    }

    /// Records the end of a complete run with its number of events, as a sample of output lengths.
    pub fn note_done(&self, events: u64) {
        let expected = self.placement.load.output;
        let events = u32::try_from(events).unwrap_or(u32::MAX);
        self.shared.hub.ask(move |node, _| {
            let actual = events.saturating_mul(node.board.settings.costs.stride);
            node.board.note_output(actual, expected);
        });
    }

    /// Records a failure of the endpoint; returns whether it causes the endpoint's ejection.
    pub fn note_failure(&self, kind: FailureKind) -> bool {
        let key = self.placement.key;
        self.shared.hub.ask(move |node, now| node.board.note_failure(key, kind, now))
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        let (key, load) = (self.placement.key, self.load);
        self.shared.hub.ask(move |node, now| node.board.finish(key, load, now));
        self.shared.load_changes.note(key, load.unread);
    }
}
