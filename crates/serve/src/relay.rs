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
use tokio::time::{Instant, sleep_until, timeout_at};

use crate::attempt_guard::AttemptGuard;
use crate::awaited::{Attempt, Awaited, News};
use crate::body::{Chunk, QUEUED_CHUNKS, ResponseBody};
use crate::buffer_limit::BufferGuard;
use crate::call::Call;
use crate::connection::Connection;
use crate::crash::{cut_by_crash, note_broken, note_survived};
use crate::events::{ATTEMPT_FAILED, ENDPOINT_RESUMED, REQUEST_FAILED, RESUMED, STREAMED};
use crate::framing::Framing;
use crate::node::Search;
use crate::panics::catch_panic;
use crate::reach::until_unreachable;
use crate::send::{EndpointResponse, SendOutcome};
use crate::shared::Shared;
use crate::stream::EventSplitter;
use crate::wire::{HandleName, Phase};

/// Multiple of the route's longest gap between events after which a resumable stream counts as
/// stalled and another endpoint is searched for.
const STALL_FACTOR: u32 = 4;

/// Longest time for which a silent run is kept beside the one that takes its stream over.
const HANDOVER: Duration = Duration::from_millis(200);

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
    fn defect(&self, events: &EventSplitter) -> Option<&'static str> {
        if self.holds_events(events) && !events.rest().trim_ascii().is_empty() {
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
    /// The run goes on, with this part.
    Same(Part),
    /// The stream continues with another run, which has yielded this part; why the silent one broke
    /// meanwhile, if it did.
    Moved(Box<Run>, Part, Option<Stop>),
    /// The run has ended while another one was searched for.
    Ended(Stop),
}

/// What became of a run that took a stream over.
enum Handover {
    /// The silent run has yielded a part before.
    Same(Part),
    /// It continues the stream, from this part on.
    Moved(Box<Run>, Part),
    /// It has failed.
    Failed(Box<Run>, String),
    /// The caller disconnected.
    CallerGone,
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
    let (shared, id) = (call.shared.clone(), call.forwarded.id.clone());
    // The response to a HEAD request has no body.
    if streams && call.forwarded.method != Method::HEAD {
        spawn_relay(shared, id, relay_stream(call, run, chunks));
    } else {
        spawn_relay(shared, id, relay_body(call, run, chunks));
    }
    ResponseBody::chunks(body)
}

fn spawn_relay(shared: Rc<Shared>, id: Option<Rc<str>>, relay: impl Future<Output = ()> + 'static) {
    let begun = Instant::now();
    tokio::task::spawn_local(async move {
        // The caller's body is cut, since its end was not sent.
        if let Err(cause) = catch_panic(relay).await {
            log_event!(shared.log, REQUEST_FAILED, "request" => id.as_deref(), "cause" => cause,
                "ms" => begun.elapsed().as_millis() as u64);
        }
    });
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
            call.note_silent(&run.guard, cause, Some(events.events));
            let part = match take_over(&mut call, &mut run, &mut events, &mut buffer, &chunks).await
            {
                Takeover::Same(part) => Ok(part),
                Takeover::Moved(next, part, broken) => {
                    let (is_broken, answering) = (broken.is_some(), run.begun.elapsed());
                    let cause = broken.map_or(cause.to_owned(), |stop| stop.describe().1);
                    call.note_failed(&run.guard, FailureKind::Broken, &cause);
                    // Closing its connection ends the silent run.
                    let silent = std::mem::replace(&mut run, *next).guard;
                    if is_broken {
                        note_broken(&mut call, &silent, Some(answering)).await;
                    }
                    Ok(part)
                }
                Takeover::Ended(stop) => Err(stop),
            };
            ended = match part {
                Ok(part) => match pass_on(&mut run, part, &chunks).await {
                    Some(result) => result,
                    None => continue,
                },
                Err(stop) => Err(stop),
            };
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
            let mut defect = run.defect(events);
            if defect.is_none() {
                defect = cut_by_crash(shared, &run.guard, run.framing).await;
            }
            return match defect {
                Some(defect) => Err(Stop::Broken(defect.to_owned())),
                None => Ok(Part::End(events.take_rest())),
            };
        }
        Some(Err(error)) => return Err(Stop::Broken(error.to_string())),
        Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
    };
    let complete = events.push(&bytes).map_err(|error| Stop::Broken(error.to_string()))?;
    // Complete events are passed on first; the next read finds the limit again.
    if !buffer.set(events.capacity()) && complete.is_empty() {
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

/// Searches for an endpoint that continues the stream of a silent run. The run is kept until another
/// one continues the stream, and goes on if it yields an event before.
async fn take_over(
    call: &mut Call,
    run: &mut Run,
    events: &mut EventSplitter,
    buffer: &mut BufferGuard,
    chunks: &mpsc::Sender<Chunk>,
) -> Takeover {
    let (shared, position) = (call.shared.clone(), Position::of(run, events));
    let (backup, runs) = (call.backup, call.runs);
    // A run that has broken is not read again: its body would seem to end in good order.
    let mut broken = None;
    let part = loop {
        let next = {
            let search = search(call, &position);
            tokio::pin!(search);
            loop {
                tokio::select! {
                    biased;
                    part = read(&shared, run, events, buffer), if broken.is_none() => match part {
                        Ok(Part::Incomplete) => {}
                        Ok(part) => break Err(part),
                        Err(stop) => broken = Some(stop),
                    },
                    next = &mut search => break next.ok_or(Part::Incomplete),
                    () = chunks.closed() => return Takeover::Ended(Stop::CallerGone),
                }
            }
        };
        match next {
            Ok(next) if broken.is_some() => {
                events.resume();
                return Takeover::Moved(Box::new(next), Part::Incomplete, broken);
            }
            Ok(next) => {
                let states = (&mut *events, &mut *buffer);
                match hand_over(&shared, run, next, states, &mut broken, chunks).await {
                    Handover::Same(part) => break part,
                    Handover::Moved(next, part) => return Takeover::Moved(next, part, broken),
                    Handover::Failed(next, cause) => {
                        call.note_failed(&next.guard, FailureKind::Broken, &cause);
                        call.backup = None;
                    }
                    Handover::CallerGone => return Takeover::Ended(Stop::CallerGone),
                }
            }
            Err(part) => match broken {
                Some(stop) => return Takeover::Ended(stop),
                None => break part,
            },
        }
    };
    if !matches!(part, Part::Incomplete) {
        log_event!(shared.log, ENDPOINT_RESUMED, "request" => call.forwarded.id.as_deref(),
            "endpoint" => &*run.guard.placement.name,
            "ms" => run.progress.elapsed().as_millis() as u64);
    }
    call.retry_spared();
    if call.runs == runs {
        // No other engine has used the copy.
        call.backup = backup;
    }
    (run.progress, run.alone) = (Instant::now(), true);
    Takeover::Same(part)
}

/// Keeps a silent run for a short time beside the one that takes its stream over, in case that one
/// fails at once; `broken` tells why the silent one broke meanwhile, if it did.
async fn hand_over(
    shared: &Rc<Shared>,
    run: &mut Run,
    next: Run,
    (events, buffer): (&mut EventSplitter, &mut BufferGuard),
    broken: &mut Option<Stop>,
    chunks: &mpsc::Sender<Chunk>,
) -> Handover {
    let mut next = Box::new(next);
    let mut next_events = events.clone();
    next_events.resume();
    let mut next_buffer = BufferGuard::new(&shared.buffer_limit);
    let end = Instant::now() + HANDOVER;
    let part = loop {
        tokio::select! {
            biased;
            part = read(shared, &mut next, &mut next_events, &mut next_buffer) => match part {
                Ok(Part::Incomplete) => {}
                Ok(part) => break part,
                Err(stop) => return Handover::Failed(next, stop.describe().1),
            },
            part = read(shared, run, events, buffer), if broken.is_none() => match part {
                Ok(Part::Incomplete) => {}
                Ok(part) => return Handover::Same(part),
                Err(stop) => *broken = Some(stop),
            },
            () = sleep_until(end) => break Part::Incomplete,
            () = chunks.closed() => return Handover::CallerGone,
        }
    };
    (*events, *buffer) = (next_events, next_buffer);
    Handover::Moved(next, part)
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
        let next = tokio::select! {
            next = search(call, &position) => next,
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

/// Searches for an endpoint that continues a stream, as far as retries are allowed.
async fn search(call: &mut Call, position: &Position) -> Option<Run> {
    let mut awaited = Awaited::default();
    awaited.extend(begin_copy(call, position));
    loop {
        if !awaited.is_promising() && call.may_run_again() {
            let attempt = begin_run(call, position);
            if attempt.is_none() {
                call.return_retry();
            }
            awaited.extend(attempt);
        }
        if awaited.is_empty() {
            return None;
        }
        match awaited.next(call).await {
            News::Silent => call.retry_spared(),
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
    let backup = attempt.backup();
    let Attempt { mut guard, search, .. } = attempt;
    let response = match sent {
        SendOutcome::Responded(response)
            if response.status == StatusCode::OK
                && response.facts.signed
                && continues(position.media.as_deref(), &response.headers) =>
        {
            response
        }
        SendOutcome::Responded(_) => {
            call.runs += 1;
            call.note_failed(&guard, FailureKind::Broken, "the stream was not resumed");
            return None;
        }
        sent => {
            call.note_unanswered(&guard, &sent);
            if matches!(sent, SendOutcome::Unknown(_)) {
                note_broken(call, &guard, None).await;
            }
            return None;
        }
    };
    call.runs += 1;
    call.backup = backup;
    guard.note_first();
    log_event!(call.shared.log, RESUMED, "request" => call.forwarded.id.as_deref(),
        "endpoint" => &*guard.placement.name, "after" => position.last.as_deref(),
        "search" => search.label());
    Some(Run::new(call, guard, *response, position.events))
}
