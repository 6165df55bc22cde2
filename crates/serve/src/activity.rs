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

use crate::configuration::Limits;
use crate::shared::Shared;

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
}

impl Activity {
    /// Activity of a connection that was just accepted under these limits.
    pub fn new(limits: &Limits) -> Self {
        let (since, known) = (Instant::now(), time_limit(limits));
        let state = Cell::new(State { phase: Phase::Idle, since, known });
        Self(Rc::new(Inner { state, request: RefCell::default() }))
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
    }

    fn note_read(&self) {
        if self.0.state.get().phase == Phase::Idle {
            self.enter(Phase::Head);
        }
    }

    fn note_written(&self) {
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
        *self.0.0.request.borrow_mut() = id;
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
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        if buffer.filled().len() > before {
            self.activity.note_read();
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
        self.activity.note_written();
        Poll::Ready(Ok(written))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write_vectored(cx, slices))?;
        self.activity.note_written();
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
