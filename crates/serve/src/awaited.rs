//! Attempts of one request whose responses are awaited.
//!
//! A sound endpoint may fall silent and go on. An attempt that stays silent is therefore kept while
//! the request is tried elsewhere, and given up only once another endpoint has answered.

use std::future::{pending, poll_fn};
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use agatestair_policy::board::FailureKind;
use agatestair_runtime::log_event;
use tokio::time::{Instant, sleep, sleep_until};

use crate::attempt_guard::AttemptGuard;
use crate::call::{Call, Sending};
use crate::events::{ATTEMPT_DROPPED, ATTEMPT_WITHDRAWN, ENDPOINT_RESUMED};
use crate::node::{Backup, Search};
use crate::reach::until_unreachable;
use crate::send::SendOutcome;

/// Multiple of the expected time after which an attempt without a response counts as silent.
pub const TIMEOUT_FACTOR: f64 = 3.0;

/// Fraction of the remaining time after which an attempt counts as silent at the latest, so that
/// another one can still finish before the deadline.
pub const ATTEMPT_SHARE: f64 = 0.5;

/// Multiple of the expected time without a response after which an engine's reachability is probed.
const PROBE_FACTOR: f64 = 1.5;

/// Shortest time without a response before a probe.
const MIN_PROBE_DELAY: Duration = Duration::from_millis(250);

/// Time after which it is checked again whether another endpoint works on the stream.
pub const RECHECK: Duration = Duration::from_millis(50);

/// Shortest time between two searches for another endpoint while all attempts are silent.
const MIN_SEARCH_PAUSE: Duration = Duration::from_millis(250);

/// An attempt whose response is awaited.
pub struct Attempt<T> {
    /// Counts the attempt at its endpoint.
    pub guard: AttemptGuard,
    /// How its endpoint was chosen.
    pub search: Search,
    /// What must live as long as the attempt.
    pub held: T,
    sending: Sending,
    /// Identifier of the request, for the log.
    id: Option<Rc<str>>,
    /// When the attempt counts as silent.
    limit: Instant,
    /// Time after the request was written in which the response must begin while another endpoint
    /// works on the same stream.
    overlap: Option<Duration>,
    silent: bool,
}

impl<T> Attempt<T> {
    /// An attempt that has just begun.
    pub fn new(
        call: &Call,
        search: Search,
        guard: AttemptGuard,
        sending: Sending,
        held: T,
    ) -> Self {
        let limit = Instant::now() + response_limit(call, &guard);
        let id = call.forwarded.id.clone();
        Self { guard, search, held, sending, id, limit, overlap: None, silent: false }
    }

    /// Limits the time in which the attempt may work on a stream beside another endpoint.
    pub fn limit_overlap(self, overlap: Duration) -> Self {
        Self { overlap: Some(overlap), ..self }
    }

    /// When the time that [`Attempt::limit_overlap`] allows is over.
    pub fn overlap_end(&self) -> Option<Instant> {
        Some(self.sending.written.get()? + self.overlap?)
    }

    /// Engine that replicates the KV cache of the run.
    pub fn backup(&self) -> Option<Backup> {
        self.sending.backup
    }
}

/// What becomes of the attempts of a request.
pub enum News<T> {
    /// An attempt has its outcome.
    Sent(Box<Attempt<T>>, SendOutcome),
    /// All attempts are silent, the latest one since now or for a while; the request may be tried
    /// elsewhere.
    Silent,
    /// The only attempt is late, so that a second one may begin.
    Late,
    /// The latest attempt was given up, since another endpoint may work on the same stream.
    Withdrawn,
    /// The request's deadline has passed.
    TimedOut,
}

/// The attempts of a request whose responses are awaited, the latest one last.
pub struct Awaited<T> {
    attempts: Vec<Attempt<T>>,
}

impl<T> Default for Awaited<T> {
    fn default() -> Self {
        Self { attempts: Vec::new() }
    }
}

impl<T> Awaited<T> {
    /// Adds the latest attempt, if one could begin.
    pub fn extend(&mut self, attempt: Option<Attempt<T>>) {
        self.attempts.extend(attempt);
    }

    /// Whether no attempt is left.
    pub fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    /// Whether an attempt is awaited that is not silent.
    pub fn is_promising(&self) -> bool {
        self.attempts.iter().any(|attempt| !attempt.silent)
    }

    /// The latest attempt.
    pub fn latest(&self) -> Option<&Attempt<T>> {
        self.attempts.last()
    }

    /// Waits for the next outcome, or until the latest attempt is silent although the request may run
    /// elsewhere.
    pub async fn next(&mut self, call: &mut Call) -> News<T> {
        self.next_beside(call, || false).await
    }

    /// Like [`Awaited::next`] while a run of the stream that is not one of the attempts may go on:
    /// also waits until the latest attempt has worked beside it, or beside an earlier attempt, for as
    /// long as it may. `at_work` tells whether there is such a run.
    pub async fn next_beside(&mut self, call: &mut Call, at_work: impl Fn() -> bool) -> News<T> {
        let deadline = call.deadline;
        let others = self.attempts.len() > 1;
        let overlap = self
            .attempts
            .last()
            .and_then(|attempt| Some((attempt.overlap?, attempt.sending.written.clone())));
        let overdue = async {
            let Some((overlap, written)) = overlap else { return pending().await };
            // The attempt that writes the request is polled by this task, too.
            let written = poll_fn(|_| written.get().map_or(Poll::Pending, Poll::Ready)).await;
            sleep_until(written + overlap).await;
            while !others && !at_work() {
                sleep(RECHECK).await;
            }
        };
        let (shared, may_move) = (call.shared.clone(), call.may_repeat());
        let latest = self.attempts.last().filter(|attempt| !attempt.silent && may_move);
        let latest = latest.map(|attempt| {
            (attempt.limit, attempt.guard.placement.clone(), probe_delay(&attempt.guard))
        });
        let again = may_move && !self.is_promising();
        let pause = call.route.objective.max(MIN_SEARCH_PAUSE);
        let silent = async {
            let Some((limit, placement, delay)) = latest else {
                if !again {
                    return pending().await;
                }
                sleep(pause).await;
                return None;
            };
            tokio::select! {
                () = sleep_until(limit) => Some("no answer in time"),
                () = until_unreachable(&shared, &placement, delay) => {
                    Some("the endpoint cannot be reached")
                }
            }
        };
        let late = call.hedge_due().filter(|_| !others && self.is_promising());
        let attempts = &mut self.attempts;
        let outcome = poll_fn(|context| {
            for (index, attempt) in attempts.iter_mut().enumerate() {
                if let Poll::Ready(sent) = attempt.sending.outcome.as_mut().poll(context) {
                    return Poll::Ready((index, sent));
                }
            }
            Poll::Pending
        });
        let silence = tokio::select! {
            biased;
            (index, sent) = outcome => {
                let attempt = self.attempts.remove(index);
                note_outcome(call, &attempt, &sent);
                return News::Sent(Box::new(attempt), sent);
            }
            () = sleep_until(deadline) => return News::TimedOut,
            () = overdue => {
                if let Some(Attempt { guard, search, .. }) = self.attempts.pop() {
                    call.sends += 1;
                    note_withdrawn(call, &guard, search, "no answer in time");
                }
                return News::Withdrawn;
            }
            cause = silent => cause,
            () = sleep_until_some(late) => return News::Late,
        };
        if let (Some(cause), Some(latest)) = (silence, self.attempts.last_mut()) {
            latest.silent = true;
            call.note_silent(&latest.guard, cause, None);
        }
        News::Silent
    }

    /// Gives up the attempts that are left after another one has succeeded.
    pub fn give_up(&mut self, call: &mut Call, cause: &str) {
        for attempt in self.attempts.extract_if(.., |attempt| attempt.silent) {
            call.note_failed(&attempt.guard, FailureKind::Broken, cause);
        }
        for attempt in self.attempts.drain(..) {
            call.note_head(attempt.guard.elapsed());
            log_dropped(&attempt);
        }
    }

    /// Gives up the attempts that are left after the request's deadline.
    pub fn time_out(&mut self, call: &mut Call) {
        for attempt in self.attempts.drain(..) {
            call.note_failed(&attempt.guard, FailureKind::Broken, "no answer in time");
        }
    }
}

impl<T> Drop for Awaited<T> {
    fn drop(&mut self) {
        self.attempts.iter().for_each(log_dropped);
    }
}

fn log_dropped<T>(attempt: &Attempt<T>) {
    let guard = &attempt.guard;
    log_event!(guard.shared().log, ATTEMPT_DROPPED, "request" => attempt.id.as_deref(),
        "endpoint" => &*guard.placement.name, "silent" => attempt.silent,
        "ms" => guard.elapsed().as_millis() as u64);
}

/// Records an attempt to continue a stream that was given up before it has yielded an event, although
/// it may work on the stream.
pub fn note_withdrawn(call: &mut Call, guard: &AttemptGuard, search: Search, cause: &str) {
    call.tried.push(guard.placement.key);
    metrics::counter!("agatestair_serve_withdrawn_total").increment(1);
    log_event!(call.shared.log, ATTEMPT_WITHDRAWN, "request" => call.forwarded.id.as_deref(),
        "endpoint" => &*guard.placement.name, "search" => search.label(), "cause" => cause,
        "sends" => call.sends, "left_ms" => call.remaining().as_millis() as u64,
        "ms" => guard.elapsed().as_millis() as u64);
}

/// Takes the outcome of an attempt into account.
fn note_outcome<T>(call: &mut Call, attempt: &Attempt<T>, sent: &SendOutcome) {
    if attempt.silent {
        log_event!(call.shared.log, ENDPOINT_RESUMED, "request" => call.forwarded.id.as_deref(),
            "endpoint" => &*attempt.guard.placement.name,
            "ms" => attempt.guard.elapsed().as_millis() as u64);
    }
    call.note_sent(attempt.sending.key, sent);
}

/// Waits until a moment, forever if there is none.
pub async fn sleep_until_some(moment: Option<Instant>) {
    match moment {
        Some(moment) => sleep_until(moment).await,
        None => pending().await,
    }
}

/// Time within which the response head of an attempt must arrive if another attempt may follow.
fn response_limit(call: &Call, guard: &AttemptGuard) -> Duration {
    let usual = guard.placement.expected.mul_f64(TIMEOUT_FACTOR).max(call.route.objective);
    usual.min(call.remaining().mul_f64(ATTEMPT_SHARE))
}

/// Time without a response after which an engine's reachability is probed.
pub fn probe_delay(guard: &AttemptGuard) -> Duration {
    guard.placement.expected.mul_f64(PROBE_FACTOR).max(MIN_PROBE_DELAY)
}
