//! Requests that callers send.

use std::sync::Arc;
use std::time::Duration;

use agatestair_schema::BYTES_PER_TOKEN;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

/// Alphabet of generated prompts.
const LETTERS: &[u8; 32] = b"abcdefghijklmnopqrstuvwxyz      ";

/// Class of a request for separate figures.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// A completion of medium size.
    Standard,
    /// A completion with a short prompt and a short response.
    Short,
    /// A completion with a long prompt or a long response.
    Long,
    /// A non-idempotent service call.
    Write,
    /// An idempotent service call.
    Read,
}

/// Size of a completion request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CompletionShape {
    /// Index of the model in the deployment's list.
    pub model: usize,
    /// Seed of the prompt prefix that is shared with other requests.
    pub prefix_seed: u64,
    /// Tokens of the shared prefix.
    pub prefix_tokens: u32,
    /// Prompt tokens that are unique to the request.
    pub unique_tokens: u32,
    /// Maximum number of output tokens.
    pub max_tokens: u32,
}

impl CompletionShape {
    /// Total number of prompt tokens.
    pub fn prompt_tokens(&self) -> u32 {
        self.prefix_tokens + self.unique_tokens
    }

    /// Generates the prompt; `seed` determines the part that is unique to the request.
    pub fn prompt(&self, seed: u64) -> String {
        let mut text = String::with_capacity(self.prompt_tokens() as usize * BYTES_PER_TOKEN);
        push_words(&mut text, self.prefix_seed, self.prefix_tokens);
        push_words(&mut text, seed, self.unique_tokens);
        text
    }
}

/// Operation that a request performs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Operation {
    /// A completion on an engine.
    Completion(CompletionShape),
    /// A non-idempotent call of the plain service with an idempotency key.
    Write,
    /// An idempotent call of the plain service.
    Read,
}

/// One scheduled request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// Intended send time since the start of the run.
    pub at: Duration,
    /// Class under which the request is reported.
    pub class: Class,
    /// Index of the customer in the deployment's list.
    pub customer: usize,
    /// Operation to perform.
    pub operation: Operation,
    /// Seed of the unique part of the prompt and of the idempotency key.
    pub seed: u64,
}

impl Arrival {
    /// Idempotency key of a write.
    pub fn key(&self, run: &str) -> Arc<str> {
        Arc::from(format!("{run}-{:016x}", self.seed))
    }
}

fn push_words(text: &mut String, seed: u64, tokens: u32) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    for _ in 0..tokens {
        let mut bits: u32 = rng.random();
        for _ in 0..BYTES_PER_TOKEN {
            text.push(char::from(LETTERS[(bits % 32) as usize]));
            bits /= 32;
        }
    }
}
