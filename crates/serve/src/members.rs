//! The instances of this system as this one knows them.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use agatestair_policy::Moment;
use agatestair_policy::assign::{digest, score};
use serde::{Deserialize, Serialize};

use crate::watchers::Rank;

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

/// Rounds after which all know of a choice through the collectors: to the own ones, to those of the
/// other domains, and to their instances.
const COLLECTED_ROUNDS: u64 = 3;

/// Instances that look at the store often on behalf of all: two may be lost at once.
const READERS: usize = 3;

/// Other instances from which on a few follow the store for all, and tell them. In a smaller fleet
/// the calls of all cost little, and nobody depends on others.
const LARGE_FLEET: usize = 24;

/// Instances of a large fleet that ask one endpoint something: one may be lost meanwhile.
const ASKERS: usize = 2;

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
    /// Weight of its machine: its share of a core in thousandths.
    #[serde(default)]
    pub weight: u32,
}

impl Member {
    /// Its rank where a few instances act for all.
    pub fn rank(&self) -> Rank {
        Rank::new(self.weight, digest(&self.name))
    }
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
    /// The member's rank, kept since its digest is dear to work out.
    rank: Rank,
    state: MemberState,
    heard: Option<Moment>,
    since: Moment,
}

impl Known {
    /// Whether it may act for others: it is alive, or has just become known.
    fn is_candidate(&self, now: Moment) -> bool {
        !self.state.leaving && now.since(self.heard.unwrap_or(self.since)) < SILENCE
    }

    /// Whether it may collect. Without collectors nobody is heard, so silence alone tells little.
    fn may_collect(&self, now: Moment) -> bool {
        !self.state.leaving && now.since(self.heard.unwrap_or(self.since)) < RARE
    }
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
    /// By the digest of their names.
    known: HashMap<u64, Known>,
}

impl Members {
    /// Takes over a row of the store.
    pub fn note_row(&mut self, member: Member, now: Moment) {
        let key = digest(&member.name);
        let older = self.known.get(&key).is_some_and(|known| known.member.born >= member.born);
        if !older {
            let state = MemberState::default();
            let rank = Rank::new(member.weight, key);
            let known = Known { rank, state, heard: None, since: now, member };
            self.known.insert(key, known);
        }
    }

    /// Takes over what an instance says itself; returns whether it is news.
    pub fn note_heard(&mut self, member: Member, state: MemberState, now: Moment) -> bool {
        let key = digest(&member.name);
        if let Some(known) = self.known.get_mut(&key) {
            let straggler = known.member.born > member.born
                && known.heard.is_some_and(|heard| now.since(heard) < STRAGGLER);
            if straggler {
                return false;
            }
            let news = known.state != state || known.member != member || known.heard.is_none();
            let rank = Rank::new(member.weight, key);
            *known = Known { member, rank, state, heard: Some(now), since: known.since };
            return news;
        }
        let rank = Rank::new(member.weight, key);
        let known = Known { rank, state, heard: Some(now), since: now, member };
        self.known.insert(key, known);
        true
    }

    /// Takes over the state of an instance that is named by the digest of its name; returns
    /// whether it is news, `None` if the instance is not known.
    pub fn note_alive(&mut self, key: u64, state: MemberState, now: Moment) -> Option<bool> {
        let known = self.known.get_mut(&key)?;
        let news = known.state != state || known.heard.is_none();
        known.state = state;
        known.heard = Some(now);
        Some(news)
    }

    /// Name of the instance with a digest.
    pub fn name(&self, key: u64) -> Option<Arc<str>> {
        self.known.get(&key).map(|known| known.member.name.clone())
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

    /// Rounds after which the others know of a choice.
    pub fn rounds(&self, domain: &str) -> u64 {
        if self.is_large() {
            return COLLECTED_ROUNDS;
        }
        let near = self.known.values().filter(|known| &*known.member.domain == domain).count();
        period(near.max(self.known.len() - near))
    }

    /// Whether this instance is one of those that look at the store often on behalf of all.
    pub fn is_reader(&self, own: &str, now: Moment) -> bool {
        let mine = digest(own);
        let alive = self.known.iter().filter(|(_, known)| {
            !known.state.leaving && known.heard.is_some_and(|heard| now.since(heard) < SILENCE)
        });
        alive.filter(|(key, _)| **key < mine).count() < READERS
    }

    /// Ranks of the others that are alive, or may have just begun to be heard.
    pub fn ranks(&self, now: Moment) -> impl Iterator<Item = Rank> {
        let candidates = self.known.values().filter(move |known| known.is_candidate(now));
        candidates.map(|known| known.rank)
    }

    /// Ranks of the others of a failure domain that may collect, with their addresses.
    pub fn near(&self, domain: &str, now: Moment) -> Vec<(Rank, SocketAddr)> {
        let near = self.known.values().filter(|known| &*known.member.domain == domain);
        let near = near.filter(|known| known.may_collect(now));
        near.map(|known| (known.rank, known.member.peers)).collect()
    }

    /// Address of one collector in each domain but the own one: the one with the same place in its
    /// domain, so that two paths lead there.
    ///
    /// Where a whole domain is silent, its instances are tried in turn, so that it is found again
    /// after a cut.
    pub fn far_collectors(
        &self,
        own: &str,
        place: usize,
        round: u64,
        now: Moment,
    ) -> Vec<SocketAddr> {
        let mut domains: HashMap<&str, Vec<&Known>> = HashMap::new();
        for known in self.known.values().filter(|known| &*known.member.domain != own) {
            domains.entry(&known.member.domain).or_default().push(known);
        }
        let chosen = domains.into_values().filter_map(|mut members| {
            members.sort_unstable_by_key(|known| (!known.is_candidate(now), known.rank));
            let alive: Vec<&Known> =
                members.iter().filter(|known| known.may_collect(now)).copied().collect();
            let retry = || {
                let turn = (round / RARE_SENDS) as usize % members.len();
                Some(members[turn]).filter(|_| round.is_multiple_of(RARE_SENDS))
            };
            alive.get(place).or(alive.last()).copied().or_else(retry)
        });
        chosen.map(|known| known.member.peers).collect()
    }

    /// Digests of the names of all other failure domains.
    pub fn far_domains(&self, own: &str) -> HashSet<u64> {
        let domains: HashSet<&str> =
            self.known.values().map(|known| &*known.member.domain).collect();
        domains.into_iter().filter(|domain| *domain != own).map(digest).collect()
    }

    /// Whether this instance is one of the few that ask an endpoint something on behalf of all.
    pub fn is_asker(&self, own: &str, endpoint: u64, now: Moment) -> bool {
        let mine = score(endpoint, digest(own));
        let others = self.known.iter().filter(|(_, known)| known.is_candidate(now));
        others.filter(|(key, _)| score(endpoint, **key) > mine).count() < ASKERS
    }

    /// Whether the fleet is so large that a few instances act for all.
    pub fn is_large(&self) -> bool {
        self.known.len() >= LARGE_FLEET
    }

    /// Addresses for a datagram to all; silent instances are among them only now and then.
    pub fn everyone(&self, round: u64, now: Moment) -> Vec<SocketAddr> {
        let peers = self
            .known
            .values()
            .map(|known| (known.member.peers, known.heard.unwrap_or(known.since)));
        Group { period: 1, peers: peers.collect() }.audience(round, now)
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
