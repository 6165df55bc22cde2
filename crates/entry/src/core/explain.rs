//! Explanations: the history of recent requests, kept for a bounded number of them.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;

/// Maximum number of ended requests that are kept.
const MAX_REQUESTS: usize = 2000;
/// Maximum number of steps that are kept per request.
const MAX_STEPS: usize = 32;

/// One step in the processing of a request.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Step {
    /// Time since the request was admitted, in milliseconds.
    pub at_ms: u64,
    /// What happened.
    pub what: String,
}

/// Processing history of one request.
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
    /// Outcome; empty while the request is open.
    pub outcome: Arc<str>,
    /// Steps in order.
    pub steps: Vec<Step>,
}

impl Explanation {
    /// Adds a step; dropped if the maximum number is reached.
    pub fn add(&mut self, at: Duration, what: impl Into<String>) {
        if self.steps.len() < MAX_STEPS {
            let at_ms = u64::try_from(at.as_millis()).unwrap_or(u64::MAX);
            self.steps.push(Step { at_ms, what: what.into() });
        }
    }
}

/// Explanations of the most recently ended requests.
#[derive(Default)]
pub struct ExplainRing {
    ended: VecDeque<Explanation>,
}

impl ExplainRing {
    /// Adds an explanation and evicts the oldest one if the ring is full.
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
