//! Facts about a request on which decisions are based.

use std::sync::Arc;

use crate::moment::Moment;

/// What a request asks for.
#[derive(Clone, Debug)]
pub enum Work {
    /// A completion by an engine.
    Completion(Completion),
    /// A call of a plain service.
    Call(Call),
}

/// A completion by an engine.
#[derive(Clone, Debug, Default)]
pub struct Completion {
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
    /// Greatest number of output tokens.
    pub max_tokens: u32,
    /// Hashes of the prompt's complete prefix blocks.
    pub blocks: Vec<u64>,
}

/// A call of a plain service.
#[derive(Clone, Copy, Debug, Default)]
pub struct Call {
    /// Whether it may be executed more than once.
    pub idempotent: bool,
}

/// Facts about one request.
#[derive(Clone, Debug)]
pub struct RequestFacts {
    /// Name of the customer.
    pub customer: Arc<str>,
    /// Name of the customer's plan.
    pub plan: Arc<str>,
    /// Requested service.
    pub service: Arc<str>,
    /// Requested model; empty for calls.
    pub model: Arc<str>,
    /// Latest moment at which the response must be complete.
    pub deadline: Moment,
    /// The requested work.
    pub work: Work,
}
