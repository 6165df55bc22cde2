//! Membership: the other instances as this instance knows them.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use agatestair_policy::Moment;
use agatestair_policy::assign::{name_hash, score};
use serde::{Deserialize, Serialize};

use crate::watchers::Rank;

/// Silence after which an instance is no longer returned to callers: three missed heartbeats.
pub const SILENCE: Duration = Duration::from_millis(1600);

/// Longest time that a datagram of an instance's previous process may take to arrive. After it
/// start times are not compared, since the clock may have been set back before the restart.
const STALE_DATAGRAM: Duration = Duration::from_millis(300);

/// Silence after which an instance is told news again. Longer than [`SILENCE`], which instances
/// behind small collectors exceed now and then.
const NEWS_GAP: Duration = Duration::from_secs(3);

/// Silence after which an instance is removed.
const EXPIRY: Duration = Duration::from_secs(60);

/// Silence after which datagrams are sent to an instance only rarely.
const QUIET: Duration = Duration::from_secs(5);

/// A quiet instance gets one of this many datagrams.
const QUIET_SENDS: u64 = 48;

/// Size of a group up to which all members get a datagram in every round.
const FULL_GROUP: u64 = 12;

/// Rounds until all instances learn of a placement through collectors: to the collectors of the own
/// domain, to those of other domains, and to their instances.
const COLLECTED_ROUNDS: u64 = 3;

/// Number of instances that follow the configuration by short polls for all others, so that two can
/// fail at the same time.
const ACTIVE_FOLLOWERS: usize = 3;

/// Number of other instances from which on a few instances follow the store for all. In a smaller
/// fleet every instance follows the store itself: that costs few calls, and no instance depends on
/// others.
const LARGE_FLEET: usize = 24;

/// Instances of a large fleet that query one endpoint, so that one can fail meanwhile.
const CACHE_QUERIERS: usize = 2;

/// Largest number of instances in a directory response.
const MAX_ADDRESSES: usize = 64;

/// Number of instances of a caller's own failure domain that suffice for a directory response, so
/// that one remains if the other fails.
const MIN_LOCAL: usize = 2;

/// Identity of an instance, as stored in its row.
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
    /// Start time of the process in Unix milliseconds.
    pub born: u64,
    /// CPU share of the instance in thousandths of a core.
    #[serde(default)]
    pub weight: u32,
}

impl Member {
    /// Rank in the selection of watchers and collectors.
    pub fn rank(&self) -> Rank {
        Rank::new(self.weight, name_hash(&self.name))
    }
}

/// State that an instance last reported.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct MemberState {
    /// Whether the instance can serve callers.
    pub ready: bool,
    /// Whether the instance is shutting down.
    pub leaving: bool,
}

#[derive(Clone, Debug)]
struct Known {
    member: Member,
    /// The member's rank, cached since hashing the name is expensive.
    rank: Rank,
    state: MemberState,
    heard: Option<Moment>,
    since: Moment,
}

impl Known {
    /// Whether the instance may act for others: it is alive, or has just become known.
    fn is_candidate(&self, now: Moment) -> bool {
        !self.state.leaving && now.since(self.heard.unwrap_or(self.since)) < SILENCE
    }

    /// Whether the instance may be a collector. The limit on its silence is generous, since no
    /// instance is heard while there are no collectors.
    fn may_collect(&self, now: Moment) -> bool {
        !self.state.leaving && now.since(self.heard.unwrap_or(self.since)) < QUIET
    }
}

/// Instances that receive the same datagrams.
///
/// A larger group receives them in fewer rounds, so that the send rate of an instance stays
/// bounded.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Group {
    /// Number of rounds between two datagrams.
    pub period: u64,
    /// Address of each instance, and when it was last heard.
    pub peers: Vec<(SocketAddr, Moment)>,
}

impl Group {
    /// Addresses to send to in a round; quiet instances are included only in some rounds.
    pub fn audience(&self, round: u64, now: Moment) -> Vec<SocketAddr> {
        let due = |(_, heard): &&(SocketAddr, Moment)| {
            now.since(*heard) < QUIET || (round / self.period).is_multiple_of(QUIET_SENDS)
        };
        self.peers.iter().filter(due).map(|(address, _)| *address).collect()
    }
}

/// The other instances.
#[derive(Clone, Debug, Default)]
pub struct Members {
    /// Other instances by the hash of their names.
    known: HashMap<u64, Known>,
}

impl Members {
    /// Adds or updates an instance from its row in the store.
    pub fn note_row(&mut self, member: Member, now: Moment) {
        let key = name_hash(&member.name);
        let older = self.known.get(&key).is_some_and(|known| known.member.born >= member.born);
        if !older {
            let state = MemberState::default();
            let rank = Rank::new(member.weight, key);
            let known = Known { rank, state, heard: None, since: now, member };
            self.known.insert(key, known);
        }
    }

    /// Adds or updates an instance from its datagram; returns whether anything changed.
    pub fn note_heard(&mut self, member: Member, state: MemberState, now: Moment) -> bool {
        let key = name_hash(&member.name);
        if let Some(known) = self.known.get_mut(&key) {
            let stale = known.member.born > member.born
                && known.heard.is_some_and(|heard| now.since(heard) < STALE_DATAGRAM);
            if stale {
                return false;
            }
            let changed = known.state != state || known.member != member || known.heard.is_none();
            let rank = Rank::new(member.weight, key);
            *known = Known { member, rank, state, heard: Some(now), since: known.since };
            return changed;
        }
        let rank = Rank::new(member.weight, key);
        let known = Known { rank, state, heard: Some(now), since: now, member };
        self.known.insert(key, known);
        true
    }

    /// Updates the state of the instance whose name has the hash `key`; returns whether the state
    /// changed, or `None` if the instance is unknown.
    pub fn note_alive(&mut self, key: u64, state: MemberState, now: Moment) -> Option<bool> {
        let known = self.known.get_mut(&key)?;
        let changed = known.state != state || known.heard.is_none();
        known.state = state;
        known.heard = Some(now);
        Some(changed)
    }

    /// Whether an instance has just started or was silent, so that it may have missed datagrams.
    /// `born` is its start time, if its datagram says so.
    pub fn may_lack_news(&self, key: u64, born: Option<u64>, now: Moment) -> bool {
        let is_current = |known: &Known| {
            known.heard.is_some_and(|heard| now.since(heard) < NEWS_GAP)
                && born.is_none_or(|born| known.member.born == born)
        };
        !self.known.get(&key).is_some_and(is_current)
    }

    /// Name of the instance whose name has the hash `key`.
    pub fn name(&self, key: u64) -> Option<Arc<str>> {
        self.known.get(&key).map(|known| known.member.name.clone())
    }

    /// Address for datagrams of the instance whose name has the hash `key`.
    pub fn peer_address(&self, key: u64) -> Option<SocketAddr> {
        self.known.get(&key).map(|known| known.member.peers)
    }

    /// Hashes of the names of the other instances that are considered alive.
    pub fn alive(&self, now: Moment) -> impl Iterator<Item = u64> {
        let alive = move |known: &Known| known.heard.is_some_and(|at| now.since(at) < SILENCE);
        self.known.iter().filter(move |(_, known)| alive(known)).map(|(key, _)| *key)
    }

    /// Share of the known instances that are considered alive, with this one.
    pub fn alive_share(&self, now: Moment) -> f64 {
        (self.count(now) + 1) as f64 / (self.known.len() + 1) as f64
    }

    /// The instance with this name.
    pub fn find(&self, name: &str) -> Option<Member> {
        self.known.get(&name_hash(name)).map(|known| known.member.clone())
    }

    /// Number of other instances that are considered alive.
    pub fn count(&self, now: Moment) -> usize {
        let alive = |known: &&Known| known.heard.is_some_and(|heard| now.since(heard) < SILENCE);
        self.known.values().filter(alive).count()
    }

    /// Hashes of the names of the other instances that may use their shares of common limits: those
    /// that may be alive, or all if most are silent, since this instance may be cut off from them
    /// while they reach endpoints.
    pub fn sharers(&self, now: Moment) -> impl Iterator<Item = u64> {
        let may_live = move |known: &Known| now.since(known.heard.unwrap_or(known.since)) < QUIET;
        let alive = self.known.values().filter(|known| may_live(known)).count();
        let cut_off = alive * 2 < self.known.len();
        let sharers = self.known.iter().filter(move |(_, known)| cut_off || may_live(known));
        sharers.map(|(key, _)| *key)
    }

    /// Hashes of the names of the other instances that may have connections to endpoints: all that
    /// are known, since silent ones may only be cut off, except those that have shut down.
    pub fn connected(&self, now: Moment) -> impl Iterator<Item = u64> {
        let gone = move |known: &Known| {
            known.state.leaving && now.since(known.heard.unwrap_or(known.since)) >= QUIET
        };
        let connected = self.known.iter().filter(move |(_, known)| !gone(known));
        connected.map(|(key, _)| *key)
    }

    /// The other instances of a failure domain if `local`, else those of all other domains.
    pub fn group(&self, domain: &str, local: bool) -> Group {
        let members =
            self.known.values().filter(|known| (&*known.member.domain == domain) == local);
        let peers: Vec<(SocketAddr, Moment)> =
            members.map(|known| (known.member.peers, known.heard.unwrap_or(known.since))).collect();
        Group { period: period(peers.len()), peers }
    }

    /// Number of rounds until all other instances learn of a placement.
    pub fn rounds(&self, domain: &str) -> u64 {
        if self.is_large() {
            return COLLECTED_ROUNDS;
        }
        let local = self.known.values().filter(|known| &*known.member.domain == domain).count();
        period(local.max(self.known.len() - local))
    }

    /// Whether this instance is one of those that follow the configuration by short polls.
    pub fn is_active_follower(&self, own: &str, now: Moment) -> bool {
        let own_key = name_hash(own);
        let alive = self.known.iter().filter(|(_, known)| {
            !known.state.leaving && known.heard.is_some_and(|heard| now.since(heard) < SILENCE)
        });
        alive.filter(|(key, _)| **key < own_key).count() < ACTIVE_FOLLOWERS
    }

    /// Ranks of the other instances that are alive or have just become known.
    pub fn ranks(&self, now: Moment) -> impl Iterator<Item = Rank> {
        let candidates = self.known.values().filter(move |known| known.is_candidate(now));
        candidates.map(|known| known.rank)
    }

    /// Rank and address of the other instances of a failure domain that may be collectors.
    pub fn local_candidates(&self, domain: &str, now: Moment) -> Vec<(Rank, SocketAddr)> {
        let local = self.known.values().filter(|known| &*known.member.domain == domain);
        let candidates = local.filter(|known| known.may_collect(now));
        candidates.map(|known| (known.rank, known.member.peers)).collect()
    }

    /// Address of one collector in each other failure domain: the one with the same position among
    /// the collectors of its domain, so that there are two independent paths to each domain.
    ///
    /// If a whole domain is silent, its instances are tried in turn, so that contact is restored
    /// after a network partition.
    pub fn remote_collectors(
        &self,
        own: &str,
        position: usize,
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
                let turn = (round / QUIET_SENDS) as usize % members.len();
                Some(members[turn]).filter(|_| round.is_multiple_of(QUIET_SENDS))
            };
            alive.get(position).or(alive.last()).copied().or_else(retry)
        });
        chosen.map(|known| known.member.peers).collect()
    }

    /// Hashes of the names of all other failure domains.
    pub fn remote_domains(&self, own: &str) -> HashSet<u64> {
        let domains: HashSet<&str> =
            self.known.values().map(|known| &*known.member.domain).collect();
        domains.into_iter().filter(|domain| *domain != own).map(name_hash).collect()
    }

    /// Whether this instance is one of the few that query an endpoint, or report on it, for all others.
    pub fn should_query(&self, own: &str, endpoint: u64, now: Moment) -> bool {
        let own_score = score(endpoint, name_hash(own));
        let others = self.known.iter().filter(|(_, known)| known.is_candidate(now));
        others.filter(|(key, _)| score(endpoint, **key) > own_score).count() < CACHE_QUERIERS
    }

    /// Whether this instance alone acts for all others on an item with this hash.
    pub fn is_first(&self, own: &str, item: u64, now: Moment) -> bool {
        let own_score = score(item, name_hash(own));
        let others = self.known.iter().filter(|(_, known)| known.is_candidate(now));
        others.map(|(key, _)| score(item, *key)).all(|other| other < own_score)
    }

    /// Whether the fleet is large enough for a few instances to act for all others.
    pub fn is_large(&self) -> bool {
        self.known.len() >= LARGE_FLEET
    }

    /// Addresses for a datagram to all other instances; quiet ones are included only in some
    /// rounds.
    pub fn broadcast_audience(&self, round: u64, now: Moment) -> Vec<SocketAddr> {
        let peers = self
            .known
            .values()
            .map(|known| (known.member.peers, known.heard.unwrap_or(known.since)));
        Group { period: 1, peers: peers.collect() }.audience(round, now)
    }

    /// Removes instances that have been silent for too long.
    pub fn expire(&mut self, now: Moment) {
        self.known.retain(|_, known| now.since(known.heard.unwrap_or(known.since)) < EXPIRY);
    }

    /// Addresses for a caller in a failure domain: the instances of the domain if there are enough,
    /// else those of all domains.
    pub fn addresses(
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
        let local: Vec<SocketAddr> =
            all.iter().filter(|(other, _)| *other == domain).map(|(_, address)| *address).collect();
        let mut addresses = if local.len() >= MIN_LOCAL {
            local
        } else {
            all.into_iter().map(|(_, address)| address).collect()
        };
        addresses.truncate(MAX_ADDRESSES);
        addresses
    }
}

/// Number of rounds between two datagrams to a group of this size.
fn period(members: usize) -> u64 {
    1 + members as u64 / FULL_GROUP
}
