//! Requests in work and their attempts.

use std::sync::Arc;
use std::time::Instant;

use agatestair_policy::{AttemptKey, Purpose, RequestKey};
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use crate::core::assembly::{Assembly, AttemptCursor};
use crate::core::explain::Explanation;
use crate::core::message::{CallRequest, CallResponse, Caller, CompletionEvent};
use crate::refusal::Refused;

/// A request in work.
pub struct Job {
    /// Who asks.
    pub caller: Caller,
    /// Service wanted.
    pub service: Arc<str>,
    /// When it was admitted.
    pub admitted: Instant,
    /// Latest end.
    pub deadline: Instant,
    /// Attempts in work.
    pub attempts: Vec<AttemptKey>,
    /// Attempts started in all.
    pub started: u32,
    /// Whether an attempt that has ended may have run.
    pub may_have_run: bool,
    /// What is asked.
    pub work: JobWork,
    /// What it met.
    pub explanation: Explanation,
}

/// What a request in work asks.
pub enum JobWork {
    /// A completion.
    Completion(CompletionWork),
    /// A call of a plain service.
    Call(CallWork),
}

/// A completion in work.
pub struct CompletionWork {
    /// Model wanted.
    pub model: Arc<str>,
    /// Prompt.
    pub prompt: Arc<str>,
    /// Greatest number of output tokens.
    pub max_tokens: u32,
    /// Answer so far.
    pub assembly: Assembly,
    /// Handle of a KV cache computed for the prompt.
    pub handle: Option<String>,
    /// When the first token arrived.
    pub first_token: Option<Instant>,
    /// Takes the answer.
    pub reply: mpsc::Sender<CompletionEvent>,
}

/// A call in work.
pub struct CallWork {
    /// What is sent.
    pub request: Arc<CallRequest>,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Takes the answer.
    pub reply: oneshot::Sender<Result<CallResponse, Refused>>,
}

/// An attempt in work.
pub struct Attempt {
    /// The request.
    pub request: RequestKey,
    /// Name of the endpoint.
    pub endpoint: Arc<str>,
    /// Address of the endpoint.
    pub address: Arc<str>,
    /// What for.
    pub purpose: Purpose,
    /// Scheduling priority at an engine.
    pub priority: u32,
    /// Position in the answer.
    pub cursor: AttemptCursor,
    /// When it started or last sent a piece.
    pub last_heard: Instant,
    /// Since when a piece is missing while later ones have arrived.
    pub gap_since: Option<Instant>,
    /// Whether it is watched for silence.
    pub monitored: bool,
    /// Whether a piece has arrived.
    pub has_output: bool,
    /// Cancelled when nobody wants its answer any more.
    pub token: CancellationToken,
}
