//! Facts about a request that decisions are made from.

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
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Greatest number of output tokens.
    pub max_tokens: u32,
    /// Hashes of the prompt's whole prefix blocks.
    pub blocks: Vec<u64>,
}

/// A call of a plain service.
#[derive(Clone, Copy, Debug, Default)]
pub struct Call {
    /// Whether it may run more than once.
    pub idempotent: bool,
}

/// Facts about one request.
#[derive(Clone, Debug)]
pub struct RequestFacts {
    /// Name of the customer.
    pub customer: Arc<str>,
    /// Name of the customer's plan.
    pub plan: Arc<str>,
    /// Service wanted.
    pub service: Arc<str>,
    /// Model wanted; empty for calls.
    pub model: Arc<str>,
    /// Latest useful end.
    pub deadline: Moment,
    /// What is asked for.
    pub work: Work,
}
