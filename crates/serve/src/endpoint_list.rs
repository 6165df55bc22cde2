//! Endpoints as the platform's store lists them.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use agatestair_policy::board::{Board, EndpointFacts};
use agatestair_policy::{EndpointKey, Moment};

/// Time for which endpoints whose entries have expired are kept after the store becomes reachable
/// again. Entries that expired during the outage are rewritten within about two seconds.
pub const RETURN_GRACE: Duration = Duration::from_secs(2);

/// Time for which a restored store's entry of an endpoint that had left is not used. The entry of a
/// process that is gone lapses in it.
const HOLD: Duration = Duration::from_secs(5);

/// Time for which endpoints that left are remembered; copies of the store are seconds old.
const GONE_RETENTION: Duration = Duration::from_secs(120);

/// What an entry says of the endpoint that a restored store lists.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Restored {
    /// It is used.
    Used,
    /// The entry is older than what is known: the endpoint is shutting down.
    Leaving,
    /// The endpoint had left; it is used if the entry stays.
    Held,
}

/// An entry of a restored store that is older than what is known of its endpoint.
#[derive(Clone, Debug)]
struct HeldEntry {
    /// Version of the row.
    version: u64,
    facts: EndpointFacts,
    /// Until when it is not used; `None` until it is written again.
    until: Option<Moment>,
}

/// Applies the store's list of endpoints to the [`Board`].
#[derive(Debug, Default)]
pub struct EndpointList {
    /// Whether the list has been read since the start.
    pub known: bool,
    /// Endpoints whose entries have expired, and until when they are kept.
    expired: HashMap<Arc<str>, Moment>,
    /// Since when the store is unreachable.
    down_since: Option<Moment>,
    /// Since when the store is reachable again after an outage.
    up_since: Option<Moment>,
    /// Latest known response of the store to any instance.
    answered: Moment,
    /// Last response of the store to this instance, `None` if the last call failed.
    own_response: Option<Moment>,
    /// Start times of the endpoints that left, and when they did.
    gone: HashMap<Arc<str>, (u64, Moment)>,
    held: HashMap<Arc<str>, HeldEntry>,
}

impl EndpointList {
    /// Records that a call of the store failed.
    pub fn note_store_down(&mut self, now: Moment) {
        self.down_since.get_or_insert(now);
        self.own_response = None;
    }

    /// Whether the store is considered unreachable.
    pub fn is_store_down(&self) -> bool {
        self.down_since.is_some()
    }

    /// Records that the store answered this instance.
    pub fn note_store_up(&mut self, now: Moment) {
        self.answered = now;
        self.own_response = Some(now);
        if self.down_since.take().is_some() {
            self.up_since = Some(now);
        }
    }

    /// Time since the store answered this instance, and since the end of the last outage if there
    /// was one; `None` if the last call failed or the list has not been read yet.
    pub fn contact(&self, now: Moment) -> Option<(Duration, Option<Duration>)> {
        let answered = self.own_response.filter(|_| self.known)?;
        Some((now.since(answered), self.up_since.map(|since| now.since(since))))
    }

    /// Records that the store answered another instance, with the end of the last outage that the
    /// other instance noticed.
    pub fn note_peer_contact(&mut self, answered: Moment, returned: Option<Moment>) {
        self.answered = self.answered.max(answered);
        self.up_since = self.up_since.max(returned);
        self.down_since = None;
    }

    /// Whether the entry of an endpoint would have lapsed by now if the endpoint had been gone since a
    /// moment; entries last for `lifetime`, and the list shows nothing while the store is unreachable.
    pub fn shows_lapses(&self, name: &str, since: Moment, lifetime: Duration) -> bool {
        let since = self.up_since.map_or(since, |up| up.max(since));
        self.known
            && self.down_since.is_none()
            && self.answered >= since + lifetime
            && !self.expired.contains_key(name)
    }

    /// Records that the store was restored from a copy: entries that were written since then may be
    /// missing until they are written again.
    pub fn note_restored(&mut self, now: Moment) {
        self.up_since = Some(now);
    }

    /// Adds or updates an endpoint.
    pub fn upsert(&mut self, board: &mut Board, facts: EndpointFacts) -> EndpointKey {
        self.expired.remove(&facts.name);
        self.gone.remove(&facts.name);
        self.held.remove(&facts.name);
        board.upsert(facts)
    }

    /// Whether an entry in a reading of the list, with the version of its row, is one of a restored
    /// store that is held back.
    pub fn is_held(&self, name: &str, version: u64) -> bool {
        self.held.get(name).is_some_and(|held| held.version == version)
    }

    /// Adds or updates an endpoint from the first reading after a restore. Such an entry may be older
    /// than what is known of the same process, and does not undo that it is shutting down or has
    /// left.
    pub fn upsert_restored(
        &mut self,
        board: &mut Board,
        facts: EndpointFacts,
        version: u64,
        now: Moment,
    ) -> Restored {
        let leaves = board.find(&facts.name).is_some_and(|key| {
            let known = &board.endpoints[key];
            known.facts.born == facts.born && known.is_leaving()
        });
        let left = self.gone.get(&facts.name).is_some_and(|(born, _)| *born == facts.born);
        let (until, outcome) = match (leaves && !facts.leaving, left) {
            (true, _) => (None, Restored::Leaving),
            (false, true) => (Some(now + HOLD), Restored::Held),
            (false, false) => {
                self.upsert(board, facts);
                return Restored::Used;
            }
        };
        self.expired.remove(&facts.name);
        self.held.insert(facts.name.clone(), HeldEntry { version, facts, until });
        outcome
    }

    /// Adds the endpoints whose entries were held back for long enough, and forgets those that left
    /// long ago; returns the names of the added ones.
    pub fn release(&mut self, board: &mut Board, now: Moment) -> Vec<Arc<str>> {
        self.gone.retain(|_, (_, at)| now.since(*at) < GONE_RETENTION);
        let due = |held: &HeldEntry| held.until.is_some_and(|until| now >= until);
        let due = self.held.extract_if(|_, held| due(held));
        let due: Vec<EndpointFacts> = due.map(|(_, held)| held.facts).collect();
        let names = due.iter().map(|facts| facts.name.clone()).collect();
        for facts in due {
            self.upsert(board, facts);
        }
        names
    }

    /// Handles the removal of an endpoint's entry; returns whether the endpoint was removed at
    /// once.
    ///
    /// Just after an outage of the store the entry may merely have expired, so the endpoint is kept
    /// for `RETURN_GRACE` unless it is shutting down.
    pub fn remove(&mut self, board: &mut Board, name: &str, now: Moment) -> bool {
        self.held.remove(name);
        let Some(key) = board.find(name) else { return false };
        let until = self.up_since.map(|since| since + RETURN_GRACE).filter(|until| now < *until);
        let leaving = board.endpoints[key].is_leaving();
        if let (Some(until), false) = (until, leaving) {
            self.expired.entry(board.endpoints[key].facts.name.clone()).or_insert(until);
            return false;
        }
        self.expired.remove(name);
        self.note_gone(board, key, now);
        true
    }

    fn note_gone(&mut self, board: &mut Board, key: EndpointKey, now: Moment) {
        let facts = &board.endpoints[key].facts;
        self.gone.insert(facts.name.clone(), (facts.born, now));
        board.remove(key);
    }

    /// Removes an endpoint whose entry no longer names one; returns whether there was one.
    pub fn discard(&mut self, board: &mut Board, name: &str) -> bool {
        self.expired.remove(name);
        self.held.remove(name);
        board.find(name).inspect(|key| board.remove(*key)).is_some()
    }

    /// Removes the endpoints that are not in a full read of the list; returns their names.
    pub fn retain(&mut self, board: &mut Board, names: &[Arc<str>], now: Moment) -> Vec<Arc<str>> {
        let known: Vec<Arc<str>> =
            board.endpoints.values().map(|endpoint| endpoint.facts.name.clone()).collect();
        self.held.retain(|name, _| names.contains(name));
        let absent = known.into_iter().filter(|name| !names.contains(name));
        absent.filter(|name| self.remove(board, name, now)).collect()
    }

    /// Time until the first endpoint with an expired entry is removed, if there is one.
    pub fn due(&self, now: Moment) -> Option<Duration> {
        self.expired.values().min().map(|until| until.since(now))
    }

    /// Removes endpoints whose grace period is over, once the store has answered after its end
    /// without listing them; returns their names.
    pub fn expire(&mut self, board: &mut Board) -> Vec<Arc<str>> {
        let due = self.expired.iter().filter(|(_, until)| self.answered >= **until);
        let due: Vec<Arc<str>> = due.map(|(name, _)| name.clone()).collect();
        for name in &due {
            self.expired.remove(name);
            if let Some(key) = board.find(name) {
                self.note_gone(board, key, self.answered);
            }
        }
        due
    }
}
