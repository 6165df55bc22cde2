//! Placement without a queue of our own: one attempt goes to one endpoint at once, or is refused.
//!
//! A [`Board`] holds what one instance knows of each endpoint: its own attempts, what other
//! instances last said of theirs, and what the endpoint's answers showed. Engines order their own
//! queues by urgency, so an attempt is handed over as soon as it is placed.

mod cache;
mod choose;
mod cost;
mod leavers;
mod load;
mod seat;
mod select;
mod standing;
mod trust;
mod wanted;
mod ways;

pub use cache::CacheModel;
pub use cost::{EngineCosts, NOTABLE_TOKENS};
pub use load::{Load, PEER_LIFETIME, PeerLoads};
pub use seat::{Seat, SeatFacts, Stage};
pub use standing::{MAX_PAUSE, Standing};
pub use trust::{Trouble, Trust, TrustSettings};
pub use wanted::{Choice, Denial, DenialCause, Part, Wanted};

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use slotmap::SlotMap;

use crate::board::leavers::Leavers;
use crate::keys::EndpointKey;
use crate::moment::Moment;

/// Weight of one run in [`Board::output_share`].
const OUTPUT_WEIGHT: f64 = 0.02;

/// Bound of one run's share, against a single outlier.
const MAX_OUTPUT_SHARE: f64 = 4.0;

/// Settings of a [`Board`].
#[derive(Clone, Copy, Debug, Default)]
pub struct BoardSettings {
    /// Costs of model engines.
    pub costs: EngineCosts,
    /// Ejection of endpoints that fail.
    pub trust: TrustSettings,
}

/// Age up to which an endpoint's own word on its pace is passed on.
const FRESH_PACE: Duration = Duration::from_millis(100);

/// What one instance tells others of one endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Telling {
    /// Digest of the endpoint's name.
    pub endpoint: u64,
    /// The instance's own attempts there.
    pub load: Load,
    /// How long work takes there against what is usual, and how old that word is.
    pub pace: Option<(f64, Duration)>,
}

/// What one instance knows of every endpoint.
#[derive(Debug, Default)]
pub struct Board {
    /// Settings in force.
    pub settings: BoardSettings,
    /// Endpoints by key.
    pub seats: SlotMap<EndpointKey, Seat>,
    /// Tokens that runs generate against what was told of them, as seen lately.
    pub output_share: f64,
    /// Milliseconds to move a token's memory between two engines of one failure domain.
    pub token_transfer_ms: f64,
    services: HashMap<Arc<str>, Vec<EndpointKey>>,
    names: HashMap<Arc<str>, EndpointKey>,
    digests: HashMap<u64, EndpointKey>,
    leavers: Leavers,
}

impl Board {
    /// Creates an empty board.
    pub fn new(settings: BoardSettings) -> Self {
        Self { settings, output_share: 1.0, ..Self::default() }
    }

    /// Adds an endpoint or takes over what changed of a known one.
    ///
    /// An endpoint that started again under its name is a new one: nothing observed of the former
    /// one holds.
    pub fn upsert(&mut self, facts: SeatFacts) -> EndpointKey {
        if let Some(key) = self.names.get(&facts.name).copied() {
            let seat = &mut self.seats[key];
            let same = seat.facts.born == facts.born
                && seat.facts.service == facts.service
                && seat.facts.address == facts.address;
            if same {
                seat.facts = facts;
                return key;
            }
            self.remove(key);
        }
        let (name, service) = (facts.name.clone(), facts.service.clone());
        let digest = crate::assign::digest(&name);
        let leaving = self.leavers.contains(&name, facts.born);
        let mut seat = Seat::new(facts, digest);
        seat.standing.leaving = leaving;
        let key = self.seats.insert(seat);
        self.digests.insert(digest, key);
        self.names.insert(name, key);
        self.services.entry(service).or_default().push(key);
        key
    }

    /// Forgets an endpoint.
    pub fn remove(&mut self, key: EndpointKey) {
        let Some(seat) = self.seats.remove(key) else { return };
        self.names.remove(&seat.facts.name);
        self.digests.remove(&seat.digest);
        if let Some(keys) = self.services.get_mut(&seat.facts.service) {
            keys.retain(|other| *other != key);
        }
    }

    /// Key of the endpoint with a name.
    pub fn find(&self, name: &str) -> Option<EndpointKey> {
        self.names.get(name).copied()
    }

    /// Keys of a service's endpoints.
    pub fn members(&self, service: &str) -> &[EndpointKey] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Notes that an attempt with this load went to an endpoint.
    pub fn start(&mut self, key: EndpointKey, load: Load) {
        if let Some(seat) = self.seats.get_mut(key) {
            seat.own.add(load);
        }
    }

    /// Notes that the attempt has ended there.
    pub fn finish(&mut self, key: EndpointKey, load: Load, now: Moment) {
        if let Some(seat) = self.seats.get_mut(key) {
            seat.own.subtract(load);
            seat.cleared = seat.own.is_empty().then_some(now);
        }
    }

    /// Takes over what another instance says of its own attempts.
    pub fn note_peer(&mut self, peer: u64, tellings: &[Telling], now: Moment) {
        for telling in tellings {
            let Some(key) = self.digests.get(&telling.endpoint) else { continue };
            let seat = &mut self.seats[*key];
            seat.peers.note(peer, telling.load, now);
            if let Some((pace, age)) = telling.pace {
                seat.note_pace(pace, now - age);
            }
        }
    }

    /// Key of the endpoint that messages name by a digest.
    pub fn find_digest(&self, digest: u64) -> Option<EndpointKey> {
        self.digests.get(&digest).copied()
    }

    /// This instance's own loads and what it last heard of paces, for other instances.
    ///
    /// Loads that ended within `cleared` are among them, since a datagram that says so may be lost.
    pub fn tellings(&self, cleared: Duration, now: Moment) -> Vec<Telling> {
        let told = |seat: &&Seat| {
            !seat.own.is_empty() || seat.cleared.is_some_and(|at| now.since(at) < cleared)
        };
        let busy = self.seats.values().filter(told);
        busy.map(|seat| telling(seat, now)).collect()
    }

    /// The same of some endpoints.
    pub fn tellings_of(&self, keys: &[EndpointKey], now: Moment) -> Vec<Telling> {
        keys.iter().filter_map(|key| Some(telling(self.seats.get(*key)?, now))).collect()
    }

    /// Work at every endpoint of this instance and of all that are heard, without `left_out`.
    pub fn totals(&self, left_out: &HashSet<u64>, now: Moment) -> Vec<Telling> {
        let total = |seat: &Seat| Telling {
            endpoint: seat.digest,
            load: seat.own + seat.peers.sum_without(left_out, now),
            pace: fresh_pace(seat.paced, now),
        };
        self.seats.values().map(total).collect()
    }

    /// Whether an attempt may still go to an endpoint.
    pub fn is_open(&self, key: EndpointKey) -> bool {
        self.seats.get(key).is_some_and(|seat| !seat.is_leaving())
    }

    /// An endpoint has announced its leaving, in an answer to this instance; returns whether that
    /// is news.
    pub fn note_leaving(&mut self, key: EndpointKey, now: Moment) -> bool {
        self.set_leaving(key, true, now)
    }

    /// Another instance has heard from the endpoint with a digest, which started at `born`, that it
    /// is leaving; returns its name if that is news.
    pub fn hear_leaving(&mut self, digest: u64, born: u64, now: Moment) -> Option<Arc<str>> {
        let key = self.find_digest(digest)?;
        let facts = &self.seats[key].facts;
        let name = facts.name.clone();
        (facts.born == born && self.set_leaving(key, false, now)).then_some(name)
    }

    fn set_leaving(&mut self, key: EndpointKey, own: bool, now: Moment) -> bool {
        let Some(seat) = self.seats.get_mut(key) else { return false };
        let news = !std::mem::replace(&mut seat.standing.leaving, true);
        if news {
            self.leavers.note(seat.facts.name.clone(), seat.facts.born, own, now);
        }
        news
    }

    /// No connection to an endpoint succeeds; returns whether that is news.
    pub fn note_dark(&mut self, key: EndpointKey) -> bool {
        self.seats.get_mut(key).is_some_and(|seat| !std::mem::replace(&mut seat.dark, true))
    }

    /// An endpoint can be reached again.
    pub fn note_reached(&mut self, key: EndpointKey) {
        if let Some(seat) = self.seats.get_mut(key) {
            seat.dark = false;
        }
    }

    /// Whether no connection to an endpoint succeeds.
    pub fn is_dark(&self, key: EndpointKey) -> bool {
        self.seats.get(key).is_some_and(|seat| seat.dark)
    }

    /// Name of an endpoint, if it is still listed.
    pub fn name(&self, key: EndpointKey) -> Option<Arc<str>> {
        self.seats.get(key).map(|seat| seat.facts.name.clone())
    }

    /// An endpoint wants no work for a while.
    pub fn note_pause(&mut self, key: EndpointKey, told: Duration, now: Moment) {
        if let Some(seat) = self.seats.get_mut(key) {
            seat.standing.pause(told, now);
        }
    }

    /// Whether an endpoint wants no work.
    pub fn is_paused(&self, key: EndpointKey, now: Moment) -> bool {
        self.seats.get(key).is_some_and(|seat| seat.standing.paused(now).is_some())
    }

    /// An attempt goes to an endpoint; returns whether that is a trial, since it wants no work.
    pub fn note_trial(&mut self, key: EndpointKey, now: Moment) -> bool {
        let trial = self.is_paused(key, now);
        if let Some(seat) = self.seats.get_mut(key) {
            seat.standing.note_attempt(now);
        }
        trial
    }

    /// An endpoint said something that cannot be understood; returns whether it is the first time.
    pub fn note_odd(&mut self, key: EndpointKey) -> bool {
        self.seats.get_mut(key).is_some_and(|seat| !std::mem::replace(&mut seat.standing.odd, true))
    }

    /// Digests and starts of the endpoints that announced their leaving to this instance within a
    /// time, for other instances.
    pub fn leavers_told(&self, within: Duration, now: Moment) -> Vec<(u64, u64)> {
        self.leavers.told(within, now)
    }

    /// Forgets what endpoints that are long gone have announced.
    pub fn expire_leavers(&mut self, now: Moment) {
        let names = &self.names;
        self.leavers.expire(|name| names.contains_key(name), now);
    }

    /// Notes an answer of an endpoint: how long it took against what was expected.
    pub fn note_success(&mut self, key: EndpointKey, ratio: f64, now: Moment) {
        if let Some(seat) = self.seats.get_mut(key) {
            seat.trust.succeed(ratio, now);
        }
    }

    /// Notes how many tokens a run generated, and how many had been told.
    pub fn note_output(&mut self, real: u32, told: u32) {
        let share = (f64::from(real) / f64::from(told.max(1))).min(MAX_OUTPUT_SHARE);
        self.output_share += OUTPUT_WEIGHT * (share - self.output_share);
    }

    /// Notes a failure of an endpoint; returns whether it is ejected by it.
    pub fn note_failure(&mut self, key: EndpointKey, trouble: Trouble, now: Moment) -> bool {
        let settings = self.settings.trust;
        self.seats.get_mut(key).is_some_and(|seat| seat.trust.fail(trouble, &settings, now))
    }
}

fn telling(seat: &Seat, now: Moment) -> Telling {
    Telling { endpoint: seat.digest, load: seat.own, pace: fresh_pace(seat.heard, now) }
}

/// A word on an endpoint's pace and its age, if it is still worth passing on.
fn fresh_pace(said: Option<(f64, Moment)>, now: Moment) -> Option<(f64, Duration)> {
    let (pace, at) = said.filter(|(_, at)| now.since(*at) < FRESH_PACE)?;
    Some((pace, now.since(at)))
}
