//! Caches the response to `GET /v1/entries` for its lifetime.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use crate::client::Client;

/// Delay before the next request for the list of entries after all entries failed to respond.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Entries known to one caller.
pub struct EntryCache {
    bootstrap: Vec<Arc<str>>,
    cached: Mutex<CachedAnswer>,
}

#[derive(Default)]
struct CachedAnswer {
    entries: Vec<Arc<str>>,
    until: Option<Instant>,
    next: usize,
}

impl EntryCache {
    /// Creates a cache that first asks the entry at index `first` of `bootstrap`.
    pub fn new(bootstrap: Vec<Arc<str>>, first: usize) -> Self {
        Self {
            bootstrap,
            cached: Mutex::new(CachedAnswer { next: first, ..CachedAnswer::default() }),
        }
    }

    /// Returns the entries in the order to try them, refreshing an expired response first.
    ///
    /// Falls back to the bootstrap addresses while no entries are cached.
    pub fn entries(&self, client: &Client, key: &str) -> Vec<Arc<str>> {
        let mut cached = self.cached.lock().unwrap_or_else(PoisonError::into_inner);
        let expired = cached.until.is_none_or(|until| until <= Instant::now());
        if expired {
            self.refresh(&mut cached, client, key);
        }
        if cached.entries.is_empty() { self.bootstrap.clone() } else { cached.entries.clone() }
    }

    /// Marks the cached response as expired, after none of its entries could be reached.
    pub fn invalidate(&self) {
        self.cached.lock().unwrap_or_else(PoisonError::into_inner).until = None;
    }

    fn refresh(&self, cached: &mut CachedAnswer, client: &Client, key: &str) {
        let mut known = cached.entries.clone();
        known.extend(self.bootstrap.iter().cloned());
        let asked = Instant::now();
        for _ in 0..known.len() {
            let target = known[cached.next % known.len()].clone();
            cached.next += 1;
            if let Some(response) = client.fetch_entries(&target, key) {
                cached.entries = response.entries.iter().map(|e| Arc::from(&*e.address)).collect();
                cached.until = Some(asked + Duration::from_millis(response.lifetime_ms));
                return;
            }
        }
        cached.until = Some(asked + RETRY_INTERVAL);
    }
}
