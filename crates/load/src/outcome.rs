//! What became of one request, as its caller saw it.

use std::sync::Arc;
use std::time::Duration;

use agatestair_schema::caller::RunState;

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// Answered whole and right.
    Whole,
    /// Answered as if whole, but with another text or status than expected.
    Wrong,
    /// The answer ended before it was whole.
    Cut,
    /// Refused.
    Refused(Refusal),
    /// Sent, but no answer came: the connection failed or timed out.
    Failed,
    /// Not sent, since no entry could be reached.
    Unreached,
}

/// A refusal as received.
#[derive(Clone, Debug, PartialEq)]
pub struct Refusal {
    /// HTTP status.
    pub status: u16,
    /// Stable code; empty if the body had none.
    pub code: String,
    /// Whether the request ran, if said.
    pub ran: Option<RunState>,
    /// When to come back, if said.
    pub retry: Option<Duration>,
}

/// Times of one attempt, counted from the start of the run.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// How it ended.
    pub outcome: Outcome,
    /// Identifier of the request; empty if none was received.
    pub request: String,
    /// Time of the first token, or of the answer of a call.
    pub first: Option<Duration>,
    /// Time of the end.
    pub end: Duration,
    /// Output tokens received.
    pub tokens: u32,
}

/// One request with all attempts of its caller.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// Index of the arrival.
    pub index: usize,
    /// Address that answered last.
    pub target: Arc<str>,
    /// Time at which it was really sent first.
    pub sent: Duration,
    /// Attempts after the first, made because a refusal said when to come back.
    pub returns: u32,
    /// Entries tried that could not be reached.
    pub unreachable: u32,
    /// Every reply, in order of time; the last one counts.
    pub replies: Vec<Reply>,
    /// Idempotency key; empty if none was sent.
    pub key: Arc<str>,
    /// Reply to a repeat of a keyed call under the same key.
    pub repeat: Option<Reply>,
}

impl CallRecord {
    /// The reply that counts.
    pub fn last(&self) -> Option<&Reply> {
        self.replies.last()
    }

    /// Whether the request was answered whole and right.
    pub fn whole(&self) -> bool {
        self.last().is_some_and(|reply| reply.outcome == Outcome::Whole)
    }
}
