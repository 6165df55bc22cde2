//! Faults that affect all connections of one listener.

use std::collections::HashMap;
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// A connection registered at its [`ListenerFaults`].
struct OpenConnection {
    stream: Arc<TcpStream>,
    silent: Arc<AtomicBool>,
}

#[derive(Default)]
struct ListenerState {
    open: HashMap<u64, OpenConnection>,
    down_until: Option<Instant>,
    frozen_until: Option<Instant>,
}

/// Open connections of one listener, and the faults injected into all of them.
#[derive(Default)]
pub struct ListenerFaults {
    state: Mutex<ListenerState>,
    next: AtomicU64,
}

impl ListenerFaults {
    fn lock(&self) -> MutexGuard<'_, ListenerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Registers a connection; returns its identifier and the flag that stops its output.
    pub(super) fn register(&self, stream: &Arc<TcpStream>) -> (u64, Arc<AtomicBool>) {
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        let silent = Arc::new(AtomicBool::new(false));
        let connection = OpenConnection { stream: stream.clone(), silent: silent.clone() };
        self.lock().open.insert(id, connection);
        (id, silent)
    }

    /// Removes a closed connection.
    pub(super) fn unregister(&self, id: u64) {
        self.lock().open.remove(&id);
    }

    /// Whether new connections are closed right after they are accepted.
    pub fn is_down(&self) -> bool {
        self.lock().down_until.is_some_and(|until| Instant::now() < until)
    }

    /// Closes all connections, and new ones on accept for the duration `time`.
    pub fn crash(&self, time: Duration) {
        let mut state = self.lock();
        state.down_until = Some(Instant::now() + time);
        state.frozen_until = None;
        for connection in state.open.values() {
            // Fails if the peer has already closed the connection.
            let _ = connection.stream.shutdown(Shutdown::Both);
        }
    }

    /// Pauses all processing for the duration `time`.
    pub fn freeze(&self, time: Duration) {
        self.lock().frozen_until = Some(Instant::now() + time);
    }

    /// Permanently discards all output on the connections open now, without closing them.
    pub fn silence(&self) {
        for connection in self.lock().open.values() {
            connection.silent.store(true, Ordering::Relaxed);
        }
    }

    /// Remaining time of a pause in processing; `None` if not paused.
    pub fn frozen_for(&self) -> Option<Duration> {
        let until = self.lock().frozen_until?;
        until.checked_duration_since(Instant::now())
    }

    /// Blocks until processing is no longer paused.
    pub fn wait_unfrozen(&self) {
        while let Some(wait) = self.frozen_for() {
            thread::sleep(wait);
        }
    }
}
