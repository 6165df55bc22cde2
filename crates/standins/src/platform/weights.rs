//! Weight store with a limited rate.

use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Serves at most a number of weights a second.
pub struct WeightStore {
    interval: Duration,
    next: Mutex<Instant>,
}

impl WeightStore {
    /// Creates it with its greatest rate a second.
    pub fn new(rate: f64) -> Self {
        let interval = Duration::from_secs_f64(1.0 / rate.max(0.001));
        Self { interval, next: Mutex::new(Instant::now()) }
    }

    /// Takes one model's weights; `Some` is the time after which to ask again.
    pub fn take(&self) -> Option<Duration> {
        let mut next = self.next.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        if *next > now {
            return Some(*next - now);
        }
        *next = now + self.interval;
        None
    }
}
