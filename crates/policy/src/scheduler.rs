//! The scheduler of one entry process.

mod admit;
mod baseline;
mod dispatch;
mod fleet_update;
mod hedge;
mod observe;
mod outcome;
mod place;
mod state;

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use agatestair_schema::link::{CacheBatch, FleetView, Observation, PlanDemand, ShareGrant};
use agatestair_schema::lists::Lists;
use agatestair_schema::settings::PolicyName;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use slotmap::SlotMap;

use crate::action::{Action, AttemptEnd, Refusal};
use crate::admission::RetryAfterPlanner;
use crate::budget::Budget;
use crate::cache_map::CacheMap;
use crate::fleet::{Endpoint, Pool, PoolKey};
use crate::keys::{AttemptKey, EndpointKey, RequestKey};
use crate::mix::WorkMix;
use crate::moment::Moment;
use crate::plans::PlanTable;
use crate::queue::PlanQueue;
use crate::request::RequestFacts;
use crate::scheduler::fleet_update::PoolNames;
use crate::scheduler::state::{Attempt, Request};
use crate::settings::SchedulerSettings;
use crate::speed::SpeedEstimator;

/// Interval at which pace, stragglers and room are evaluated.
const TICK: Duration = Duration::from_millis(20);

/// Interval at which the endpoints' room is evaluated while requests wait.
const REFRESH: Duration = Duration::from_millis(5);

/// Budgets for extra attempts of one service.
#[derive(Debug)]
struct ServiceBudgets {
    /// Retries, counted in requests.
    retry: Budget,
    /// Hedged attempts, in seconds of engine time.
    hedge: Budget,
}

/// The scheduler of one entry process: decides on admission, queue order and placement.
///
/// The process calls [`Self::poll`] after each other call and at [`Self::next_wake`], and carries
/// out the returned actions. Every admitted request ends in exactly one way: one of its attempts
/// ends with [`AttemptEnd::Done`], an action refuses it, or the process withdraws it.
pub struct Scheduler {
    settings: SchedulerSettings,
    random: ChaCha8Rng,
    speed: SpeedEstimator,
    mix: WorkMix,
    has_lists: bool,
    plans: PlanTable,
    endpoints: SlotMap<EndpointKey, Endpoint>,
    names: HashMap<Arc<str>, EndpointKey>,
    pools: SlotMap<PoolKey, Pool>,
    pool_names: PoolNames,
    requests: SlotMap<RequestKey, Request>,
    attempts: SlotMap<AttemptKey, Attempt>,
    customers: HashMap<Arc<str>, u32>,
    budgets: HashMap<Arc<str>, ServiceBudgets>,
    retry_planners: HashMap<PoolKey, RetryAfterPlanner>,
    cache: CacheMap,
    /// Moments at which waiting requests are refused.
    expiries: BTreeSet<(Moment, RequestKey)>,
    /// Waiting requests in order of arrival, used by the baseline policies only.
    arrivals: VecDeque<RequestKey>,
    /// Requests that may need a hedged attempt.
    stragglers: Vec<RequestKey>,
    /// Requests with silent attempts.
    silent: Vec<RequestKey>,
    /// Actions that the next poll returns.
    outbox: Vec<Action>,
    scratch: Vec<EndpointKey>,
    /// Engines of the last fleet view.
    engines: u32,
    fleet_views: u64,
    last_refresh: Moment,
    last_observed: Moment,
    turn: usize,
}

impl Scheduler {
    /// Creates a scheduler without lists and endpoints.
    pub fn new(settings: SchedulerSettings) -> Self {
        let random = ChaCha8Rng::seed_from_u64(settings.seed);
        let speed = SpeedEstimator::new(settings.engine.clone());
        Self {
            settings,
            random,
            speed,
            mix: WorkMix::default(),
            has_lists: false,
            plans: PlanTable::default(),
            endpoints: SlotMap::with_key(),
            names: HashMap::new(),
            pools: SlotMap::with_key(),
            pool_names: HashMap::new(),
            requests: SlotMap::with_key(),
            attempts: SlotMap::with_key(),
            customers: HashMap::new(),
            budgets: HashMap::new(),
            retry_planners: HashMap::new(),
            cache: CacheMap::default(),
            expiries: BTreeSet::new(),
            arrivals: VecDeque::new(),
            stragglers: Vec::new(),
            silent: Vec::new(),
            outbox: Vec::new(),
            scratch: Vec::new(),
            engines: 0,
            fleet_views: 0,
            last_refresh: Moment::default(),
            last_observed: Moment::default(),
            turn: 0,
        }
    }

    /// Sets the lists of plans and allowances; requests admitted under earlier lists stay admitted.
    #[allow(clippy::needless_pass_by_value)]
    pub fn set_lists(&mut self, lists: Arc<Lists>) {
        self.has_lists = true;
        self.plans.set_lists(&lists);
    }

    /// Sets this entry's shares of the plans' allowances.
    ///
    /// A grant expires after two seconds; the entry then falls back to an even share of each
    /// allowance.
    pub fn set_shares(&mut self, now: Moment, grant: &ShareGrant) {
        self.plans.set_shares(now, grant);
    }

    /// Sets the endpoints and their load figures, which lag behind.
    ///
    /// Endpoints that the view does not contain get no new work.
    pub fn set_fleet(&mut self, now: Moment, fleet: &FleetView) {
        self.update_fleet(now, fleet);
    }

    /// Applies changes of the engines' prefix caches, which may arrive late or incomplete.
    pub fn apply_cache(&mut self, batch: &CacheBatch) {
        for block in &batch.blocks {
            let Some(endpoint) = self.names.get(block.endpoint.as_str()) else {
                continue;
            };
            if block.stored {
                self.cache.store(block.block, *endpoint);
            } else {
                self.cache.evict(block.block, *endpoint);
            }
        }
    }

    /// Admits a request.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] if the request is not admitted; no attempt was started for it.
    pub fn submit(&mut self, now: Moment, facts: RequestFacts) -> Result<RequestKey, Refusal> {
        self.admit(now, facts)
    }

    /// Decides what to do now and appends the actions to `actions`.
    pub fn poll(&mut self, now: Moment, actions: &mut Vec<Action>) {
        self.refuse_expired(now);
        self.enqueue_silent(now);
        if self.settings.policy == PolicyName::Own {
            let observes = now.since(self.last_observed) >= TICK;
            if observes {
                self.observe(now);
                self.refresh_all(now);
            } else if now.since(self.last_refresh) >= REFRESH && self.waiting() > 0 {
                self.refresh_all(now);
            }
            self.dispatch_all(now);
            self.hedge_all(now);
            if observes {
                self.hedge_silent(now);
            }
        } else {
            self.dispatch_baseline(now);
        }
        actions.append(&mut self.outbox);
    }

    /// Latest moment for the next [`Self::poll`] if nothing else happens; `None` without requests.
    pub fn next_wake(&self, now: Moment) -> Option<Moment> {
        let interval = if self.waiting() > 0 { REFRESH } else { TICK };
        (!self.requests.is_empty()).then(|| now + interval)
    }

    /// Records that `tokens` output tokens arrived for an attempt.
    pub fn note_tokens(&mut self, now: Moment, attempt: AttemptKey, tokens: u32) {
        self.tokens_arrived(now, attempt, tokens);
    }

    /// Records that a KV cache computed by a [`crate::Purpose::Prefill`] attempt can be imported.
    pub fn note_prefilled(&mut self, now: Moment, attempt: AttemptKey) {
        self.prompt_processed(now, attempt);
    }

    /// Records that nothing has arrived for a running attempt for too long. It is kept, and the request
    /// may be tried elsewhere; the attempt is cancelled once another one has overtaken it.
    pub fn note_silent(&mut self, attempt: AttemptKey) {
        self.attempt_silent(attempt);
    }

    /// Records the end of an attempt; [`AttemptEnd::Done`] also ends the request, unless the
    /// attempt was a [`crate::Purpose::Prefill`] one.
    pub fn note_end(&mut self, now: Moment, attempt: AttemptKey, end: AttemptEnd) {
        self.attempt_ended(now, attempt, end);
    }

    /// Drops a request whose caller has disconnected and cancels its attempts. No further action
    /// concerns the request; a refusal that was already decided is dropped as well.
    pub fn withdraw(&mut self, request: RequestKey, actions: &mut Vec<Action>) {
        self.remove_request(request);
        self.outbox.retain(|action| {
            !matches!(action, Action::Refuse { request: refused, .. } if *refused == request)
        });
        actions.append(&mut self.outbox);
    }

    /// Rates of requested and dispatched tokens of each plan, for [`crate::ShareAllocator`]; to be
    /// called at regular intervals.
    pub fn take_demand(&mut self, now: Moment) -> Vec<PlanDemand> {
        let pools = &self.pools;
        let waiting = |plan: usize| {
            let queues = pools.values().flat_map(|pool| [&pool.queue, &pool.long, &pool.split]);
            queues.filter_map(|queue| queue.peek(plan)).map(PlanQueue::count).sum()
        };
        let taken = self.plans.iter_mut().enumerate();
        taken.map(|(index, plan)| plan.demand.take(now, &plan.name, waiting(index))).collect()
    }

    /// Observations of each endpoint since the last call, for the load collector.
    pub fn take_observations(&mut self, _now: Moment) -> Vec<Observation> {
        let pools = &self.pools;
        let waiting = |endpoint: &Endpoint| {
            let pools = endpoint.pools.iter().map(|key| &pools[*key]);
            let waits = pools.map(|pool| {
                if endpoint.prefill_only() {
                    pool.split.count()
                } else {
                    pool.queue.count()
                        + pool.long.count()
                        + u32::try_from(pool.handoff.len()).unwrap_or(u32::MAX)
                }
            });
            waits.sum()
        };
        let observe = |endpoint: &mut Endpoint| Observation {
            endpoint: endpoint.name.to_string(),
            open: endpoint.open,
            waiting: waiting(endpoint),
            tokens: std::mem::take(&mut endpoint.tokens),
            failures: std::mem::take(&mut endpoint.failures),
        };
        self.endpoints.values_mut().map(observe).collect()
    }

    /// Number of requests that wait for an endpoint.
    pub fn waiting(&self) -> u32 {
        let handoff = |pool: &Pool| u32::try_from(pool.handoff.len()).unwrap_or(u32::MAX);
        self.pools.values().map(|p| p.waiting() + handoff(p)).sum()
    }

    /// Number of requests that are not yet done, refused or withdrawn.
    pub fn open(&self) -> usize {
        self.requests.len()
    }

    fn intern_customer(&mut self, name: &Arc<str>) -> u32 {
        let next = u32::try_from(self.customers.len()).unwrap_or(u32::MAX);
        *self.customers.entry(name.clone()).or_insert(next)
    }

    fn budgets(&mut self, service: &Arc<str>) -> &mut ServiceBudgets {
        let settings = &self.settings;
        self.budgets.entry(service.clone()).or_insert_with(|| ServiceBudgets {
            retry: Budget::new(settings.retry.clone()),
            hedge: Budget::new(settings.hedge.budget.clone()),
        })
    }
}
