//! Choice of the endpoint for one attempt.
//!
//! Engines order their own queues by urgency, so a request is handed over as soon as an engine can
//! begin its answer on time. Under more load than that, handing over would make every answer late:
//! the excess is refused at once with the time at which there should be room.

use std::time::Duration;

use crate::assign::score;
use crate::board::load::Load;
use crate::board::select::{MIN_RETURN, pick, too_late, within};
use crate::board::wanted::{Choice, Denial, DenialCause, Part, Wanted};
use crate::board::ways::Way;
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

/// Advantage of the engine that a shared part's hash prefers, so that instances which do not know of
/// each other's choices yet make the same one, in milliseconds.
const HOME_MS: f64 = 30.0;

/// Longest time of an engine's link that a copy of a run's memory may take, in milliseconds.
const MAX_COPY_MS: f64 = 5.0;

/// Time after which a caller comes back to a service that has no endpoint.
const NO_ENDPOINT_RETURN: Duration = Duration::from_secs(1);

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
    /// Answers the loss of engines: a stream that may not run again goes on from the copy. A large
    /// copy would keep prompts that were read for others waiting on the engines' links.
    pub fn choose_backup(
        &self,
        wanted: &Wanted,
        run: EndpointKey,
        now: Moment,
    ) -> Option<EndpointKey> {
        if f64::from(wanted.prompt) * self.token_transfer_ms > MAX_COPY_MS {
            return None;
        }
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
