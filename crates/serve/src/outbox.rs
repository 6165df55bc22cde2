//! Changes that are sent to other instances without waiting for the next round.

use std::cell::RefCell;

use agatestair_policy::EndpointKey;
use agatestair_policy::board::MIN_TRACKED_TOKENS;
use tokio::sync::Notify;

/// Queue of items to send, in the order in which they were added.
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
    /// Adds an item and wakes the receiver.
    pub fn push(&self, item: T) {
        self.items.borrow_mut().push(item);
        self.added.notify_one();
    }

    /// Waits until the queue is not empty and returns all its items.
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

/// Endpoints whose load has changed enough to be sent to other instances at once.
#[derive(Debug, Default)]
pub struct LoadChanges {
    keys: Outbox<EndpointKey>,
}

impl LoadChanges {
    /// Records that the number of prompt tokens that an endpoint has yet to prefill changed by
    /// `tokens`; small changes are ignored.
    pub fn note(&self, key: EndpointKey, tokens: u32) {
        if tokens >= MIN_TRACKED_TOKENS {
            self.keys.push(key);
        }
    }

    /// Waits for endpoints whose load is to be sent.
    pub async fn next(&self) -> Vec<EndpointKey> {
        self.keys.next().await
    }
}
