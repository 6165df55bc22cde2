//! What the reads and writes of a connection tell about its peer.

use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::task::Poll;

use tokio::sync::Notify;
use tokio::time::Instant;

/// Progress of a connection, shared by its stream and the code that asks for it.
#[derive(Clone, Debug, Default)]
pub struct Progress(Rc<State>);

#[derive(Debug, Default)]
struct State {
    /// When the last wait for bytes began.
    waiting: Cell<Option<Instant>>,
    /// Whether bytes were read since then.
    arrived: Cell<bool>,
    open_at: Cell<Option<Instant>>,
    /// Whether bytes are left that the kernel does not take.
    blocked: Cell<bool>,
    /// Whether a write failed, or the stream was dropped.
    ended: Cell<bool>,
    changed: Notify,
}

impl Progress {
    /// The latest moment at which the peer is known not to have closed the connection.
    ///
    /// If bytes arrive while they are waited for, and nothing follows them, then the peer's end had
    /// not arrived when the wait began. A wait alone shows nothing, since the event loop may be late.
    pub fn open_at(&self) -> Option<Instant> {
        self.0.open_at.get()
    }

    /// Waits until all bytes are written; returns `false` if the connection ends before.
    pub async fn until_written(&self) -> bool {
        let state = &self.0;
        while state.blocked.get() && !state.ended.get() {
            state.changed.notified().await;
        }
        !state.blocked.get()
    }

    /// Records the result of a read.
    pub fn note_read(&self, read: &Poll<io::Result<usize>>) {
        let state = &self.0;
        match read {
            Poll::Ready(_) => state.arrived.set(true),
            Poll::Pending => {
                let waited = state.waiting.replace(Some(Instant::now()));
                if state.arrived.take() && waited.is_some() {
                    state.open_at.set(waited);
                }
            }
        }
    }

    /// Records the result of a write.
    pub fn note_write(&self, written: &Poll<io::Result<usize>>) {
        // Bytes of a failed write are left.
        self.0.blocked.set(!matches!(written, Poll::Ready(Ok(_))));
        if matches!(written, Poll::Ready(Err(_))) {
            self.0.ended.set(true);
        }
        self.0.changed.notify_waiters();
    }

    /// Records that the stream is dropped.
    pub fn note_end(&self) {
        self.0.ended.set(true);
        self.0.changed.notify_waiters();
    }
}
