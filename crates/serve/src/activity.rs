//! What callers' connections are doing, and for how long.

use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep_until};

use crate::body::QUEUED_CHUNKS;
use crate::buffer_limit::BufferGuard;
use crate::configuration::Limits;
use crate::memory_budget::{HandedBuffer, MayDrop, MemoryHold};
use crate::read_limit::{MAX_READ_BYTES, poll_read_some};
use crate::shared::Shared;

/// Memory of a connection without a request: its task, and the smallest read buffer.
const IDLE_BYTES: usize = 12 * 1024;

/// Bytes of a response that a connection takes before it waits for the caller to read.
const HELD_RESPONSE_BYTES: usize = 64 * 1024;

/// Bytes that are queued for a caller that does not read, if each chunk is a whole read.
const QUEUE_BYTES: usize = QUEUED_CHUNKS * MAX_READ_BYTES;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// No request has begun.
    Idle,
    /// The head of a request is being received.
    Head,
    /// A request is being served.
    Busy,
}

#[derive(Clone, Copy, Debug)]
struct State {
    phase: Phase,
    /// When the phase began, or when bytes were last written in it.
    since: Instant,
    /// Time limit that the caller may know, whatever the current one is.
    known: Duration,
}

/// Activity of a connection, shared by its stream and the task that serves it.
#[derive(Clone, Debug)]
pub struct Activity(Rc<Inner>);

#[derive(Debug)]
struct Inner {
    state: Cell<State>,
    /// Identifier of the last request with a response.
    request: RefCell<Option<Rc<str>>>,
    /// Memory of the connection.
    hold: MemoryHold,
    /// Bytes of the head that is being received.
    head: Cell<usize>,
    /// Bytes of the response that are not written to the socket yet.
    unwritten: Cell<usize>,
    /// Their share of the memory for responses.
    buffers: RefCell<Vec<HandedBuffer>>,
}

impl Activity {
    /// Activity of a connection that was just accepted under these limits.
    pub fn new(limits: &Limits, hold: MemoryHold) -> Self {
        let (since, known) = (Instant::now(), time_limit(limits));
        let state = Cell::new(State { phase: Phase::Idle, since, known });
        let activity = Self(Rc::new(Inner {
            state,
            request: RefCell::default(),
            hold,
            head: Cell::new(0),
            unwritten: Cell::new(0),
            buffers: RefCell::default(),
        }));
        activity.count();
        activity
    }

    /// Whether a request is being served whose response, so far, the caller has read.
    pub fn is_serving(&self) -> bool {
        self.0.state.get().phase == Phase::Busy && self.0.unwritten.get() == 0
    }

    /// Waits until the connection is dropped, since memory or connections are short.
    pub async fn dropped(&self) {
        self.0.hold.dropped().await;
    }

    /// Counts the memory of the connection.
    fn count(&self) {
        let Inner { state, hold, head, unwritten, .. } = &*self.0;
        let phase = state.get().phase;
        let queue = if unwritten.get() > HELD_RESPONSE_BYTES { QUEUE_BYTES } else { 0 };
        let buffer = match phase {
            Phase::Idle => IDLE_BYTES,
            // The buffer is copied to one of twice the size while it grows.
            Phase::Head => IDLE_BYTES + 2 * head.get(),
            Phase::Busy => IDLE_BYTES + MAX_READ_BYTES,
        };
        hold.set_may_drop(match phase {
            _ if unwritten.get() > 0 => MayDrop::Unread,
            Phase::Busy => MayDrop::Never,
            Phase::Head | Phase::Idle => MayDrop::Always,
        });
        hold.set(buffer + unwritten.get() + queue);
    }

    /// What the connection is doing, and for how long.
    pub fn current(&self) -> (Phase, Duration) {
        let state = self.0.state.get();
        (state.phase, state.since.elapsed())
    }

    /// Identifier of the last request with a response.
    pub fn request(&self) -> Option<Rc<str>> {
        self.0.request.borrow().clone()
    }

    /// Marks the connection as busy until the guard is dropped.
    pub fn begin(&self) -> BusyGuard {
        self.enter(Phase::Busy);
        BusyGuard(self.clone())
    }

    /// Restarts the time of the current phase.
    pub fn restart(&self) {
        self.enter(self.0.state.get().phase);
    }

    /// Waits until the connection is without a request for longer than the limits allow: both those
    /// in force and those at its last response.
    pub async fn expired(&self, shared: &Shared) {
        loop {
            sleep_until(self.deadline(shared)).await;
            // The process may have been held up, and not know yet that bytes have arrived.
            yield_now().await;
            if self.deadline(shared) <= Instant::now() {
                return;
            }
        }
    }

    fn deadline(&self, shared: &Shared) -> Instant {
        let limits = shared.hub.ask(|node, _| node.limits());
        let State { phase, since, known } = self.0.state.get();
        let begun = if phase == Phase::Busy { Instant::now() } else { since };
        begun + time_limit(&limits).max(known)
    }

    fn enter(&self, phase: Phase) {
        self.0.state.set(State { phase, since: Instant::now(), ..self.0.state.get() });
        if phase != Phase::Head {
            self.0.head.set(0);
        }
        self.0.hold.restart();
        self.count();
    }

    fn note_read(&self, bytes: usize) {
        if self.0.state.get().phase == Phase::Busy {
            return;
        }
        self.0.head.set(self.0.head.get() + bytes);
        if self.0.state.get().phase == Phase::Idle {
            self.enter(Phase::Head);
        } else {
            self.0.hold.note_progress();
            self.count();
        }
    }

    fn note_written(&self, bytes: usize) {
        let unwritten = self.0.unwritten.get();
        if unwritten > 0 {
            self.0.unwritten.set(unwritten.saturating_sub(bytes));
            if unwritten <= bytes {
                self.0.buffers.borrow_mut().clear();
            }
            self.0.hold.restart();
            self.count();
        }
        if self.0.state.get().phase == Phase::Idle {
            self.restart();
        }
    }
}

/// Longest time without a complete head. Callers that are idle and those that send a head slowly
/// both get the longer limit.
fn time_limit(limits: &Limits) -> Duration {
    limits.idle_time.max(limits.head_time)
}

/// Marks a connection as idle once it is dropped, with the body of the response.
#[derive(Debug)]
pub struct BusyGuard(Activity);

impl BusyGuard {
    /// Records the limits that the caller may know from now on.
    pub fn note_limits(&self, limits: &Limits) {
        let cell = &self.0.0.state;
        cell.set(State { known: time_limit(limits), ..cell.get() });
    }

    /// Records the request that has a response.
    pub fn note_request(&self, id: Option<Rc<str>>) {
        self.0.0.hold.set_request(id.clone());
        *self.0.0.request.borrow_mut() = id;
    }

    /// Keeps the buffer of a response until it is written.
    pub fn keep_buffer(&self, buffer: BufferGuard) {
        let buffer = self.0.0.hold.hand(buffer);
        self.0.0.buffers.borrow_mut().push(buffer);
    }

    /// Counts bytes of the response that are about to be written.
    pub fn note_taken(&self, bytes: usize) {
        let unwritten = &self.0.0.unwritten;
        if unwritten.get() == 0 {
            self.0.0.hold.restart();
        }
        unwritten.set(unwritten.get() + bytes);
        self.0.count();
    }
}

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.0.enter(Phase::Idle);
    }
}

/// A caller's stream that records its activity.
#[derive(Debug)]
pub struct CallerStream {
    stream: TcpStream,
    activity: Activity,
}

impl CallerStream {
    /// Wraps a stream.
    pub fn new(stream: TcpStream, activity: Activity) -> Self {
        Self { stream, activity }
    }

    /// The stream itself.
    pub fn into_inner(self) -> TcpStream {
        self.stream
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let read = ready!(poll_read_some(&mut self.stream, cx, buffer))?;
        if read > 0 {
            self.activity.note_read(read);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write(cx, bytes))?;
        self.activity.note_written(written);
        Poll::Ready(Ok(written))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write_vectored(cx, slices))?;
        self.activity.note_written(written);
        Poll::Ready(Ok(written))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
