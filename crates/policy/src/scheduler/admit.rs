//! Admission of requests.

use std::time::Duration;

use agatestair_schema::settings::PolicyName;
use slotmap::Key;

use crate::action::{Refusal, RefusalCode};
use crate::fleet::{PoolKey, Route};
use crate::keys::RequestKey;
use crate::moment::Moment;
use crate::queue::{PlanQueue, Ticket};
use crate::request::{RequestFacts, Work};
use crate::scheduler::Scheduler;
use crate::scheduler::state::{Request, Stage};
use crate::size::SizeClass;

/// Engine time counted for a call of a plain service, in seconds.
const CALL_WORK: f64 = 0.02;

/// Fraction of the work of longer requests that is expected to be served before a shorter one.
const LONGER_FRACTION: f64 = 0.25;

/// Fraction of the longest useful wait up to which a predicted wait is accepted.
const ADMIT_FRACTION: f64 = 0.7;

/// Fraction of the plan's time-to-first-token target that every request may wait at least.
const MIN_WAIT_FRACTION: f64 = 0.4;

/// Estimated cost and duration of a request.
#[derive(Clone, Copy, Debug)]
struct Estimate {
    pool: PoolKey,
    route: Route,
    /// Prompt tokens to process.
    uncached: u32,
    /// Engine time in seconds.
    work: f64,
    /// Time to the first token once dispatched, in seconds.
    first: f64,
    /// Time to the end once dispatched, in seconds.
    whole: f64,
}

impl Scheduler {
    /// Admits a request, see [`Scheduler::submit`].
    pub(crate) fn admit(
        &mut self,
        now: Moment,
        facts: RequestFacts,
    ) -> Result<RequestKey, Refusal> {
        let plan = self.check_permission(&facts)?;
        let pool = self.check_pool(&facts)?;
        let customer = self.intern_customer(&facts.customer);
        let expected = self.estimate(pool, &facts);
        if let Work::Completion(work) = &facts.work {
            self.plans.plan_mut(plan).demand.note_requested(work.prompt_tokens, work.max_tokens);
        }
        let class = SizeClass::of(expected.work);
        if matches!(facts.work, Work::Completion(_)) {
            self.mix.note(now, expected.work, self.is_long(expected.uncached));
        }
        let request = RequestKey::null();
        let ticket = Ticket { request, customer, class, work: expected.work, arrived: now };
        if self.settings.policy == PolicyName::Own {
            self.check_bounds(now, plan, &ticket, expected)?;
            self.check_wait(now, &facts, plan, &ticket, expected)?;
        } else if facts.deadline <= now {
            return Err(self.refusal(now, pool, RefusalCode::TooLate, expected.work));
        }
        Ok(self.enqueue_new(now, facts, plan, ticket, expected))
    }

    fn check_permission(&self, facts: &RequestFacts) -> Result<usize, Refusal> {
        let refusal = Refusal { code: RefusalCode::NotAllowed, retry_after: None };
        let plan = self.plans.find(&facts.plan).ok_or(refusal)?;
        let allowed = self.has_lists && self.plans.plan(plan).allows(facts);
        if allowed { Ok(plan) } else { Err(refusal) }
    }

    fn check_pool(&self, facts: &RequestFacts) -> Result<PoolKey, Refusal> {
        let model = match facts.work {
            Work::Completion(_) => &*facts.model,
            Work::Call(_) => "",
        };
        let pool = self.find_pool(&facts.service, model);
        let pool = pool.filter(|pool| !self.pools[*pool].members.is_empty());
        let retry_after = Some(self.settings.retry_after);
        pool.ok_or(Refusal { code: RefusalCode::NoEndpoint, retry_after })
    }

    fn estimate(&self, pool: PoolKey, facts: &RequestFacts) -> Estimate {
        let Work::Completion(work) = &facts.work else {
            let whole = self.pools[pool].token_secs;
            let route = Route::Whole;
            return Estimate { pool, route, uncached: 0, work: CALL_WORK, first: whole, whole };
        };
        let model = &self.settings.engine;
        let uncached = self.least_uncached(&work.blocks, work.prompt_tokens);
        let prefill = f64::from(uncached) * model.prefill_us / 1e6;
        let times = self.speed.nominal(uncached, work.max_tokens);
        let first = prefill + model.step_us / 1e6;
        let whole = first + f64::from(work.max_tokens) * self.pools[pool].token_secs;
        let route = self.route(pool, uncached);
        Estimate { pool, route, uncached, work: times.prefill + times.decode, first, whole }
    }

    /// Refuses a request if its plan's queue or its customer's part of it is full.
    fn check_bounds(
        &mut self,
        now: Moment,
        plan: usize,
        ticket: &Ticket,
        expected: Estimate,
    ) -> Result<(), Refusal> {
        let bound = self.plans.plan(plan).max_queue;
        let settings = &self.settings.queue;
        let (fraction, least) = (settings.customer_fraction, settings.customer_min);
        let queue = self.pools[expected.pool].queue(expected.route).plan(plan);
        let others = queue.customers().max(1);
        let even = f64::from(bound) * fraction * 2.0 / f64::from(others + 1);
        let customer_bound = (even as u32).max(least);
        let full = queue.count() >= bound || queue.count_of(ticket.customer) >= customer_bound;
        if full {
            return Err(self.refusal(now, expected.pool, RefusalCode::QueueFull, expected.work));
        }
        Ok(())
    }

    /// Refuses a request that cannot be on time.
    fn check_wait(
        &mut self,
        now: Moment,
        facts: &RequestFacts,
        plan: usize,
        ticket: &Ticket,
        expected: Estimate,
    ) -> Result<(), Refusal> {
        let wait = self.predicted_wait(now, plan, ticket, expected);
        let start = now + Duration::from_secs_f64(wait);
        let end = start + Duration::from_secs_f64(expected.whole);
        let bound = self.wait_bound(facts, plan, expected.first);
        if start > now + bound.mul_f64(ADMIT_FRACTION) || end > facts.deadline {
            return Err(self.refusal(now, expected.pool, RefusalCode::TooLate, expected.work));
        }
        Ok(())
    }

    /// Longest useful wait of a request; `first` is its time to the first token, in seconds.
    fn wait_bound(&self, facts: &RequestFacts, plan: usize, first: f64) -> Duration {
        match facts.work {
            Work::Call(_) => facts.deadline.since(Moment::default()),
            Work::Completion(_) => {
                let target = self.plans.plan(plan).first.as_secs_f64();
                let late = target * self.settings.queue.late_factor;
                Duration::from_secs_f64((late - first).max(target * MIN_WAIT_FRACTION))
            }
        }
    }

    /// Expected wait in seconds: the work ahead at the pool's drain rate, or the plan's own work
    /// ahead at its guaranteed fraction of that rate, whichever is shorter.
    fn predicted_wait(&self, now: Moment, plan: usize, ticket: &Ticket, expected: Estimate) -> f64 {
        let pool = &self.pools[expected.pool];
        let queue = pool.peek(expected.route);
        if queue.count() == 0 {
            return 0.0;
        }
        let state = self.plans.plan(plan);
        let higher = self.plans.order().iter().take_while(|other| **other != plan);
        let higher: f64 = higher.filter_map(|other| queue.peek(*other)).map(PlanQueue::work).sum();
        let own = queue.peek(plan).map_or(0.0, |queue| {
            let before = queue.work_up_to(ticket.class);
            let ahead = before + (queue.work() - before) * LONGER_FRACTION;
            let turns = f64::from(queue.count_of(ticket.customer) + 1) * ticket.work;
            ahead.min(turns * f64::from(queue.customers() + 1) + queue.work() * LONGER_FRACTION)
        });
        let rate = pool.drain.rate(self.expected_rate(expected.pool));
        let share = state.account.share(now, self.plans.fallback_share()) * state.fleet_share;
        let fraction = (share / self.plans.demand_fraction()).clamp(0.0, 1.0);
        let alone = if fraction > 0.0 { own / (rate * fraction) } else { f64::MAX };
        ((higher + own) / rate).min(alone).min(1e6)
    }

    /// Engine time per second that a pool is expected to take from this entry.
    pub(crate) fn expected_rate(&self, pool: PoolKey) -> f64 {
        self.pools[pool].capacity * self.plans.demand_fraction()
    }

    fn enqueue_new(
        &mut self,
        now: Moment,
        facts: RequestFacts,
        plan: usize,
        ticket: Ticket,
        expected: Estimate,
    ) -> RequestKey {
        let late = match self.settings.policy {
            PolicyName::Own => now + self.wait_bound(&facts, plan, expected.first),
            _ => facts.deadline,
        };
        let expiry = late.min(facts.deadline);
        let request = Request {
            facts,
            plan,
            pool: expected.pool,
            route: expected.route,
            ticket,
            stage: Stage::Queued,
            expiry,
            attempts: 0,
            live: Vec::new(),
            tokens: 0,
            first: None,
            started: now,
            position: None,
            straggler: false,
            hedges: 0,
            failed: Vec::new(),
        };
        let key = self.requests.insert(request);
        self.requests[key].ticket.request = key;
        self.enqueue(key);
        key
    }

    /// Appends a request to its queue.
    pub(crate) fn enqueue(&mut self, key: RequestKey) {
        let request = &mut self.requests[key];
        request.stage = Stage::Queued;
        self.expiries.insert((request.expiry, key));
        if self.settings.policy != PolicyName::Own {
            self.arrivals.push_back(key);
            return;
        }
        let queue = self.pools[request.pool].queue(request.route);
        queue.plan(request.plan).push(request.ticket);
        queue.increment();
    }

    /// Creates a refusal with a time to retry after.
    pub(crate) fn refusal(
        &mut self,
        now: Moment,
        pool: PoolKey,
        code: RefusalCode,
        work: f64,
    ) -> Refusal {
        let rate = self.pools[pool].drain.rate(self.expected_rate(pool));
        let planner = self.retry_planners.entry(pool).or_default();
        let least = self.settings.retry_after;
        let wait = planner.next(now, least, work / rate, &mut self.random);
        Refusal { code, retry_after: Some(wait) }
    }
}
