//! Rate limit of calls.

use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

/// A token bucket with a burst of one second's worth of calls.
pub struct Limiter {
    rate: f64,
    state: Mutex<State>,
}

struct State {
    tokens: f64,
    refilled_at: Instant,
}

impl Limiter {
    /// Creates a full bucket for `rate` calls per second.
    pub fn new(rate: u32) -> Self {
        let rate = f64::from(rate.max(1));
        Self { rate, state: Mutex::new(State { tokens: rate, refilled_at: Instant::now() }) }
    }

    /// Takes one token, waiting up to `max_wait`; returns false at once if the wait would be
    /// longer.
    pub fn acquire(&self, max_wait: Duration) -> bool {
        let Some(wait) = self.reserve(max_wait) else {
            return false;
        };
        if !wait.is_zero() {
            thread::sleep(wait);
        }
        true
    }

    /// Takes one token and returns the time until it is available; `None` if longer than
    /// `max_wait`.
    fn reserve(&self, max_wait: Duration) -> Option<Duration> {
        let mut state = self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let now = Instant::now();
        let refilled = now.duration_since(state.refilled_at).as_secs_f64() * self.rate;
        state.tokens = (state.tokens + refilled).min(self.rate);
        state.refilled_at = now;
        let missing = 1.0 - state.tokens;
        let wait = Duration::from_secs_f64((missing / self.rate).max(0.0));
        if wait > max_wait {
            return None;
        }
        state.tokens -= 1.0;
        Some(wait)
    }
}
