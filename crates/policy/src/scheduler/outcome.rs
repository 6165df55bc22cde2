//! Progress and end of attempts, and end of requests.

use agatestair_schema::settings::PolicyName;

use crate::action::{Action, AttemptEnd, Purpose, RefusalCode};
use crate::keys::{AttemptKey, EndpointKey, RequestKey};
use crate::moment::Moment;
use crate::scheduler::Scheduler;
use crate::scheduler::state::{Attempt, Stage};
use crate::settings::HedgeRule;
use crate::straggler::Milestone;

impl Scheduler {
    /// Records arrived tokens, see [`Scheduler::note_tokens`].
    pub(crate) fn tokens_arrived(&mut self, now: Moment, key: AttemptKey, tokens: u32) {
        let Some(attempt) = self.attempts.get_mut(key) else { return };
        attempt.tokens += tokens;
        attempt.silent = false;
        let endpoint = attempt.endpoint;
        let request = attempt.request;
        let first = attempt.first.is_none();
        if first {
            attempt.first = Some(now);
        }
        if let Some(endpoint) = self.endpoints.get_mut(endpoint) {
            endpoint.tokens += u64::from(tokens);
        }
        if first {
            self.first_arrived(now, key);
        }
        self.note_stream(now, key, tokens);
        let reached = self.attempts[key].reached();
        self.dequeue(request);
        let Some(request_state) = self.requests.get_mut(request) else { return };
        request_state.tokens = request_state.tokens.max(reached);
        if request_state.first.is_none() {
            request_state.first = Some(now);
            request_state.straggler = false;
            self.note_milestone(request, Milestone::First);
        }
        if self.requests[request].live.len() > 1 {
            self.cancel_overtaken(now, request, key, reached);
        }
    }

    /// Records the streaming time and tokens of an attempt since its last tokens arrived.
    fn note_stream(&mut self, now: Moment, key: AttemptKey, tokens: u32) {
        let attempt = &mut self.attempts[key];
        let Some(endpoint) = self.endpoints.get_mut(attempt.endpoint) else { return };
        if attempt.cancelled {
            return;
        }
        let Some(last) = attempt.streaming.replace(now) else {
            endpoint.streams.add(now);
            return;
        };
        endpoint.streams.advance(last, now);
        let secs = now.since(last).as_secs_f64();
        let model = &self.settings.engine;
        let streaming = endpoint.streaming(now, model, secs, f64::from(tokens));
        endpoint.health.note_streaming(now, streaming);
    }

    /// Stops counting an attempt as streaming.
    fn end_stream(&mut self, key: AttemptKey) {
        let Some(attempt) = self.attempts.get_mut(key) else { return };
        let Some(last) = attempt.streaming.take() else { return };
        if let Some(endpoint) = self.endpoints.get_mut(attempt.endpoint) {
            endpoint.streams.remove(last);
        }
    }

    /// Updates load, pace and cache map when the first token of an attempt arrives.
    fn first_arrived(&mut self, now: Moment, key: AttemptKey) {
        self.release_prefill(now, key);
        let attempt = &self.attempts[key];
        let secs = now.since(attempt.started).as_secs_f64();
        let endpoint = attempt.endpoint;
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.health.note_delay(secs / attempt.expected.max(1e-4));
        }
        let model = &mut self.settings.engine;
        let prompt = f64::from(attempt.prompt) * model.prefill_us;
        if prompt > model.step_us / 2.0 && attempt.purpose != Purpose::Prefill {
            self.speed.note_first(model, secs / attempt.expected);
        }
        if let Some(request) = self.requests.get(attempt.request) {
            for block in request.blocks() {
                self.cache.store(*block, endpoint);
            }
        }
    }

    /// Subtracts an attempt's prompt from the endpoint's prefill backlog.
    fn release_prefill(&mut self, now: Moment, key: AttemptKey) {
        let attempt = &mut self.attempts[key];
        let prefill = std::mem::take(&mut attempt.prefill);
        let endpoint = attempt.endpoint;
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.prefill = state.prefill.saturating_sub(u64::from(prefill));
            state.note_open(now);
        }
        self.refresh(now, endpoint);
    }

    /// Records in its cohort that a request reached a milestone, and marks the stragglers that
    /// follow from it.
    fn note_milestone(&mut self, key: RequestKey, milestone: Milestone) {
        let HedgeRule::Progress(limit) = self.settings.hedge.rule else { return };
        let request = &self.requests[key];
        let Some(position) = request.position else { return };
        let cohort = &mut self.pools[request.pool].cohorts[request.ticket.class.index()];
        let mut stragglers = Vec::new();
        cohort.advance(position, milestone, limit, &mut stragglers);
        for key in stragglers {
            let Some(request) = self.requests.get_mut(key) else { continue };
            if !request.straggler && request.hedges == 0 {
                request.straggler = true;
                self.stragglers.push(key);
            }
        }
    }

    /// Cancels the attempts that the later attempt `leader` has overtaken.
    fn cancel_overtaken(
        &mut self,
        now: Moment,
        request: RequestKey,
        leader: AttemptKey,
        reached: u32,
    ) {
        let started = self.attempts[leader].started;
        let live = self.requests[request].live.clone();
        for key in live.into_iter().filter(|key| *key != leader) {
            let attempt = &self.attempts[key];
            let later = started >= attempt.started;
            if later && reached >= attempt.reached() {
                if attempt.silent {
                    self.note_failure(now, attempt.endpoint);
                }
                self.cancel(key);
                self.refund_hedge(leader);
            }
        }
    }

    /// Refunds the hedge budget that a hedged attempt did not use, or that it uses in place of the
    /// cancelled first attempt.
    fn refund_hedge(&mut self, key: AttemptKey) {
        let Some(attempt) = self.attempts.get_mut(key) else { return };
        let used = f64::from(attempt.tokens) * self.settings.engine.token_us() / 1e6;
        let refund = std::mem::take(&mut attempt.charge) - used;
        let Some(request) = self.requests.get(attempt.request) else { return };
        let service = request.facts.service.clone();
        self.budgets(&service).hedge.refund(refund);
    }

    /// Requests the cancellation of an attempt.
    pub(crate) fn cancel(&mut self, key: AttemptKey) {
        if let Some(attempt) = self.attempts.get_mut(key).filter(|attempt| !attempt.cancelled) {
            attempt.cancelled = true;
            self.outbox.push(Action::Cancel { attempt: key });
            self.end_stream(key);
        }
    }

    /// Records a processed prompt, see [`Scheduler::note_prefilled`].
    pub(crate) fn prompt_processed(&mut self, now: Moment, key: AttemptKey) {
        let Some(attempt) = self.attempts.get(key) else { return };
        let request = attempt.request;
        if attempt.purpose != Purpose::Prefill || attempt.first.is_some() {
            return;
        }
        self.attempts[key].first = Some(now);
        self.first_arrived(now, key);
        self.dequeue(request);
        let Some(state) = self.requests.get_mut(request) else { return };
        state.live.retain(|live| *live != key);
        let attempts = &self.attempts;
        let goes_on = |live: &AttemptKey| {
            !attempts[*live].silent && attempts[*live].purpose != Purpose::Prefill
        };
        if state.live.iter().any(goes_on) {
            return;
        }
        state.stage = Stage::Handoff;
        state.expiry = state.facts.deadline;
        self.expiries.insert((state.expiry, request));
        self.pools[state.pool].handoff.push_back(request);
    }

    /// Records the end of an attempt, see [`Scheduler::note_end`].
    pub(crate) fn attempt_ended(&mut self, now: Moment, key: AttemptKey, end: AttemptEnd) {
        if !self.attempts.contains_key(key) {
            return;
        }
        if end == AttemptEnd::Done && self.attempts[key].purpose == Purpose::Prefill {
            self.prompt_processed(now, key);
        }
        self.release_prefill(now, key);
        self.refund_hedge(key);
        self.end_stream(key);
        let Some(attempt) = self.attempts.remove(key) else { return };
        self.release_endpoint(now, &attempt, end);
        let Some(request) = self.requests.get_mut(attempt.request) else { return };
        request.live.retain(|live| *live != key);
        if attempt.purpose == Purpose::Prefill && attempt.first.is_some() {
            return;
        }
        match end {
            AttemptEnd::Done => self.request_done(now, &attempt),
            AttemptEnd::NotRun | AttemptEnd::Failed | AttemptEnd::Cancelled => {
                self.attempt_failed(now, &attempt, end);
            }
        }
    }

    fn release_endpoint(&mut self, now: Moment, attempt: &Attempt, end: AttemptEnd) {
        let Some(endpoint) = self.endpoints.get_mut(attempt.endpoint) else { return };
        endpoint.open = endpoint.open.saturating_sub(1);
        endpoint.note_open(now);
        let failed = matches!(end, AttemptEnd::NotRun | AttemptEnd::Failed) && !attempt.cancelled;
        if failed {
            self.note_failure(now, attempt.endpoint);
        } else if end == AttemptEnd::Done && attempt.first.is_none() {
            let secs = now.since(attempt.started).as_secs_f64();
            endpoint.health.note_delay(secs / attempt.expected.max(1e-4));
        }
        self.refresh(now, attempt.endpoint);
    }

    fn note_failure(&mut self, now: Moment, key: EndpointKey) {
        let Some(endpoint) = self.endpoints.get_mut(key) else { return };
        endpoint.failures += 1;
        if endpoint.health.note_failure() {
            self.eject(now, key);
        }
    }

    fn request_done(&mut self, now: Moment, attempt: &Attempt) {
        let key = attempt.request;
        let request = &self.requests[key];
        let whole = now.since(request.started).as_secs_f64();
        let expected = request.ticket.work.max(1e-4);
        let unused = request.output().saturating_sub(attempt.reached());
        let unused = f64::from(unused) * self.settings.engine.token_us() / 1e6;
        self.plans.plan_mut(request.plan).account.draw(0.0, -unused);
        let cohort = &mut self.pools[request.pool].cohorts[request.ticket.class.index()];
        cohort.note_time(whole / expected);
        self.note_milestone(key, Milestone::Done);
        self.remove_request(key);
    }

    fn attempt_failed(&mut self, now: Moment, attempt: &Attempt, end: AttemptEnd) {
        let key = attempt.request;
        let request = &mut self.requests[key];
        if !attempt.cancelled {
            request.failed.push(attempt.endpoint);
        }
        let waits = request.stage != Stage::Running;
        if waits || request.live.iter().any(|live| !self.attempts[*live].cancelled) {
            return;
        }
        if attempt.tokens > 0 {
            // The limit counts only attempts without progress, so that a long stream can be
            // continued any number of times.
            request.attempts = 0;
        }
        let may_run = end == AttemptEnd::NotRun || request.idempotent();
        let more = request.attempts < self.settings.max_attempts && may_run;
        let service = request.facts.service.clone();
        if !more || !self.budgets(&service).retry.spend(1.0) {
            self.refuse(now, key, RefusalCode::Failed);
            return;
        }
        self.requests[key].expiry = self.requests[key].facts.deadline;
        self.enqueue(key);
    }

    /// Refuses a request and removes it.
    pub(crate) fn refuse(&mut self, now: Moment, key: RequestKey, code: RefusalCode) {
        let Some(request) = self.requests.get(key) else { return };
        let (pool, work) = (request.pool, request.ticket.work);
        let refusal = self.refusal(now, pool, code, work);
        self.remove_request(key);
        self.outbox.push(Action::Refuse { request: key, refusal });
    }

    /// Removes a request and cancels its attempts.
    pub(crate) fn remove_request(&mut self, key: RequestKey) {
        let Some(request) = self.requests.remove(key) else { return };
        for attempt in &request.live {
            self.cancel(*attempt);
        }
        let pool = &mut self.pools[request.pool];
        if let Some(position) = request.position {
            pool.cohorts[request.ticket.class.index()].remove(position);
        }
        if request.stage != Stage::Running {
            self.expiries.remove(&(request.expiry, key));
        }
        if request.stage == Stage::Queued && self.settings.policy == PolicyName::Own {
            let queue = pool.queue(request.route);
            queue.plan(request.plan).uncount(&request.ticket);
            queue.decrement();
        }
    }

    /// Records that an attempt is silent, see [`Scheduler::note_silent`].
    pub(crate) fn attempt_silent(&mut self, key: AttemptKey) {
        let Some(attempt) = self.attempts.get_mut(key) else { return };
        attempt.silent = true;
        let Some(request) = self.requests.get_mut(attempt.request) else { return };
        if attempt.tokens > 0 {
            request.attempts = 0;
        }
        if !self.silent.contains(&attempt.request) {
            self.silent.push(attempt.request);
        }
    }

    /// Lets the requests wait for a further attempt of which all running attempts are silent.
    pub(crate) fn enqueue_silent(&mut self, now: Moment) {
        let mut silent = std::mem::take(&mut self.silent);
        silent.retain(|key| {
            let request = self.requests.get(*key);
            request
                .is_some_and(|request| request.live.iter().any(|live| self.attempts[*live].silent))
        });
        for key in &silent {
            let request = &self.requests[*key];
            let may_run = request.stage == Stage::Running
                && request.idempotent()
                && request.attempts < self.settings.max_attempts;
            let stuck = |live: &AttemptKey| self.has_no_progress(now, request, *live);
            if !may_run || !request.live.iter().all(stuck) {
                continue;
            }
            let service = request.facts.service.clone();
            if self.budgets(&service).retry.spend(1.0) {
                self.requests[*key].expiry = self.requests[*key].facts.deadline;
                self.enqueue(*key);
            }
        }
        self.silent = silent;
    }

    /// Takes a request out of its queue whose silent attempt goes on.
    fn dequeue(&mut self, key: RequestKey) {
        let Some(request) = self.requests.get_mut(key) else { return };
        let stage = std::mem::replace(&mut request.stage, Stage::Running);
        if stage == Stage::Running {
            return;
        }
        self.expiries.remove(&(request.expiry, key));
        if stage == Stage::Handoff {
            return;
        }
        if self.settings.policy == PolicyName::Own {
            let queue = self.pools[request.pool].queue(request.route);
            queue.plan(request.plan).uncount(&request.ticket);
            queue.decrement();
        } else {
            self.arrivals.retain(|waiting| *waiting != key);
        }
        let service = request.facts.service.clone();
        self.budgets(&service).retry.refund(1.0);
    }
}
