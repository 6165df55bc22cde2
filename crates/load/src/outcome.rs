//! Outcome of a request as seen by its caller.

use std::sync::Arc;
use std::time::Duration;

use agatestair_schema::caller::RunState;

/// Outcome of one attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// Complete response with the expected content.
    Success,
    /// Complete response with unexpected content.
    Wrong,
    /// The response ended early.
    Truncated,
    /// Refused with an HTTP error status.
    Refused(Refusal),
    /// Sent, but the connection failed or timed out before a response.
    Failed,
    /// Not sent because no entry could be reached.
    Unreached,
}

/// Refusal received by a caller.
#[derive(Clone, Debug, PartialEq)]
pub struct Refusal {
    /// HTTP status.
    pub status: u16,
    /// Error code from the body; empty if there is none.
    pub code: String,
    /// Whether the request ran, if the refusal states it.
    pub ran: Option<RunState>,
    /// Delay before a retry, if the refusal states one.
    pub retry_after: Option<Duration>,
}

/// Result of one attempt, with times since the start of the run.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// Outcome of the attempt.
    pub outcome: Outcome,
    /// Identifier of the request; empty if none was received.
    pub request: String,
    /// Time of the first token, or of the response to a service call.
    pub first: Option<Duration>,
    /// Time at which the attempt ended.
    pub end: Duration,
    /// Output tokens received.
    pub tokens: u32,
}

/// One request with the replies to all its attempts.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// Index of the arrival.
    pub index: usize,
    /// Address of the last attempt.
    pub target: Arc<str>,
    /// Actual send time of the first attempt, since the start of the run.
    pub sent: Duration,
    /// Attempts after the first, made after refusals with a retry delay.
    pub retries: u32,
    /// Failed attempts to connect to an entry.
    pub unreachable: u32,
    /// Replies in chronological order; the last one is the final result.
    pub replies: Vec<Reply>,
    /// Idempotency key; empty if none was sent.
    pub key: Arc<str>,
    /// Reply to a repetition of the write with the same idempotency key.
    pub repeat: Option<Reply>,
}

impl RequestRecord {
    /// The final reply.
    pub fn last(&self) -> Option<&Reply> {
        self.replies.last()
    }

    /// Whether the final reply is a complete response with the expected content.
    pub fn is_success(&self) -> bool {
        self.last().is_some_and(|reply| reply.outcome == Outcome::Success)
    }
}
