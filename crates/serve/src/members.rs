//! The instances of this system as this one knows them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use agatestair_policy::Moment;
use agatestair_policy::assign::digest;
use serde::{Deserialize, Serialize};

/// Silence after which an instance is not named to callers: three missed heartbeats.
pub const SILENCE: Duration = Duration::from_millis(1600);

/// Time for which a datagram of an instance's former process may be on its way. Beyond it the time of
/// day does not decide, since it may have been set back before the instance started again.
const STRAGGLER: Duration = Duration::from_millis(300);

/// Silence after which an instance is forgotten.
const FORGOTTEN: Duration = Duration::from_secs(60);

/// Silence after which datagrams to an instance become rare.
const RARE: Duration = Duration::from_secs(5);

/// Datagrams to a group after which a silent instance gets one.
const RARE_SENDS: u64 = 48;

/// Members of a group that can get a datagram in every round.
const FULL_GROUP: u64 = 12;

/// Instances that look at the store often on behalf of all: two may be lost at once.
const READERS: usize = 3;

/// Instances that a directory's answer names at most.
const MAX_NAMED: usize = 64;

/// Instances of a caller's own failure domain that are enough for it, so that the loss of one
/// leaves another.
const MIN_NEAR: usize = 2;

/// What an instance says of itself in the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Name.
    pub name: Arc<str>,
    /// Failure domain.
    pub domain: Arc<str>,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for datagrams of other instances.
    pub peers: SocketAddr,
    /// Start of its process, Unix milliseconds.
    pub born: u64,
}

/// State of an instance as it last said.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct MemberState {
    /// Whether it takes callers.
    pub ready: bool,
    /// Whether it is about to stop.
    pub leaving: bool,
}

#[derive(Clone, Debug)]
struct Known {
    member: Member,
    state: MemberState,
    heard: Option<Moment>,
    since: Moment,
}

/// Instances that get the same datagrams.
///
/// A larger group gets them in fewer rounds, so that what an instance sends is bounded at any size.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Group {
    /// Rounds from one datagram to the next.
    pub period: u64,
    /// Addresses, and when each instance was last heard.
    pub peers: Vec<(SocketAddr, Moment)>,
}

impl Group {
    /// Addresses to send to in a round; silent instances get a datagram only now and then.
    pub fn audience(&self, round: u64, now: Moment) -> Vec<SocketAddr> {
        let due = |(_, heard): &&(SocketAddr, Moment)| {
            now.since(*heard) < RARE || (round / self.period).is_multiple_of(RARE_SENDS)
        };
        self.peers.iter().filter(due).map(|(address, _)| *address).collect()
    }
}

/// The other instances.
#[derive(Clone, Debug, Default)]
pub struct Members {
    known: HashMap<Arc<str>, Known>,
}

impl Members {
    /// Takes over a row of the store.
    pub fn note_row(&mut self, member: Member, now: Moment) {
        let older =
            self.known.get(&member.name).is_some_and(|known| known.member.born >= member.born);
        if !older {
            let known = Known { state: MemberState::default(), heard: None, since: now, member };
            self.known.insert(known.member.name.clone(), known);
        }
    }

    /// Takes over what an instance says itself; returns whether it is news.
    pub fn note_heard(&mut self, member: Member, state: MemberState, now: Moment) -> bool {
        if let Some(known) = self.known.get_mut(&member.name) {
            let straggler = known.member.born > member.born
                && known.heard.is_some_and(|heard| now.since(heard) < STRAGGLER);
            if straggler {
                return false;
            }
            let news = known.state != state || known.member != member || known.heard.is_none();
            *known = Known { member, state, heard: Some(now), since: known.since };
            return news;
        }
        let known = Known { state, heard: Some(now), since: now, member };
        self.known.insert(known.member.name.clone(), known);
        true
    }

    /// Instances that are alive as far as is known.
    pub fn count(&self, now: Moment) -> usize {
        let alive = |known: &&Known| known.heard.is_some_and(|heard| now.since(heard) < SILENCE);
        self.known.values().filter(alive).count()
    }

    /// The other instances of the own failure domain, or those of all others.
    pub fn group(&self, domain: &str, near: bool) -> Group {
        let members = self.known.values().filter(|known| (&*known.member.domain == domain) == near);
        let peers: Vec<(SocketAddr, Moment)> =
            members.map(|known| (known.member.peers, known.heard.unwrap_or(known.since))).collect();
        Group { period: period(peers.len()), peers }
    }

    /// Rounds from one datagram to the next in the larger of the two groups.
    pub fn rounds(&self, domain: &str) -> u64 {
        let near = self.known.values().filter(|known| &*known.member.domain == domain).count();
        period(near.max(self.known.len() - near))
    }

    /// Whether this instance is one of those that look at the store often on behalf of all.
    pub fn is_reader(&self, own: &str, now: Moment) -> bool {
        let mine = digest(own);
        let alive = self.known.values().filter(|known| {
            !known.state.leaving && known.heard.is_some_and(|heard| now.since(heard) < SILENCE)
        });
        alive.filter(|known| digest(&known.member.name) < mine).count() < READERS
    }

    /// Forgets instances that have been silent for long.
    pub fn expire(&mut self, now: Moment) {
        self.known.retain(|_, known| now.since(known.heard.unwrap_or(known.since)) < FORGOTTEN);
    }

    /// Addresses for a caller in a failure domain: instances of the domain if there are enough,
    /// else all.
    pub fn entries(
        &self,
        domain: &str,
        own: Option<(&str, SocketAddr)>,
        now: Moment,
    ) -> Vec<SocketAddr> {
        let alive = self.known.values().filter(|known| {
            known.state.ready
                && !known.state.leaving
                && known.heard.is_some_and(|heard| now.since(heard) < SILENCE)
        });
        let mut all: Vec<(&str, SocketAddr)> =
            alive.map(|known| (&*known.member.domain, known.member.callers)).collect();
        all.extend(own);
        all.sort_unstable_by_key(|(_, address)| *address);
        let near: Vec<SocketAddr> =
            all.iter().filter(|(near, _)| *near == domain).map(|(_, address)| *address).collect();
        let mut named = if near.len() >= MIN_NEAR {
            near
        } else {
            all.into_iter().map(|(_, address)| address).collect()
        };
        named.truncate(MAX_NAMED);
        named
    }
}

/// Rounds from one datagram to the next in a group.
fn period(members: usize) -> u64 {
    1 + members as u64 / FULL_GROUP
}
