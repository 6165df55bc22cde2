//! Candidate placements of a generation and the cost of each.
//!
//! A long prefill delays the next tokens of every stream in the same batch. Prefill on a separate
//! engine, prefill on another engine and fetching cached KV blocks are therefore compared both by
//! the time to the first event and by the delay that they cause to other runs.

use std::time::Duration;

use crate::board::cost::millis;
use crate::board::load::Load;
use crate::board::select::as_ms;
use crate::board::wanted::{Choice, Wanted};
use crate::board::{Board, Seat};
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
        seat: &Seat,
        wanted: &Wanted,
        now: Moment,
    ) -> Candidate {
        let costs = &self.settings.costs;
        let (read, fetched) = self.prefill_work(key, seat, wanted, now);
        let read = read * costs.mixed_factor;
        let pace = seat.pace(now);
        let (wait, step) = self.decode_wait(seat, wanted, now);
        let fetch = fetched.map_or(0.0, |fetched| fetched.ms);
        let work = wait + fetch + read + step;
        let first = costs.intake_ms + work * pace;
        let unread = (read / costs.mixed_factor * costs.read_rate) as u32;
        let load =
            Load { attempts: 1, unread, context: wanted.prompt, output: wanted.output.max(1) };
        let stalled = self.stalled_ms(seat, wanted, unread, step, now);
        let contention = self.contention_ms(seat, step, now);
        // Every run in the batch waits while a chunk of the prompt is processed.
        let held = read * f64::from(seat.load(now).attempts.min(seat.facts.slots));
        let interference = held + stalled;
        let cost = first + interference + contention + self.failure_ms(seat, now);
        let choice = choice(key, load, first, costs.intake_ms + work, false);
        let choice = Choice { fetch: fetched.map(|fetched| fetched.source), ..choice };
        Candidate { choice, wait: millis(wait * pace), interference, cost }
    }

    /// Prefill time of a prompt at a prefill engine's rate, in milliseconds, and the fetch of
    /// cached parts if one makes the start earlier.
    fn prefill_work(
        &self,
        key: EndpointKey,
        seat: &Seat,
        wanted: &Wanted,
        now: Moment,
    ) -> (f64, Option<Fetch>) {
        let costs = &self.settings.costs;
        let read = |cached: u32| costs.read_ms(wanted.prompt.saturating_sub(cached), cached);
        let cached = seat.cache.cached(&wanted.parts);
        let plain = read(cached);
        if wanted.prompt < costs.notable {
            return (plain, None);
        }
        let others = self.members(&wanted.service).iter().filter(|other| {
            let source = &self.seats[**other];
            **other != key && !source.is_leaving() && !source.is_avoided(now)
        });
        let fetches = others.filter_map(|other| {
            let source = &self.seats[*other];
            let kept = source.cache.cached(&wanted.parts);
            let far = if source.facts.domain == seat.facts.domain { 1.0 } else { 2.0 };
            let moved = f64::from(kept.checked_sub(cached).filter(|more| *more >= costs.notable)?);
            let ms = costs.setup_ms + moved * self.token_transfer_ms * far;
            Some((read(kept), Fetch { source: *other, ms }))
        });
        let best = fetches.min_by(|a, b| (a.0 + a.1.ms).total_cmp(&(b.0 + b.1.ms)));
        match best {
            Some((read, fetch)) if read + fetch.ms < plain => (read, Some(fetch)),
            _ => (plain, None),
        }
    }

    /// Only prefill at this engine, with decode at the engine of `decode`.
    pub(super) fn prefill_candidate(
        &self,
        key: EndpointKey,
        seat: &Seat,
        wanted: &Wanted,
        decode: &Candidate,
        now: Moment,
    ) -> Candidate {
        let costs = &self.settings.costs;
        let (read, fetched) = self.prefill_work(key, seat, wanted, now);
        let pace = seat.pace(now);
        let backlog = self.backlog_ms(seat, now);
        let work = backlog + fetched.map_or(0.0, |fetched| fetched.ms) + read;
        let first = costs.intake_ms + work * pace + as_ms(decode.choice.expected);
        let unread = (read * costs.read_rate) as u32;
        let load = Load { attempts: 1, unread, context: wanted.prompt, output: 0 };
        let cost = costs.intake_ms + work * pace + read + decode.cost + SPLIT_MS;
        let cost = cost + self.failure_ms(seat, now);
        let choice = choice(key, load, first, costs.intake_ms + work, true);
        let choice = Choice { fetch: fetched.map(|fetched| fetched.source), ..choice };
        Candidate { choice, wait: millis(backlog * pace) + decode.wait, interference: 0.0, cost }
    }

    /// Only decode at this engine, after prefill at another one; `far` if that one is in another
    /// failure domain.
    pub(super) fn decode_candidate(
        &self,
        key: EndpointKey,
        seat: &Seat,
        wanted: &Wanted,
        far: bool,
        now: Moment,
    ) -> Candidate {
        let pace = seat.pace(now);
        let (wait, step) = self.decode_wait(seat, wanted, now);
        let transfer = self.transfer_ms(wanted) * if far { 2.0 } else { 1.0 };
        let first = transfer + (wait + step) * pace;
        let output = wanted.output.max(1);
        let load = Load { attempts: 1, unread: 0, context: wanted.prompt, output };
        let stalled = self.stalled_ms(seat, wanted, 0, step, now);
        let cost =
            first + self.contention_ms(seat, step, now) + stalled + self.failure_ms(seat, now);
        let choice = choice(key, load, first, transfer + wait + step, false);
        Candidate { choice, wait: millis(wait * pace), interference: 0.0, cost }
    }

    /// Milliseconds until an engine has a slot for one more run, and the duration of its decode
    /// step from then on, in milliseconds.
    fn decode_wait(&self, seat: &Seat, wanted: &Wanted, now: Moment) -> (f64, f64) {
        let costs = &self.settings.costs;
        let load = seat.load(now);
        let step = costs.step(load.context.saturating_add(wanted.prompt));
        let slots = f64::from(seat.facts.slots.max(1));
        let attempts = f64::from(load.attempts);
        let output = f64::from(load.output) / attempts.max(1.0) * self.output_share;
        let over = (attempts + 1.0 - slots).max(0.0);
        let reading = self.backlog_ms(seat, now) * costs.mixed_factor;
        (over * output * step / slots + reading, step)
    }

    /// Cost to the other runs in an engine's batch of one more run, in milliseconds.
    fn contention_ms(&self, seat: &Seat, step: f64, now: Moment) -> f64 {
        let slots = f64::from(seat.facts.slots.max(1));
        step * f64::from(seat.load(now).attempts) / slots
    }

    /// Cost of stalling the streams of an engine's batch by a prefill there, in milliseconds.
    ///
    /// A decode engine processes one chunk of the prompt before each step. The steps of one event
    /// may together take as long as the longest on-time pause between two events.
    fn stalled_ms(&self, seat: &Seat, wanted: &Wanted, unread: u32, step: f64, now: Moment) -> f64 {
        let costs = &self.settings.costs;
        let load = seat.load(now);
        let tokens = f64::from(unread.saturating_add(load.unread));
        let pieces = (tokens / costs.chunk).min(f64::from(costs.stride));
        let piece = costs.chunk / costs.read_rate * costs.mixed_factor;
        let pause = f64::from(costs.stride) * step + pieces * piece;
        if pause <= wanted.pause.as_secs_f64() * 1000.0 {
            return 0.0;
        }
        if unread < STALLING_TOKENS {
            return OWN_STALLED_MS;
        }
        OWN_STALLED_MS + f64::from(load.attempts.min(seat.facts.slots)) * STALLED_MS
    }

    fn failure_ms(&self, seat: &Seat, now: Moment) -> f64 {
        seat.trust.rate(now) * FAILURE_MS
    }

    /// Milliseconds to transfer a prompt's KV cache between two engines of one failure domain.
    fn transfer_ms(&self, wanted: &Wanted) -> f64 {
        self.settings.costs.setup_ms + f64::from(wanted.prompt) * self.token_transfer_ms
    }

    /// Prefill backlog of an engine in milliseconds, at a prefill engine's rate.
    fn backlog_ms(&self, seat: &Seat, now: Moment) -> f64 {
        f64::from(seat.load(now).unread) / self.settings.costs.read_rate
    }
}

fn choice(key: EndpointKey, load: Load, first: f64, nominal: f64, reads: bool) -> Choice {
    Choice { key, load, expected: millis(first), nominal: millis(nominal), reads, fetch: None }
}
