//! Placement: prefix affinity against load and pace.

use agatestair_schema::link::EndpointKind;

use crate::fleet::{Endpoint, Pool, PoolKey, Route};
use crate::keys::{EndpointKey, RequestKey};
use crate::moment::Moment;
use crate::scheduler::Scheduler;
use crate::scheduler::state::Request;

/// Endpoints with room that are looked at for one request.
const CHOICES: usize = 12;

/// Holders of the prompt's prefix that are looked at besides.
const HOLDERS: usize = 4;

/// Weight of the delay that a prompt causes to an answer in progress at the same engine.
const DISTURBANCE: f64 = 0.1;

/// Open calls that are taken to double the duration of a call.
const CALLS_DOUBLING: f64 = 4.0;

/// A chosen endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Choice {
    pub(crate) endpoint: EndpointKey,
    /// Prompt tokens that it has to process.
    pub(crate) uncached: u32,
    /// Nominal time to the first token or the call's answer, in seconds.
    pub(crate) expected: f64,
}

/// What is asked of an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Part {
    /// Prompt and answer.
    Whole,
    /// Only the prompt.
    Prompt,
    /// Only the answer.
    Answer,
}

impl Scheduler {
    /// Chooses among the endpoints with room the one with the least expected time.
    pub(crate) fn choose(&mut self, now: Moment, key: RequestKey, part: Part) -> Option<Choice> {
        let request = &self.requests[key];
        let pool = &self.pools[request.pool];
        let room = match part {
            Part::Prompt => &pool.prefill,
            Part::Whole if request.route == Route::Long => &pool.wide,
            Part::Whole | Part::Answer => &pool.whole,
        };
        self.scratch.clear();
        room.sample(&mut self.random, CHOICES, &mut self.scratch);
        let holders = self.cache.best(request.blocks());
        let holders = holders.iter().filter(|holder| room.contains(**holder));
        self.scratch.extend(holders.take(HOLDERS));
        let tried = |endpoint: &EndpointKey| {
            request.live.iter().any(|live| self.attempts[*live].endpoint == *endpoint)
        };
        // With no other engines, decode engines are asked for long prompts too.
        let bounded = pool.prefill_count + pool.mixed_count > 0;
        let mut best: Option<((bool, f64), Choice)> = None;
        for endpoint in self.scratch.iter().filter(|endpoint| !tried(endpoint)) {
            let (cost, choice) = self.cost(now, request, *endpoint, part);
            let long = choice.uncached > self.settings.engine.decode_prompt;
            if long && bounded && self.endpoints[*endpoint].decode_only() {
                continue;
            }
            let rank = (request.failed.contains(endpoint), cost);
            if best.as_ref().is_none_or(|(least, _)| rank < *least) {
                best = Some((rank, choice));
            }
        }
        best.map(|(_, choice)| choice)
    }

    /// Expected time of a request at an endpoint with the delay it causes there, in seconds.
    fn cost(&self, now: Moment, request: &Request, key: EndpointKey, part: Part) -> (f64, Choice) {
        let endpoint = &self.endpoints[key];
        let pool = &self.pools[request.pool];
        if pool.kind == EndpointKind::Service {
            let choice = Choice { endpoint: key, uncached: 0, expected: pool.gap };
            return (call_secs(pool, endpoint), choice);
        }
        let model = &self.settings.engine;
        let matched = self.cache.matched(request.blocks(), key);
        let cached = u32::try_from(matched).unwrap_or(0).saturating_mul(model.block_tokens);
        let uncached = match part {
            Part::Answer => 0,
            Part::Whole | Part::Prompt => request.prompt().saturating_sub(cached).max(1),
        };
        let prefill = f64::from(uncached) * model.prefill_us;
        let first = endpoint.backlog_us(now, model) + prefill + model.step_us;
        let crowd = f64::from(endpoint.crowd());
        let answer = match part {
            Part::Prompt => 0.0,
            Part::Whole | Part::Answer => {
                let step = model.step_us + model.sequence_us * (crowd + 1.0);
                f64::from(request.output().saturating_sub(request.tokens)) * step
            }
        };
        let disturbance = prefill * crowd * DISTURBANCE;
        let full = if fits(endpoint, request) { 1.0 } else { 4.0 };
        let cost = (first + answer) * endpoint.slow * full + disturbance;
        let expected = first / 1e6;
        (cost / 1e6, Choice { endpoint: key, uncached, expected })
    }

    /// The way that a new request takes.
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

    /// Prompt tokens that the best holder of a prompt's prefix has to process.
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
    let crowd = 1.0 + f64::from(endpoint.crowd()) / CALLS_DOUBLING;
    pool.gap * crowd * endpoint.slow
}

/// Whether an engine's KV cache is believed to have room for a request.
fn fits(endpoint: &Endpoint, request: &Request) -> bool {
    let view = &endpoint.view;
    let need = u64::from(request.prompt()) + u64::from(request.output());
    view.kv_total == 0 || view.kv_used.saturating_add(need) <= view.kv_total
}
