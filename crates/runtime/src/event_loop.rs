//! Event loop that runs stakker actors on the calling thread.

use std::thread;
use std::time::{Duration, Instant};

use stakker::Stakker;
use tokio_util::sync::CancellationToken;

/// Longest time between two checks for cancellation.
const MAX_SLEEP: Duration = Duration::from_millis(100);

/// The event loop of a process.
pub struct EventLoop {
    /// The actor runtime.
    pub stakker: Stakker,
}

impl EventLoop {
    /// Creates the loop; it must run on the creating thread, which is the one woken for messages.
    pub fn new() -> Self {
        let mut stakker = Stakker::new(Instant::now());
        let main = thread::current();
        stakker.set_poll_waker(move || main.unpark());
        Self { stakker }
    }

    /// Runs until the actors shut the runtime down or `token` is cancelled.
    pub fn run(&mut self, token: &CancellationToken) {
        let mut idle = self.stakker.run(Instant::now(), false);
        while self.stakker.not_shutdown() && !token.is_cancelled() {
            let wait = self.stakker.next_wait_max(Instant::now(), MAX_SLEEP, idle);
            if !wait.is_zero() {
                thread::park_timeout(wait);
            }
            self.stakker.poll_wake();
            idle = self.stakker.run(Instant::now(), wait.is_zero());
        }
    }
}

impl Default for EventLoop {
    fn default() -> Self {
        Self::new()
    }
}
