//! Selection of the next request, and the start of attempts.

use std::cmp::Reverse;

use agatestair_schema::link::EndpointKind;
use agatestair_schema::settings::PolicyName;

use crate::action::{Action, Purpose, RefusalCode};
use crate::fleet::{PoolKey, Route};
use crate::keys::RequestKey;
use crate::moment::Moment;
use crate::queue::Ticket;
use crate::request::Work;
use crate::scheduler::Scheduler;
use crate::scheduler::place::{Choice, Task};
use crate::scheduler::state::{Attempt, Stage};
use crate::shares::PrefillSplit;
use crate::size::CLASSES;

/// Upper bound of [`Scheduler::efficiency`].
const MAX_EFFICIENCY: f64 = 4.0;

/// The request to dispatch next.
#[derive(Clone, Copy, Debug)]
struct Turn {
    ticket: Ticket,
    /// Whether its plan is within its share.
    within: bool,
}

/// Rank of a plan's requests among those of other plans; the highest goes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct TurnRank {
    /// Whether the plan is within its share.
    within: bool,
    priority: u32,
}

/// The queue to dispatch from next.
#[derive(Clone, Copy, Debug)]
struct QueueTurn {
    pool: PoolKey,
    route: Route,
    task: Task,
    rank: TurnRank,
}

impl Scheduler {
    /// Starts all waiting requests of all pools that can start now.
    pub(crate) fn dispatch_all(&mut self, now: Moment) {
        self.refill_accounts(now);
        let pools: Vec<PoolKey> = self.pools.keys().collect();
        for pool in &pools {
            self.dispatch_handoffs(now, *pool);
        }
        while let Some(queue) = self.next_queue(&pools) {
            if !self.dispatch_next(now, queue) {
                break;
            }
        }
        for pool in pools {
            let pool = &mut self.pools[pool];
            let full = pool.is_full();
            pool.drain.advance(now, full);
        }
    }

    fn refill_accounts(&mut self, now: Moment) {
        let split = self.prefill_split();
        let engines = self.plans.engines(self.engines);
        let efficiency = self.efficiency();
        let fallback = self.plans.fallback_share();
        for plan in self.plans.iter_mut() {
            // A plan that may not use idle shares is limited to its share at the nominal speed.
            let factor = if plan.borrow { efficiency } else { efficiency.min(1.0) };
            let rate = plan.fleet_share * plan.account.share(now, fallback) * engines * factor;
            plan.account.refill(now, rate, split);
        }
    }

    /// Ratio of the engine time that full pools take from this entry to its fraction of the
    /// engines.
    fn efficiency(&self) -> f64 {
        let (mut expected, mut real) = (0.0, 0.0);
        for (key, pool) in &self.pools {
            if pool.kind == EndpointKind::Engine {
                expected += pool.capacity * self.plans.own_fraction();
                real += pool.drain.rate(self.expected_rate(key));
            }
        }
        if expected > 0.0 { (real / expected).clamp(0.02, MAX_EFFICIENCY) } else { 1.0 }
    }

    fn prefill_split(&self) -> PrefillSplit {
        let whole: u32 = self.pools.values().map(|pool| pool.whole_count).sum();
        let prefill: u32 = self.pools.values().map(|pool| pool.prefill_count).sum();
        if prefill == 0 {
            return PrefillSplit { prefill: 0.5, separate: false };
        }
        let fraction = f64::from(prefill) / f64::from(prefill + whole);
        PrefillSplit { prefill: fraction, separate: whole > 0 }
    }

    fn dispatch_handoffs(&mut self, now: Moment, pool: PoolKey) {
        while let Some(key) = self.pools[pool].handoff.front().copied() {
            let waits = self.requests.get(key).is_some_and(|r| r.stage == Stage::Handoff);
            if waits {
                let Some(choice) = self.choose(now, key, Task::Decode, true) else { return };
                self.expiries.remove(&(self.requests[key].expiry, key));
                self.start(now, key, choice, Purpose::First);
            }
            self.pools[pool].handoff.pop_front();
        }
    }

    /// Selects the next queue among those of all pools for which an endpoint has room, by share and
    /// priority as within a queue. Pools of equal rank take turns.
    fn next_queue(&self, pools: &[PoolKey]) -> Option<QueueTurn> {
        let split = self.prefill_split();
        let routes = [Route::Whole, Route::Long, Route::Split];
        let queues = pools.iter().flat_map(|pool| routes.map(|route| (*pool, route)));
        let turns = queues.filter_map(|(pool, route)| {
            let task = self.available_task(pool, route)?;
            let rank = self.head_rank(pool, route, split)?;
            Some(QueueTurn { pool, route, task, rank })
        });
        turns.max_by_key(|turn| (turn.rank, Reverse(self.pools[turn.pool].last_turn)))
    }

    /// Rank of the plan of a queue's next request.
    fn head_rank(&self, pool: PoolKey, route: Route, split: PrefillSplit) -> Option<TurnRank> {
        let pool = &self.pools[pool];
        let queue = pool.peek(route);
        if queue.count() == 0 {
            return None;
        }
        let waiting = |index: &&usize| queue.peek(**index).is_some_and(|plan| plan.count() > 0);
        let rank = |index: &usize| {
            let plan = self.plans.plan(*index);
            let within = pool.kind == EndpointKind::Service || plan.account.within(split);
            let allowed = within || plan.borrow;
            allowed.then_some(TurnRank { within, priority: plan.priority })
        };
        self.plans.order().iter().filter(waiting).filter_map(rank).max()
    }

    /// Starts the next request of a queue; returns whether dispatch should continue.
    fn dispatch_next(&mut self, now: Moment, queue: QueueTurn) -> bool {
        let QueueTurn { pool, route, task, .. } = queue;
        let Some(turn) = self.next_turn(now, pool, route) else { return false };
        self.turn += 1;
        self.pools[pool].last_turn = self.turn;
        let key = turn.ticket.request;
        let Some(choice) = self.choose(now, key, task, true) else {
            let stuck = self.reroute(key, pool, route);
            self.enqueue(key);
            return !stuck;
        };
        self.draw(key, choice, turn.within);
        let purpose = match task {
            Task::Prefill => Purpose::Prefill,
            _ if self.requests[key].attempts > 0 => Purpose::Retry,
            _ => Purpose::First,
        };
        self.start(now, key, choice, purpose);
        true
    }

    /// Changes the route of a request that no endpoint with room can serve whole to
    /// [`Route::Split`]; returns whether that is not possible.
    fn reroute(&mut self, key: RequestKey, pool: PoolKey, route: Route) -> bool {
        let split = route != Route::Split && self.pools[pool].prefill_count > 0;
        if split {
            self.requests[key].route = Route::Split;
        }
        !split
    }

    /// The part of the next request of a route that can start now, if any endpoint has room.
    fn available_task(&self, pool: PoolKey, route: Route) -> Option<Task> {
        let pool = &self.pools[pool];
        let whole = !pool.whole.is_empty();
        match route {
            Route::Whole => whole.then_some(Task::Whole),
            Route::Long => (!pool.unreserved.is_empty()).then_some(Task::Whole),
            Route::Split if !pool.prefill.is_empty() => Some(Task::Prefill),
            Route::Split if pool.prefill_count == 0 && whole => Some(Task::Whole),
            Route::Split if pool.mixed_count > 0 && whole && pool.queue.count() == 0 => {
                Some(Task::Whole)
            }
            Route::Split => None,
        }
    }

    /// Removes the next request from its queue: plans within their share go first, by priority,
    /// then plans that may use idle shares, by priority.
    fn next_turn(&mut self, now: Moment, pool: PoolKey, route: Route) -> Option<Turn> {
        let split = self.prefill_split();
        let age_fraction = self.settings.queue.age_fraction;
        let pool = &mut self.pools[pool];
        let calls = pool.kind == EndpointKind::Service;
        let queue = pool.queue(route);
        for borrowing in [false, true] {
            for index in self.plans.order() {
                let plan = self.plans.plan(*index);
                let within = calls || plan.account.within(split);
                let allowed = if borrowing { plan.borrow && !within } else { within };
                if !allowed || queue.peek(*index).is_none_or(|queue| queue.count() == 0) {
                    continue;
                }
                let requests = &self.requests;
                let gone =
                    |key| requests.get(key).is_none_or(|request| request.stage != Stage::Queued);
                let bound = plan.first.mul_f64(age_fraction);
                if let Some(ticket) = queue.plan(*index).pop(now, bound, &gone) {
                    queue.decrement();
                    self.expiries.remove(&(requests[ticket.request].expiry, ticket.request));
                    return Some(Turn { ticket, within });
                }
            }
        }
        None
    }

    /// Charges a request to its plan's account.
    fn draw(&mut self, key: RequestKey, choice: Choice, within: bool) {
        let request = &self.requests[key];
        let pool = &mut self.pools[request.pool];
        pool.drain.note(request.ticket.work);
        let Work::Completion(work) = &request.facts.work else { return };
        let times = self.speed.nominal(choice.uncached, work.max_tokens);
        let plan = self.plans.plan_mut(request.plan);
        if within {
            plan.account.draw(times.prefill, times.decode);
        } else {
            plan.account.borrow(times.prefill, times.decode);
        }
        plan.demand.note_dispatched(choice.uncached, work.max_tokens);
    }

    /// Starts an attempt.
    pub(crate) fn start(&mut self, now: Moment, key: RequestKey, choice: Choice, purpose: Purpose) {
        let request = &mut self.requests[key];
        let attempt = self.attempts.insert(Attempt {
            request: key,
            endpoint: choice.endpoint,
            purpose,
            started: now,
            offset: request.tokens,
            tokens: 0,
            prefill: choice.uncached,
            prompt: choice.uncached,
            first: None,
            expected: choice.expected,
            cancelled: false,
            silent: false,
            streaming: None,
            charge: 0.0,
        });
        request.live.push(attempt);
        request.stage = Stage::Running;
        if purpose != Purpose::Hedge {
            request.attempts += 1;
            request.started = now;
        }
        if request.position.is_none() {
            let cohort = &mut self.pools[request.pool].cohorts[request.ticket.class.index()];
            request.position = Some(cohort.start(key));
        }
        if matches!(purpose, Purpose::First | Purpose::Prefill) {
            let (work, service) = (request.ticket.work, request.facts.service.clone());
            let budgets = self.budgets(&service);
            budgets.retry.earn(1.0);
            budgets.hedge.earn(work);
        }
        let priority = self.engine_priority(key);
        let endpoint = &mut self.endpoints[choice.endpoint];
        endpoint.open += 1;
        endpoint.prefill += u64::from(choice.uncached);
        endpoint.note_open(now);
        self.outbox.push(Action::Start {
            request: key,
            attempt,
            endpoint: choice.endpoint,
            name: endpoint.name.clone(),
            address: endpoint.address.clone(),
            purpose,
            priority,
        });
        self.refresh(now, choice.endpoint);
    }

    /// Priority at the engine: by plan, and within a plan shorter requests first.
    fn engine_priority(&self, key: RequestKey) -> u32 {
        let request = &self.requests[key];
        let plan = self.plans.plan(request.plan).priority;
        if self.settings.policy != PolicyName::Own {
            return plan;
        }
        let classes = u32::try_from(CLASSES).unwrap_or(u32::MAX);
        let class = u32::try_from(request.ticket.class.index()).unwrap_or(0);
        plan.saturating_mul(classes).saturating_add(classes - 1 - class)
    }

    /// Refuses waiting requests that have expired.
    pub(crate) fn refuse_expired(&mut self, now: Moment) {
        while let Some((at, key)) = self.expiries.first().copied() {
            if at > now {
                return;
            }
            self.expiries.pop_first();
            self.refuse(now, key, RefusalCode::TooLate);
        }
    }
}
