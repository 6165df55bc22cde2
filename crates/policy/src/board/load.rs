//! Load of endpoints, counted by the instances that sent the work.

use std::collections::{HashMap, HashSet};
use std::ops::{Add, Sub};
use std::time::Duration;

use crate::moment::Moment;

/// Age at which another instance's load report expires: three missed heartbeats.
pub const PEER_LIFETIME: Duration = Duration::from_millis(1500);

/// Work in progress at one endpoint.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
    /// Number of attempts.
    pub attempts: u32,
    /// Prompt tokens that still need prefill.
    pub unread: u32,
    /// Tokens that the attempts hold in the KV cache.
    pub context: u32,
    /// Tokens that the attempts may still generate.
    pub output: u32,
}

impl Load {
    /// Whether there is no work.
    pub fn is_empty(self) -> bool {
        self == Self::default()
    }

    pub(crate) fn add(&mut self, other: Self) {
        *self = *self + other;
    }

    pub(crate) fn subtract(&mut self, other: Self) {
        *self = *self - other;
    }
}

impl Add for Load {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            attempts: self.attempts.saturating_add(other.attempts),
            unread: self.unread.saturating_add(other.unread),
            context: self.context.saturating_add(other.context),
            output: self.output.saturating_add(other.output),
        }
    }
}

impl Sub for Load {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        Self {
            attempts: self.attempts.saturating_sub(other.attempts),
            unread: self.unread.saturating_sub(other.unread),
            context: self.context.saturating_sub(other.context),
            output: self.output.saturating_sub(other.output),
        }
    }
}

/// Load that other instances have at one endpoint, by instance.
#[derive(Clone, Debug, Default)]
pub struct PeerLoads {
    loads: HashMap<u64, (Load, Moment)>,
}

impl PeerLoads {
    /// Records the load report of one instance.
    pub fn note(&mut self, peer: u64, load: Load, now: Moment) {
        if load.is_empty() {
            self.loads.remove(&peer);
        } else {
            self.loads.insert(peer, (load, now));
        }
    }

    /// Sum of the reports received within [`PEER_LIFETIME`].
    pub fn sum(&self, now: Moment) -> Load {
        self.sum_without(&HashSet::new(), now)
    }

    /// Like [`Self::sum`], without the reports of the instances in `excluded`.
    pub fn sum_without(&self, excluded: &HashSet<u64>, now: Moment) -> Load {
        let counts = |peer: &u64, received: Moment| {
            now.since(received) < PEER_LIFETIME && !excluded.contains(peer)
        };
        let loads = self.loads.iter().filter(|(peer, (_, received))| counts(peer, *received));
        loads.fold(Load::default(), |sum, (_, (load, _))| sum + *load)
    }
}
