//! Endpoints whose load has changed so much that other instances are told at once.

use std::cell::RefCell;

use agatestair_policy::EndpointKey;
use agatestair_policy::board::NOTABLE_TOKENS;
use tokio::sync::Notify;

/// Endpoints to tell of.
#[derive(Debug, Default)]
pub struct News {
    keys: RefCell<Vec<EndpointKey>>,
    added: Notify,
}

impl News {
    /// Notes that the prompts that an endpoint has yet to read have changed by some tokens.
    pub fn note(&self, key: EndpointKey, tokens: u32) {
        if tokens >= NOTABLE_TOKENS {
            self.keys.borrow_mut().push(key);
            self.added.notify_one();
        }
    }

    /// Waits for endpoints to tell of.
    pub async fn next(&self) -> Vec<EndpointKey> {
        loop {
            let keys = self.keys.take();
            if !keys.is_empty() {
                return keys;
            }
            self.added.notified().await;
        }
    }
}
