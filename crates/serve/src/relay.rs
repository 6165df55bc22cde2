//! Streams passed on to callers event by event.

use std::time::Duration;

use agatestair_policy::board::Trouble;
use agatestair_runtime::log_event;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};

use crate::body::{AnswerBody, Piece, QUEUED_PIECES};
use crate::call::Call;
use crate::dialect::{HandleName, Phase};
use crate::events::{ATTEMPT_FAILED, RESUMED, STREAMED};
use crate::held::Held;
use crate::line::Line;
use crate::node::Search;
use crate::reach::lost;
use crate::send::{Reply, Sent};
use crate::stream::EventSplitter;
use crate::ticket::Ticket;

/// Pauses of a route's bound after which a stream that may be resumed goes on elsewhere.
const STALL_PAUSES: u32 = 4;

/// One run of a stream at an endpoint.
struct Run {
    ticket: Ticket,
    body: Incoming,
    line: Line,
    idle: Option<Duration>,
}

impl Run {
    fn new(ticket: Ticket, reply: Reply) -> Self {
        Self { ticket, body: reply.body, line: reply.line, idle: reply.facts.idle }
    }
}

/// Why no further run has begun.
enum NotResumed {
    /// An endpoint failed; another one may do.
    Failed,
    /// There is no place, or no time left.
    Over,
}

/// Why a run stopped before its end.
enum Stop {
    /// The caller left.
    Left,
    /// The time for the request is over.
    Late,
    /// The endpoint broke the stream off, or has stalled.
    Broken(String),
}

/// Relays a stream; the caller's body is complete only if the stream was.
pub fn relay(call: Call, ticket: Ticket, reply: Reply) -> AnswerBody {
    let (pieces, body) = mpsc::channel(QUEUED_PIECES);
    tokio::task::spawn_local(follow(call, Run::new(ticket, reply), pieces));
    AnswerBody::Pieces(body)
}

async fn follow(mut call: Call, mut run: Run, pieces: mpsc::Sender<Piece>) {
    let mut events = EventSplitter::default();
    let mut held = Held::new(&call.front.held);
    loop {
        match forward(&call, &mut run, &mut events, &mut held, &pieces).await {
            Ok(()) => {
                run.ticket.note_done(events.events);
                run.line.note_idle(run.idle);
                call.front.pool.put(run.ticket.place.key, run.line);
                // The caller may have left meanwhile, which ends the stream as well.
                drop(pieces.send(Piece::End).await);
                return note_complete(&call, &run.ticket, &events);
            }
            Err(stop) => match go_on(&mut call, run, &mut events, stop, &pieces).await {
                Some(next) => run = next,
                None => return,
            },
        }
    }
}

/// Forwards one run's events until its end.
async fn forward(
    call: &Call,
    run: &mut Run,
    events: &mut EventSplitter,
    held: &mut Held,
    pieces: &mpsc::Sender<Piece>,
) -> Result<(), Stop> {
    let stall = (call.route.pause * STALL_PAUSES).max(call.route.objective * 2);
    // Bytes that complete no event do not show that a stream goes on.
    let mut last = Instant::now();
    loop {
        let goes_on = call.may_repeat() || call.backup.is_some();
        let until = if goes_on { (last + stall).min(call.limit) } else { call.limit };
        let frame = tokio::select! {
            frame = timeout_at(until, run.body.frame()) => frame,
            () = lost(&call.front, &run.ticket.place, call.route.pause), if goes_on => {
                return Err(Stop::Broken("the endpoint cannot be reached".to_owned()));
            }
            () = pieces.closed() => return Err(Stop::Left),
        };
        let bytes = match frame {
            Err(_) if Instant::now() >= call.limit => return Err(Stop::Late),
            Err(_) => return Err(Stop::Broken("stalled".to_owned())),
            Ok(None) => {
                let rest = events.rest();
                // Only a body that is made of events must end with a whole one.
                if events.events > 0 && !rest.trim_ascii().is_empty() {
                    return Err(Stop::Broken("the stream ended within an event".to_owned()));
                }
                return if rest.is_empty() { Ok(()) } else { hand_on(pieces, rest).await };
            }
            Ok(Some(Err(error))) => return Err(Stop::Broken(error.to_string())),
            Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
        };
        let whole = events.push(&bytes);
        let whole = whole.map_err(|size| Stop::Broken(format!("event of {size} bytes")))?;
        if !held.set(events.pending()) {
            let cause = format!("no memory for an event of {} bytes", events.pending());
            return Err(Stop::Broken(cause));
        }
        if !whole.is_empty() {
            hand_on(pieces, whole).await?;
            // A caller that reads slowly does not make the stream a stalled one.
            last = Instant::now();
        }
    }
}

fn note_complete(call: &Call, ticket: &Ticket, events: &EventSplitter) {
    metrics::counter!("agatestair_serve_streams_total", "end" => "complete").increment(1);
    log_event!(call.front.log, STREAMED, "request" => call.passed.id.as_deref(),
        "endpoint" => &*ticket.place.name, "events" => events.events,
        "pause_ms" => events.pause.as_millis() as u64,
        "ms" => call.arrived.elapsed().as_millis() as u64);
}

async fn hand_on(pieces: &mpsc::Sender<Piece>, bytes: Bytes) -> Result<(), Stop> {
    pieces.send(Piece::Data(bytes)).await.map_err(|_| Stop::Left)
}

/// Lets a stream that was broken off go on at another endpoint, if that is allowed.
async fn go_on(
    call: &mut Call,
    run: Run,
    events: &mut EventSplitter,
    stop: Stop,
    pieces: &mpsc::Sender<Piece>,
) -> Option<Run> {
    let (end, cause) = match stop {
        Stop::Left => ("left", "the caller left".to_owned()),
        Stop::Late => ("late", "time is over".to_owned()),
        Stop::Broken(cause) => ("broken", cause),
    };
    if end == "broken" {
        call.note_failed(&run.ticket, Trouble::Broken, &cause);
        // The former run ends with its connection before another one begins.
        drop(run);
        events.rest();
        if let Some(next) = take_over(call, events).await {
            return Some(next);
        }
        while call.may_run_again() {
            match resume(call, events).await {
                Ok(next) => return Some(next),
                Err(NotResumed::Failed) => {}
                Err(NotResumed::Over) => break,
            }
            if pieces.is_closed() {
                break;
            }
        }
    }
    metrics::counter!("agatestair_serve_streams_total", "end" => end).increment(1);
    log_event!(call.front.log, ATTEMPT_FAILED, "request" => call.passed.id.as_deref(),
        "cause" => cause, "events" => events.events, "end" => end,
        "ms" => call.arrived.elapsed().as_millis() as u64);
    None
}

/// Goes on with a run at the engine that has a copy of its memory; it counts as the same run.
async fn take_over(call: &mut Call, events: &EventSplitter) -> Option<Run> {
    let backup = call.backup.take()?;
    let run = call.passed.id.as_deref().map(HandleName::from)?;
    if !call.may_send_again() {
        return None;
    }
    let phase = Phase::Generate { source: backup.address, handle: &run };
    // Why it failed is logged there.
    begin_again(call, Search::Copy(backup.key), phase, events).await.ok()
}

/// Begins a further run after the last whole event.
async fn resume(call: &mut Call, events: &EventSplitter) -> Result<Run, NotResumed> {
    begin_again(call, Search::Run { split: false }, Phase::Whole, events).await
}

async fn begin_again(
    call: &mut Call,
    search: Search,
    phase: Phase<'_>,
    events: &EventSplitter,
) -> Result<Run, NotResumed> {
    let place = call.place(search);
    let mut ticket = place.map_err(|_| NotResumed::Over)?;
    let last = events.last.clone();
    let limit = call.limit;
    let sent = timeout_at(limit, call.send(&ticket, phase, last.as_deref())).await;
    let reply = match sent {
        Ok(Sent::Answered(reply)) if reply.status.is_success() && reply.facts.signed => reply,
        Ok(sent) => {
            if matches!(sent, Sent::Answered(_) | Sent::Unknown(_)) {
                call.runs += 1;
            }
            call.note_failed(&ticket, Trouble::Broken, "the stream was not resumed");
            return Err(NotResumed::Failed);
        }
        Err(_) => return Err(NotResumed::Over),
    };
    call.runs += 1;
    ticket.note_first();
    log_event!(call.front.log, RESUMED, "request" => call.passed.id.as_deref(),
        "endpoint" => &*ticket.place.name, "after" => last, "search" => search.label());
    Ok(Run::new(ticket, *reply))
}
