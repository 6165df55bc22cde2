//! Relays event streams to callers and resumes broken ones at another endpoint.

use std::time::Duration;

use agatestair_policy::board::FailureKind;
use agatestair_runtime::log_event;
use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderMap, Method, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};

use crate::attempt_guard::AttemptGuard;
use crate::body::{Chunk, QUEUED_CHUNKS, ResponseBody};
use crate::buffer_limit::BufferGuard;
use crate::call::Call;
use crate::connection::Connection;
use crate::crash::{cut_by_crash, note_broken, note_survived};
use crate::events::{ATTEMPT_FAILED, RESUMED, STREAMED};
use crate::framing::Framing;
use crate::generate::response_limit;
use crate::node::Search;
use crate::reach::until_unreachable;
use crate::send::{EndpointResponse, SendOutcome};
use crate::stream::EventSplitter;
use crate::wire::{HandleName, Phase};

/// Multiple of the route's longest gap between events after which a resumable stream counts as
/// stalled and is moved to another endpoint.
const STALL_FACTOR: u32 = 4;

/// Media type of event streams.
const EVENT_STREAM: &str = "text/event-stream";

/// The part of a stream that one endpoint serves.
struct Run {
    guard: AttemptGuard,
    body: Incoming,
    connection: Connection,
    idle: Option<Duration>,
    /// When the response head arrived.
    begun: Instant,
    /// Media type of the body, if given.
    media: Option<String>,
    framing: Framing,
    /// Number of the stream's events before this run.
    begin: u64,
}

impl Run {
    fn new(call: &Call, guard: AttemptGuard, response: EndpointResponse, begin: u64) -> Self {
        let headers = &response.headers;
        Self {
            guard,
            media: media_type(headers),
            framing: Framing::of(&call.forwarded.method, response.status, headers),
            begin,
            body: response.body,
            connection: response.connection,
            idle: response.facts.idle,
            begun: Instant::now(),
        }
    }

    /// Whether the body must end with a complete event. Only a body that does not say that it holds
    /// events, and whose framing shows that it is whole, may hold none.
    fn holds_events(&self, events: &EventSplitter) -> bool {
        let declared = self.media.as_deref() == Some(EVENT_STREAM);
        declared || self.framing == Framing::Connection || events.events > 0
    }

    /// Why a body that ended with its connection in good order is not whole, if it is not.
    fn defect(&self, events: &EventSplitter, rest: &[u8]) -> Option<&'static str> {
        if self.holds_events(events) && !rest.trim_ascii().is_empty() {
            return Some("the stream ended in the middle of an event");
        }
        let is_empty = self.framing == Framing::Connection && events.events == self.begin;
        is_empty.then_some("the stream ended before its first event")
    }
}

/// Whether a body with these headers may continue one of the media type `media`.
fn continues(media: Option<&str>, headers: &HeaderMap) -> bool {
    let next = media_type(headers);
    next.as_deref() == media || (media.is_none() && next.as_deref() == Some(EVENT_STREAM))
}

/// Media type of a body without its parameters, in lower case.
fn media_type(headers: &HeaderMap) -> Option<String> {
    let value = headers.get(CONTENT_TYPE)?.to_str().ok()?;
    let media = value.split_once(';').map_or(value, |(media, _)| media);
    Some(media.trim().to_ascii_lowercase())
}

/// Why a stream could not be resumed.
enum ResumeError {
    /// The endpoint failed; another one may work.
    Failed,
    /// No endpoint can take the run, or the deadline has passed.
    Exhausted,
}

/// Why a run ended early.
enum Stop {
    /// The caller disconnected.
    CallerGone,
    /// The request's deadline has passed.
    TimedOut,
    /// The stream failed, was invalid or stalled.
    Broken(String),
}

impl Stop {
    /// Label of the end in metrics and logs, and its cause.
    fn describe(self) -> (&'static str, String) {
        match self {
            Self::CallerGone => ("left", "the caller disconnected".to_owned()),
            Self::TimedOut => ("late", "the request timed out".to_owned()),
            Self::Broken(cause) => ("broken", cause),
        }
    }
}

/// Starts relaying a response in a task; the caller's body ends cleanly only if the response does.
///
/// Only a success may be a stream of events: the body of an error is passed on as it is, and never
/// continued by another run.
pub fn relay(call: Call, guard: AttemptGuard, response: EndpointResponse) -> ResponseBody {
    let (chunks, body) = mpsc::channel(QUEUED_CHUNKS);
    let status = response.status;
    let run = Run::new(&call, guard, response, 0);
    let streams = match run.media.as_deref() {
        Some(media) => status.is_success() && media == EVENT_STREAM,
        None => status == StatusCode::OK,
    };
    // The response to a HEAD request has no body.
    if streams && call.forwarded.method != Method::HEAD {
        tokio::task::spawn_local(relay_stream(call, run, chunks));
    } else {
        tokio::task::spawn_local(relay_body(call, run, chunks));
    }
    ResponseBody::chunks(body)
}

/// Relays a body that is no stream of events.
async fn relay_body(mut call: Call, mut run: Run, chunks: mpsc::Sender<Chunk>) {
    let events = EventSplitter::default();
    if let Err(stop) = forward_body(&call, &mut run, &chunks).await {
        let (end, cause) = stop.describe();
        if end == "broken" {
            call.note_failed(&run.guard, FailureKind::Broken, &cause);
        }
        return log_stop(&call, end, &cause, &events);
    }
    finish(&call, run, &events, &chunks).await;
}

async fn forward_body(
    call: &Call,
    run: &mut Run,
    chunks: &mpsc::Sender<Chunk>,
) -> Result<(), Stop> {
    loop {
        let frame = tokio::select! {
            frame = timeout_at(call.deadline, run.body.frame()) => frame,
            () = chunks.closed() => return Err(Stop::CallerGone),
        };
        match frame {
            Err(_) => return Err(Stop::TimedOut),
            Ok(None) => {
                let cut = cut_by_crash(&call.shared, &run.guard, run.framing).await;
                return cut.map_or(Ok(()), |cause| Err(Stop::Broken(cause.to_owned())));
            }
            Ok(Some(Err(error))) => return Err(Stop::Broken(error.to_string())),
            Ok(Some(Ok(frame))) => {
                let bytes = frame.into_data().unwrap_or_default();
                if !bytes.is_empty() {
                    send_chunk(chunks, bytes).await?;
                }
            }
        }
    }
}

/// Ends the caller's body and returns the connection to the pool.
async fn finish(call: &Call, mut run: Run, events: &EventSplitter, chunks: &mpsc::Sender<Chunk>) {
    run.connection.note_idle(run.idle);
    call.shared.return_connection(run.guard.placement.key, run.connection);
    // Sending fails if the caller has disconnected; the response is over either way.
    drop(chunks.send(Chunk::End).await);
    log_complete(call, &run.guard, run.framing, events);
}

async fn relay_stream(mut call: Call, mut run: Run, chunks: mpsc::Sender<Chunk>) {
    let mut events = EventSplitter::default();
    let mut buffer = BufferGuard::new(&call.shared.buffer_limit);
    loop {
        match forward(&call, &mut run, &mut events, &mut buffer, &chunks).await {
            Ok(()) => {
                run.guard.note_done(events.events);
                return finish(&call, run, &events, &chunks).await;
            }
            Err(stop) => match recover(&mut call, run, &mut events, stop, &chunks).await {
                Some(next) => run = next,
                None => return,
            },
        }
    }
}

/// Forwards the events of one run until it ends.
async fn forward(
    call: &Call,
    run: &mut Run,
    events: &mut EventSplitter,
    buffer: &mut BufferGuard,
    chunks: &mpsc::Sender<Chunk>,
) -> Result<(), Stop> {
    let stall = (call.route.max_gap * STALL_FACTOR).max(call.route.objective * 2);
    // Only complete events count as progress, not single bytes.
    let mut last = Instant::now();
    loop {
        let resumable = call.may_repeat() || call.backup.is_some();
        let cutoff = if resumable { (last + stall).min(call.deadline) } else { call.deadline };
        let frame = tokio::select! {
            frame = timeout_at(cutoff, run.body.frame()) => frame,
            () = until_unreachable(&call.shared, &run.guard.placement, call.route.max_gap),
                if resumable =>
            {
                return Err(Stop::Broken("the endpoint cannot be reached".to_owned()));
            }
            () = chunks.closed() => return Err(Stop::CallerGone),
        };
        let bytes = match frame {
            Err(_) if Instant::now() >= call.deadline => return Err(Stop::TimedOut),
            Err(_) => return Err(Stop::Broken("stream stalled".to_owned())),
            Ok(None) => {
                let rest = events.take_rest();
                let mut defect = run.defect(events, &rest);
                if defect.is_none() {
                    defect = cut_by_crash(&call.shared, &run.guard, run.framing).await;
                }
                if let Some(defect) = defect {
                    return Err(Stop::Broken(defect.to_owned()));
                }
                return if rest.is_empty() { Ok(()) } else { send_chunk(chunks, rest).await };
            }
            Ok(Some(Err(error))) => return Err(Stop::Broken(error.to_string())),
            Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
        };
        let complete = events.push(&bytes);
        let complete = complete.map_err(|error| Stop::Broken(error.to_string()))?;
        if !buffer.set(events.capacity()) {
            let cause = format!("memory limit reached by an event of {} bytes", events.pending());
            return Err(Stop::Broken(cause));
        }
        if !complete.is_empty() {
            send_chunk(chunks, complete).await?;
            // Time spent waiting for a slow caller does not count as a stall.
            last = Instant::now();
        }
    }
}

fn log_complete(call: &Call, guard: &AttemptGuard, framing: Framing, events: &EventSplitter) {
    call.note_duration();
    if events.events > 0 {
        note_survived(call);
    }
    metrics::counter!("agatestair_serve_streams_total", "end" => "complete").increment(1);
    log_event!(call.shared.log, STREAMED, "request" => call.forwarded.id.as_deref(),
        "endpoint" => &*guard.placement.name, "events" => events.events,
        "framing" => framing.label(), "pause_ms" => events.max_gap.as_millis() as u64,
        "ms" => call.arrived.elapsed().as_millis() as u64);
}

async fn send_chunk(chunks: &mpsc::Sender<Chunk>, bytes: Bytes) -> Result<(), Stop> {
    chunks.send(Chunk::Data(bytes)).await.map_err(|_| Stop::CallerGone)
}

/// Resumes a broken stream at another endpoint if retries are allowed; returns the new run.
async fn recover(
    call: &mut Call,
    run: Run,
    events: &mut EventSplitter,
    stop: Stop,
    chunks: &mpsc::Sender<Chunk>,
) -> Option<Run> {
    if matches!(stop, Stop::TimedOut) {
        call.note_duration();
    }
    let (end, cause) = stop.describe();
    if end == "broken" {
        // Closing the connection ends this run before another one starts.
        let Run { guard, begun, body, connection, media, .. } = run;
        let answering = begun.elapsed();
        drop((body, connection));
        call.note_failed(&guard, FailureKind::Broken, &cause);
        note_broken(call, &guard, Some(answering)).await;
        drop(guard);
        events.resume();
        if let Some(next) = fail_over(call, events, media.as_deref()).await {
            return Some(next);
        }
        while call.may_run_again() {
            match resume(call, events, media.as_deref()).await {
                Ok(next) => return Some(next),
                Err(ResumeError::Failed) => {}
                Err(ResumeError::Exhausted) => break,
            }
            if chunks.is_closed() {
                break;
            }
        }
    }
    log_stop(call, end, &cause, events);
    None
}

fn log_stop(call: &Call, end: &'static str, cause: &str, events: &EventSplitter) {
    metrics::counter!("agatestair_serve_streams_total", "end" => end).increment(1);
    log_event!(call.shared.log, ATTEMPT_FAILED, "request" => call.forwarded.id.as_deref(),
        "cause" => cause, "events" => events.events, "end" => end,
        "ms" => call.arrived.elapsed().as_millis() as u64);
}

/// Continues a run on the engine that replicates its KV cache. This is the same run, so it is
/// allowed for requests that must not run again, too.
async fn fail_over(call: &mut Call, events: &EventSplitter, media: Option<&str>) -> Option<Run> {
    let backup = call.backup.take()?;
    let handle = call.forwarded.id.as_deref().map(HandleName::from)?;
    if !call.may_send_again() {
        return None;
    }
    let phase = Phase::Decode { source: backup.address, handle: &handle };
    // `place` and `start_run` log failures, except for a timeout.
    start_run(call, Search::Copy(backup.key), phase, events, media).await.ok()
}

/// Starts a new run that continues after the last complete event.
async fn resume(
    call: &mut Call,
    events: &EventSplitter,
    media: Option<&str>,
) -> Result<Run, ResumeError> {
    start_run(call, Search::Run { split: false }, Phase::Whole, events, media).await
}

async fn start_run(
    call: &mut Call,
    search: Search,
    phase: Phase<'_>,
    events: &EventSplitter,
    media: Option<&str>,
) -> Result<Run, ResumeError> {
    let placement = call.place(search);
    let mut guard = placement.map_err(|_| ResumeError::Exhausted)?;
    let last = events.last.clone();
    let retryable = call.route.kind.may_repeat() && call.runs + 1 < call.route.attempts;
    let deadline = call.deadline;
    let cutoff = if retryable { Instant::now() + response_limit(call, &guard) } else { deadline };
    let sent = timeout_at(cutoff.min(deadline), call.send(&guard, phase, last.as_deref())).await;
    let response = match sent {
        Ok(SendOutcome::Responded(response))
            if response.status == StatusCode::OK
                && response.facts.signed
                && continues(media, &response.headers) =>
        {
            response
        }
        Ok(sent) => {
            if matches!(sent, SendOutcome::Responded(_) | SendOutcome::Unknown(_)) {
                call.runs += 1;
            }
            call.note_failed(&guard, FailureKind::Broken, "the stream was not resumed");
            if matches!(sent, SendOutcome::Unknown(_)) {
                note_broken(call, &guard, None).await;
            }
            return Err(ResumeError::Failed);
        }
        Err(_) if Instant::now() < deadline => {
            call.runs += 1;
            call.note_failed(&guard, FailureKind::Broken, "no answer in time");
            note_broken(call, &guard, None).await;
            return Err(ResumeError::Failed);
        }
        Err(_) => return Err(ResumeError::Exhausted),
    };
    call.runs += 1;
    guard.note_first();
    log_event!(call.shared.log, RESUMED, "request" => call.forwarded.id.as_deref(),
        "endpoint" => &*guard.placement.name, "after" => last, "search" => search.label());
    Ok(Run::new(call, guard, *response, events.events))
}
