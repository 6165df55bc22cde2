//! One endpoint's part of an event stream.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::header::CONTENT_TYPE;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::attempt_guard::AttemptGuard;
use crate::body::Chunk;
use crate::body_end::end_defect;
use crate::buffer_limit::BufferGuard;
use crate::call::Call;
use crate::connection::Connection;
use crate::dispatches::DispatchKey;
use crate::framing::Framing;
use crate::send::EndpointResponse;
use crate::shared::Shared;
use crate::stream::EventSplitter;

/// Media type of event streams.
pub const EVENT_STREAM: &str = "text/event-stream";

/// The part of a stream that one endpoint serves.
pub struct Run {
    /// Counts the run at its endpoint.
    pub guard: AttemptGuard,
    /// What is left of the response body.
    pub body: Incoming,
    /// Connection of the response.
    pub connection: Connection,
    /// Record of the dispatch that began it.
    pub dispatch: DispatchKey,
    /// Idle time after which the endpoint closes the connection, if it names one.
    pub idle: Option<Duration>,
    /// When the response head arrived.
    pub begun: Instant,
    /// Media type of the body, if given.
    pub media: Option<String>,
    /// What marks the end of the body.
    pub framing: Framing,
    /// Number of the stream's events before this run.
    pub begin: u64,
    /// When its last event was passed on, or another endpoint was last searched for in vain.
    pub progress: Instant,
    /// Whether no other endpoint has taken the stream since its last event.
    pub alone: bool,
}

impl Run {
    /// A run whose response head has arrived, after `begin` events of the stream.
    pub fn new(call: &Call, guard: AttemptGuard, response: EndpointResponse, begin: u64) -> Self {
        let headers = &response.headers;
        Self {
            guard,
            media: media_type(headers),
            framing: Framing::of(&call.forwarded.method, response.status, headers),
            begin,
            body: response.body,
            connection: response.connection,
            dispatch: response.dispatch,
            idle: response.facts.idle,
            begun: Instant::now(),
            progress: Instant::now(),
            alone: false,
        }
    }

    /// Whether the body must end with a complete event. Only a body that does not say that it holds
    /// events, and whose framing shows that it is whole, may hold none.
    fn holds_events(&self, events: &EventSplitter) -> bool {
        let declared = self.media.as_deref() == Some(EVENT_STREAM);
        declared || self.framing == Framing::Connection || events.events > 0
    }

    /// Why a body that ended with its connection in good order is not whole, if it is not.
    fn defect(&self, events: &EventSplitter) -> Option<&'static str> {
        if self.holds_events(events) && !events.rest().trim_ascii().is_empty() {
            return Some("the stream ended in the middle of an event");
        }
        let is_empty = self.framing == Framing::Connection && events.events == self.begin;
        is_empty.then_some("the stream ended before its first event")
    }
}

/// Media type of a body without its parameters, in lower case.
pub fn media_type(headers: &HeaderMap) -> Option<String> {
    let value = headers.get(CONTENT_TYPE)?.to_str().ok()?;
    let media = value.split_once(';').map_or(value, |(media, _)| media);
    Some(media.trim().to_ascii_lowercase())
}

/// Why a run ended early.
pub enum Stop {
    /// The caller disconnected.
    CallerGone,
    /// The request's deadline has passed.
    TimedOut,
    /// The endpoint has ended the stream early.
    Broken(String),
    /// The instance gives the run up, since the response is invalid or its connection was lost.
    Invalid(String),
    /// Nothing has come for a while; the run may go on.
    Silent(&'static str),
}

impl Stop {
    /// Why the body of a response has failed.
    ///
    /// A connection that the kernel has given up shows nothing of the endpoint, and one with invalid
    /// bytes is closed by the instance.
    pub fn of(error: &hyper::Error) -> Self {
        use io::ErrorKind::{BrokenPipe, ConnectionAborted, ConnectionReset, UnexpectedEof};
        let source = std::error::Error::source(error);
        let kind =
            source.and_then(|source| source.downcast_ref::<io::Error>()).map(io::Error::kind);
        let ends = [BrokenPipe, ConnectionAborted, ConnectionReset, UnexpectedEof];
        let cause = error.to_string();
        if error.is_incomplete_message() || kind.is_some_and(|kind| ends.contains(&kind)) {
            Self::Broken(cause)
        } else {
            Self::Invalid(cause)
        }
    }

    /// Label of the end in metrics and logs, and its cause.
    pub fn describe(self) -> (&'static str, String) {
        match self {
            Self::CallerGone => ("left", "the caller disconnected".to_owned()),
            Self::TimedOut => ("late", "the request timed out".to_owned()),
            Self::Broken(cause) | Self::Invalid(cause) => ("broken", cause),
            Self::Silent(cause) => ("silent", cause.to_owned()),
        }
    }
}

/// Part of a stream that one read yields.
pub enum Part {
    /// Complete events.
    Events(Bytes),
    /// Bytes that complete no event.
    Incomplete,
    /// The end of the stream, with what follows the last event.
    End(Bytes),
}

/// Reads from a run. If this is cancelled, nothing that was read is lost.
pub async fn read(
    shared: &Rc<Shared>,
    run: &mut Run,
    events: &mut EventSplitter,
    buffer: &mut BufferGuard,
) -> Result<Part, Stop> {
    let bytes = match run.body.frame().await {
        None => {
            let mut defect = run.defect(events);
            if defect.is_none() {
                defect = end_defect(shared, &run.guard, run.framing, &run.connection).await;
            }
            return match defect {
                Some(defect) => Err(Stop::Broken(defect.to_owned())),
                None => Ok(Part::End(events.take_rest())),
            };
        }
        Some(Err(error)) => return Err(Stop::of(&error)),
        Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
    };
    let complete = events.push(&bytes).map_err(|error| Stop::Invalid(error.to_string()))?;
    // Complete events are passed on first; the next read finds the limit again.
    if !buffer.set(events.capacity()) && complete.is_empty() {
        let cause = format!("memory limit reached by an event of {} bytes", events.pending());
        return Err(Stop::Invalid(cause));
    }
    Ok(if complete.is_empty() { Part::Incomplete } else { Part::Events(complete) })
}

/// Sends a part of a stream to the caller; returns the result if the run has ended.
///
/// Only complete events count as progress, not single bytes.
pub async fn pass_on(
    run: &mut Run,
    part: Part,
    chunks: &mpsc::Sender<Chunk>,
) -> Option<Result<(), Stop>> {
    match part {
        Part::Incomplete => None,
        Part::Events(bytes) => {
            if let Err(stop) = send_chunk(chunks, bytes).await {
                return Some(Err(stop));
            }
            // Time spent waiting for a slow caller does not count as a stall.
            (run.progress, run.alone) = (Instant::now(), false);
            None
        }
        Part::End(rest) if rest.is_empty() => Some(Ok(())),
        Part::End(rest) => Some(send_chunk(chunks, rest).await),
    }
}

pub async fn send_chunk(chunks: &mpsc::Sender<Chunk>, bytes: Bytes) -> Result<(), Stop> {
    chunks.send(Chunk::Data(bytes)).await.map_err(|_| Stop::CallerGone)
}
