//! Requests of callers with their outcomes.

use agatestair_schema::caller::RunState;

/// Kind of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallKind {
    /// A streamed completion.
    Completion,
    /// A write with an idempotency key.
    Keyed,
    /// A write without an idempotency key.
    Unkeyed,
    /// A read.
    Read,
}

/// Outcome of a request as the caller saw it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The complete and correct response.
    Complete,
    /// A response that ended normally but has the wrong content.
    Wrong,
    /// A response that was visibly truncated.
    Truncated,
    /// A refusal, with its statement of whether the request ran.
    Refused(RunState),
    /// No response.
    Lost,
}

/// One attempt of a request by a caller.
#[derive(Clone, Debug)]
pub struct CallerRecord {
    /// Kind of the request.
    pub kind: CallKind,
    /// Name of the entry instance that the request was sent to.
    pub entry: String,
    /// Request identifier from the response; empty if there was none.
    pub request: String,
    /// Idempotency key; empty for none.
    pub key: String,
    /// Body of a call, unique except for retries with the same key.
    pub body: String,
    /// Outcome.
    pub outcome: Outcome,
    /// Error code of a refusal; empty for none.
    pub code: String,
    /// Time when the request was sent, in milliseconds since the Unix epoch.
    pub sent_ms: u64,
    /// Time when the attempt ended, in milliseconds since the Unix epoch.
    pub ended_ms: u64,
}
