//! Endpoints as the platform's store lists them.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use agatestair_policy::board::{Board, EndpointFacts};
use agatestair_policy::{EndpointKey, Moment};

/// Time for which endpoints whose entries have expired are kept after the store becomes reachable
/// again. Entries that expired during the outage are rewritten within about two seconds.
pub const RETURN_GRACE: Duration = Duration::from_secs(2);

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

    /// Adds or updates an endpoint.
    pub fn upsert(&mut self, board: &mut Board, facts: EndpointFacts) -> EndpointKey {
        self.expired.remove(&facts.name);
        board.upsert(facts)
    }

    /// Handles the removal of an endpoint's entry; returns whether the endpoint was removed at
    /// once.
    ///
    /// Just after an outage of the store the entry may merely have expired, so the endpoint is kept
    /// for `RETURN_GRACE` unless it is shutting down.
    pub fn remove(&mut self, board: &mut Board, name: &str, now: Moment) -> bool {
        let Some(key) = board.find(name) else { return false };
        let until = self.up_since.map(|since| since + RETURN_GRACE).filter(|until| now < *until);
        let leaving = board.endpoints[key].is_leaving();
        if let (Some(until), false) = (until, leaving) {
            self.expired.entry(board.endpoints[key].facts.name.clone()).or_insert(until);
            return false;
        }
        self.expired.remove(name);
        board.remove(key);
        true
    }

    /// Removes an endpoint whose entry no longer names one; returns whether there was one.
    pub fn discard(&mut self, board: &mut Board, name: &str) -> bool {
        self.expired.remove(name);
        board.find(name).inspect(|key| board.remove(*key)).is_some()
    }

    /// Removes the endpoints that are not in a full read of the list; returns their names.
    pub fn retain(&mut self, board: &mut Board, names: &[Arc<str>], now: Moment) -> Vec<Arc<str>> {
        let known: Vec<Arc<str>> =
            board.endpoints.values().map(|endpoint| endpoint.facts.name.clone()).collect();
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
                board.remove(key);
            }
        }
        due
    }
}
