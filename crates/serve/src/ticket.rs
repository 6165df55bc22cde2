//! Tracks the load that an attempt adds to its endpoint.

use std::rc::Rc;
use std::time::Duration;

use agatestair_policy::board::{FailureKind, Load};
use tokio::time::Instant;

use crate::front::Front;
use crate::node::Place;

/// Guard that counts an attempt at its endpoint until it is dropped.
pub struct Ticket {
    /// Endpoint of the attempt.
    pub place: Place,
    front: Rc<Front>,
    load: Load,
    begun: Instant,
}

impl Ticket {
    /// Creates the guard of an attempt that [`Node::place`](crate::node::Node::place) has counted.
    pub fn new(front: Rc<Front>, place: Place) -> Self {
        front.news.note(place.key, place.load.unread);
        Self { load: place.load, place, front, begun: Instant::now() }
    }

    /// Time since the attempt began.
    pub fn elapsed(&self) -> Duration {
        self.begun.elapsed()
    }

    /// Records the first piece of the answer: the prompt is prefilled, and the time until now is a
    /// sample of the endpoint's pace.
    pub fn note_first(&mut self) {
        let (key, unread) = (self.place.key, Load { unread: self.load.unread, ..Load::default() });
        self.load.unread = 0;
        let nominal = self.place.nominal.as_secs_f64().max(1e-3);
        let ratio = self.elapsed().as_secs_f64() / nominal;
        self.front.hub.ask(move |node, now| {
            node.board.finish(key, unread, now);
            node.board.note_success(key, ratio, now);
        });
        self.front.news.note(key, unread.unread);
    }

    /// Records the end of a complete run with its number of events, as a sample of output lengths.
    pub fn note_done(&self, events: u64) {
        let expected = self.place.load.output;
        let events = u32::try_from(events).unwrap_or(u32::MAX);
        self.front.hub.ask(move |node, _| {
            let actual = events.saturating_mul(node.board.settings.costs.stride);
            node.board.note_output(actual, expected);
        });
    }

    /// Records a failure of the endpoint; returns whether it causes the endpoint's ejection.
    pub fn note_failure(&self, kind: FailureKind) -> bool {
        let key = self.place.key;
        self.front.hub.ask(move |node, now| node.board.note_failure(key, kind, now))
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let (key, load) = (self.place.key, self.load);
        self.front.hub.ask(move |node, now| node.board.finish(key, load, now));
        self.front.news.note(key, load.unread);
    }
}
