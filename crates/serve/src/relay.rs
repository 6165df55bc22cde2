//! Relays event streams to callers and resumes broken ones at another endpoint.

mod run;
mod search;
mod takeover;

use std::rc::Rc;

use agatestair_policy::board::FailureKind;
use agatestair_runtime::log_event;
use http::{Method, StatusCode};
use http_body_util::BodyExt;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};

use self::run::{EVENT_STREAM, Run, Stop, pass_on, read, send_chunk};
use self::search::{Position, search};
use self::takeover::{Takeover, take_over};
use crate::attempt_guard::AttemptGuard;
use crate::body::{Chunk, QUEUED_CHUNKS, ResponseBody};
use crate::body_end::end_defect;
use crate::buffer_limit::BufferGuard;
use crate::call::Call;
use crate::crash::{is_gone, note_broken, note_survived};
use crate::dispatches::End;
use crate::events::{ATTEMPT_FAILED, REQUEST_FAILED, STREAMED};
use crate::framing::Framing;
use crate::panics::catch_panic;
use crate::reach::until_unreachable;
use crate::send::EndpointResponse;
use crate::shared::Shared;
use crate::stream::EventSplitter;

/// Multiple of the route's longest gap between events after which a resumable stream counts as
/// stalled and another endpoint is searched for.
const STALL_FACTOR: u32 = 4;

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
                let defect = end_defect(&call.shared, &run.guard, run.framing, &run.connection);
                return match timeout_at(call.deadline, defect).await {
                    Err(_) => Err(Stop::TimedOut),
                    Ok(Some(cause)) => Err(Stop::Broken(cause.to_owned())),
                    Ok(None) => Ok(()),
                };
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
        // Silence does not show that a run is over, so that one that must not run again goes on.
        let may_move = call.may_repeat();
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
    let ended = matches!(stop, Stop::Broken(_));
    let (end, cause) = stop.describe();
    if end == "broken" {
        let position = Position::of(&run, events);
        let Run { guard, begun, body, connection, dispatch, .. } = run;
        let answering = begun.elapsed();
        drop((body, connection));
        let is_gone = ended && call.backup.is_some() && is_gone(&call.shared, &guard).await;
        call.dispatches.end(dispatch, if is_gone { End::Gone } else { End::Unsure });
        call.note_failed(&guard, FailureKind::Broken, &cause);
        note_broken(call, &guard, Some(answering)).await;
        drop(guard);
        events.resume();
        let next = tokio::select! {
            found = search(call, &position, || false) => found,
            () = chunks.closed() => None,
        };
        if let Some(found) = next {
            return Some(found.run);
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
