//! Decisions of the scheduler that its process carries out.

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
    /// It is not expected to begin in time or to end before its deadline.
    TooLate,
    /// No endpoint serves the model or service.
    NoEndpoint,
    /// Attempts failed and no further one is allowed.
    Failed,
}

/// A refusal; the scheduler no longer tracks the request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// The cause.
    pub code: RefusalCode,
    /// Time after which the caller should retry; `None` if a retry cannot succeed.
    pub retry_after: Option<Duration>,
}

/// Purpose of an attempt.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Purpose {
    /// First attempt.
    First,
    /// Attempt after a failed one.
    Retry,
    /// Hedge: a second attempt while a slow one is still running.
    Hedge,
    /// Computes the KV cache that a later attempt on another engine imports.
    Prefill,
}

/// A decision that the process carries out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Start an attempt at an endpoint.
    Start {
        /// The request.
        request: RequestKey,
        /// The new attempt.
        attempt: AttemptKey,
        /// Endpoint to use.
        endpoint: EndpointKey,
        /// Name of the endpoint.
        name: Arc<str>,
        /// Address of the endpoint as `IP:port`.
        address: Arc<str>,
        /// Purpose of the attempt.
        purpose: Purpose,
        /// Scheduling priority at an engine; a higher value is served first.
        priority: u32,
    },
    /// Cancel an attempt; its end must still be reported to the scheduler.
    Cancel {
        /// The attempt.
        attempt: AttemptKey,
    },
    /// Refuse a waiting request; nothing was sent for it unless an earlier attempt failed.
    Refuse {
        /// The request.
        request: RequestKey,
        /// Cause and retry time.
        refusal: Refusal,
    },
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum AttemptEnd {
    /// The complete response arrived.
    Done,
    /// It failed before anything was sent, or the endpoint stated that it was not executed.
    NotRun,
    /// It failed and may have been executed.
    Failed,
    /// It was cancelled.
    Cancelled,
}
