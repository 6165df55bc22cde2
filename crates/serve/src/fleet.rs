//! Endpoints as the platform's store lists them.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use agatestair_policy::board::{Board, EndpointFacts};
use agatestair_policy::{EndpointKey, Moment};

/// Time for which endpoints whose entries have lapsed are kept after the store becomes reachable
/// again. Entries that lapsed during the outage are rewritten within about two seconds.
pub const RETURN_GRACE: Duration = Duration::from_secs(2);

/// Applies the store's list of endpoints to the [`Board`].
#[derive(Debug, Default)]
pub struct Fleet {
    /// Whether the list has been read since the start.
    pub known: bool,
    /// Endpoints whose entries have lapsed, and until when they are kept.
    lapsed: HashMap<Arc<str>, Moment>,
    /// Since when the store is unreachable.
    down_since: Option<Moment>,
    /// Since when the store is reachable again after an outage.
    up_since: Option<Moment>,
    /// Latest known answer of the store to any instance.
    answered: Moment,
    /// Last answer of the store to this instance, `None` if the last call failed.
    own_answer: Option<Moment>,
}

impl Fleet {
    /// Records that a call of the store failed.
    pub fn note_away(&mut self, now: Moment) {
        self.down_since.get_or_insert(now);
        self.own_answer = None;
    }

    /// Whether the store is considered unreachable.
    pub fn is_store_down(&self) -> bool {
        self.down_since.is_some()
    }

    /// Records that the store answered this instance.
    pub fn note_back(&mut self, now: Moment) {
        self.answered = now;
        self.own_answer = Some(now);
        if self.down_since.take().is_some() {
            self.up_since = Some(now);
        }
    }

    /// Time since the store answered this instance, and since the end of the last outage if there
    /// was one; `None` if the last call failed or the list has not been read yet.
    pub fn contact(&self, now: Moment) -> Option<(Duration, Option<Duration>)> {
        let answered = self.own_answer.filter(|_| self.known)?;
        Some((now.since(answered), self.up_since.map(|since| now.since(since))))
    }

    /// Records that the store answered another instance, with the end of the last outage that the
    /// other instance noticed.
    pub fn hear_contact(&mut self, answered: Moment, returned: Option<Moment>) {
        self.answered = self.answered.max(answered);
        self.up_since = self.up_since.max(returned);
        self.down_since = None;
    }

    /// Adds or updates an endpoint.
    pub fn upsert(&mut self, board: &mut Board, facts: EndpointFacts) -> EndpointKey {
        self.lapsed.remove(&facts.name);
        board.upsert(facts)
    }

    /// Handles the removal of an endpoint's entry; returns whether the endpoint was removed at
    /// once.
    ///
    /// Just after an outage of the store the entry may merely have lapsed, so the endpoint is kept
    /// for `RETURN_GRACE` unless it is shutting down.
    pub fn remove(&mut self, board: &mut Board, name: &str, now: Moment) -> bool {
        let Some(key) = board.find(name) else { return false };
        let until = self.up_since.map(|since| since + RETURN_GRACE).filter(|until| now < *until);
        let leaving = board.endpoints[key].is_leaving();
        if let (Some(until), false) = (until, leaving) {
            self.lapsed.entry(board.endpoints[key].facts.name.clone()).or_insert(until);
            return false;
        }
        self.lapsed.remove(name);
        board.remove(key);
        true
    }

    /// Removes the endpoints that are not in a full read of the list; returns their names.
    pub fn retain(&mut self, board: &mut Board, names: &[Arc<str>], now: Moment) -> Vec<Arc<str>> {
        let known: Vec<Arc<str>> =
            board.endpoints.values().map(|endpoint| endpoint.facts.name.clone()).collect();
        let absent = known.into_iter().filter(|name| !names.contains(name));
        absent.filter(|name| self.remove(board, name, now)).collect()
    }

    /// Time until the first lapsed entry expires, if there is one.
    pub fn due(&self, now: Moment) -> Option<Duration> {
        self.lapsed.values().min().map(|until| until.since(now))
    }

    /// Removes endpoints whose grace period is over, once the store has answered after its end
    /// without listing them; returns their names.
    pub fn expire(&mut self, board: &mut Board) -> Vec<Arc<str>> {
        let due = self.lapsed.iter().filter(|(_, until)| self.answered >= **until);
        let due: Vec<Arc<str>> = due.map(|(name, _)| name.clone()).collect();
        for name in &due {
            self.lapsed.remove(name);
            if let Some(key) = board.find(name) {
                board.remove(key);
            }
        }
        due
    }
}
