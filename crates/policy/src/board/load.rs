//! Load of endpoints as instances count it themselves.

use std::collections::{HashMap, HashSet};
use std::ops::{Add, Sub};
use std::time::Duration;

use crate::moment::Moment;

/// Age at which the word of another instance is no longer used: three missed heartbeats.
pub const PEER_LIFETIME: Duration = Duration::from_millis(1500);

/// Work that instances have at one endpoint.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
    /// Attempts.
    pub attempts: u32,
    /// Prompt tokens that have yet to be read.
    pub unread: u32,
    /// Tokens that the attempts hold in memory.
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

/// Loads that other instances have at one endpoint.
#[derive(Clone, Debug, Default)]
pub struct PeerLoads {
    loads: HashMap<u64, (Load, Moment)>,
}

impl PeerLoads {
    /// Takes over what one instance says.
    pub fn note(&mut self, peer: u64, load: Load, now: Moment) {
        if load.is_empty() {
            self.loads.remove(&peer);
        } else {
            self.loads.insert(peer, (load, now));
        }
    }

    /// Sum of what was said within [`PEER_LIFETIME`].
    pub fn sum(&self, now: Moment) -> Load {
        self.sum_without(&HashSet::new(), now)
    }

    /// The same without what some have said.
    pub fn sum_without(&self, left_out: &HashSet<u64>, now: Moment) -> Load {
        let counts =
            |peer: &u64, said: Moment| now.since(said) < PEER_LIFETIME && !left_out.contains(peer);
        let loads = self.loads.iter().filter(|(peer, (_, said))| counts(peer, *said));
        loads.fold(Load::default(), |sum, (_, (load, _))| sum + *load)
    }
}
