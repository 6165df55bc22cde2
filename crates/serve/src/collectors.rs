//! Which instances of a failure domain collect what its instances have in work, and pass it on.
//!
//! In a large fleet an instance tells only its domain's collectors. They send one datagram a round
//! to each instance of their domain and the sums to the collectors of the other domains, so that
//! messages grow with the fleet and not with its square. Every instance chooses by itself, from
//! the members that it knows: no lease, no vote. An instance that is asked to collect does so.

use std::collections::HashMap;
use std::time::Duration;

use agatestair_policy::Moment;

use crate::watchers::Rank;

/// Collectors of a failure domain: one may be lost at any time.
const COLLECTORS: usize = 2;

/// Silence after which a collector is taken to be lost: three rounds of the smallest instance. An
/// instance without processor time for a while would otherwise take all others to be lost.
const SILENCE: Duration = Duration::from_millis(800);

/// Time between two digests of an instance whose weight is at least [`FULL_WEIGHT`].
const INTERVAL: Duration = Duration::from_millis(40);

/// The same at smaller instances, whose links are narrow: 60 members get 5 kB each in a fleet of
/// 300, 1 MB/s.
const LONG_INTERVAL: Duration = Duration::from_millis(320);

/// Time for which an instance reports that a load is gone: five reports to each of two collectors.
pub const REPORT_CLEARED: Duration = Duration::from_millis(200);

/// Weight from which on an instance can send digests in every short interval, in thousandths of a
/// core.
const FULL_WEIGHT: u32 = 250;

/// Time between two digests of an instance with a weight.
pub fn interval(weight: u32) -> Duration {
    if weight >= FULL_WEIGHT { INTERVAL } else { LONG_INTERVAL }
}

/// Time for which another one is used in its place.
const SUSPICION: Duration = Duration::from_secs(2);

/// Time for which an instance goes on collecting after it was last asked to.
const ASKED: Duration = Duration::from_secs(1);

/// The collectors of the own failure domain, as this instance sees them.
#[derive(Clone, Debug, Default)]
pub struct Collectors {
    /// Who was chosen, and since when.
    chosen: Vec<(Rank, Moment)>,
    heard: HashMap<Rank, Moment>,
    suspected: HashMap<Rank, Moment>,
    asked: Option<Moment>,
}

impl Collectors {
    /// Chooses the collectors out of the instances of the domain that may be alive, this one
    /// included.
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
            // All others are silent: this instance may be the one that is cut off.
            ranks.extend(alive.iter().filter(|rank| **rank != own).take(1));
        }
        let former = std::mem::take(&mut self.chosen);
        let since = |rank: &Rank| former.iter().find(|(known, _)| known == rank);
        self.chosen =
            ranks.iter().map(|rank| (*rank, since(rank).map_or(now, |(_, at)| *at))).collect();
        ranks
    }

    /// The fleet is small: nobody is chosen.
    pub fn dismiss(&mut self) {
        self.chosen.clear();
    }

    /// Place of this instance among the collectors of its domain, the last one if it is none.
    pub fn place(&self, own: Rank) -> usize {
        let place = self.chosen.iter().position(|(rank, _)| *rank == own);
        place.unwrap_or(COLLECTORS - 1).min(COLLECTORS - 1)
    }

    /// A collector of the own domain was heard.
    pub fn note_heard(&mut self, rank: Rank, now: Moment) {
        self.heard.insert(rank, now);
        self.suspected.remove(&rank);
    }

    /// Another instance takes this one for a collector.
    pub fn note_asked(&mut self, now: Moment) {
        self.asked = Some(now);
    }

    /// Whether this instance collects for its domain.
    pub fn collects(&self, own: Rank, now: Moment) -> bool {
        let asked = self.asked.is_some_and(|at| now.since(at) < ASKED);
        asked || self.chosen.iter().any(|(rank, _)| *rank == own)
    }
}
