//! What a caller sent and got.

use agatestair_schema::caller::RunState;

/// Kind of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallKind {
    /// A streamed completion.
    Completion,
    /// A write with an idempotency key.
    Keyed,
    /// A write without one.
    Unkeyed,
    /// A read.
    Read,
}

/// What a caller got.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Seen {
    /// The whole and right answer.
    Whole,
    /// An answer that ended in order but is not the right one.
    Wrong,
    /// The start of an answer, visibly cut.
    Cut,
    /// A refusal, with what it says of whether the request ran.
    Refused(RunState),
    /// No answer.
    Lost,
}

/// One request of a caller.
#[derive(Clone, Debug)]
pub struct CallerRecord {
    /// Kind.
    pub kind: CallKind,
    /// Name of the entry instance asked.
    pub entry: String,
    /// Identifier that the entry gave it; empty if none came.
    pub request: String,
    /// Idempotency key; empty for none.
    pub key: String,
    /// Body of a call, unique to it but for repeats with the same key.
    pub body: String,
    /// What came back.
    pub seen: Seen,
    /// Code of a refusal; empty for none.
    pub code: String,
    /// Time of sending in milliseconds since the Unix epoch.
    pub sent_ms: u64,
    /// Time of the end in milliseconds since the Unix epoch.
    pub ended_ms: u64,
}
