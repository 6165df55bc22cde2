//! Decisions that the scheduler asks its process to carry out.

use std::sync::Arc;
use std::time::Duration;

use crate::keys::{AttemptKey, EndpointKey, RequestKey};

/// Why a request is refused.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RefusalCode {
    /// The plan may not use the service or model.
    NotAllowed,
    /// The queue of the plan is full.
    QueueFull,
    /// It could not end before its deadline.
    TooLate,
    /// No endpoint serves the model or service.
    NoEndpoint,
    /// Attempts failed and no further one is allowed.
    Failed,
}

/// A refusal; the scheduler has forgotten the request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Why.
    pub code: RefusalCode,
    /// When the caller should come back, if that can help.
    pub retry_after: Option<Duration>,
}

/// What an attempt is for.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Purpose {
    /// First attempt.
    First,
    /// Attempt after a failed one.
    Retry,
    /// Second attempt beside a slow one.
    Hedge,
    /// Computes the KV cache that a later attempt on another engine imports.
    Prefill,
}

/// A decision to carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Start an attempt at an endpoint.
    Start {
        /// The request.
        request: RequestKey,
        /// The new attempt.
        attempt: AttemptKey,
        /// Where.
        endpoint: EndpointKey,
        /// Name of the endpoint.
        name: Arc<str>,
        /// Address of the endpoint as `IP:port`.
        address: Arc<str>,
        /// What for.
        purpose: Purpose,
        /// Scheduling priority at an engine; a higher value is served first.
        priority: u32,
    },
    /// Cancel an attempt; its end is still to be noted.
    Cancel {
        /// The attempt.
        attempt: AttemptKey,
    },
    /// Refuse a waiting request; nothing was sent for it unless an attempt had failed.
    Refuse {
        /// The request.
        request: RequestKey,
        /// Why.
        refusal: Refusal,
    },
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum AttemptEnd {
    /// The whole answer arrived.
    Done,
    /// It failed before anything was sent, or the endpoint said that it did not run.
    NotRun,
    /// It failed and may have run.
    Failed,
    /// It was cancelled.
    Cancelled,
}
