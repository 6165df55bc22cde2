//! The answer of `GET /v1/entries` that a caller keeps for its lifetime.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use crate::client::Client;

/// Time after which a caller that got no answer asks again.
const RETRY_AFTER: Duration = Duration::from_millis(200);

/// Which entries one caller uses.
pub struct Directory {
    bootstrap: Vec<Arc<str>>,
    kept: Mutex<Kept>,
}

#[derive(Default)]
struct Kept {
    entries: Vec<Arc<str>>,
    until: Option<Instant>,
    next: usize,
}

impl Directory {
    /// Creates the directory of a caller that first asks the entry at `first` of `bootstrap`.
    pub fn new(bootstrap: Vec<Arc<str>>, first: usize) -> Self {
        Self { bootstrap, kept: Mutex::new(Kept { next: first, ..Kept::default() }) }
    }

    /// Entries to try in order, asking anew when the kept answer has expired.
    ///
    /// The addresses known from the start are used when nobody answers.
    pub fn entries(&self, client: &Client, key: &str) -> Vec<Arc<str>> {
        let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        let expired = kept.until.is_none_or(|until| until <= Instant::now());
        if expired {
            self.refresh(&mut kept, client, key);
        }
        if kept.entries.is_empty() { self.bootstrap.clone() } else { kept.entries.clone() }
    }

    /// Drops the kept answer, after none of its entries could be reached.
    pub fn forget(&self) {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner).until = None;
    }

    fn refresh(&self, kept: &mut Kept, client: &Client, key: &str) {
        let mut known = kept.entries.clone();
        known.extend(self.bootstrap.iter().cloned());
        let asked = Instant::now();
        for _ in 0..known.len() {
            let target = known[kept.next % known.len()].clone();
            kept.next += 1;
            if let Some(answer) = client.entries(&target, key) {
                kept.entries = answer.entries.iter().map(|e| Arc::from(&*e.address)).collect();
                kept.until = Some(asked + Duration::from_millis(answer.lifetime_ms));
                return;
            }
        }
        kept.until = Some(asked + RETRY_AFTER);
    }
}
