//! Rate-limited weight store.

use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Limits the rate at which models' weights are served.
pub struct WeightStore {
    interval: Duration,
    next: Mutex<Instant>,
}

impl WeightStore {
    /// Creates a store that serves at most `rate` models per second.
    pub fn new(rate: f64) -> Self {
        let interval = Duration::from_secs_f64(1.0 / rate.max(0.001));
        Self { interval, next: Mutex::new(Instant::now()) }
    }

    /// Requests the weights of one model: `None` if granted, else the time until the next retry.
    pub fn try_acquire(&self) -> Option<Duration> {
        let mut next = self.next.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        if *next > now {
            return Some(*next - now);
        }
        *next = now + self.interval;
        None
    }
}
