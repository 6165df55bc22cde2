//! Relays event streams to callers and resumes broken ones at another endpoint.

use std::rc::Rc;
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
use crate::awaited::{Attempt, Awaited, News};
use crate::body::{Chunk, QUEUED_CHUNKS, ResponseBody};
use crate::buffer_limit::BufferGuard;
use crate::call::Call;
use crate::connection::Connection;
use crate::crash::{cut_by_crash, note_broken, note_survived};
use crate::events::{ATTEMPT_FAILED, ENDPOINT_RESUMED, RESUMED, STREAMED};
use crate::framing::Framing;
use crate::node::Search;
use crate::reach::until_unreachable;
use crate::send::{EndpointResponse, SendOutcome};
use crate::shared::Shared;
use crate::stream::EventSplitter;
use crate::wire::{HandleName, Phase};

/// Multiple of the route's longest gap between events after which a resumable stream counts as
/// stalled and another endpoint is searched for.
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
    /// When its last event was passed on, or another endpoint was last searched for in vain.
    progress: Instant,
    /// Whether no other endpoint has taken the stream since its last event.
    alone: bool,
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

/// Why a run ended early.
enum Stop {
    /// The caller disconnected.
    CallerGone,
    /// The request's deadline has passed.
    TimedOut,
    /// The stream failed or was invalid.
    Broken(String),
    /// Nothing has come for a while; the run may go on.
    Silent(&'static str),
}

impl Stop {
    /// Label of the end in metrics and logs, and its cause.
    fn describe(self) -> (&'static str, String) {
        match self {
            Self::CallerGone => ("left", "the caller disconnected".to_owned()),
            Self::TimedOut => ("late", "the request timed out".to_owned()),
            Self::Broken(cause) => ("broken", cause),
            Self::Silent(cause) => ("silent", cause.to_owned()),
        }
    }
}

/// Part of a stream that one read yields.
enum Part {
    /// Complete events.
    Events(Bytes),
    /// Bytes that complete no event.
    Incomplete,
    /// The end of the stream, with what follows the last event.
    End(Bytes),
}

/// Where a stream continues at another endpoint.
struct Position {
    /// Identifier of the last complete event.
    last: Option<String>,
    /// Number of complete events.
    events: u64,
    /// Media type of the stream.
    media: Option<String>,
}

/// What follows the silence of a run.
enum Takeover {
    /// The run goes on.
    Same,
    /// The stream continues with another run.
    Moved(Box<Run>),
    /// The run has ended while another one was searched for.
    Ended(Result<(), Stop>),
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
        let mut ended = forward(&call, &mut run, &mut events, &mut buffer, &chunks).await;
        if let Err(Stop::Silent(cause)) = ended {
            call.log_silent(&run.guard, cause, Some(events.events));
            match take_over(&mut call, &mut run, &mut events, &mut buffer, &chunks).await {
                Takeover::Same => continue,
                Takeover::Moved(next) => {
                    call.note_failed(&run.guard, FailureKind::Broken, cause);
                    events.resume();
                    // Ends the silent run.
                    run = *next;
                    continue;
                }
                Takeover::Ended(result) => ended = result,
            }
        }
        match ended {
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

/// Forwards the events of one run until it ends or is silent although the stream may move.
async fn forward(
    call: &Call,
    run: &mut Run,
    events: &mut EventSplitter,
    buffer: &mut BufferGuard,
    chunks: &mpsc::Sender<Chunk>,
) -> Result<(), Stop> {
    let stall = (call.route.max_gap * STALL_FACTOR).max(call.route.objective * 2);
    loop {
        let may_move = call.may_repeat() || call.backup.is_some();
        let cutoff =
            if may_move { (run.progress + stall).min(call.deadline) } else { call.deadline };
        let (placement, alone) = (run.guard.placement.clone(), run.alone);
        let part = tokio::select! {
            part = timeout_at(cutoff, read(&call.shared, run, events, buffer)) => part,
            () = until_unreachable(&call.shared, &placement, call.route.max_gap),
                if may_move && !alone =>
            {
                return Err(Stop::Silent("the endpoint cannot be reached"));
            }
            () = chunks.closed() => return Err(Stop::CallerGone),
        };
        let Ok(part) = part else {
            let is_late = Instant::now() >= call.deadline;
            return Err(if is_late { Stop::TimedOut } else { Stop::Silent("stream stalled") });
        };
        if let Some(ended) = pass_on(run, part?, chunks).await {
            return ended;
        }
    }
}

/// Reads from a run. If this is cancelled, nothing that was read is lost.
async fn read(
    shared: &Rc<Shared>,
    run: &mut Run,
    events: &mut EventSplitter,
    buffer: &mut BufferGuard,
) -> Result<Part, Stop> {
    let bytes = match run.body.frame().await {
        None => {
            let rest = events.take_rest();
            let mut defect = run.defect(events, &rest);
            if defect.is_none() {
                defect = cut_by_crash(shared, &run.guard, run.framing).await;
            }
            return defect
                .map_or(Ok(Part::End(rest)), |defect| Err(Stop::Broken(defect.to_owned())));
        }
        Some(Err(error)) => return Err(Stop::Broken(error.to_string())),
        Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
    };
    let complete = events.push(&bytes).map_err(|error| Stop::Broken(error.to_string()))?;
    if !buffer.set(events.capacity()) {
        let cause = format!("memory limit reached by an event of {} bytes", events.pending());
        return Err(Stop::Broken(cause));
    }
    Ok(if complete.is_empty() { Part::Incomplete } else { Part::Events(complete) })
}

/// Sends a part of a stream to the caller; returns the result if the run has ended.
///
/// Only complete events count as progress, not single bytes.
async fn pass_on(
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

/// Searches for an endpoint that continues the stream of a silent run. The run is kept until one
/// has answered, and goes on if it yields an event before.
async fn take_over(
    call: &mut Call,
    run: &mut Run,
    events: &mut EventSplitter,
    buffer: &mut BufferGuard,
    chunks: &mpsc::Sender<Chunk>,
) -> Takeover {
    let (shared, position) = (call.shared.clone(), Position::of(run, events));
    let mut awaited = Awaited::default();
    let searched = {
        let search = search(call, &position, &mut awaited);
        tokio::pin!(search);
        loop {
            tokio::select! {
                biased;
                part = read(&shared, run, events, buffer) => match part {
                    Ok(Part::Incomplete) => {}
                    Ok(part) => break Ok(part),
                    Err(stop) => match search.await {
                        Some(next) => return Takeover::Moved(Box::new(next)),
                        None => return Takeover::Ended(Err(stop)),
                    },
                },
                next = &mut search => match next {
                    Some(next) => return Takeover::Moved(Box::new(next)),
                    None => break Err(()),
                },
                () = chunks.closed() => return Takeover::Ended(Err(Stop::CallerGone)),
            }
        }
    };
    let (part, found) = match searched {
        Ok(part) => (part, true),
        Err(()) => (Part::Incomplete, false),
    };
    let ms = run.progress.elapsed().as_millis() as u64;
    (run.progress, run.alone) = (Instant::now(), true);
    if found {
        awaited.give_up(call, "the silent endpoint went on");
        log_event!(shared.log, ENDPOINT_RESUMED, "request" => call.forwarded.id.as_deref(),
            "endpoint" => &*run.guard.placement.name, "ms" => ms);
    }
    pass_on(run, part, chunks).await.map_or(Takeover::Same, Takeover::Ended)
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
        let position = Position::of(&run, events);
        // Closing the connection ends this run before another one starts.
        let Run { guard, begun, body, connection, .. } = run;
        let answering = begun.elapsed();
        drop((body, connection));
        call.note_failed(&guard, FailureKind::Broken, &cause);
        note_broken(call, &guard, Some(answering)).await;
        drop(guard);
        events.resume();
        let mut awaited = Awaited::default();
        let next = tokio::select! {
            next = search(call, &position, &mut awaited) => next,
            () = chunks.closed() => None,
        };
        if next.is_some() {
            return next;
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

impl Position {
    /// Where the stream of a run continues.
    fn of(run: &Run, events: &EventSplitter) -> Self {
        Self { last: events.last.clone(), events: events.events, media: run.media.clone() }
    }
}

/// Searches for an endpoint that continues a stream, as far as retries are allowed. If this is
/// cancelled, its attempts are left in `awaited`.
async fn search(call: &mut Call, position: &Position, awaited: &mut Awaited<()>) -> Option<Run> {
    call.readmit();
    awaited.extend(begin_copy(call, position));
    loop {
        if !awaited.is_promising() && call.may_run_again() {
            awaited.extend(begin_run(call, position));
        }
        if awaited.is_empty() {
            return None;
        }
        match awaited.next(call).await {
            News::Silent | News::Reachable => {}
            News::TimedOut => {
                awaited.time_out(call);
                return None;
            }
            News::Sent(attempt, sent) => {
                let next = accept(call, *attempt, sent, position).await;
                if next.is_some() {
                    awaited.give_up(call, "another endpoint has answered");
                    return next;
                }
            }
        }
    }
}

/// Continues a run on the engine that replicates its KV cache. This is the same run, so it is
/// allowed for requests that must not run again, too.
fn begin_copy(call: &mut Call, position: &Position) -> Option<Attempt<()>> {
    let backup = call.backup.take()?;
    let handle = call.forwarded.id.as_deref().map(HandleName::from)?;
    if !call.may_send_again() {
        return None;
    }
    let phase = Phase::Decode { source: backup.address, handle: &handle };
    begin(call, Search::Copy(backup.key), phase, position)
}

/// Starts a new run that continues after the last complete event.
fn begin_run(call: &mut Call, position: &Position) -> Option<Attempt<()>> {
    begin(call, Search::Run { split: false }, Phase::Whole, position)
}

/// Places an attempt that continues a stream and sends the request.
fn begin(
    call: &mut Call,
    search: Search,
    phase: Phase<'_>,
    position: &Position,
) -> Option<Attempt<()>> {
    // `place` logs denials.
    let guard = call.place(search).ok()?;
    let sending = call.begin_send(&guard, phase, position.last.as_deref());
    Some(Attempt::new(call, search, guard, sending, ()))
}

/// Turns the response of an attempt into the next run of a stream, if it continues the stream.
async fn accept(
    call: &mut Call,
    attempt: Attempt<()>,
    sent: SendOutcome,
    position: &Position,
) -> Option<Run> {
    let Attempt { mut guard, search, .. } = attempt;
    let response = match sent {
        SendOutcome::Responded(response)
            if response.status == StatusCode::OK
                && response.facts.signed
                && continues(position.media.as_deref(), &response.headers) =>
        {
            response
        }
        sent => {
            if matches!(sent, SendOutcome::Responded(_) | SendOutcome::Unknown(_)) {
                call.runs += 1;
            }
            if let SendOutcome::NotSent(cause) = &sent {
                call.note_not_sent(&guard, cause);
                return None;
            }
            call.note_failed(&guard, FailureKind::Broken, "the stream was not resumed");
            if matches!(sent, SendOutcome::Unknown(_)) {
                note_broken(call, &guard, None).await;
            }
            return None;
        }
    };
    call.runs += 1;
    guard.note_first();
    log_event!(call.shared.log, RESUMED, "request" => call.forwarded.id.as_deref(),
        "endpoint" => &*guard.placement.name, "after" => position.last.as_deref(),
        "search" => search.label());
    Some(Run::new(call, guard, *response, position.events))
}
