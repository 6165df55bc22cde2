//! What requests met, kept for a bounded number of them.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;

/// Requests that are remembered.
const MAX_REQUESTS: usize = 2000;
/// Steps that are remembered of one request.
const MAX_STEPS: usize = 32;

/// One thing that a request met.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Step {
    /// Time since the request was admitted, in milliseconds.
    pub at_ms: u64,
    /// What happened.
    pub what: String,
}

/// What one request met.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Explanation {
    /// Identifier of the request.
    pub request: Arc<str>,
    /// Name of the customer.
    pub customer: Arc<str>,
    /// Plan.
    pub plan: Arc<str>,
    /// Service.
    pub service: Arc<str>,
    /// Model; empty for calls.
    pub model: Arc<str>,
    /// Outcome; empty while it is in work.
    pub outcome: Arc<str>,
    /// Steps in order.
    pub steps: Vec<Step>,
}

impl Explanation {
    /// Adds a step; further ones are dropped above the bound.
    pub fn add(&mut self, at: Duration, what: impl Into<String>) {
        if self.steps.len() < MAX_STEPS {
            let at_ms = u64::try_from(at.as_millis()).unwrap_or(u64::MAX);
            self.steps.push(Step { at_ms, what: what.into() });
        }
    }
}

/// Explanations of the requests that ended last.
#[derive(Default)]
pub struct ExplainRing {
    ended: VecDeque<Explanation>,
}

impl ExplainRing {
    /// Keeps one, in place of the oldest above the bound.
    pub fn push(&mut self, explanation: Explanation) {
        if self.ended.len() == MAX_REQUESTS {
            self.ended.pop_front();
        }
        self.ended.push_back(explanation);
    }

    /// Explanation of a request of `customer`.
    pub fn find(&self, request: &str, customer: &str) -> Option<&Explanation> {
        self.ended.iter().rev().find(|e| *e.request == *request && *e.customer == *customer)
    }
}
