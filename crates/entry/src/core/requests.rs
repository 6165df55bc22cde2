//! Admission and completion of requests.

use std::sync::Arc;
use std::time::{Duration, Instant};

use agatestair_policy::{AttemptEnd, AttemptKey, Call, Completion, RequestFacts, RequestKey, Work};
use agatestair_runtime::log_event;
use agatestair_schema::caller::RunState;
use agatestair_schema::slo::SloKind;
use agatestair_schema::{count_tokens, prefix_blocks};

use crate::core::actor::EntryActor;
use crate::core::assembly::Assembly;
use crate::core::explain::Explanation;
use crate::core::job::{CallWork, CompletionWork, Job, JobWork};
use crate::core::message::{
    CallJob, CallResponse, Caller, CompletionEvent, CompletionJob, Part, RequestNumber,
};
use crate::core::slo::{SloOutcome, TokenTimes, classify_completion};
use crate::events::RESPONSE_TRUNCATED;
use crate::refusal::{RefusalKind, Refused};

/// Tokens per block of the engines' prefix caches.
const BLOCK_TOKENS: u32 = 4096;
/// Deadline of completions whose plan is not listed, and of calls while no lists are known.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(60);

impl EntryActor {
    /// Admits or refuses a completion.
    pub(super) fn admit_completion(&mut self, now: Instant, job: CompletionJob) {
        let lists = self.view.lists.clone();
        let plan = lists.as_ref().and_then(|lists| lists.plan(&job.caller.customer.plan));
        let limit = plan.map_or(DEFAULT_DEADLINE, |plan| Duration::from_millis(plan.deadline_ms));
        let deadline = now + limit;
        let facts = RequestFacts {
            customer: job.caller.customer.name.clone(),
            plan: job.caller.customer.plan.clone(),
            service: job.service.clone(),
            model: job.model.clone(),
            deadline: self.moment(deadline),
            work: Work::Completion(Completion {
                prompt_tokens: count_tokens(&job.prompt),
                max_tokens: job.max_tokens,
                blocks: prefix_blocks(&job.model, &job.prompt, BLOCK_TOKENS),
            }),
        };
        let explanation = explanation_of(&job.caller, &job.service, &job.model);
        let work = JobWork::Completion(CompletionWork {
            assembly: Assembly::new(self.parts.protections.pieces, job.max_tokens),
            model: job.model,
            prompt: job.prompt,
            max_tokens: job.max_tokens,
            handle: None,
            first_token: None,
            reply: job.reply,
        });
        self.admit(
            now,
            facts,
            Job {
                caller: job.caller,
                service: job.service,
                admitted: now,
                deadline,
                attempts: Vec::new(),
                started: 0,
                may_have_run: false,
                work,
                explanation,
            },
        );
    }

    /// Admits or refuses a call to a plain service.
    pub(super) fn admit_call(&mut self, now: Instant, job: CallJob) {
        let limit = self.view.lists.as_ref().map(|lists| lists.call_deadline(&job.service));
        let deadline = now + limit.unwrap_or(DEFAULT_DEADLINE);
        let facts = RequestFacts {
            customer: job.caller.customer.name.clone(),
            plan: job.caller.customer.plan.clone(),
            service: job.service.clone(),
            model: "".into(),
            deadline: self.moment(deadline),
            work: Work::Call(Call {
                idempotent: job.idempotent || !self.parts.protections.single_dispatch,
            }),
        };
        let explanation = explanation_of(&job.caller, &job.service, &"".into());
        let work = CallWork { request: job.request, idempotent: job.idempotent, reply: job.reply };
        self.admit(
            now,
            facts,
            Job {
                caller: job.caller,
                service: job.service,
                admitted: now,
                deadline,
                attempts: Vec::new(),
                started: 0,
                may_have_run: false,
                work: JobWork::Call(work),
                explanation,
            },
        );
    }

    fn admit(&mut self, now: Instant, facts: RequestFacts, job: Job) {
        if self.may_outlast(job.deadline) {
            return self.end_refused(now, job, Refused::not_run(RefusalKind::Leaving));
        }
        match self.scheduler.submit(self.moment(now), facts) {
            Ok(key) => {
                self.numbers.insert(job.caller.number, key);
                self.jobs.insert(key, job);
            }
            Err(refusal) => {
                let mut refused = Refused::not_run(refusal.code.into());
                refused.retry = refusal.retry_after.or(refused.retry);
                self.end_refused(now, job, refused);
            }
        }
    }

    /// Ends a completion whose last piece was delivered by the attempt `winner`.
    pub(super) fn complete(&mut self, now: Instant, request: RequestKey, winner: AttemptKey) {
        let Some(job) = self.remove_job(now, request, Some(winner)) else {
            return;
        };
        let JobWork::Completion(work) = &job.work else {
            return;
        };
        let tokens = work.assembly.delivered();
        let first = work.first_token.unwrap_or(now);
        let times = TokenTimes { admitted: job.admitted, first, last: now, tokens };
        let plan = job.caller.customer.plan.clone();
        let lists = self.view.lists.clone();
        let targets = lists.as_ref().and_then(|lists| lists.plan(&plan));
        metrics::counter!("agatestair_tokens_total").increment(u64::from(tokens));
        let outcome = classify_completion(targets, times);
        self.end(now, job, outcome);
    }

    /// Ends a completion whose stream ended without an end mark, if that check is disabled.
    pub(super) fn end_unchecked(&mut self, now: Instant, request: RequestKey, key: AttemptKey) {
        if let JobWork::Completion(work) = &self.jobs[request].work {
            let finish = Some("stop".into());
            let part = Part { text: String::new(), tokens: 0, finish };
            // Fails if the caller has disconnected.
            let _ = work.reply.try_send(CompletionEvent::Part(part));
        }
        self.complete(now, request, key);
    }

    /// Ends a call with the response of an endpoint.
    pub(super) fn complete_call(
        &mut self,
        now: Instant,
        request: RequestKey,
        winner: AttemptKey,
        response: CallResponse,
    ) {
        let Some(mut job) = self.remove_job(now, request, Some(winner)) else {
            return;
        };
        let target = self.view.lists.as_ref().map(|lists| lists.call_target(&job.service));
        let waited = now.saturating_duration_since(job.admitted);
        let outcome = match response.status {
            500.. => SloOutcome::Engine,
            _ if target.is_some_and(|target| waited > target) => SloOutcome::Late,
            _ => SloOutcome::Good,
        };
        metrics::histogram!("agatestair_call_seconds").record(waited.as_secs_f64());
        job.explanation.add(waited, format!("{} answered {}", response.endpoint, response.status));
        let caller = job.caller.clone();
        let service = job.service.clone();
        if let JobWork::Call(work) = job.work {
            // Fails if the caller has disconnected.
            let _ = work.reply.send(Ok(response));
        }
        self.count_end(&caller, &service, SloKind::Call, outcome);
        self.keep_explanation(job.explanation, outcome.label());
    }

    /// Ends a request with a refusal or failure and cancels its attempts.
    pub(super) fn fail(&mut self, now: Instant, request: RequestKey, refused: Refused) {
        if let Some(job) = self.remove_job(now, request, None) {
            self.end_refused(now, job, refused);
        }
    }

    fn end_refused(&mut self, now: Instant, mut job: Job, refused: Refused) {
        let at = now.saturating_duration_since(job.admitted);
        job.explanation.add(at, format!("refused: {}", refused.kind.code()));
        let outcome = job.outcome_of(&refused);
        if outcome == SloOutcome::Cut {
            log_event!(self.parts.log, RESPONSE_TRUNCATED, "request" => &*job.caller.id,
                "code" => refused.kind.code());
        }
        if refused.kind == RefusalKind::NotAllowed {
            job.notify(refused);
            return;
        }
        let kind = job.kind();
        let (caller, service) = (job.caller.clone(), job.service.clone());
        let explanation = job.explanation.clone();
        job.notify(refused);
        self.count_end(&caller, &service, kind, outcome);
        self.keep_explanation(explanation, outcome.label());
    }

    fn end(&mut self, now: Instant, mut job: Job, outcome: SloOutcome) {
        job.explanation.add(now.saturating_duration_since(job.admitted), "answer whole");
        self.count_end(&job.caller, &job.service, job.kind(), outcome);
        self.keep_explanation(job.explanation, outcome.label());
    }

    /// Removes a request from all tables and cancels its remaining attempts.
    fn remove_job(
        &mut self,
        now: Instant,
        request: RequestKey,
        winner: Option<AttemptKey>,
    ) -> Option<Job> {
        let moment = self.moment(now);
        if let Some(winner) = winner {
            self.attempts.remove(winner);
            self.scheduler.note_end(moment, winner, AttemptEnd::Done);
        }
        let job = self.jobs.remove(request)?;
        self.numbers.remove(&job.caller.number);
        for attempt in job.attempts.iter().filter(|live| Some(**live) != winner) {
            self.cancel(now, *attempt);
        }
        let mut actions = Vec::new();
        self.scheduler.withdraw(request, &mut actions);
        self.apply(now, &mut actions);
        Some(job)
    }

    /// Ends a request whose caller has disconnected; ignored if the request has already ended.
    pub(super) fn caller_gone(&mut self, now: Instant, number: RequestNumber) {
        let Some(request) = self.numbers.get(&number).copied() else {
            return;
        };
        if let Some(mut job) = self.remove_job(now, request, None) {
            metrics::counter!("agatestair_callers_gone_total").increment(1);
            job.explanation.add(now.saturating_duration_since(job.admitted), "caller gone");
            self.keep_explanation(job.explanation, "gone");
        }
    }

    /// Truncates the response to a caller that reads too slowly.
    pub(super) fn caller_too_slow(&mut self, now: Instant, request: RequestKey) {
        let state = RunState::Unknown;
        self.fail(now, request, Refused::with_state(RefusalKind::SlowCaller, state));
    }

    /// Ends a request whose deadline has passed.
    pub(super) fn deadline_passed(&mut self, now: Instant, request: RequestKey) {
        let state = self.jobs[request].state();
        let kind = match state {
            RunState::NotRun => RefusalKind::TooLate,
            _ => RefusalKind::DeadlinePassed,
        };
        self.fail(now, request, Refused::with_state(kind, state));
    }

    fn count_end(&mut self, caller: &Caller, service: &Arc<str>, kind: SloKind, end: SloOutcome) {
        self.slo.count(&caller.customer.plan, service, kind, end);
    }

    fn keep_explanation(&mut self, mut explanation: Explanation, outcome: &str) {
        explanation.outcome = outcome.into();
        self.ring.push(explanation);
    }

    /// Explanation of an open or ended request of `customer`.
    pub(super) fn explain(&self, request: &str, customer: &str) -> Option<Explanation> {
        let mut jobs = self.jobs.values().map(|job| &job.explanation);
        let open = jobs.find(|e| *e.request == *request && *e.customer == *customer);
        open.or_else(|| self.ring.find(request, customer)).cloned()
    }
}

impl Job {
    fn kind(&self) -> SloKind {
        match self.work {
            JobWork::Completion(_) => SloKind::Completion,
            JobWork::Call(_) => SloKind::Call,
        }
    }

    fn outcome_of(&self, refused: &Refused) -> SloOutcome {
        let begun = match &self.work {
            JobWork::Completion(work) => work.assembly.delivered() > 0,
            JobWork::Call(_) => false,
        };
        match refused.kind {
            _ if begun => SloOutcome::Cut,
            RefusalKind::Failed
            | RefusalKind::NoEndpoint
            | RefusalKind::OutcomeUnknown
            | RefusalKind::DeadlinePassed => SloOutcome::Engine,
            RefusalKind::StoreDown => SloOutcome::Store,
            _ => SloOutcome::Refused,
        }
    }

    /// Sends the refusal to the caller's connection.
    fn notify(self, refused: Refused) {
        match self.work {
            // These fail if the caller has disconnected. They also fail if it reads too slowly: the
            // channel has no room for the refusal and the response ends without its end mark.
            JobWork::Completion(work) => {
                let _ = work.reply.try_send(CompletionEvent::Refused(refused));
            }
            JobWork::Call(work) => {
                let _ = work.reply.send(Err(refused));
            }
        }
    }
}

fn explanation_of(caller: &Caller, service: &Arc<str>, model: &Arc<str>) -> Explanation {
    Explanation {
        request: caller.id.clone(),
        customer: caller.customer.name.clone(),
        plan: caller.customer.plan.clone(),
        service: service.clone(),
        model: model.clone(),
        outcome: "".into(),
        steps: Vec::new(),
    }
}
