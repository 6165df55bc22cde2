//! Admitted requests and their attempts.

use std::sync::Arc;
use std::time::Instant;

use agatestair_policy::{AttemptKey, Purpose, RequestKey};
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use crate::core::assembly::{Assembly, AttemptCursor};
use crate::core::explain::Explanation;
use crate::core::message::{CallRequest, CallResponse, Caller, CompletionEvent};
use crate::refusal::Refused;

/// An admitted request.
pub struct Job {
    /// The caller.
    pub caller: Caller,
    /// Requested service.
    pub service: Arc<str>,
    /// When it was admitted.
    pub admitted: Instant,
    /// Time by which it must end.
    pub deadline: Instant,
    /// Running attempts.
    pub attempts: Vec<AttemptKey>,
    /// Number of attempts started so far.
    pub started: u32,
    /// Whether an attempt that has ended may have run.
    pub may_have_run: bool,
    /// The work to do.
    pub work: JobWork,
    /// Explanation recorded so far.
    pub explanation: Explanation,
}

/// Work of an admitted request.
pub enum JobWork {
    /// A completion.
    Completion(CompletionWork),
    /// A call to a plain service.
    Call(CallWork),
}

/// State of an admitted completion.
pub struct CompletionWork {
    /// Requested model.
    pub model: Arc<str>,
    /// Prompt.
    pub prompt: Arc<str>,
    /// Maximum number of output tokens.
    pub max_tokens: u32,
    /// Response delivered so far.
    pub assembly: Assembly,
    /// Handle of a KV cache computed for the prompt.
    pub handle: Option<String>,
    /// When the first token arrived.
    pub first_token: Option<Instant>,
    /// Receives the response.
    pub reply: mpsc::Sender<CompletionEvent>,
}

/// State of an admitted call.
pub struct CallWork {
    /// Request to forward.
    pub request: Arc<CallRequest>,
    /// Whether it may safely run more than once.
    pub idempotent: bool,
    /// Receives the response.
    pub reply: oneshot::Sender<Result<CallResponse, Refused>>,
}

/// A running attempt.
pub struct Attempt {
    /// The request.
    pub request: RequestKey,
    /// Name of the endpoint.
    pub endpoint: Arc<str>,
    /// Address of the endpoint.
    pub address: Arc<str>,
    /// Why the attempt is made.
    pub purpose: Purpose,
    /// Scheduling priority at the engine.
    pub priority: u32,
    /// Position in the response.
    pub cursor: AttemptCursor,
    /// When it started or last sent a piece.
    pub last_activity: Instant,
    /// Whether it counts as silent.
    pub silent: bool,
    /// Since when a piece has been missing although later ones have arrived.
    pub gap_since: Option<Instant>,
    /// Whether timeouts between pieces apply: true for attempts at engines.
    pub monitored: bool,
    /// Whether a piece has arrived.
    pub has_output: bool,
    /// Cancelled when the result is no longer needed.
    pub token: CancellationToken,
}
