//! Which instances of a large fleet follow the store on behalf of all.
//!
//! No lease and no vote: every instance works out by itself whether it is one of them, from the
//! bulletins that it hears. Two too many cost a few calls; too few are made up for in time.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;

use agatestair_policy::Moment;

/// Instances that follow the store: two may be lost at once.
pub const WATCHERS: usize = 3;

/// Silence after which an instance no longer counts as a watcher: three missed bulletins.
pub const SILENCE: Duration = Duration::from_millis(800);

/// Age of the store's last answer to any watcher after which others ask it themselves. A watcher's
/// call may be held by a store that has fallen silent, and it does not know so itself.
pub const STALE: Duration = Duration::from_millis(1700);

/// Time for each known instance over which the others step in, so that few do before the first is
/// heard.
const STEP_IN: Duration = Duration::from_millis(4);

/// Longest such time.
const MAX_STEP_IN: Duration = Duration::from_millis(1200);

/// Calls a second that all instances together make to find out whether the store is back.
const PROBE_RATE: f64 = 20.0;

/// Time between two calls of an instance to find out whether the store is back, in a fleet where
/// `members` others do the same.
pub fn probe_pause(members: usize) -> Duration {
    Duration::from_secs_f64(members as f64 / PROBE_RATE)
}

/// Order of preference among instances; the lowest rank is preferred.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Rank(Reverse<u32>, u64);

impl Rank {
    /// Rank of an instance by its weight, then by the digest of its name.
    pub fn new(weight: u32, digest: u64) -> Self {
        Self(Reverse(weight), digest)
    }
}

#[derive(Clone, Copy, Debug)]
struct Heard {
    at: Moment,
    answered: Moment,
}

impl Heard {
    fn fresh(&self, now: Moment) -> bool {
        now.since(self.at) < SILENCE && now.since(self.answered) < STALE
    }
}

/// The watchers that this instance hears of.
#[derive(Clone, Debug, Default)]
pub struct Watchers {
    heard: HashMap<Rank, Heard>,
    /// When the store last answered any of them, as far as is known.
    answered: Moment,
    /// Whether this instance is one of them.
    watching: bool,
}

impl Watchers {
    /// A watcher was heard; the store answered it `age` ago.
    pub fn note(&mut self, rank: Rank, age: Duration, now: Moment) {
        let answered = now - age;
        self.answered = self.answered.max(answered);
        self.heard.insert(rank, Heard { at: now, answered });
        self.heard.retain(|_, heard| now.since(heard.at) < SILENCE);
    }

    /// Whether any of them has the store's answers.
    pub fn hears(&self, now: Moment) -> bool {
        self.heard.values().any(|heard| heard.fresh(now))
    }

    /// Time since the store answered any of them, as far as is known.
    pub fn answer_age(&self, now: Moment) -> Duration {
        now.since(self.answered)
    }

    /// Whether this instance is one of them.
    pub fn watching(&self) -> bool {
        self.watching
    }

    /// Decides whether this instance follows the store. `members` are the ranks of the others that
    /// may be alive, and `draw` is a number from 0 to 1 that this process keeps.
    pub fn decide(
        &mut self,
        own: Rank,
        members: impl Iterator<Item = Rank>,
        draw: f64,
        now: Moment,
    ) -> bool {
        let better =
            self.heard.iter().filter(|(rank, heard)| **rank < own && heard.fresh(now)).count();
        let (mut known, mut ahead) = (0_u32, 0);
        for rank in members {
            known += 1;
            ahead += usize::from(rank < own);
        }
        let patience = (STEP_IN * known).min(MAX_STEP_IN).mul_f64(draw);
        let alone = !self.hears(now) && now.since(self.answered) >= STALE + patience;
        self.watching = better < WATCHERS && (self.watching || ahead < WATCHERS || alone);
        self.watching
    }
}
