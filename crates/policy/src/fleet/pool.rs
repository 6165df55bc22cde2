//! Endpoints that serve one model of one service.

use std::collections::VecDeque;

use agatestair_schema::link::EndpointKind;

use crate::admission::DrainMeter;
use crate::fleet::KeySet;
use crate::keys::{EndpointKey, RequestKey};
use crate::queue::PoolQueue;
use crate::size::CLASSES;
use crate::straggler::Cohort;

slotmap::new_key_type! {
    /// Key of one pool.
    pub(crate) struct PoolKey;
}

/// How requests of a pool are executed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Route {
    /// One engine processes the prompt and generates the response.
    Whole,
    /// As [`Self::Whole`], at an engine that is not reserved for short prompts.
    Long,
    /// A prefill engine processes the prompt, and another engine generates the response.
    Split,
}

/// Endpoints that serve one model of one service, and the requests for that model.
#[derive(Debug)]
pub(crate) struct Pool {
    pub(crate) kind: EndpointKind,
    pub(crate) members: Vec<EndpointKey>,
    /// Endpoints with room for whole requests.
    pub(crate) whole: KeySet,
    /// Endpoints of `whole` that are not reserved for short prompts.
    pub(crate) unreserved: KeySet,
    /// Prefill engines with room.
    pub(crate) prefill: KeySet,
    /// Number of serving endpoints that are not prefill engines, with or without room.
    pub(crate) whole_count: u32,
    /// Number of serving endpoints for whole requests of any size, with or without room.
    pub(crate) mixed_count: u32,
    /// Number of serving prefill engines, with or without room.
    pub(crate) prefill_count: u32,
    /// Number of serving endpoints; one that serves several pools counts in equal parts.
    pub(crate) capacity: f64,
    /// Value of the scheduler's turn counter when a request of the pool was last dispatched.
    pub(crate) last_turn: usize,
    /// Requests that wait for any endpoint of `whole`.
    pub(crate) queue: PoolQueue,
    /// Requests with long prompts that wait for an endpoint of `unreserved`.
    pub(crate) long: PoolQueue,
    /// Requests that wait for a prefill engine.
    pub(crate) split: PoolQueue,
    /// Requests whose prompt was processed and that wait for a decode engine.
    pub(crate) handoff: VecDeque<RequestKey>,
    /// Running requests by size class.
    pub(crate) cohorts: [Cohort; CLASSES],
    pub(crate) drain: DrainMeter,
    /// Usual ratio of the real to the expected streaming time.
    pub(crate) pace: f64,
    /// Usual time per output token, or of a call, in seconds.
    pub(crate) token_secs: f64,
    /// Usual ratio of the real to the expected time to the first token, or of a call.
    pub(crate) delay: f64,
}

impl Pool {
    /// Creates a pool without endpoints.
    pub(crate) fn new(kind: EndpointKind, token_secs: f64) -> Self {
        Self {
            kind,
            members: Vec::new(),
            whole: KeySet::default(),
            unreserved: KeySet::default(),
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
            cohorts: Default::default(),
            drain: DrainMeter::default(),
            pace: 1.0,
            token_secs,
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
        let long = self.long.count() > 0 && self.unreserved.is_empty();
        whole || long || split
    }
}
