//! Choice of the endpoint for one attempt.
//!
//! Engines order their own queues by urgency, so a request is handed over as soon as an engine can
//! begin its answer on time. Under more load than that, handing over would make every answer late:
//! the excess is refused at once with the time at which there should be room.

use std::sync::Arc;
use std::time::Duration;

use crate::assign::score;
use crate::board::cost::millis;
use crate::board::load::Load;
use crate::board::{Board, Seat, Stage};
use crate::keys::EndpointKey;
use crate::moment::Moment;

/// Waiting attempts a slot beyond which an endpoint that is no engine counts as full.
const PLAIN_QUEUE: f64 = 2.0;

/// Time that an endpoint's slots are held by one attempt while no better estimate exists.
const PLAIN_HOLD: Duration = Duration::from_millis(60);

/// Advantage in load of an endpoint in the caller's own failure domain.
const DOMAIN_ADVANTAGE: f64 = 0.05;

/// Load that a share of failures counts as.
const FAILURE_LOAD: f64 = 2.0;

/// Delay that a share of failures counts as for an engine, in milliseconds.
const FAILURE_MS: f64 = 400.0;

/// Advantage of the engine that a shared part's hash prefers, so that instances which do not know of
/// each other's choices yet make the same one, in milliseconds.
const HOME_MS: f64 = 30.0;

/// Prompts of fewer tokens do not add to a pause themselves.
const STALLING_TOKENS: u32 = 1024;

/// What it counts as for the request itself, in milliseconds.
const OWN_STALLED_MS: f64 = 100.0;

/// What the second request of a split run counts as, in milliseconds.
const SPLIT_MS: f64 = 10.0;

/// Part of the time that a decode engine reads which counts for each run of its batch.
const HELD_SHARE: f64 = 1.0;

/// Time that a run may take from others at most; one that would take more is refused, as if it were
/// too late.
const MAX_HARM_MS: f64 = 500.0;

/// What one stream that is held back too long counts as, in milliseconds.
const STALLED_MS: f64 = 20.0;

/// Time after which a caller comes back to a service that has no endpoint.
const NO_ENDPOINT_RETURN: Duration = Duration::from_secs(1);

/// Shortest time after which a refused caller is asked to come back.
const MIN_RETURN: Duration = Duration::from_millis(100);

/// One part of a prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Part {
    /// Identity of the part's text.
    pub id: u64,
    /// Its tokens.
    pub tokens: u32,
}

/// What an attempt needs.
#[derive(Clone, Debug, Default)]
pub struct Wanted {
    /// Service that runs it.
    pub service: Arc<str>,
    /// Failure domain of the instance that asks.
    pub domain: Arc<str>,
    /// Parts of the prompt, in order; the last belongs to this request alone.
    pub parts: Vec<Part>,
    /// Tokens of the whole prompt.
    pub prompt: u32,
    /// Tokens that the answer may have.
    pub output: u32,
    /// Time within which the answer must begin to be of use at all.
    pub limit: Duration,
    /// Time within which it should begin.
    pub aim: Duration,
    /// Wait for other requests that is borne where the request's own work takes longer than that.
    pub slack: Duration,
    /// Longest pause between two events that is on time.
    pub pause: Duration,
    /// Endpoints that are not to be used again.
    pub tried: Vec<EndpointKey>,
    /// Attempts that this instance may have at one endpoint.
    pub share: u32,
    /// Work that others may have placed since they were last heard, as time at one endpoint.
    pub unseen: Duration,
    /// Number from 0 to 1 drawn for the request, which decides between nearly equal endpoints.
    pub draw: f64,
}

/// Where an attempt goes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// The endpoint.
    pub key: EndpointKey,
    /// Work that it gets by this.
    pub load: Load,
    /// Expected time to the first piece.
    pub expected: Duration,
    /// The same at the usual pace of the endpoint.
    pub nominal: Duration,
    /// Whether the endpoint is only to read the prompt.
    pub reads: bool,
    /// Engine that the endpoint should fetch parts of the prompt from.
    pub fetch: Option<EndpointKey>,
}

/// Why there is no place.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DenialCause {
    /// The service has no endpoint that takes work.
    NoEndpoint,
    /// No endpoint can answer within the limit.
    TooLate,
    /// All endpoints have said that they want no work for a while.
    Paused,
}

/// There is no place now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Denial {
    /// Why.
    pub cause: DenialCause,
    /// Time after which there may be one.
    pub back: Duration,
}

/// Parts of a prompt that an engine fetches from another one in place of reading them.
#[derive(Clone, Copy, Debug)]
struct Fetch {
    source: EndpointKey,
    ms: f64,
}

/// One way to serve an attempt.
#[derive(Clone, Copy, Debug)]
struct Way {
    choice: Choice,
    /// Part of the expected time that other requests take.
    wait: Duration,
    /// Time that it takes from other runs, in milliseconds.
    harm: f64,
    /// What is compared: time to the first piece and work that others wait for, in milliseconds.
    cost: f64,
}

impl Board {
    /// Chooses the endpoint of a call that is no generation: the least loaded one.
    ///
    /// # Errors
    ///
    /// [`Denial`] if none can take it within the limit.
    pub fn choose_plain(&self, wanted: &Wanted, now: Moment) -> Result<Choice, Denial> {
        let waiting =
            |seat: &Seat| f64::from(seat.load(now).attempts) / f64::from(seat.facts.slots.max(1));
        let ways = self.open(wanted, None, now).map(|(key, seat)| {
            let waiting = waiting(seat);
            let near = if seat.facts.domain == wanted.domain { DOMAIN_ADVANTAGE } else { 0.0 };
            let pace = seat.pace(now);
            let nominal = PLAIN_HOLD.mul_f64((waiting - 1.0).max(0.0) + 1.0);
            let load = Load { attempts: 1, ..Load::default() };
            let expected = nominal.mul_f64(pace);
            let cost = waiting * pace - near + seat.trust.rate(now) * FAILURE_LOAD;
            let choice = Choice { key, load, expected, nominal, reads: false, fetch: None };
            Way { choice, wait: Duration::ZERO, harm: 0.0, cost }
        });
        let way = pick(&ways.collect::<Vec<_>>(), 0.0, wanted.draw);
        let way = way.ok_or_else(|| self.no_place(wanted, None, now))?;
        let waiting = waiting(&self.seats[way.choice.key]);
        if waiting > PLAIN_QUEUE + 1.0 {
            return Err(too_late(PLAIN_HOLD.mul_f64(waiting)));
        }
        Ok(way.choice)
    }

    /// Chooses where a generation begins: at an engine that reads its prompt for another one, or
    /// at one that does the whole run.
    ///
    /// Requests that share a part of their prompt meet at the engines that keep it. An engine that
    /// would have to read the part anew is used only where that is earlier even with the work that
    /// the reading takes from others, so that copies do not crowd out each other under load.
    ///
    /// # Errors
    ///
    /// [`Denial`] if no engine can begin the answer within the limit.
    pub fn choose_run(&self, wanted: &Wanted, split: bool, now: Moment) -> Result<Choice, Denial> {
        let home = self.home(wanted, Stage::Prefill, now);
        let decode = self.open(wanted, Some(Stage::Decode), now);
        let decode = decode.map(|(key, seat)| self.decode_way(key, seat, wanted, false, now));
        let decode = decode.min_by(|a, b| a.cost.total_cmp(&b.cost));
        let whole = self.open(wanted, Some(Stage::Decode), now);
        let whole = whole.map(|(key, seat)| self.whole_way(key, seat, wanted, now));
        let apart = self.open(wanted, Some(Stage::Prefill), now).filter(|_| split);
        let apart = apart.zip(std::iter::repeat(decode)).filter_map(|((key, seat), decode)| {
            let mut way = self.read_way(key, seat, wanted, &decode?, now);
            way.cost -= if home == Some(key) { HOME_MS } else { 0.0 };
            Some(way)
        });
        within(whole.chain(apart), wanted)
            .unwrap_or_else(|| Err(self.no_place(wanted, Some(Stage::Decode), now)))
    }

    /// Chooses the engine that generates after another one has read the prompt.
    ///
    /// # Errors
    ///
    /// [`Denial`] if there is none.
    pub fn choose_decode(
        &self,
        wanted: &Wanted,
        source: EndpointKey,
        now: Moment,
    ) -> Result<Choice, Denial> {
        let domain = self.seats.get(source).map(|seat| seat.facts.domain.clone());
        let ways = self.open(wanted, Some(Stage::Decode), now).map(|(key, seat)| {
            let far = domain.as_ref().is_some_and(|domain| *domain != seat.facts.domain);
            self.decode_way(key, seat, wanted, far, now)
        });
        within(ways, wanted).unwrap_or_else(|| Err(self.no_place(wanted, Some(Stage::Decode), now)))
    }

    /// The same at a given engine, which has a copy of the run's memory.
    ///
    /// # Errors
    ///
    /// [`Denial`] if the engine takes no work.
    pub fn choose_at(
        &self,
        wanted: &Wanted,
        at: EndpointKey,
        now: Moment,
    ) -> Result<Choice, Denial> {
        let mut open = self.open(wanted, Some(Stage::Decode), now);
        let seat = open.find(|(key, _)| *key == at).map(|(_, seat)| seat);
        let way = seat.map(|seat| self.decode_way(at, seat, wanted, false, now));
        way.map(|way| way.choice).ok_or_else(|| self.no_place(wanted, Some(Stage::Decode), now))
    }

    /// The engine that should get a copy of a run's memory: the least filled one, near the run's own.
    ///
    /// Answers the loss of engines: a stream that may not run again goes on from the copy.
    pub fn choose_backup(
        &self,
        wanted: &Wanted,
        run: EndpointKey,
        now: Moment,
    ) -> Option<EndpointKey> {
        let domain = &self.seats.get(run)?.facts.domain;
        let others = self.open(wanted, Some(Stage::Decode), now).filter(|(key, _)| *key != run);
        let filled = |seat: &Seat| (seat.facts.domain != *domain, seat.load(now).context);
        others.min_by_key(|(_, seat)| filled(seat)).map(|(key, _)| key)
    }

    /// The engine of a stage that the hash of a prompt's largest shared part prefers.
    fn home(&self, wanted: &Wanted, stage: Stage, now: Moment) -> Option<EndpointKey> {
        let (_, shared) = wanted.parts.split_last()?;
        let part = shared.iter().max_by_key(|part| part.tokens)?;
        let open = self.open(wanted, Some(stage), now);
        open.max_by_key(|(_, seat)| score(part.id, seat.digest)).map(|(key, _)| key)
    }

    /// The whole run at one engine.
    fn whole_way(&self, key: EndpointKey, seat: &Seat, wanted: &Wanted, now: Moment) -> Way {
        let costs = &self.settings.costs;
        let (read, fetched) = self.read_work(key, seat, wanted, now);
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
        let crowding = self.crowding_ms(seat, step, now);
        // Every run in the batch waits while a piece of the prompt is read.
        let held = read * f64::from(seat.load(now).attempts.min(seat.facts.slots)) * HELD_SHARE;
        let harm = held + stalled;
        let cost = first + harm + crowding + self.failure_ms(seat, now);
        let choice = choice(key, load, first, costs.intake_ms + work, false);
        let choice = Choice { fetch: fetched.map(|fetched| fetched.source), ..choice };
        Way { choice, wait: millis(wait * pace), harm, cost }
    }

    /// Milliseconds that a prefill engine reads of a prompt, and the fetch that spares it more.
    fn read_work(
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

    /// Only the reading at one engine, for another one.
    fn read_way(
        &self,
        key: EndpointKey,
        seat: &Seat,
        wanted: &Wanted,
        decode: &Way,
        now: Moment,
    ) -> Way {
        let costs = &self.settings.costs;
        let (read, fetched) = self.read_work(key, seat, wanted, now);
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
        Way { choice, wait: millis(backlog * pace) + decode.wait, harm: 0.0, cost }
    }

    /// Only the generation at one engine.
    fn decode_way(
        &self,
        key: EndpointKey,
        seat: &Seat,
        wanted: &Wanted,
        far: bool,
        now: Moment,
    ) -> Way {
        let pace = seat.pace(now);
        let (wait, step) = self.decode_wait(seat, wanted, now);
        let transfer = self.transfer_ms(wanted) * if far { 2.0 } else { 1.0 };
        let first = transfer + (wait + step) * pace;
        let output = wanted.output.max(1);
        let load = Load { attempts: 1, unread: 0, context: wanted.prompt, output };
        let stalled = self.stalled_ms(seat, wanted, 0, step, now);
        let cost = first + self.crowding_ms(seat, step, now) + stalled + self.failure_ms(seat, now);
        let choice = choice(key, load, first, transfer + wait + step, false);
        Way { choice, wait: millis(wait * pace), harm: 0.0, cost }
    }

    /// Milliseconds until an engine has a slot for one more run, and of its steps then.
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

    /// What a run costs those that share its engine's steps, in milliseconds.
    fn crowding_ms(&self, seat: &Seat, step: f64, now: Moment) -> f64 {
        let slots = f64::from(seat.facts.slots.max(1));
        step * f64::from(seat.load(now).attempts) / slots
    }

    /// What reading a prompt costs those whose events it holds back, in milliseconds.
    ///
    /// A decode engine reads a piece of the prompt before each step. The steps of one event may
    /// take as long as the pause between events that is on time.
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

    /// Milliseconds to move a prompt's memory between two engines of one failure domain.
    fn transfer_ms(&self, wanted: &Wanted) -> f64 {
        self.settings.costs.setup_ms + f64::from(wanted.prompt) * self.token_transfer_ms
    }

    /// An engine is to read or fetch a prompt, which it keeps for a while.
    pub fn note_read(&mut self, key: EndpointKey, parts: &[Part], now: Moment) {
        let memory = self.settings.costs.memory;
        if let Some(seat) = self.seats.get_mut(key) {
            seat.cache.note(parts, memory, now);
        }
    }

    /// Whether a service has an engine of a stage that takes work.
    pub fn has_stage(&self, service: &str, stage: Stage) -> bool {
        let mut seats = self.members(service).iter().map(|key| &self.seats[*key]);
        seats.any(|seat| seat.facts.stage == Some(stage) && !seat.is_leaving())
    }

    /// Milliseconds of prompts that an engine has yet to read, at a prefill engine's rate.
    fn backlog_ms(&self, seat: &Seat, now: Moment) -> f64 {
        f64::from(seat.load(now).unread) / self.settings.costs.read_rate
    }

    /// Why no endpoint of a stage takes an attempt, and when one should.
    fn no_place(&self, wanted: &Wanted, stage: Option<Stage>, now: Moment) -> Denial {
        let members = self.members(&wanted.service).iter().map(|key| &self.seats[*key]);
        let members = members.filter(|seat| stage.is_none() || seat.facts.stage == stage);
        let paused = members.filter(|seat| !seat.is_leaving());
        match paused.filter_map(|seat| seat.standing.paused(now)).min() {
            Some(back) => Denial { cause: DenialCause::Paused, back: back.max(MIN_RETURN) },
            None => Denial { cause: DenialCause::NoEndpoint, back: NO_ENDPOINT_RETURN },
        }
    }

    /// Endpoints that take an attempt: avoided ones only if there are no others, and ones that want
    /// no work, once each, only if all want none.
    fn open<'a>(
        &'a self,
        wanted: &'a Wanted,
        stage: Option<Stage>,
        now: Moment,
    ) -> impl Iterator<Item = (EndpointKey, &'a Seat)> + 'a {
        let usable = move |key: &EndpointKey| {
            let seat = &self.seats[*key];
            !seat.is_leaving()
                && (stage.is_none() || seat.facts.stage == stage)
                && !wanted.tried.contains(key)
                && seat.own.attempts < wanted.share
        };
        let members = self.members(&wanted.service);
        let willing = move |key: &EndpointKey| self.seats[*key].standing.paused(now).is_none();
        let all_paused = !members.iter().any(|key| usable(key) && willing(key));
        let usable = move |key: &EndpointKey| {
            let may_try = all_paused && self.seats[*key].standing.may_try(now);
            usable(key) && (willing(key) || may_try)
        };
        let trusted = members.iter().any(|key| usable(key) && !self.seats[*key].is_avoided(now));
        let kept = move |key: &&EndpointKey| {
            usable(key) && (!trusted || !self.seats[**key].is_avoided(now))
        };
        members.iter().filter(kept).map(|key| (*key, &self.seats[*key]))
    }
}

fn choice(key: EndpointKey, load: Load, first: f64, nominal: f64, reads: bool) -> Choice {
    Choice { key, load, expected: millis(first), nominal: millis(nominal), reads, fetch: None }
}

/// The cheapest of the ways that are in time; `None` if there are no ways.
fn within(ways: impl Iterator<Item = Way>, wanted: &Wanted) -> Option<Result<Choice, Denial>> {
    let mut open: Vec<Way> = Vec::new();
    let mut earliest: Option<Duration> = None;
    for way in ways {
        let expected = way.choice.expected;
        earliest = Some(earliest.map_or(expected, |known| known.min(expected)));
        let in_time = expected <= wanted.aim || way.wait <= wanted.slack;
        if in_time && way.harm <= MAX_HARM_MS && expected <= wanted.limit {
            open.push(way);
        }
    }
    match (pick(&open, as_ms(wanted.unseen), wanted.draw), earliest) {
        (Some(way), _) => Some(Ok(way.choice)),
        (None, Some(earliest)) => Some(Err(too_late(earliest.saturating_sub(wanted.aim)))),
        (None, None) => None,
    }
}

/// A way drawn from those that cost hardly more than the cheapest one.
///
/// Instances that do not know of each other's choices yet would all take the very cheapest, and
/// queue there while its equals stay idle.
fn pick(ways: &[Way], spread: f64, draw: f64) -> Option<Way> {
    let least = ways.iter().map(|way| way.cost).min_by(f64::total_cmp)?;
    let near: Vec<&Way> = ways.iter().filter(|way| way.cost <= least + spread).collect();
    near.get((draw * near.len() as f64) as usize).or(near.last()).map(|way| **way)
}

fn too_late(back: Duration) -> Denial {
    Denial { cause: DenialCause::TooLate, back: back.max(MIN_RETURN) }
}

fn as_ms(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}
