//! Faults of all connections of one listener.

use std::collections::HashMap;
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// A connection known to its [`Gate`].
struct Tracked {
    stream: Arc<TcpStream>,
    silent: Arc<AtomicBool>,
}

#[derive(Default)]
struct GateState {
    open: HashMap<u64, Tracked>,
    down_until: Option<Instant>,
    frozen_until: Option<Instant>,
}

/// Closes, silences, refuses or freezes the connections of one listener.
#[derive(Default)]
pub struct Gate {
    state: Mutex<GateState>,
    next: AtomicU64,
}

impl Gate {
    fn lock(&self) -> MutexGuard<'_, GateState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Registers a connection; returns its number and the flag that silences it.
    pub(super) fn register(&self, stream: &Arc<TcpStream>) -> (u64, Arc<AtomicBool>) {
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        let silent = Arc::new(AtomicBool::new(false));
        let tracked = Tracked { stream: stream.clone(), silent: silent.clone() };
        self.lock().open.insert(id, tracked);
        (id, silent)
    }

    pub(super) fn forget(&self, id: u64) {
        self.lock().open.remove(&id);
    }

    /// Whether new connections are to be closed at once.
    pub fn is_down(&self) -> bool {
        self.lock().down_until.is_some_and(|until| Instant::now() < until)
    }

    /// Closes all connections and refuses new ones for `time`.
    pub fn crash(&self, time: Duration) {
        let mut state = self.lock();
        state.down_until = Some(Instant::now() + time);
        state.frozen_until = None;
        for tracked in state.open.values() {
            // A connection that the peer has closed already needs nothing more.
            let _ = tracked.stream.shutdown(Shutdown::Both);
        }
    }

    /// Stops all processing for `time`.
    pub fn freeze(&self, time: Duration) {
        self.lock().frozen_until = Some(Instant::now() + time);
    }

    /// Makes the connections open now silent for good.
    pub fn silence(&self) {
        for tracked in self.lock().open.values() {
            tracked.silent.store(true, Ordering::Relaxed);
        }
    }

    /// Time for which processing stays stopped.
    pub fn frozen_for(&self) -> Option<Duration> {
        let until = self.lock().frozen_until?;
        until.checked_duration_since(Instant::now())
    }

    /// Waits until processing goes on.
    pub fn wait_thaw(&self) {
        while let Some(wait) = self.frozen_for() {
            thread::sleep(wait);
        }
    }
}
