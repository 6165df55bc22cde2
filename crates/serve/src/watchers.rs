//! Selects the instances of a large fleet that follow the store for all others.
//!
//! There is no lease and no vote: every instance decides by itself whether it is a watcher, from
//! the bulletins that it receives. Two extra watchers cost a few calls; if there are too few,
//! others take over after a delay.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;

use agatestair_policy::Moment;

/// Number of instances that follow the store, so that two can fail at the same time.
pub const WATCHERS: usize = 3;

/// Time without a bulletin after which an instance no longer counts as a watcher: three missed
/// bulletins.
pub const SILENCE: Duration = Duration::from_millis(800);

/// Age of the store's last response to any watcher after which other instances call the store
/// themselves. A watcher cannot tell a long poll to a store that hangs from one without changes.
pub const STALE: Duration = Duration::from_millis(1700);

/// Time per known instance over which takeovers are spread, so that only a few instances take over
/// before the first of them is heard.
const TAKEOVER_SPREAD: Duration = Duration::from_millis(4);

/// Upper bound of this time.
const MAX_TAKEOVER_SPREAD: Duration = Duration::from_millis(1200);

/// Calls per second that all instances together make to detect that the store is reachable again.
const PROBE_RATE: f64 = 20.0;

/// Time between two such calls of one instance, in a fleet where `members` others make them too.
pub fn probe_pause(members: usize) -> Duration {
    Duration::from_secs_f64(members as f64 / PROBE_RATE)
}

/// Order of preference among instances; the lowest rank is preferred.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Rank(Reverse<u32>, u64);

impl Rank {
    /// Rank of an instance: a higher weight comes first, then a lower hash of its name.
    pub fn new(weight: u32, name_hash: u64) -> Self {
        Self(Reverse(weight), name_hash)
    }
}

/// The last bulletin of a watcher.
#[derive(Clone, Copy, Debug)]
struct LastBulletin {
    at: Moment,
    answered: Moment,
}

impl LastBulletin {
    fn is_fresh(&self, now: Moment) -> bool {
        now.since(self.at) < SILENCE && now.since(self.answered) < STALE
    }
}

/// The watchers that this instance receives bulletins from.
#[derive(Clone, Debug, Default)]
pub struct Watchers {
    bulletins: HashMap<Rank, LastBulletin>,
    /// Latest known response of the store to any watcher.
    answered: Moment,
    /// Whether this instance is a watcher.
    watching: bool,
}

impl Watchers {
    /// Records a bulletin of a watcher that the store answered `age` ago.
    pub fn note(&mut self, rank: Rank, age: Duration, now: Moment) {
        let answered = now - age;
        self.answered = self.answered.max(answered);
        self.bulletins.insert(rank, LastBulletin { at: now, answered });
        self.bulletins.retain(|_, last| now.since(last.at) < SILENCE);
    }

    /// Whether recent bulletins of a watcher that gets responses from the store have arrived.
    pub fn has_fresh_watcher(&self, now: Moment) -> bool {
        self.bulletins.values().any(|last| last.is_fresh(now))
    }

    /// Time since the latest known response of the store to any watcher.
    pub fn response_age(&self, now: Moment) -> Duration {
        now.since(self.answered)
    }

    /// Whether this instance is a watcher.
    pub fn watching(&self) -> bool {
        self.watching
    }

    /// Decides whether this instance follows the store. `members` are the ranks of the other
    /// instances that may be alive; `draw` is the random number from 0 to 1 of this process.
    pub fn decide(
        &mut self,
        own: Rank,
        members: impl Iterator<Item = Rank>,
        draw: f64,
        now: Moment,
    ) -> bool {
        let better =
            self.bulletins.iter().filter(|(rank, last)| **rank < own && last.is_fresh(now)).count();
        let (mut known, mut ahead) = (0_u32, 0);
        for rank in members {
            known += 1;
            ahead += usize::from(rank < own);
        }
        let delay = (TAKEOVER_SPREAD * known).min(MAX_TAKEOVER_SPREAD).mul_f64(draw);
        let takeover = !self.has_fresh_watcher(now) && now.since(self.answered) >= STALE + delay;
        self.watching = better < WATCHERS && (self.watching || ahead < WATCHERS || takeover);
        self.watching
    }
}
