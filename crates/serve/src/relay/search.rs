//! Searches for an endpoint that continues a stream.

use std::time::Duration;

use agatestair_policy::board::FailureKind;
use agatestair_runtime::log_event;
use http::{HeaderMap, StatusCode};
use tokio::time::Instant;

use super::run::{EVENT_STREAM, Run, media_type};
use crate::awaited::{Attempt, Awaited, News};
use crate::call::Call;
use crate::crash::note_broken;
use crate::dispatches::Work;
use crate::events::{COPY_NOT_USED, RESUMED};
use crate::node::Search;
use crate::send::SendOutcome;
use crate::stream::EventSplitter;
use crate::wire::{HandleName, Phase};

/// Longest time after an attempt was sent for which it may work on a stream beside another endpoint.
const OVERLAP: Duration = Duration::from_millis(300);

/// A run that may continue a stream.
pub struct Found {
    /// The run, whose response has begun.
    pub run: Run,
    /// How its endpoint was chosen.
    pub search: Search,
    /// Until when another endpoint may work on the stream beside it.
    pub until: Instant,
}

/// Where a stream continues at another endpoint.
pub struct Position {
    /// Identifier of the last complete event.
    pub last: Option<String>,
    /// Number of complete events.
    pub events: u64,
    /// Media type of the stream.
    pub media: Option<String>,
}

impl Position {
    /// Where the stream of a run continues.
    pub fn of(run: &Run, events: &EventSplitter) -> Self {
        Self { last: events.last.clone(), events: events.events, media: run.media.clone() }
    }
}

/// Whether a body with these headers may continue one of the media type `media`.
fn continues(media: Option<&str>, headers: &HeaderMap) -> bool {
    let next = media_type(headers);
    next.as_deref() == media || (media.is_none() && next.as_deref() == Some(EVENT_STREAM))
}

/// Searches for an endpoint that continues a stream, as far as retries are allowed. `at_work` tells
/// whether a run before may still work on the stream.
///
/// Until its response begins, nothing is known of an attempt but that it was sent. If another endpoint
/// may work on the stream, the attempt is therefore given up after a time, and the other one goes on.
pub async fn search(
    call: &mut Call,
    position: &Position,
    at_work: impl Fn() -> bool,
) -> Option<Found> {
    let mut awaited = Awaited::default();
    awaited.extend(begin_copy(call, position));
    let mut waits = false;
    loop {
        let may_begin = !waits && !awaited.is_promising() && (awaited.is_empty() || !at_work());
        if may_begin && call.may_run_again() {
            let attempt = begin_run(call, position);
            if attempt.is_none() {
                call.return_retry();
            }
            awaited.extend(attempt);
        }
        if awaited.is_empty() {
            return None;
        }
        let news = awaited.next_beside(call, &at_work).await;
        waits = matches!(news, News::Withdrawn);
        match news {
            News::Silent => call.retry_spared(),
            // Only attempts before the response head are late.
            News::Withdrawn | News::Late => {}
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
/// allowed for requests that must not run again, too, once the process of the former engine is gone.
///
/// Before the first event there is nothing to continue: the request would be taken for a new run.
fn begin_copy(call: &mut Call, position: &Position) -> Option<Attempt<()>> {
    let backup = call.backup.take()?;
    let handle = call.forwarded.id.as_deref().map(HandleName::from)?;
    if position.last.is_none() || !call.dispatches.is_over() {
        let cause =
            if position.last.is_none() { "no event yet" } else { "the run may not be over" };
        log_event!(call.shared.log, COPY_NOT_USED, "request" => call.forwarded.id.as_deref(),
            "cause" => cause, "events" => position.events);
        return None;
    }
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
    let work = if matches!(search, Search::Copy(_)) { Work::Copy } else { Work::Run };
    let sending = call.begin_send(&guard, work, phase, position.last.as_deref());
    Some(Attempt::new(call, search, guard, sending, ()).limit_overlap(OVERLAP))
}

/// Turns the response of an attempt into the next run of a stream, if it continues the stream.
async fn accept(
    call: &mut Call,
    attempt: Attempt<()>,
    sent: SendOutcome,
    position: &Position,
) -> Option<Found> {
    let (backup, until) = (attempt.backup(), attempt.overlap_end());
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
    call.backup = backup;
    guard.note_first();
    log_event!(call.shared.log, RESUMED, "request" => call.forwarded.id.as_deref(),
        "endpoint" => &*guard.placement.name, "after" => position.last.as_deref(),
        "search" => search.label(), "ms" => guard.elapsed().as_millis() as u64);
    let run = Run::new(call, guard, *response, position.events);
    Some(Found { search, until: until.unwrap_or(run.begun), run })
}
