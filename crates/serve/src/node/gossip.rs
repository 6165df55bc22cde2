//! What instances tell each other of themselves, and what collectors pass on.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use agatestair_policy::board::{Part, Telling};
use agatestair_policy::{EndpointKey, Moment};

use crate::datagram::{Digest, DomainSums, Pulse, PulseLoad};
use crate::members::{Group, Member, MemberState};
use crate::node::Node;
use crate::watchers::Rank;

/// Time for which others are told that an endpoint has announced its leaving, since datagrams are
/// lost.
const LEAVERS_TOLD: Duration = Duration::from_secs(2);

/// What a pulse changed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Heard {
    /// Name and state of the instance, if these are news.
    pub news: Option<(Arc<str>, MemberState)>,
    /// Whether the instance has a newer configuration.
    pub behind: bool,
    /// Endpoints that are now known to be leaving.
    pub leavers: Vec<Arc<str>>,
}

impl Node {
    /// This instance with its loads: those in work and those that ended within `cleared`, and the
    /// prompts' parts that endpoints got from it within `reads`.
    pub fn pulse(&mut self, cleared: Duration, reads: Duration, now: Moment) -> Pulse {
        let reads = self.tell_reads(reads, now);
        let reads = reads.iter().map(|(endpoint, part)| (*endpoint, part.id, part.tokens));
        let loads = self.board.tellings(cleared, now);
        Pulse { reads: reads.collect(), ..self.compose(loads, now) }
    }

    /// The same with the loads of some endpoints only.
    pub fn pulse_of(&self, keys: &[EndpointKey], now: Moment) -> Pulse {
        self.compose(self.board.tellings_of(keys, now), now)
    }

    fn compose(&self, loads: Vec<Telling>, now: Moment) -> Pulse {
        let (own, state) = self.own();
        Pulse {
            sender: self.digest,
            identity: Some((&own).into()),
            ready: state.ready,
            leaving: state.leaving,
            version: self.version().unwrap_or(0),
            loads: loads.into_iter().map(PulseLoad::from).collect(),
            reads: Vec::new(),
            leavers: self.board.leavers_told(LEAVERS_TOLD, now),
        }
    }

    /// Takes in what an instance says of itself, be it from itself or through collectors.
    pub fn hear_pulse(&mut self, pulse: &Pulse, now: Moment) -> Heard {
        if pulse.sender == self.digest {
            return Heard::default();
        }
        let reads = pulse.reads.iter();
        let reads =
            reads.map(|(endpoint, id, tokens)| (*endpoint, Part { id: *id, tokens: *tokens }));
        self.hear_reads(&reads.collect::<Vec<_>>(), now);
        let leavers = pulse.leavers.iter();
        let leavers =
            leavers.filter_map(|(endpoint, born)| self.board.hear_leaving(*endpoint, *born, now));
        let leavers = leavers.collect();
        let state = MemberState { ready: pulse.ready, leaving: pulse.leaving };
        let news = match pulse.identity.clone() {
            Some(identity) => self.members.note_heard(Member::from(identity), state, now),
            // Without its identity nothing is known of an instance; it is introduced soon.
            None => match self.members.note_alive(pulse.sender, state, now) {
                Some(news) => news,
                None => return Heard { leavers, ..Heard::default() },
            },
        };
        let loads: Vec<Telling> = pulse.loads.iter().map(|load| Telling::from(*load)).collect();
        self.board.note_peer(pulse.sender, &loads, now);
        let newer = self.version().is_some_and(|own| pulse.version > own);
        let name = self.members.name(pulse.sender).filter(|_| news);
        Heard {
            news: name.map(|name| (name, state)),
            behind: newer && !self.members.is_large(),
            leavers,
        }
    }

    /// Addresses of the collectors that this instance reports to. If it collects itself, it takes
    /// its own report in, and there are none.
    pub fn report(&mut self, report: Pulse, now: Moment) -> Vec<SocketAddr> {
        let own = self.settings.own.rank();
        let near = self.members.near(&self.settings.own.domain, now);
        let alive = near.iter().map(|(rank, _)| *rank).chain([own]).collect();
        let chosen = self.collectors.choose(own, alive, now);
        if self.collectors.collects(own, now) {
            self.collection.take_near(report);
            return Vec::new();
        }
        let collects = near.into_iter().filter(|(rank, _)| chosen.contains(rank));
        collects.map(|(_, address)| address).collect()
    }

    /// Takes in a report that is to be passed on.
    pub fn hear_report(&mut self, report: Pulse, now: Moment) -> Heard {
        let heard = self.hear_pulse(&report, now);
        self.collectors.note_asked(now);
        self.collection.take_near(report);
        heard
    }

    /// What this instance passes on as a collector, with the addresses that it goes to: to its own
    /// domain, and to the collectors of others. `None` if it does not collect.
    pub fn digests(&mut self, round: u64, now: Moment) -> Option<[(Digest, Vec<SocketAddr>); 2]> {
        let own = &self.settings.own;
        // Whoever is asked collects, even if it takes the fleet for a small one.
        if !self.collectors.collects(own.rank(), now) {
            return None;
        }
        let totals = self.board.totals(&self.members.far_domains(&own.domain), now);
        let (outward, loads) = self.collection.far_round(&totals, now);
        let (pulses, sums) = self.collection.near_round(now);
        let near =
            Digest { sender: self.digest, weight: own.weight, domain: self.domain, pulses, sums };
        let sums = vec![DomainSums { domain: self.domain, loads }];
        let far = Digest { pulses: outward, sums, ..near.clone() };
        let audience = Group { period: 1, ..self.members.group(&own.domain, true) };
        let near_audience = audience.audience(round, now);
        let place = self.collectors.place(own.rank());
        let far_audience = self.members.far_collectors(&own.domain, place, round, now);
        Some([(near, near_audience), (far, far_audience)])
    }

    /// Takes in a digest, and keeps what is to be passed on to the own domain.
    pub fn hear_digest(&mut self, digest: &Digest, now: Moment) -> Vec<Heard> {
        let heard = digest.pulses.iter().map(|pulse| self.hear_pulse(pulse, now)).collect();
        for domain in digest.sums.iter().filter(|sums| sums.domain != self.domain) {
            let loads: Vec<Telling> =
                domain.loads.iter().map(|load| Telling::from(*load)).collect();
            self.board.note_peer(domain.domain, &loads, now);
        }
        if digest.domain == self.domain {
            self.collectors.note_heard(Rank::new(digest.weight, digest.sender), now);
        } else {
            self.collectors.note_asked(now);
            self.collection.take_far(&digest.pulses, &digest.sums);
        }
        heard
    }
}
