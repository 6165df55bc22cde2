//! Messages sent to the entry's actor by other threads.

use std::sync::Arc;

use agatestair_link::LinkEvent;
use agatestair_policy::AttemptKey;
use agatestair_schema::slo::SloKind;
use bytes::Bytes;
use tokio::sync::{mpsc, oneshot};

use crate::core::assembly::Piece;
use crate::core::explain::Explanation;
use crate::core::slo::SloOutcome;
use crate::customers::Customer;
use crate::refusal::Refused;

/// Number of a request within one run of the entry.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RequestNumber(pub u64);

/// Caller and identity of one request.
#[derive(Clone, Debug)]
pub struct Caller {
    /// Number of the request.
    pub number: RequestNumber,
    /// Request identifier, reported to the caller.
    pub id: Arc<str>,
    /// Customer.
    pub customer: Arc<Customer>,
}

/// A completion to admit.
#[derive(Debug)]
pub struct CompletionJob {
    /// The caller.
    pub caller: Caller,
    /// Requested service.
    pub service: Arc<str>,
    /// Requested model.
    pub model: Arc<str>,
    /// Prompt.
    pub prompt: Arc<str>,
    /// Maximum number of output tokens.
    pub max_tokens: u32,
    /// Receives the response.
    pub reply: mpsc::Sender<CompletionEvent>,
}

/// Event of a completion, sent to the caller's connection.
#[derive(Clone, Debug)]
pub enum CompletionEvent {
    /// Next part of the response.
    Part(Part),
    /// The request was refused, or its response is truncated here.
    Refused(Refused),
}

/// Next part of a response.
#[derive(Clone, Debug)]
pub struct Part {
    /// Text.
    pub text: String,
    /// Number of tokens in the text.
    pub tokens: u32,
    /// Finish reason; set on the last part only.
    pub finish: Option<Arc<str>>,
}

/// A call to a plain service as forwarded to endpoints.
#[derive(Clone, Debug, Default)]
pub struct CallRequest {
    /// Method.
    pub method: String,
    /// Path and query, with the leading slash.
    pub path: String,
    /// Forwarded headers.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Bytes,
}

/// Response of a plain service.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CallResponse {
    /// HTTP status.
    pub status: u16,
    /// Forwarded headers.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Bytes,
    /// Name of the endpoint that responded.
    pub endpoint: Arc<str>,
}

/// A call to a plain service to admit.
#[derive(Debug)]
pub struct CallJob {
    /// The caller.
    pub caller: Caller,
    /// Requested service.
    pub service: Arc<str>,
    /// Request to forward.
    pub request: Arc<CallRequest>,
    /// Whether it may safely run more than once.
    pub idempotent: bool,
    /// Receives the response.
    pub reply: oneshot::Sender<Result<CallResponse, Refused>>,
}

/// Event from an attempt's thread.
#[derive(Debug)]
pub enum AttemptEvent {
    /// A piece arrived.
    Piece(Piece),
    /// The KV cache of the prompt can be imported under this handle.
    Prefilled(String),
    /// The plain service responded.
    Response(CallResponse),
    /// The engine's stream ended.
    Ended,
    /// The attempt failed.
    Failed(AttemptFailure),
}

/// Why an attempt failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AttemptFailure {
    /// Whether the endpoint may have run the request.
    pub may_have_run: bool,
    /// Whether the response is over the size limit.
    pub too_large: bool,
    /// Whether the engine rejected the KV cache handle.
    pub cache_lost: bool,
    /// Cause, for the log and for explanations.
    pub cause: String,
}

impl AttemptFailure {
    /// A failure after which the request may have run.
    pub fn maybe_ran(cause: impl Into<String>) -> Self {
        Self { may_have_run: true, too_large: false, cache_lost: false, cause: cause.into() }
    }
}

/// A message to the entry's actor.
#[derive(Debug)]
pub enum EntryMessage {
    /// Admit a completion.
    Completion(Box<CompletionJob>),
    /// Admit a call.
    Call(Box<CallJob>),
    /// The caller has disconnected or has its full response.
    CallerGone(RequestNumber),
    /// Event of an attempt.
    Attempt {
        /// The attempt.
        attempt: AttemptKey,
        /// The event.
        event: AttemptEvent,
    },
    /// Event of the link to the control process.
    Link(LinkEvent),
    /// Look up the explanation of a request.
    Explain {
        /// Identifier of the request.
        request: String,
        /// Name of the customer; other customers' requests are not found.
        customer: Arc<str>,
        /// Receives the explanation, if there is one.
        reply: oneshot::Sender<Option<Explanation>>,
    },
    /// Count a request that ended before it reached the actor.
    Count {
        /// Plan.
        plan: Arc<str>,
        /// Service.
        service: Arc<str>,
        /// Kind of the service.
        kind: SloKind,
        /// Outcome.
        outcome: SloOutcome,
    },
    /// Start a graceful shutdown.
    Shutdown,
    /// All connections are closed and all keyed calls have ended.
    Drained,
}
