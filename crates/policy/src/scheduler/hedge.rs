//! Hedged attempts: a second attempt while a slow one is still running.

use std::time::Duration;

use agatestair_schema::link::EndpointKind;

use crate::action::Purpose;
use crate::fleet::PoolKey;
use crate::keys::{AttemptKey, RequestKey};
use crate::moment::Moment;
use crate::request::Work;
use crate::scheduler::Scheduler;
use crate::scheduler::place::Task;
use crate::scheduler::state::{Attempt, Request, Stage};
use crate::settings::HedgeRule;

/// Multiple of an engine's usual time to the first token after which an attempt counts as silent.
const SILENT_FACTOR: f64 = 3.0;

/// Part of the time until the deadline after which an attempt without a first token counts as
/// silent, so that further attempts still fit.
const SILENT_FRACTION: u32 = 4;

/// Why a hedged attempt is started.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum HedgeCause {
    /// The running attempt is slow.
    Slow,
    /// No running attempt has begun to answer in time.
    Silent,
}

/// Engine time of a hedged attempt, in seconds.
#[derive(Clone, Copy, Debug)]
struct HedgeWork {
    /// For the prompt.
    prompt: f64,
    /// For the rest of the response.
    output: f64,
}

impl Scheduler {
    /// Starts hedged attempts as the rule requires and the budget allows.
    pub(crate) fn hedge_all(&mut self, now: Moment) {
        let mut candidates = std::mem::take(&mut self.stragglers);
        match self.settings.hedge.rule {
            HedgeRule::Off => return,
            HedgeRule::Progress(_) => {}
            HedgeRule::Fixed(delay) => self.collect_overdue(now, &mut candidates, |_, _| delay),
            HedgeRule::Percentile(quantile) => {
                self.collect_overdue(now, &mut candidates, |ratio, work| match ratio(quantile) {
                    Some(ratio) => Duration::from_secs_f64((ratio * work).min(1e6)),
                    None => Duration::MAX,
                });
            }
        }
        candidates.retain(|key| {
            let open = self.requests.get(*key);
            let progress = matches!(self.settings.hedge.rule, HedgeRule::Progress(_));
            open.is_some_and(|request| {
                let due = request.straggler || !progress;
                due && request.hedges == 0 && request.stage == Stage::Running
            })
        });
        candidates.retain(|key| !self.hedge(now, *key, HedgeCause::Slow));
        if matches!(self.settings.hedge.rule, HedgeRule::Progress(_)) {
            self.stragglers = candidates;
        }
    }

    /// Starts hedged attempts of completions of which no running attempt has begun to answer in time.
    /// Nothing need overtake them: with little traffic, no later request might.
    pub(crate) fn hedge_silent(&mut self, now: Moment) {
        if !matches!(self.settings.hedge.rule, HedgeRule::Progress(_)) {
            return;
        }
        let silent = self.requests.iter().filter(|(_, request)| self.is_silent(now, request));
        let silent: Vec<RequestKey> = silent.map(|(key, _)| key).collect();
        for key in silent {
            self.hedge(now, key, HedgeCause::Silent);
        }
    }

    /// Whether no running attempt of a request has begun to answer in time, and a further one is
    /// allowed.
    fn is_silent(&self, now: Moment, request: &Request) -> bool {
        matches!(request.facts.work, Work::Completion(_))
            && request.stage == Stage::Running
            && !request.live.is_empty()
            && request.attempts + request.hedges < self.settings.max_attempts
            && request.live.iter().all(|key| {
                self.attempts[*key].first.is_none() && self.has_no_progress(now, request, *key)
            })
    }

    /// Whether a running attempt is silent, or has not begun to answer in time.
    pub(crate) fn has_no_progress(&self, now: Moment, request: &Request, key: AttemptKey) -> bool {
        let attempt = &self.attempts[key];
        let waited = now.since(attempt.started);
        attempt.silent || (attempt.first.is_none() && waited >= self.silent_limit(request, attempt))
    }

    /// Time after which an attempt without a first token counts as silent: the plan's target, or
    /// longer at engines that usually take longer, as far as the deadline leaves time.
    fn silent_limit(&self, request: &Request, attempt: &Attempt) -> Duration {
        let slowdown = self.endpoints.get(attempt.endpoint).map_or(1.0, |e| e.slowdown);
        let usual = attempt.expected * self.pools[request.pool].delay * slowdown;
        let usual = Duration::from_secs_f64((usual * SILENT_FACTOR).clamp(0.0, 1e6));
        let left = request.facts.deadline.since(attempt.started);
        self.plans.plan(request.plan).first.max(usual).min(left / SILENT_FRACTION)
    }

    /// Appends the running requests that have taken longer than the `delay` of their cohort.
    fn collect_overdue(
        &self,
        now: Moment,
        candidates: &mut Vec<RequestKey>,
        delay: impl Fn(&dyn Fn(f64) -> Option<f64>, f64) -> Duration,
    ) {
        for pool in self.pools.values() {
            for cohort in &pool.cohorts {
                let quantile = |q: f64| cohort.quantile(q);
                for key in cohort.requests() {
                    let Some(request) = self.requests.get(key) else { continue };
                    let bound = delay(&quantile, request.ticket.work);
                    if now.since(request.started) >= bound {
                        candidates.push(key);
                    }
                }
            }
        }
    }

    /// Marks the requests at slow endpoints as stragglers.
    pub(crate) fn mark_stragglers(&mut self) {
        if !matches!(self.settings.hedge.rule, HedgeRule::Progress(_)) {
            return;
        }
        let bound = self.settings.eject.slow_ratio;
        if self.endpoints.values().all(|endpoint| endpoint.slowdown < bound) {
            return;
        }
        for attempt in self.attempts.values() {
            let slowed = self.endpoints.get(attempt.endpoint).is_some_and(|e| e.slowdown >= bound);
            let Some(request) = self.requests.get_mut(attempt.request).filter(|_| slowed) else {
                continue;
            };
            if !request.straggler && request.hedges == 0 {
                request.straggler = true;
                self.stragglers.push(attempt.request);
            }
        }
    }

    /// Starts a hedged attempt of a request; returns whether it did.
    fn hedge(&mut self, now: Moment, key: RequestKey, cause: HedgeCause) -> bool {
        let request = &self.requests[key];
        let slow = cause == HedgeCause::Slow;
        if !request.idempotent()
            || (slow && (request.live.len() != 1 || !self.is_worthwhile(now, request)))
        {
            return false;
        }
        let is_prefill = |live: &AttemptKey| self.attempts[*live].purpose == Purpose::Prefill;
        if request.live.iter().any(is_prefill) {
            return false;
        }
        let service = request.facts.service.clone();
        let pool = request.pool;
        // An engine may answer a new request although one hangs there.
        let again = cause == HedgeCause::Silent;
        let Some(choice) = self.choose(now, key, Task::Whole, again) else { return false };
        if slow && self.endpoints[choice.endpoint].slowdown >= self.settings.eject.good_ratio {
            return false;
        }
        let charge = self.hedge_work(pool, key, choice.uncached);
        if !self.budgets(&service).hedge.spend(charge.prompt + charge.output) {
            return false;
        }
        self.start(now, key, choice, Purpose::Hedge);
        let request = &mut self.requests[key];
        request.hedges += 1;
        if let Some(attempt) = request.live.last() {
            self.attempts[*attempt].charge = charge.output;
        }
        true
    }

    /// Upper bound of the engine time of a hedged attempt.
    fn hedge_work(&self, pool: PoolKey, key: RequestKey, uncached: u32) -> HedgeWork {
        let request = &self.requests[key];
        let model = &self.settings.engine;
        if self.pools[pool].kind == EndpointKind::Service {
            return HedgeWork { prompt: request.ticket.work, output: 0.0 };
        }
        let rest = f64::from(request.output().saturating_sub(request.tokens));
        HedgeWork {
            prompt: f64::from(uncached) * model.prefill_us / 1e6,
            output: rest * model.token_us() / 1e6,
        }
    }

    /// Whether the remaining time of the running attempt is at least `benefit` times the expected
    /// time of a new one.
    fn is_worthwhile(&self, now: Moment, request: &Request) -> bool {
        let benefit = self.settings.hedge.benefit;
        if benefit <= 0.0 {
            return true;
        }
        let attempt = &self.attempts[request.live[0]];
        let pool = &self.pools[request.pool];
        let model = &self.settings.engine;
        let elapsed = now.since(attempt.started).as_secs_f64();
        let rest = f64::from(request.output().saturating_sub(request.tokens));
        let slowdown =
            self.endpoints.get(attempt.endpoint).map_or(20.0, |endpoint| endpoint.slowdown);
        let prefill = f64::from(request.prompt()) * model.prefill_us / 1e6;
        let elsewhere = prefill + (rest + 1.0) * pool.token_secs;
        let here = match attempt.first {
            None => {
                elapsed.max(attempt.expected * pool.delay * slowdown - elapsed)
                    + rest * pool.token_secs * slowdown
            }
            Some(first) => {
                let streamed = now.since(first).as_secs_f64();
                let own = streamed / (f64::from(attempt.tokens) + 0.5);
                rest * own.max(pool.token_secs * slowdown * 0.5)
            }
        };
        here >= elsewhere * benefit
    }
}
