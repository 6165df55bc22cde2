//! Searches for an endpoint that continues a stream.

use agatestair_policy::board::FailureKind;
use agatestair_runtime::log_event;
use http::{HeaderMap, StatusCode};

use super::run::{EVENT_STREAM, Run, media_type};
use crate::awaited::{Attempt, Awaited, News};
use crate::call::Call;
use crate::crash::note_broken;
use crate::events::RESUMED;
use crate::node::Search;
use crate::send::SendOutcome;
use crate::stream::EventSplitter;
use crate::wire::{HandleName, Phase};

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

/// Searches for an endpoint that continues a stream, as far as retries are allowed.
pub async fn search(call: &mut Call, position: &Position) -> Option<Run> {
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
