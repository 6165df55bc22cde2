//! Placement by prefix affinity, load and pace.

use agatestair_schema::link::EndpointKind;

use crate::fleet::{Endpoint, Pool, PoolKey, Route};
use crate::keys::{EndpointKey, RequestKey};
use crate::moment::Moment;
use crate::scheduler::Scheduler;
use crate::scheduler::state::Request;

/// Endpoints with room that are sampled for one request.
const MAX_SAMPLED: usize = 12;

/// Engines with the prompt's prefix in their cache that are considered in addition.
const MAX_HOLDERS: usize = 4;

/// Weight of the delay that a prefill causes to a response in progress at the same engine.
const INTERFERENCE_WEIGHT: f64 = 0.1;

/// Number of open calls at an endpoint that is assumed to double the duration of a call.
const CALLS_DOUBLING: f64 = 4.0;

/// A chosen endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Choice {
    pub(crate) endpoint: EndpointKey,
    /// Prompt tokens that it has to process.
    pub(crate) uncached: u32,
    /// Nominal time to the first token or the call's response, in seconds.
    pub(crate) expected: f64,
}

/// The part of a request that an attempt executes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Task {
    /// Prefill and decode.
    Whole,
    /// Only prefill.
    Prefill,
    /// Only decode.
    Decode,
}

impl Scheduler {
    /// Chooses the endpoint with the least cost among those with room at which the fewest attempts of
    /// the request failed or still run; they run at none of them unless `again` is set.
    pub(crate) fn choose(
        &mut self,
        now: Moment,
        key: RequestKey,
        task: Task,
        again: bool,
    ) -> Option<Choice> {
        let request = &self.requests[key];
        let pool = &self.pools[request.pool];
        let room = match task {
            Task::Prefill => &pool.prefill,
            Task::Whole if request.route == Route::Long => &pool.unreserved,
            Task::Whole | Task::Decode => &pool.whole,
        };
        self.scratch.clear();
        room.sample(&mut self.random, MAX_SAMPLED, &mut self.scratch);
        let holders = self.cache.best(request.blocks());
        let holders = holders.iter().filter(|holder| room.contains(**holder));
        self.scratch.extend(holders.take(MAX_HOLDERS));
        let tried = |endpoint: &EndpointKey| {
            request.live.iter().any(|live| self.attempts[*live].endpoint == *endpoint)
        };
        // Decode engines get long prompts only if the pool has no other engines.
        let bounded = pool.prefill_count + pool.mixed_count > 0;
        let mut best: Option<((usize, f64), Choice)> = None;
        for endpoint in self.scratch.iter().filter(|endpoint| again || !tried(endpoint)) {
            let (cost, choice) = self.cost(now, request, *endpoint, task);
            let long = choice.uncached > self.settings.engine.decode_prompt;
            if long && bounded && self.endpoints[*endpoint].decode_only() {
                continue;
            }
            let failed = request.failed.iter().filter(|failed| *failed == endpoint).count();
            let rank = (failed + usize::from(tried(endpoint)), cost);
            if best.as_ref().is_none_or(|(least, _)| rank < *least) {
                best = Some((rank, choice));
            }
        }
        best.map(|(_, choice)| choice)
    }

    /// Expected duration of a request at an endpoint plus the delay that it causes to others there,
    /// in seconds.
    fn cost(&self, now: Moment, request: &Request, key: EndpointKey, task: Task) -> (f64, Choice) {
        let endpoint = &self.endpoints[key];
        let pool = &self.pools[request.pool];
        if pool.kind == EndpointKind::Service {
            let choice = Choice { endpoint: key, uncached: 0, expected: pool.token_secs };
            return (call_secs(pool, endpoint), choice);
        }
        let model = &self.settings.engine;
        let matched = self.cache.matched(request.blocks(), key);
        let cached = u32::try_from(matched).unwrap_or(0).saturating_mul(model.block_tokens);
        let uncached = match task {
            Task::Decode => 0,
            Task::Whole | Task::Prefill => request.prompt().saturating_sub(cached).max(1),
        };
        let prefill = f64::from(uncached) * model.prefill_us;
        let first = endpoint.backlog_us(now, model) + prefill + model.step_us;
        let total_open = f64::from(endpoint.total_open());
        let decode = match task {
            Task::Prefill => 0.0,
            Task::Whole | Task::Decode => {
                let step = model.step_us + model.sequence_us * (total_open + 1.0);
                f64::from(request.output().saturating_sub(request.tokens)) * step
            }
        };
        let interference = prefill * total_open * INTERFERENCE_WEIGHT;
        let full = if fits(endpoint, request) { 1.0 } else { 4.0 };
        let cost = (first + decode) * endpoint.slowdown * full + interference;
        let expected = first / 1e6;
        (cost / 1e6, Choice { endpoint: key, uncached, expected })
    }

    /// Route of a new request with `uncached` prompt tokens to process.
    pub(crate) fn route(&self, pool: PoolKey, uncached: u32) -> Route {
        let pool = &self.pools[pool];
        let split = pool.prefill_count > 0 && pool.whole_count > 0;
        if split && uncached >= self.settings.engine.split_tokens {
            Route::Split
        } else if self.is_long(uncached) {
            Route::Long
        } else {
            Route::Whole
        }
    }

    /// Whether a prompt counts as long.
    pub(crate) fn is_long(&self, uncached: u32) -> bool {
        let model = &self.settings.engine;
        f64::from(uncached) * model.prefill_us >= model.long_us
    }

    /// Prompt tokens left to process at the engine with the longest cached prefix.
    pub(crate) fn least_uncached(&self, blocks: &[u64], prompt: u32) -> u32 {
        let Some(holder) = self.cache.best(blocks).first() else {
            return prompt.max(1);
        };
        let matched = u32::try_from(self.cache.matched(blocks, *holder)).unwrap_or(0);
        prompt.saturating_sub(matched.saturating_mul(self.settings.engine.block_tokens)).max(1)
    }
}

/// Expected duration of a call, in seconds.
fn call_secs(pool: &Pool, endpoint: &Endpoint) -> f64 {
    let factor = 1.0 + f64::from(endpoint.total_open()) / CALLS_DOUBLING;
    pool.token_secs * factor * endpoint.slowdown
}

/// Whether an engine's KV cache is estimated to have room for a request.
fn fits(endpoint: &Endpoint, request: &Request) -> bool {
    let view = &endpoint.view;
    let need = u64::from(request.prompt()) + u64::from(request.output());
    view.kv_total == 0 || view.kv_used.saturating_add(need) <= view.kv_total
}
