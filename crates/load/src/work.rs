//! What callers ask for.

use std::sync::Arc;
use std::time::Duration;

use agatestair_schema::BYTES_PER_TOKEN;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

/// Letters that prompts are made of.
const LETTERS: &[u8; 32] = b"abcdefghijklmnopqrstuvwxyz      ";

/// Kind of a request, by which figures are told apart.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// A completion of usual size.
    Standard,
    /// A completion with a short prompt and a short answer.
    Short,
    /// A completion with a long prompt or a long answer.
    Long,
    /// A call that must not run twice.
    Write,
    /// A call that may be repeated.
    Read,
}

/// Sizes of a completion.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CompletionShape {
    /// Index of the model in the deployment's list.
    pub model: usize,
    /// Seed of the part of the prompt that other requests start with too.
    pub shared: u64,
    /// Tokens of that part.
    pub shared_tokens: u32,
    /// Tokens of the part of the prompt that no other request has.
    pub own_tokens: u32,
    /// Output tokens.
    pub max_tokens: u32,
}

impl CompletionShape {
    /// Tokens of the whole prompt.
    pub fn prompt_tokens(&self) -> u32 {
        self.shared_tokens + self.own_tokens
    }

    /// Text of the prompt; `seed` makes the unshared part.
    pub fn prompt(&self, seed: u64) -> String {
        let mut text = String::with_capacity(self.prompt_tokens() as usize * BYTES_PER_TOKEN);
        push_words(&mut text, self.shared, self.shared_tokens);
        push_words(&mut text, seed, self.own_tokens);
        text
    }
}

/// What a request asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Work {
    /// A completion by an engine.
    Completion(CompletionShape),
    /// A non-idempotent call of the plain service under an idempotency key.
    Write,
    /// An idempotent call of the plain service.
    Read,
}

/// One request that a caller is going to send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// Intended time of sending, counted from the start of the run.
    pub at: Duration,
    /// Kind for the figures.
    pub class: Class,
    /// Index of the customer in the deployment's list.
    pub customer: usize,
    /// What is asked for.
    pub work: Work,
    /// Seed of the request's own text and key.
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
