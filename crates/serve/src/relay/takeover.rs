//! Moves the stream of a silent run to another endpoint.

use std::cell::Cell;
use std::rc::Rc;

use agatestair_policy::board::FailureKind;
use agatestair_runtime::log_event;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};

use super::run::{Part, Run, Stop, read};
use super::search::{Found, Position, search};
use crate::awaited::{RECHECK, note_withdrawn};
use crate::body::Chunk;
use crate::buffer_limit::BufferGuard;
use crate::call::Call;
use crate::events::ENDPOINT_RESUMED;
use crate::shared::Shared;
use crate::stream::EventSplitter;

/// What follows the silence of a run.
pub enum Takeover {
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
    /// It continues the stream, from this part on; why the silent run has broken, if it has.
    Moved(Box<Run>, Part, Option<Stop>),
    /// It has failed.
    Failed(Box<Run>, String),
    /// It has yielded nothing in time, although the silent run may go on.
    Withdrawn(Box<Run>),
    /// The caller disconnected.
    CallerGone,
}

/// Searches for an endpoint that continues the stream of a silent run. The run is kept until another
/// one continues the stream, and goes on if it yields an event before.
///
/// Both may work on the stream for a short time only. Silence is no reason to end a run, so that the
/// other endpoint is given up unless it yields an event in that time, and may be asked again later.
pub async fn take_over(
    call: &mut Call,
    run: &mut Run,
    events: &mut EventSplitter,
    buffer: &mut BufferGuard,
    chunks: &mpsc::Sender<Chunk>,
) -> Takeover {
    let (shared, position) = (call.shared.clone(), Position::of(run, events));
    // A run that has broken is not read again: its body would seem to end in good order.
    let mut broken = None;
    // Only the end of its connection shows that the run may be over: an endpoint that accepts no new
    // connection may go on.
    let is_open = Cell::new(true);
    let at_work = || is_open.get();
    let part = loop {
        let next = {
            let search = search(call, &position, &at_work);
            tokio::pin!(search);
            loop {
                tokio::select! {
                    biased;
                    part = read(&shared, run, events, buffer), if broken.is_none() => match part {
                        Ok(Part::Incomplete) => {}
                        Ok(part) => break Err(part),
                        Err(stop) => {
                            // It must not work on the stream beside the next run.
                            run.connection.close();
                            is_open.set(false);
                            broken = Some(stop);
                        }
                    },
                    next = &mut search => break next.ok_or(Part::Incomplete),
                    () = chunks.closed() => return Takeover::Ended(Stop::CallerGone),
                }
            }
        };
        match next {
            Ok(found) if broken.is_some() => {
                events.resume();
                return Takeover::Moved(Box::new(found.run), Part::Incomplete, broken);
            }
            Ok(found) => {
                let states = (&mut *events, &mut *buffer);
                let search = found.search;
                match hand_over(&shared, run, found, states, &at_work, chunks).await {
                    Handover::Same(part) => break part,
                    Handover::Moved(next, part, broken) => {
                        return Takeover::Moved(next, part, broken);
                    }
                    Handover::Failed(next, cause) => {
                        call.note_failed(&next.guard, FailureKind::Broken, &cause);
                    }
                    Handover::Withdrawn(next) => {
                        note_withdrawn(call, &next.guard, search, "no event in time");
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
    (run.progress, run.alone) = (Instant::now(), true);
    Takeover::Same(part)
}

/// Keeps a silent run beside the one that takes its stream over until one of them yields an event, or
/// for as long as both may work on it; `at_work` tells whether the silent one may go on.
async fn hand_over(
    shared: &Rc<Shared>,
    run: &mut Run,
    Found { run: next, until, .. }: Found,
    (events, buffer): (&mut EventSplitter, &mut BufferGuard),
    at_work: impl Fn() -> bool,
    chunks: &mpsc::Sender<Chunk>,
) -> Handover {
    let mut next = Box::new(next);
    let mut next_events = events.clone();
    next_events.resume();
    let mut next_buffer = BufferGuard::new(&shared.buffer_limit);
    let mut end = until;
    let (part, broken) = loop {
        tokio::select! {
            biased;
            part = read(shared, &mut next, &mut next_events, &mut next_buffer) => match part {
                Ok(Part::Incomplete) => {}
                Ok(part) => break (part, None),
                Err(stop) => return Handover::Failed(next, stop.describe().1),
            },
            part = read(shared, run, events, buffer) => match part {
                Ok(Part::Incomplete) => {}
                Ok(part) => return Handover::Same(part),
                Err(stop) => {
                    run.connection.close();
                    break (Part::Incomplete, Some(stop));
                }
            },
            () = sleep_until(end) => {
                if at_work() {
                    return Handover::Withdrawn(next);
                }
                end = Instant::now() + RECHECK;
            }
            () = chunks.closed() => return Handover::CallerGone,
        }
    };
    (*events, *buffer) = (next_events, next_buffer);
    Handover::Moved(next, part, broken)
}
