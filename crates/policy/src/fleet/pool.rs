//! Endpoints that serve one model of one service.

use std::collections::VecDeque;

use agatestair_schema::link::EndpointKind;

use crate::admission::DrainMeter;
use crate::fleet::KeySet;
use crate::keys::{EndpointKey, RequestKey};
use crate::queue::PoolQueue;
use crate::size::CLASSES;
use crate::straggler::Lane;

slotmap::new_key_type! {
    /// Key of one pool.
    pub(crate) struct PoolKey;
}

/// Way that requests of a pool take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Route {
    /// One engine processes the prompt and generates the answer.
    Whole,
    /// As [`Self::Whole`], at an engine that is not kept for short prompts.
    Long,
    /// A prefill engine processes the prompt, another engine generates the answer.
    Split,
}

/// Endpoints that serve one model of one service, and the requests for it.
#[derive(Debug)]
pub(crate) struct Pool {
    pub(crate) kind: EndpointKind,
    pub(crate) members: Vec<EndpointKey>,
    /// Endpoints with room for whole requests.
    pub(crate) whole: KeySet,
    /// Endpoints of `whole` that are not kept for short prompts.
    pub(crate) wide: KeySet,
    /// Prefill engines with room.
    pub(crate) prefill: KeySet,
    /// Endpoints that serve and are not prefill engines, with room or not.
    pub(crate) whole_count: u32,
    /// Endpoints that serve whole requests of any size, with room or not.
    pub(crate) mixed_count: u32,
    /// Prefill engines that serve, with room or not.
    pub(crate) prefill_count: u32,
    /// Engines that serve; one that serves several pools counts in equal parts.
    pub(crate) capacity: f64,
    /// Number of the last turn that a request of it had.
    pub(crate) last_turn: usize,
    /// Requests that wait for any endpoint.
    pub(crate) queue: PoolQueue,
    /// Requests with long prompts that wait for an endpoint of `wide`.
    pub(crate) long: PoolQueue,
    /// Requests that wait for a prefill engine.
    pub(crate) split: PoolQueue,
    /// Requests whose prompt was processed elsewhere.
    pub(crate) handoff: VecDeque<RequestKey>,
    /// Running requests by size class.
    pub(crate) lanes: [Lane; CLASSES],
    pub(crate) drain: DrainMeter,
    /// Usual ratio of the real to the expected streaming time.
    pub(crate) pace: f64,
    /// Usual seconds per output token.
    pub(crate) gap: f64,
    /// Usual ratio of the real to the expected time to the first token, or of a call.
    pub(crate) delay: f64,
}

impl Pool {
    /// Creates a pool without endpoints.
    pub(crate) fn new(kind: EndpointKind, gap: f64) -> Self {
        Self {
            kind,
            members: Vec::new(),
            whole: KeySet::default(),
            wide: KeySet::default(),
            prefill: KeySet::default(),
            whole_count: 0,
            mixed_count: 0,
            prefill_count: 0,
            capacity: 0.0,
            last_turn: 0,
            queue: PoolQueue::default(),
            long: PoolQueue::default(),
            split: PoolQueue::default(),
            handoff: VecDeque::new(),
            lanes: Default::default(),
            drain: DrainMeter::default(),
            pace: 1.0,
            gap,
            delay: 1.0,
        }
    }

    /// The queue of a route.
    pub(crate) fn queue(&mut self, route: Route) -> &mut PoolQueue {
        match route {
            Route::Whole => &mut self.queue,
            Route::Long => &mut self.long,
            Route::Split => &mut self.split,
        }
    }

    /// The queue of a route.
    pub(crate) fn peek(&self, route: Route) -> &PoolQueue {
        match route {
            Route::Whole => &self.queue,
            Route::Long => &self.long,
            Route::Split => &self.split,
        }
    }

    /// Requests that wait in all queues.
    pub(crate) fn waiting(&self) -> u32 {
        self.queue.count() + self.long.count() + self.split.count()
    }

    /// Whether requests wait because no endpoint has room for them.
    pub(crate) fn is_full(&self) -> bool {
        let whole = self.queue.count() > 0 && self.whole.is_empty();
        let split = self.split.count() > 0 && self.prefill.is_empty();
        let long = self.long.count() > 0 && self.wide.is_empty();
        whole || long || split
    }
}
