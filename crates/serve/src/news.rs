//! What other instances are told at once.

use std::cell::RefCell;

use agatestair_policy::EndpointKey;
use agatestair_policy::board::NOTABLE_TOKENS;
use tokio::sync::Notify;

/// Things to tell, in the order in which they came.
#[derive(Debug)]
pub struct Outbox<T> {
    items: RefCell<Vec<T>>,
    added: Notify,
}

impl<T> Default for Outbox<T> {
    fn default() -> Self {
        Self { items: RefCell::default(), added: Notify::new() }
    }
}

impl<T> Outbox<T> {
    /// Adds one.
    pub fn push(&self, item: T) {
        self.items.borrow_mut().push(item);
        self.added.notify_one();
    }

    /// Waits for things to tell.
    pub async fn next(&self) -> Vec<T> {
        loop {
            let items = self.items.take();
            if !items.is_empty() {
                return items;
            }
            self.added.notified().await;
        }
    }
}

/// Endpoints whose load has changed so much that others are told at once.
#[derive(Debug, Default)]
pub struct News {
    keys: Outbox<EndpointKey>,
}

impl News {
    /// Notes that the prompts that an endpoint has yet to read have changed by some tokens.
    pub fn note(&self, key: EndpointKey, tokens: u32) {
        if tokens >= NOTABLE_TOKENS {
            self.keys.push(key);
        }
    }

    /// Waits for endpoints to tell of.
    pub async fn next(&self) -> Vec<EndpointKey> {
        self.keys.next().await
    }
}
