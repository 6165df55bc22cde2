//! Endpoints as the platform's store lists them.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use agatestair_policy::board::{Board, SeatFacts};
use agatestair_policy::{EndpointKey, Moment};

/// Time after the store's return for which endpoints that it no longer lists are kept, since
/// entries that lapsed while it was away are written again within about two seconds.
pub const RETURN_GRACE: Duration = Duration::from_secs(2);

/// Follows the store's list of endpoints onto the board.
#[derive(Debug, Default)]
pub struct Fleet {
    /// Whether the list has been read since the start.
    pub known: bool,
    lapsed: HashMap<Arc<str>, Moment>,
    away: Option<Moment>,
    back: Option<Moment>,
    /// When the store last answered any instance, as far as is known.
    answered: Moment,
    /// When it last answered this one; `None` since a call has failed.
    own: Option<Moment>,
}

impl Fleet {
    /// The store cannot be reached.
    pub fn note_away(&mut self, now: Moment) {
        self.away.get_or_insert(now);
        self.own = None;
    }

    /// Whether the store's last call by this instance failed.
    pub fn is_away(&self) -> bool {
        self.away.is_some()
    }

    /// The store answers.
    pub fn note_back(&mut self, now: Moment) {
        self.answered = now;
        self.own = Some(now);
        if self.away.take().is_some() {
            self.back = Some(now);
        }
    }

    /// How long ago the store answered this instance, and since when it is back after an absence;
    /// `None` if it did not answer the last call.
    pub fn contact(&self, now: Moment) -> Option<(Duration, Option<Duration>)> {
        let own = self.own.filter(|_| self.known)?;
        Some((now.since(own), self.back.map(|back| now.since(back))))
    }

    /// The store answered another instance, which has had it back since a moment.
    pub fn hear_contact(&mut self, answered: Moment, returned: Option<Moment>) {
        self.answered = self.answered.max(answered);
        self.back = self.back.max(returned);
        self.away = None;
    }

    /// Takes over an entry.
    pub fn upsert(&mut self, board: &mut Board, facts: SeatFacts) -> EndpointKey {
        self.lapsed.remove(&facts.name);
        board.upsert(facts)
    }

    /// The store no longer lists an endpoint; returns whether it is gone at once.
    ///
    /// Just after an absence of the store the entry may only have lapsed, and is given time to
    /// come back.
    pub fn remove(&mut self, board: &mut Board, name: &str, now: Moment) -> bool {
        let Some(key) = board.find(name) else { return false };
        let until = self.back.map(|back| back + RETURN_GRACE).filter(|until| now < *until);
        let leaving = board.seats[key].is_leaving();
        if let (Some(until), false) = (until, leaving) {
            self.lapsed.entry(board.seats[key].facts.name.clone()).or_insert(until);
            return false;
        }
        self.lapsed.remove(name);
        board.remove(key);
        true
    }

    /// Removes all that a whole reading of the list does not name.
    pub fn retain(&mut self, board: &mut Board, names: &[Arc<str>], now: Moment) -> Vec<Arc<str>> {
        let known: Vec<Arc<str>> =
            board.seats.values().map(|seat| seat.facts.name.clone()).collect();
        let absent = known.into_iter().filter(|name| !names.contains(name));
        absent.filter(|name| self.remove(board, name, now)).collect()
    }

    /// Time until the store's word on a lapsed entry is due, if there is one.
    pub fn due(&self, now: Moment) -> Option<Duration> {
        self.lapsed.values().min().map(|until| until.since(now))
    }

    /// Removes the endpoints whose entries have not come back in time, as the store has said since.
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
