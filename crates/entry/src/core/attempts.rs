//! Lifecycle of attempts: start, events and end.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use agatestair_policy::{AttemptEnd, AttemptKey, Purpose, RequestKey};
use agatestair_runtime::log_event;
use agatestair_schema::caller::{ErrorBody, RunState};
use agatestair_schema::endpoint::{CompletionRequest, KvExport};
use tokio::sync::mpsc::error::TrySendError;

use crate::core::actor::{EntryActor, Target};
use crate::core::assembly::{AttemptCursor, Piece, Verdict};
use crate::core::job::{Attempt, CallWork, CompletionWork, Job, JobWork};
use crate::core::message::{AttemptEvent, AttemptFailure, CallResponse, CompletionEvent, Part};
use crate::endpoint::client::Timeouts;
use crate::endpoint::engine::{EngineAttempt, EngineWork, cancel_attempt};
use crate::endpoint::service::ServiceAttempt;
use crate::events::{ATTEMPT_FAILED, ATTEMPT_RESUMED, ATTEMPT_SILENT, PIECE_DROPPED};
use crate::refusal::{RefusalKind, Refused};

/// Time without a piece after which an attempt at an engine ends.
const PIECE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time without a piece after which an attempt that has sent some counts as silent.
const SILENT_TIME: Duration = Duration::from_secs(2);
/// Time after which an attempt counts as silent if a piece is missing and later ones have arrived.
const GAP_TIME: Duration = Duration::from_millis(300);

impl Attempt {
    /// Whether the request may be tried elsewhere beside it.
    pub fn is_silent(&self, now: Instant) -> bool {
        let missing = self
            .gap_since
            .is_some_and(|gap_since| now.saturating_duration_since(gap_since) > GAP_TIME);
        self.monitored && (missing || (self.has_output && self.idle_time(now) > SILENT_TIME))
    }

    /// Whether it ends for want of a piece.
    pub fn is_timed_out(&self, now: Instant) -> bool {
        self.monitored && self.idle_time(now) > PIECE_TIMEOUT
    }

    fn idle_time(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.last_activity)
    }
}

impl Job {
    /// Whether it ran, as far as is known.
    pub fn state(&self) -> RunState {
        let dispatched = self.may_have_run || !self.attempts.is_empty();
        if dispatched { RunState::Unknown } else { RunState::NotRun }
    }
}

impl EntryActor {
    /// Starts an attempt on behalf of the scheduler.
    pub(super) fn start_attempt(
        &mut self,
        now: Instant,
        request: RequestKey,
        attempt: AttemptKey,
        target: &Target,
    ) {
        let moment = self.moment(now);
        let Some(job) = self.jobs.get_mut(request) else {
            self.scheduler.note_end(moment, attempt, AttemptEnd::NotRun);
            return;
        };
        if self.parts.protections.single_dispatch && job.must_not_retry() {
            let refused = Refused::with_state(RefusalKind::OutcomeUnknown, RunState::Unknown);
            self.scheduler.note_end(moment, attempt, AttemptEnd::NotRun);
            self.fail(now, request, refused);
            return;
        }
        job.started += 1;
        job.attempts.push(attempt);
        let at = now.saturating_duration_since(job.admitted);
        job.explanation.add(at, format!("{:?} attempt at {}", target.purpose, target.name));
        let cursor = AttemptCursor {
            request: job.caller.id.clone(),
            attempt: format!("{}.{}", job.caller.id, job.started).into(),
            next: job.delivered(),
            buffered: BTreeMap::new(),
        };
        let token = self.parts.done.child_token();
        let started = Attempt {
            request,
            endpoint: target.name.clone(),
            address: target.address.clone(),
            purpose: target.purpose,
            priority: target.priority,
            monitored: matches!(job.work, JobWork::Completion(_)),
            cursor,
            last_activity: now,
            silent: false,
            gap_since: None,
            has_output: false,
            token,
        };
        metrics::counter!("agatestair_attempts_total", "purpose" => purpose_label(target.purpose))
            .increment(1);
        self.dispatch(now, request, attempt, &started);
        self.attempts.insert(attempt, started);
    }

    fn dispatch(&self, now: Instant, request: RequestKey, attempt: AttemptKey, started: &Attempt) {
        let job = &self.jobs[request];
        let total = job.deadline.saturating_duration_since(now).max(Duration::from_millis(1));
        match &job.work {
            JobWork::Completion(work) => EngineAttempt {
                attempt,
                address: started.address.clone(),
                work: engine_work(work, started),
                adapter: self.adapter,
                timeouts: Timeouts { total, idle: PIECE_TIMEOUT },
                token: started.token.clone(),
                channel: self.channel.clone(),
            }
            .start(),
            JobWork::Call(work) => ServiceAttempt {
                attempt,
                endpoint: started.endpoint.clone(),
                address: started.address.clone(),
                request: work.request.clone(),
                timeouts: Timeouts { total, idle: total },
                channel: self.channel.clone(),
            }
            .start(),
        }
    }

    /// Handles an event of an attempt; events of dropped attempts are ignored.
    pub(super) fn attempt_event(&mut self, now: Instant, attempt: AttemptKey, event: AttemptEvent) {
        if !self.attempts.contains_key(attempt) {
            return;
        }
        match event {
            AttemptEvent::Piece(piece) => self.receive_piece(now, attempt, piece),
            AttemptEvent::Prefilled(handle) => self.receive_handle(now, attempt, handle),
            AttemptEvent::Response(response) => self.receive_response(now, attempt, response),
            AttemptEvent::Ended => self.stream_ended(now, attempt),
            AttemptEvent::Failed(failure) => self.attempt_failed(now, attempt, &failure),
        }
    }

    fn receive_piece(&mut self, now: Instant, key: AttemptKey, piece: Piece) {
        let moment = self.moment(now);
        let attempt = &mut self.attempts[key];
        let request = attempt.request;
        let job = &mut self.jobs[request];
        let JobWork::Completion(work) = &mut job.work else {
            return;
        };
        let mut out = Vec::new();
        let tokens = piece.tokens;
        let offset = piece.offset;
        let verdict = work.assembly.accept(&mut attempt.cursor, piece, &mut out);
        match verdict {
            Verdict::Accepted => {
                if std::mem::take(&mut attempt.silent) {
                    log_event!(self.parts.log, ATTEMPT_RESUMED, "request" => &*job.caller.id,
                        "endpoint" => &*attempt.endpoint,
                        "ms" => attempt.idle_time(now).as_millis() as u64);
                }
                attempt.last_activity = now;
                attempt.has_output = true;
                attempt.gap_since =
                    attempt.gap_since.filter(|_| !attempt.cursor.buffered.is_empty());
                self.scheduler.note_tokens(moment, key, tokens);
                self.deliver(now, request, key, out);
            }
            Verdict::Buffered => attempt.gap_since = attempt.gap_since.or(Some(now)),
            Verdict::Doubled | Verdict::Foreign => {
                log_event!(self.parts.log, PIECE_DROPPED, "request" => &*job.caller.id,
                    "endpoint" => &*attempt.endpoint, "verdict" => format!("{verdict:?}"));
                metrics::counter!("agatestair_pieces_dropped_total").increment(1);
            }
            Verdict::Invalid => {
                self.abort_attempt(now, key, &format!("piece at {offset} does not fit"));
            }
        }
    }

    /// Delivers pieces to the caller and ends the request when the response is complete.
    fn deliver(&mut self, now: Instant, request: RequestKey, key: AttemptKey, pieces: Vec<Piece>) {
        let job = &mut self.jobs[request];
        let JobWork::Completion(work) = &mut job.work else {
            return;
        };
        if pieces.is_empty() {
            return;
        }
        if work.first_token.is_none() {
            work.first_token = Some(now);
            let waited = now.saturating_duration_since(job.admitted);
            metrics::histogram!("agatestair_first_token_seconds").record(waited.as_secs_f64());
        }
        for piece in pieces {
            let finish = piece.total.map(|_| piece.finish.unwrap_or_else(|| "stop".into()));
            let part = Part { text: piece.text, tokens: piece.tokens, finish };
            match work.reply.try_send(CompletionEvent::Part(part)) {
                Ok(()) => {}
                Err(TrySendError::Full(_)) => return self.caller_too_slow(now, request),
                Err(TrySendError::Closed(_)) => {
                    let number = job.caller.number;
                    return self.caller_gone(now, number);
                }
            }
        }
        if work.assembly.is_complete() {
            self.complete(now, request, key);
        }
    }

    fn receive_handle(&mut self, now: Instant, key: AttemptKey, handle: String) {
        let moment = self.moment(now);
        let attempt = self.attempts.remove(key).expect("events of unknown attempts are dropped");
        let job = &mut self.jobs[attempt.request];
        job.attempts.retain(|live| *live != key);
        let at = now.saturating_duration_since(job.admitted);
        job.explanation.add(at, format!("KV cache computed at {}", attempt.endpoint));
        if let JobWork::Completion(work) = &mut job.work {
            work.handle = Some(handle);
        }
        self.scheduler.note_prefilled(moment, key);
        self.scheduler.note_end(moment, key, AttemptEnd::Done);
    }

    fn receive_response(&mut self, now: Instant, key: AttemptKey, response: CallResponse) {
        let request = self.attempts[key].request;
        if response.status == BUSY_STATUS && response.confirms_not_run() {
            let cause = "the endpoint takes no new work".to_owned();
            let failure =
                AttemptFailure { may_have_run: false, too_large: false, cache_lost: false, cause };
            self.attempt_failed(now, key, &failure);
            return;
        }
        self.complete_call(now, request, key, response);
    }

    fn stream_ended(&mut self, now: Instant, key: AttemptKey) {
        let request = self.attempts[key].request;
        let ends = match &self.jobs[request].work {
            JobWork::Completion(work) => work.assembly.may_end(),
            JobWork::Call(_) => false,
        };
        if ends {
            self.end_unchecked(now, request, key);
        } else {
            let failure = AttemptFailure::maybe_ran("the stream ended before the answer was whole");
            self.attempt_failed(now, key, &failure);
        }
    }

    /// Fails an attempt whose stream cannot continue, and cancels it at its engine.
    fn abort_attempt(&mut self, now: Instant, key: AttemptKey, cause: &str) {
        let attempt = &self.attempts[key];
        attempt.token.cancel();
        self.cancel_remote(attempt);
        self.attempt_failed(now, key, &AttemptFailure::maybe_ran(cause));
    }

    /// Lets the request of a silent attempt be tried elsewhere. The attempt is kept until another one
    /// has overtaken it: a sound engine may fall silent and go on.
    pub(super) fn attempt_silent(&mut self, now: Instant, key: AttemptKey) {
        let Some(attempt) = self.attempts.get_mut(key).filter(|attempt| !attempt.silent) else {
            return;
        };
        attempt.silent = true;
        let job = &mut self.jobs[attempt.request];
        let at = now.saturating_duration_since(job.admitted);
        job.explanation.add(at, format!("attempt at {} is silent", attempt.endpoint));
        log_event!(self.parts.log, ATTEMPT_SILENT, "request" => &*job.caller.id,
            "endpoint" => &*attempt.endpoint,
            "ms" => attempt.idle_time(now).as_millis() as u64);
        metrics::counter!("agatestair_silent_attempts_total").increment(1);
        self.scheduler.note_silent(key);
    }

    /// Fails an attempt for want of a piece.
    pub(super) fn attempt_timed_out(&mut self, now: Instant, key: AttemptKey) {
        if self.attempts.contains_key(key) {
            self.abort_attempt(now, key, "nothing was heard for too long");
        }
    }

    fn attempt_failed(&mut self, now: Instant, key: AttemptKey, failure: &AttemptFailure) {
        let moment = self.moment(now);
        let attempt = self.attempts.remove(key).expect("events of unknown attempts are dropped");
        let end = if failure.may_have_run { AttemptEnd::Failed } else { AttemptEnd::NotRun };
        self.scheduler.note_end(moment, key, end);
        let job = &mut self.jobs[attempt.request];
        job.attempts.retain(|live| *live != key);
        job.may_have_run |= failure.may_have_run;
        if let (true, JobWork::Completion(work)) = (failure.cache_lost, &mut job.work) {
            work.handle = None;
        }
        let at = now.saturating_duration_since(job.admitted);
        job.explanation
            .add(at, format!("attempt at {} failed: {}", attempt.endpoint, failure.cause));
        log_event!(self.parts.log, ATTEMPT_FAILED, "request" => &*job.caller.id,
            "endpoint" => &*attempt.endpoint, "cause" => &failure.cause,
            "may_have_run" => failure.may_have_run);
        metrics::counter!("agatestair_attempt_failures_total").increment(1);
        let may_retry = !self.parts.protections.single_dispatch || !job.must_not_retry();
        if failure.too_large {
            let refused = Refused::with_state(RefusalKind::ResponseTooLarge, RunState::Done);
            self.fail(now, attempt.request, refused);
        } else if !may_retry {
            let refused = Refused::with_state(RefusalKind::OutcomeUnknown, RunState::Unknown);
            self.fail(now, attempt.request, refused);
        }
    }

    /// Cancels an attempt at its engine; plain services do not support cancellation.
    pub(super) fn cancel_remote(&self, attempt: &Attempt) {
        if attempt.monitored {
            cancel_attempt(self.adapter, attempt.address.clone(), attempt.cursor.attempt.clone());
        }
    }
}

impl Job {
    /// Whether it is a non-idempotent call that may have run.
    pub(super) fn must_not_retry(&self) -> bool {
        match &self.work {
            JobWork::Call(CallWork { idempotent: false, .. }) => {
                self.may_have_run || !self.attempts.is_empty()
            }
            _ => false,
        }
    }

    /// Output tokens delivered to the caller.
    fn delivered(&self) -> u32 {
        match &self.work {
            JobWork::Completion(work) => work.assembly.delivered(),
            JobWork::Call(_) => 0,
        }
    }
}

fn engine_work(work: &CompletionWork, attempt: &Attempt) -> EngineWork {
    let request = attempt.cursor.request.to_string();
    let identifier = attempt.cursor.attempt.to_string();
    if attempt.purpose == Purpose::Prefill {
        return EngineWork::Export(KvExport {
            model: work.model.to_string(),
            prompt: work.prompt.to_string(),
            request,
            attempt: identifier,
            priority: attempt.priority,
        });
    }
    EngineWork::Completion(CompletionRequest {
        model: work.model.to_string(),
        prompt: work.prompt.to_string(),
        max_tokens: work.max_tokens,
        stream: true,
        priority: attempt.priority,
        request,
        attempt: identifier,
        resume_offset: attempt.cursor.next,
        kv_handle: work.handle.clone(),
    })
}

fn purpose_label(purpose: Purpose) -> &'static str {
    match purpose {
        Purpose::First => "first",
        Purpose::Retry => "retry",
        Purpose::Hedge => "hedge",
        Purpose::Prefill => "prefill",
    }
}

/// HTTP status of a service that accepts no new calls.
const BUSY_STATUS: u16 = 503;

impl CallResponse {
    /// Whether the service confirms that the call did not run.
    fn confirms_not_run(&self) -> bool {
        let refusal: Option<ErrorBody> = serde_json::from_slice(&self.body).ok();
        refusal.is_some_and(|refusal| refusal.error.ran == RunState::NotRun)
    }
}
