//! Gossip: the load and state that instances exchange directly or through collectors.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use agatestair_policy::board::{EndpointReport, PromptPart};
use agatestair_policy::{EndpointKey, Moment, QuarantineChange};

use crate::datagram::{MAX_BYTES, Pulse, PulseLoad};
use crate::digest::{Digest, DigestNews, DomainSums};
use crate::members::{Group, Member, MemberState};
use crate::node::{LimitChange, Node};
use crate::room::Room;
use crate::token_bucket::LinkShare;
use crate::watchers::Rank;

/// Time for which datagrams repeat that an endpoint announced its shutdown, since some of them may
/// be lost.
const LEAVERS_REPEAT: Duration = Duration::from_secs(2);

/// Share of the link for digests.
pub(super) const DIGESTS: LinkShare =
    LinkShare { fraction: 0.4, burst: Duration::from_millis(500) };

/// Fraction of the bytes for digests that those to other domains may take.
const REMOTE_SHARE: f64 = 0.25;

/// Changes that a received pulse made.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PulseChanges {
    /// Name and state of the sender, if they changed.
    pub member: Option<(Arc<str>, MemberState)>,
    /// Whether the sender has a newer configuration than this instance.
    pub behind: bool,
    /// Endpoints that are newly known to be shutting down.
    pub leavers: Vec<Arc<str>>,
    /// Rate limits that are newly known.
    pub limits: Vec<LimitChange>,
    /// Changes of the quarantine of prompt parts.
    pub quarantine: Vec<QuarantineChange>,
    /// Name of the sender.
    pub sender: Option<Arc<str>>,
}

impl Node {
    /// The pulse of this instance: its current loads, loads that ended within `cleared`, and the
    /// prompt parts that it sent to endpoints within `reads`.
    pub fn pulse(&mut self, cleared: Duration, reads: Duration, now: Moment) -> Pulse {
        self.announce_weights(now);
        let reads = self.recent_parts(reads, now);
        let reads = reads.iter().map(|(endpoint, part)| (*endpoint, part.id, part.tokens));
        let loads = self.board.reports(cleared, now);
        Pulse { reads: reads.collect(), ..self.compose(loads, now) }
    }

    /// A pulse with the loads of the given endpoints only.
    pub fn pulse_of(&self, keys: &[EndpointKey], now: Moment) -> Pulse {
        self.compose(self.board.reports_of(keys, now), now)
    }

    fn compose(&self, loads: Vec<EndpointReport>, now: Moment) -> Pulse {
        let (own, state) = self.own();
        Pulse {
            sender: self.name_hash,
            identity: Some((&own).into()),
            ready: state.ready,
            leaving: state.leaving,
            version: self.version().unwrap_or(0),
            loads: loads.into_iter().map(PulseLoad::from).collect(),
            reads: Vec::new(),
            leavers: self.board.recent_leavers(LEAVERS_REPEAT, now),
            limits: self.pulse_limits(now),
            crashes: self.pulse_crashes(now),
        }
    }

    /// Handles the pulse of an instance, received directly or through collectors.
    pub fn receive_pulse(&mut self, pulse: &Pulse, now: Moment) -> PulseChanges {
        if pulse.sender == self.name_hash {
            return PulseChanges::default();
        }
        let born = pulse.identity.as_ref().map(|identity| identity.born);
        if self.members.may_lack_news(pulse.sender, born, now) {
            self.schedule_standing_limits(now);
        }
        let reads = pulse.reads.iter();
        let reads = reads
            .map(|(endpoint, id, tokens)| (*endpoint, PromptPart { id: *id, tokens: *tokens }));
        self.note_peer_parts(&reads.collect::<Vec<_>>(), now);
        let leavers = pulse.leavers.iter();
        let leavers = leavers
            .filter_map(|(endpoint, born)| self.board.note_peer_leaving(*endpoint, *born, now));
        let leavers = leavers.collect();
        let limits = pulse.limits.as_ref();
        let limits = limits.map(|limits| self.note_peer_limits(pulse.sender, limits, now));
        let limits = limits.unwrap_or_default();
        let crashes = pulse.crashes.as_ref();
        let quarantine = crashes.map(|news| self.note_peer_crashes(news, now)).unwrap_or_default();
        let state = MemberState { ready: pulse.ready, leaving: pulse.leaving };
        let changed = match pulse.identity.clone() {
            Some(identity) => self.members.note_heard(Member::from(identity), state, now),
            // An unknown sender without identity is ignored; its identity is sent again soon.
            None => match self.members.note_alive(pulse.sender, state, now) {
                Some(changed) => changed,
                None => {
                    return PulseChanges { leavers, limits, quarantine, ..PulseChanges::default() };
                }
            },
        };
        let loads: Vec<EndpointReport> =
            pulse.loads.iter().map(|load| EndpointReport::from(*load)).collect();
        self.board.note_peer(pulse.sender, &loads, now);
        let newer = self.version().is_some_and(|own| pulse.version > own);
        let sender = self.members.name(pulse.sender);
        PulseChanges {
            member: sender.clone().filter(|_| changed).map(|name| (name, state)),
            behind: newer && !self.members.is_large(),
            leavers,
            limits,
            quarantine,
            sender,
        }
    }

    /// Addresses of the collectors to send a report to. An instance that is a collector adds the
    /// report to its own collection instead, and gets no addresses.
    pub fn report(&mut self, report: Pulse, now: Moment) -> Vec<SocketAddr> {
        let own = self.settings.own.rank();
        let local = self.members.local_candidates(&self.settings.own.domain, now);
        let alive = local.iter().map(|(rank, _)| *rank).chain([own]).collect();
        let chosen = self.collectors.choose(own, alive, now);
        if self.collectors.is_collector(own, now) {
            self.collection.add_local(report, now);
            return Vec::new();
        }
        let collectors = local.into_iter().filter(|(rank, _)| chosen.contains(rank));
        collectors.map(|(_, address)| address).collect()
    }

    /// Handles a report that this instance is to forward as a collector.
    pub fn receive_report(&mut self, report: Pulse, now: Moment) -> PulseChanges {
        let changes = self.receive_pulse(&report, now);
        self.collectors.note_appointed(now);
        self.collection.add_local(report, now);
        changes
    }

    /// Digests that this instance sends as a collector, with their addresses: one to the instances
    /// of its own failure domain, one to the collectors of other domains. `None` if it is not a
    /// collector.
    ///
    /// `link_mbps` is the link's rate in megabits per second; digests take at most `DIGESTS` of
    /// it.
    pub fn digests(
        &mut self,
        round: u64,
        link_mbps: f64,
        now: Moment,
    ) -> Option<[(Digest, Vec<SocketAddr>); 2]> {
        let own = &self.settings.own;
        // An instance that receives reports collects even if it considers the fleet small.
        if !self.collectors.is_collector(own.rank(), now) {
            return None;
        }
        let group = Group { period: 1, ..self.members.group(&own.domain, true) };
        let local_audience = group.audience(round, now);
        let position = self.collectors.position(own.rank());
        let remote_audience = self.members.remote_collectors(&own.domain, position, round, now);
        let totals = self.board.totals(&self.members.remote_domains(&own.domain), now);
        let bucket = &mut self.digest_bucket;
        let available = bucket.available(link_mbps, now) as f64;
        let mut room = room_for((available * REMOTE_SHARE) as usize, &remote_audience);
        let (outward, loads, news) = self.collection.remote_round(&totals, &mut room, now);
        bucket.spend(room.used() * remote_audience.len());
        let remote = Digest {
            sender: self.name_hash,
            weight: own.weight,
            domain: self.domain,
            pulses: outward,
            sums: vec![DomainSums { domain: self.domain, loads }],
            news,
        };
        let mut room = room_for(bucket.available(link_mbps, now), &local_audience);
        let (pulses, sums, news) = self.collection.local_round(&mut room, now);
        bucket.spend(room.used() * local_audience.len());
        let local = Digest { pulses, sums, news, ..remote.clone() };
        if self.collection.has_rest() {
            metrics::counter!("agatestair_serve_digests_partial_total").increment(1);
        }
        Some([(local, local_audience), (remote, remote_audience)])
    }

    /// Handles a digest. What other domains sent is kept to forward it to the own domain.
    pub fn receive_digest(&mut self, digest: &Digest, now: Moment) -> Vec<PulseChanges> {
        let pulses = digest.pulses.iter();
        let mut changes: Vec<PulseChanges> =
            pulses.map(|pulse| self.receive_pulse(pulse, now)).collect();
        changes.extend(self.receive_news(digest.sender, &digest.news, now));
        for domain in digest.sums.iter().filter(|sums| sums.domain != self.domain) {
            let loads: Vec<EndpointReport> =
                domain.loads.iter().map(|load| EndpointReport::from(*load)).collect();
            self.board.note_peer(domain.domain, &loads, now);
        }
        if digest.domain == self.domain {
            self.collectors.note_heard(Rank::new(digest.weight, digest.sender), now);
        } else {
            self.collectors.note_appointed(now);
            self.collection.add_remote(digest, now);
        }
        changes
    }

    /// Handles the news of a digest; `sender` is the collector.
    fn receive_news(&mut self, sender: u64, news: &DigestNews, now: Moment) -> Vec<PulseChanges> {
        let (own, mut changes) = (self.name_hash, Vec::new());
        // What this instance observed itself would come back as if it were newer.
        for (observer, limit) in news.limits.iter().filter(|(from, _)| *from != own) {
            let limits: Vec<LimitChange> = self.note_peer_limit(*limit, now).into_iter().collect();
            let sender = self.members.name(*observer);
            changes.push(PulseChanges { limits, sender, ..PulseChanges::default() });
        }
        let quarantine = self.note_peer_crashes(&news.crashes, now);
        let sender = self.members.name(sender);
        changes.push(PulseChanges { quarantine, sender, ..PulseChanges::default() });
        changes
    }
}

/// Room in a datagram that is sent to each of these addresses, if they may take this many bytes
/// together.
fn room_for(bytes: usize, audience: &[SocketAddr]) -> Room {
    Room::new((bytes / audience.len().max(1)).min(MAX_BYTES))
}
