//! Selects the instances of a failure domain that collect the load reports of the domain and
//! forward them.
//!
//! In a large fleet an instance reports only to the collectors of its domain. They send one
//! datagram per round to each instance of their domain and sums to the collectors of the other
//! domains, so that the number of messages is linear in the size of the fleet, not quadratic. Every
//! instance selects the collectors by itself from the members that it knows, without lease or vote.
//! An instance that receives reports acts as a collector.

use std::collections::HashMap;
use std::time::Duration;

use agatestair_policy::Moment;

use crate::watchers::Rank;

/// Number of collectors of a failure domain, so that one can fail at any time.
const COLLECTORS: usize = 2;

/// Silence after which a collector is suspected: three rounds of the smallest instance. With a
/// shorter time, an instance that got no CPU time for a while would suspect all others.
const SILENCE: Duration = Duration::from_millis(800);

/// Time between two digests of a collector whose weight is at least [`FULL_WEIGHT`].
const INTERVAL: Duration = Duration::from_millis(40);

/// The same for smaller instances, whose links are slow: in a fleet of 300, sending 5 kB to each of
/// 60 members takes 1 MB/s.
const LONG_INTERVAL: Duration = Duration::from_millis(320);

/// Time for which reports repeat that a load has ended: five reports to each of two collectors.
pub const REPORT_CLEARED: Duration = Duration::from_millis(200);

/// Smallest weight, in thousandths of a core, at which an instance can send digests every
/// [`INTERVAL`].
const FULL_WEIGHT: u32 = 250;

/// Time between two digests of a collector with a weight.
pub fn interval(weight: u32) -> Duration {
    if weight >= FULL_WEIGHT { INTERVAL } else { LONG_INTERVAL }
}

/// Time for which a suspected collector is replaced by another instance.
const SUSPICION: Duration = Duration::from_secs(2);

/// Time for which an instance keeps collecting after it last received a report as a collector.
const APPOINTMENT: Duration = Duration::from_secs(1);

/// The collectors of the own failure domain, as this instance sees them.
#[derive(Clone, Debug, Default)]
pub struct Collectors {
    /// The selected collectors, and since when each is selected.
    chosen: Vec<(Rank, Moment)>,
    heard: HashMap<Rank, Moment>,
    suspected: HashMap<Rank, Moment>,
    appointed: Option<Moment>,
}

impl Collectors {
    /// Selects the collectors from the instances of the domain that may be alive, including this
    /// one.
    pub fn choose(&mut self, own: Rank, mut alive: Vec<Rank>, now: Moment) -> Vec<Rank> {
        alive.sort_unstable();
        self.heard.retain(|_, at| now.since(*at) < SUSPICION);
        self.suspected.retain(|_, until| now < *until);
        for (rank, since) in &self.chosen {
            let heard = self.heard.get(rank).map_or(*since, |heard| *heard.max(since));
            if *rank != own && now.since(heard) >= SILENCE {
                self.suspected.insert(*rank, now + SUSPICION);
            }
        }
        let trusted = alive.iter().filter(|rank| !self.suspected.contains_key(rank));
        let mut ranks: Vec<Rank> = trusted.take(COLLECTORS).copied().collect();
        if ranks.iter().all(|rank| *rank == own) {
            // All others are silent, so this instance may itself be partitioned.
            ranks.extend(alive.iter().filter(|rank| **rank != own).take(1));
        }
        let previous = std::mem::take(&mut self.chosen);
        let since = |rank: &Rank| previous.iter().find(|(known, _)| known == rank);
        self.chosen =
            ranks.iter().map(|rank| (*rank, since(rank).map_or(now, |(_, at)| *at))).collect();
        ranks
    }

    /// Clears the selection, since a small fleet needs no collectors.
    pub fn clear(&mut self) {
        self.chosen.clear();
    }

    /// Position of this instance among the collectors of its domain; the last position if it is not
    /// selected.
    pub fn position(&self, own: Rank) -> usize {
        let position = self.chosen.iter().position(|(rank, _)| *rank == own);
        position.unwrap_or(COLLECTORS - 1).min(COLLECTORS - 1)
    }

    /// Records a digest from a collector of the own domain.
    pub fn note_heard(&mut self, rank: Rank, now: Moment) {
        self.heard.insert(rank, now);
        self.suspected.remove(&rank);
    }

    /// Records that another instance uses this one as a collector.
    pub fn note_appointed(&mut self, now: Moment) {
        self.appointed = Some(now);
    }

    /// Whether this instance is a collector of its domain.
    pub fn is_collector(&self, own: Rank, now: Moment) -> bool {
        let appointed = self.appointed.is_some_and(|at| now.since(at) < APPOINTMENT);
        appointed || self.chosen.iter().any(|(rank, _)| *rank == own)
    }
}
