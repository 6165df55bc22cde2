//! Messages that threads send to the entry's actor.

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

/// Who asks, and under which identifier.
#[derive(Clone, Debug)]
pub struct Caller {
    /// Number of the request.
    pub number: RequestNumber,
    /// Identifier of the request, told to the caller.
    pub id: Arc<str>,
    /// Customer.
    pub customer: Arc<Customer>,
}

/// A completion to be admitted.
#[derive(Debug)]
pub struct CompletionJob {
    /// Who asks.
    pub caller: Caller,
    /// Service wanted.
    pub service: Arc<str>,
    /// Model wanted.
    pub model: Arc<str>,
    /// Prompt.
    pub prompt: Arc<str>,
    /// Greatest number of output tokens.
    pub max_tokens: u32,
    /// Takes the answer.
    pub reply: mpsc::Sender<CompletionEvent>,
}

/// What a caller's connection is told of its completion.
#[derive(Clone, Debug)]
pub enum CompletionEvent {
    /// Next part of the answer.
    Part(Part),
    /// The request is refused or its answer is cut.
    Refused(Refused),
}

/// Next part of an answer.
#[derive(Clone, Debug)]
pub struct Part {
    /// Text.
    pub text: String,
    /// Tokens of the text.
    pub tokens: u32,
    /// Why the answer ends, on the last part only.
    pub finish: Option<Arc<str>>,
}

/// A call of a plain service as it is sent to endpoints.
#[derive(Clone, Debug, Default)]
pub struct CallRequest {
    /// Method.
    pub method: String,
    /// Path and query, with the leading slash.
    pub path: String,
    /// Headers that are passed on.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Bytes,
}

/// Answer of a plain service.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CallResponse {
    /// HTTP status.
    pub status: u16,
    /// Headers that are passed on.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Bytes,
    /// Name of the endpoint that answered.
    pub endpoint: Arc<str>,
}

/// A call of a plain service to be admitted.
#[derive(Debug)]
pub struct CallJob {
    /// Who asks.
    pub caller: Caller,
    /// Service wanted.
    pub service: Arc<str>,
    /// What is sent.
    pub request: Arc<CallRequest>,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Takes the answer.
    pub reply: oneshot::Sender<Result<CallResponse, Refused>>,
}

/// What an attempt's thread says.
#[derive(Debug)]
pub enum AttemptEvent {
    /// A piece arrived.
    Piece(Piece),
    /// The KV cache of the prompt can be imported under this handle.
    Prefilled(String),
    /// The plain service answered.
    Response(CallResponse),
    /// The engine's stream ended.
    Ended,
    /// The attempt failed.
    Failed(AttemptFailure),
}

/// Why an attempt failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AttemptFailure {
    /// Whether the endpoint may have run it.
    pub may_have_run: bool,
    /// Whether an answer arrived that is over the limit.
    pub too_large: bool,
    /// Whether the endpoint cannot use the KV cache that was named.
    pub cache_lost: bool,
    /// Cause, for the log and explanations.
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
    /// The caller has gone, or has its whole answer.
    CallerGone(RequestNumber),
    /// Something happened to an attempt.
    Attempt {
        /// The attempt.
        attempt: AttemptKey,
        /// What happened.
        event: AttemptEvent,
    },
    /// Something happened on the link to the control process.
    Link(LinkEvent),
    /// A customer asks what became of a request.
    Explain {
        /// Identifier of the request.
        request: String,
        /// Name of the customer that asks.
        customer: Arc<str>,
        /// Takes the explanation, if there is one.
        reply: oneshot::Sender<Option<Explanation>>,
    },
    /// Count a request that was refused before it came to the actor.
    Count {
        /// Plan.
        plan: Arc<str>,
        /// Service.
        service: Arc<str>,
        /// Kind of the service.
        kind: SloKind,
        /// How it ended.
        outcome: SloOutcome,
    },
    /// The entry should shut down.
    Shutdown,
    /// All connections have ended.
    Drained,
}
