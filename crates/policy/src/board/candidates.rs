//! Candidate placements of a generation and the cost of each.
//!
//! A long prefill delays the next tokens of every stream in the same batch. Prefill on a separate
//! engine, prefill on another engine and fetching cached KV blocks are therefore compared both by
//! the time to the first event and by the delay that they cause to other runs.

use std::time::Duration;

use crate::board::cost::millis;
use crate::board::load::Load;
use crate::board::request::{Choice, PlacementRequest};
use crate::board::select::as_ms;
use crate::board::{Board, BoardEndpoint};
use crate::keys::EndpointKey;
use crate::moment::Moment;

/// Cost of an engine's failure rate, in milliseconds at a rate of 1.
const FAILURE_MS: f64 = 400.0;

/// Prompts with fewer uncached tokens are not charged for stalling other streams.
const STALLING_TOKENS: u32 = 1024;

/// Cost of a stall for the request's own stream, in milliseconds.
const OWN_STALLED_MS: f64 = 100.0;

/// Cost of the second request of a split run, in milliseconds.
const SPLIT_MS: f64 = 10.0;

/// Cost of stalling one other stream for longer than it tolerates, in milliseconds.
const STALLED_MS: f64 = 20.0;

/// A transfer of cached prompt parts from another engine in place of prefill.
#[derive(Clone, Copy, Debug)]
struct Fetch {
    source: EndpointKey,
    ms: f64,
}

/// One candidate placement of an attempt.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    pub choice: Choice,
    /// Part of the expected time spent waiting for other requests.
    pub wait: Duration,
    /// Total delay that it causes to other runs, in milliseconds.
    pub interference: f64,
    /// Value that candidates are compared by, in milliseconds: time to the first event plus the
    /// delay of other requests.
    pub cost: f64,
}

impl Board {
    /// Prefill and decode at the same engine.
    pub(super) fn whole_candidate(
        &self,
        key: EndpointKey,
        endpoint: &BoardEndpoint,
        request: &PlacementRequest,
        now: Moment,
    ) -> Candidate {
        let costs = &self.settings.costs;
        let (prefill, fetched) = self.prefill_work(key, endpoint, request, now);
        let prefill = prefill * costs.mixed_factor;
        let pace = endpoint.pace(now);
        let (wait, step) = self.decode_wait(endpoint, request, now);
        let fetch = fetched.map_or(0.0, |fetched| fetched.ms);
        let work = wait + fetch + prefill + step;
        let first = costs.intake_ms + work * pace;
        let unread = (prefill / costs.mixed_factor * costs.prefill_rate) as u32;
        let load =
            Load { attempts: 1, unread, context: request.prompt, output: request.output.max(1) };
        let stalled = self.stalled_ms(endpoint, request, unread, step, now);
        let contention = self.contention_ms(endpoint, step, now);
        // Every run in the batch waits while a chunk of the prompt is processed.
        let held = prefill * f64::from(endpoint.load(now).attempts.min(endpoint.facts.slots));
        let interference = held + stalled;
        let cost = first + interference + contention + self.failure_ms(endpoint, now);
        let choice = Choice {
            duration: Some(millis(first + generation_ms(request, step * pace))),
            fetch: fetched.map(|fetched| fetched.source),
            ..choice(key, load, first, costs.intake_ms + work, false)
        };
        Candidate { choice, wait: millis(wait * pace), interference, cost }
    }

    /// Prefill time of a prompt at a prefill engine's rate, in milliseconds, and the fetch of
    /// cached parts if one makes the start earlier.
    fn prefill_work(
        &self,
        key: EndpointKey,
        endpoint: &BoardEndpoint,
        request: &PlacementRequest,
        now: Moment,
    ) -> (f64, Option<Fetch>) {
        let costs = &self.settings.costs;
        let prefill = |cached: u32| costs.prefill_ms(request.prompt.saturating_sub(cached), cached);
        let cached = endpoint.cache.cached(&request.parts);
        let plain = prefill(cached);
        if request.prompt < costs.min_tracked {
            return (plain, None);
        }
        let others = self.members(&request.service).iter().filter(|other| {
            let source = &self.endpoints[**other];
            **other != key && !source.is_leaving() && !source.is_avoided(now)
        });
        let fetches = others.filter_map(|other| {
            let source = &self.endpoints[*other];
            let kept = source.cache.cached(&request.parts);
            let far = if source.facts.domain == endpoint.facts.domain { 1.0 } else { 2.0 };
            let moved =
                f64::from(kept.checked_sub(cached).filter(|more| *more >= costs.min_tracked)?);
            let ms = costs.setup_ms + moved * self.token_transfer_ms * far;
            Some((prefill(kept), Fetch { source: *other, ms }))
        });
        let best = fetches.min_by(|a, b| (a.0 + a.1.ms).total_cmp(&(b.0 + b.1.ms)));
        match best {
            Some((prefill, fetch)) if prefill + fetch.ms < plain => (prefill, Some(fetch)),
            _ => (plain, None),
        }
    }

    /// Only prefill at this engine, with decode at the engine of `decode`.
    pub(super) fn prefill_candidate(
        &self,
        key: EndpointKey,
        endpoint: &BoardEndpoint,
        request: &PlacementRequest,
        decode: &Candidate,
        now: Moment,
    ) -> Candidate {
        let costs = &self.settings.costs;
        let (prefill, fetched) = self.prefill_work(key, endpoint, request, now);
        let pace = endpoint.pace(now);
        let backlog = self.backlog_ms(endpoint, now);
        let work = backlog + fetched.map_or(0.0, |fetched| fetched.ms) + prefill;
        let first = costs.intake_ms + work * pace + as_ms(decode.choice.expected);
        let unread = (prefill * costs.prefill_rate) as u32;
        let load = Load { attempts: 1, unread, context: request.prompt, output: 0 };
        let cost = costs.intake_ms + work * pace + prefill + decode.cost + SPLIT_MS;
        let cost = cost + self.failure_ms(endpoint, now);
        let generation =
            decode.choice.duration.map(|all| all.saturating_sub(decode.choice.expected));
        let choice = Choice {
            duration: generation.map(|generation| millis(first) + generation),
            fetch: fetched.map(|fetched| fetched.source),
            ..choice(key, load, first, costs.intake_ms + work, true)
        };
        Candidate { choice, wait: millis(backlog * pace) + decode.wait, interference: 0.0, cost }
    }

    /// Only decode at this engine, after prefill at another one; `far` if that one is in another
    /// failure domain.
    pub(super) fn decode_candidate(
        &self,
        key: EndpointKey,
        endpoint: &BoardEndpoint,
        request: &PlacementRequest,
        far: bool,
        now: Moment,
    ) -> Candidate {
        let pace = endpoint.pace(now);
        let (wait, step) = self.decode_wait(endpoint, request, now);
        let transfer = self.transfer_ms(request) * if far { 2.0 } else { 1.0 };
        let first = transfer + (wait + step) * pace;
        let output = request.output.max(1);
        let load = Load { attempts: 1, unread: 0, context: request.prompt, output };
        let stalled = self.stalled_ms(endpoint, request, 0, step, now);
        let cost = first
            + self.contention_ms(endpoint, step, now)
            + stalled
            + self.failure_ms(endpoint, now);
        let choice = Choice {
            duration: Some(millis(first + generation_ms(request, step * pace))),
            ..choice(key, load, first, transfer + wait + step, false)
        };
        Candidate { choice, wait: millis(wait * pace), interference: 0.0, cost }
    }

    /// Milliseconds until an engine has a slot for one more run, and the duration of its decode
    /// step from then on, in milliseconds.
    fn decode_wait(
        &self,
        endpoint: &BoardEndpoint,
        request: &PlacementRequest,
        now: Moment,
    ) -> (f64, f64) {
        let costs = &self.settings.costs;
        let load = endpoint.load(now);
        let step = costs.step(load.context.saturating_add(request.prompt));
        let slots = f64::from(endpoint.facts.slots.max(1));
        let attempts = f64::from(load.attempts);
        let output = f64::from(load.output) / attempts.max(1.0) * self.output_share;
        let over = (attempts + 1.0 - slots).max(0.0);
        let prefill_wait = self.backlog_ms(endpoint, now) * costs.mixed_factor;
        (over * output * step / slots + prefill_wait, step)
    }

    /// Cost to the other runs in an engine's batch of one more run, in milliseconds.
    fn contention_ms(&self, endpoint: &BoardEndpoint, step: f64, now: Moment) -> f64 {
        let slots = f64::from(endpoint.facts.slots.max(1));
        step * f64::from(endpoint.load(now).attempts) / slots
    }

    /// Cost of stalling the streams of an engine's batch by a prefill there, in milliseconds.
    ///
    /// A decode engine processes one chunk of the prompt before each step. The steps of one event
    /// may together take as long as the longest on-time gap between two events.
    fn stalled_ms(
        &self,
        endpoint: &BoardEndpoint,
        request: &PlacementRequest,
        unread: u32,
        step: f64,
        now: Moment,
    ) -> f64 {
        let costs = &self.settings.costs;
        let load = endpoint.load(now);
        let tokens = f64::from(unread.saturating_add(load.unread));
        let chunks = (tokens / costs.chunk).min(f64::from(costs.stride));
        let chunk_ms = costs.chunk / costs.prefill_rate * costs.mixed_factor;
        let gap = f64::from(costs.stride) * step + chunks * chunk_ms;
        if gap <= request.max_gap.as_secs_f64() * 1000.0 {
            return 0.0;
        }
        if unread < STALLING_TOKENS {
            return OWN_STALLED_MS;
        }
        OWN_STALLED_MS + f64::from(load.attempts.min(endpoint.facts.slots)) * STALLED_MS
    }

    fn failure_ms(&self, endpoint: &BoardEndpoint, now: Moment) -> f64 {
        endpoint.health.rate(now) * FAILURE_MS
    }

    /// Milliseconds to transfer a prompt's KV cache between two engines of one failure domain.
    fn transfer_ms(&self, request: &PlacementRequest) -> f64 {
        self.settings.costs.setup_ms + f64::from(request.prompt) * self.token_transfer_ms
    }

    /// Prefill backlog of an engine in milliseconds, at a prefill engine's rate.
    fn backlog_ms(&self, endpoint: &BoardEndpoint, now: Moment) -> f64 {
        f64::from(endpoint.load(now).unread) / self.settings.costs.prefill_rate
    }
}

/// Milliseconds to generate the greatest number of output tokens in steps of `step` milliseconds.
fn generation_ms(request: &PlacementRequest, step: f64) -> f64 {
    f64::from(request.max_output) * step
}

fn choice(key: EndpointKey, load: Load, first: f64, nominal: f64, prefill_only: bool) -> Choice {
    Choice {
        key,
        load,
        expected: millis(first),
        nominal: millis(nominal),
        duration: None,
        prefill_only,
        fetch: None,
    }
}
