//! A fleet of nodes on a virtual clock.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use agatestair_policy::board::{BoardSettings, EndpointFacts, Load};
use agatestair_policy::{EndpointKey, Moment, RetrySettings};
use agatestair_serve::{
    Datagram, Digest, Member, Node, NodeSettings, Pulse, REPORT_CLEARED, interval,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Time between two rounds of reports.
pub const ROUND: Duration = Duration::from_millis(40);

/// Network latency of a datagram.
const TRANSIT: Duration = Duration::from_millis(20);

/// Rounds after which an instance repeats an unchanged report.
const QUIET_ROUNDS: u64 = 12;

/// Number of failure domains.
pub const DOMAINS: usize = 5;

/// Number of endpoints.
pub const ENDPOINTS: usize = 20;

/// One instance of the fleet.
pub struct Instance {
    /// Its state.
    pub node: Node,
    /// Its identity.
    pub member: Member,
    /// Keys of the endpoints at its board.
    pub keys: Vec<EndpointKey>,
    last_report: Option<Pulse>,
    /// Round of the last report.
    reported_at: u64,
    /// Datagrams that it sent.
    pub sent: u64,
    /// Datagrams that it received.
    pub received: u64,
    /// Whether it has ended.
    pub crashed: bool,
    /// Whether it neither sends nor receives for now.
    pub frozen: bool,
    /// Digests sent in the last round, with their audiences.
    pub last_digests: Option<[(Digest, Vec<SocketAddr>); 2]>,
}

/// A fleet on a virtual clock.
pub struct Simulation {
    /// All instances.
    pub instances: Vec<Instance>,
    addresses: HashMap<SocketAddr, usize>,
    /// Arrival time, sender, receiver and content of each datagram in transit.
    in_flight: Vec<(Moment, usize, usize, Datagram)>,
    /// Pairs of instances that cannot reach each other.
    pub cut: Vec<(usize, usize)>,
    /// Fraction of datagrams that are lost.
    pub loss: f64,
    losses: StdRng,
    /// Time of the current round.
    pub now: Moment,
    /// Number of the current round.
    pub round: u64,
}

impl Simulation {
    /// Starts instances that know each other from the store.
    pub fn new(size: usize) -> Self {
        let members: Vec<Member> = (0..size).map(member).collect();
        let now = Moment(10_000_000);
        let instances = members.iter().map(|own| start(own, &members, now)).collect();
        let addresses = members.iter().enumerate().map(|(index, own)| (own.peers, index));
        let addresses = addresses.collect();
        Self {
            instances,
            addresses,
            in_flight: Vec::new(),
            cut: Vec::new(),
            loss: 0.0,
            losses: StdRng::seed_from_u64(1),
            now,
            round: 0,
        }
    }

    fn send(&mut self, from: usize, to: &[SocketAddr], datagram: &Datagram) {
        for address in to {
            let to = self.addresses[address];
            self.instances[from].sent += 1;
            self.in_flight.push((self.now + TRANSIT, from, to, datagram.clone()));
        }
    }

    /// Simulates one round: instances report, collectors send digests, datagrams arrive.
    pub fn run_round(&mut self) {
        let (now, round) = (self.now, self.round);
        for index in 0..self.instances.len() {
            let instance = &mut self.instances[index];
            if instance.crashed || instance.frozen {
                continue;
            }
            let pulse = instance.node.pulse(REPORT_CLEARED, ROUND * 2, now);
            if round - instance.reported_at >= QUIET_ROUNDS
                || instance.last_report.as_ref() != Some(&pulse)
            {
                instance.last_report = Some(pulse.clone());
                instance.reported_at = round;
                if instance.node.members.is_large() {
                    let to = instance.node.report(pulse.clone(), now);
                    self.send(index, &to, &Datagram::Report(pulse));
                } else {
                    let to = instance.node.members.broadcast_audience(0, now);
                    self.send(index, &to, &Datagram::Pulse(pulse));
                }
            }
            let instance = &mut self.instances[index];
            let interval_rounds = interval(instance.member.weight).as_millis() / ROUND.as_millis();
            let is_due = round.is_multiple_of(interval_rounds as u64);
            let digests = is_due
                .then(|| instance.node.digests(round, link_mbps(&instance.member), now))
                .flatten();
            instance.last_digests.clone_from(&digests);
            for (digest, audience) in digests.into_iter().flatten() {
                self.send(index, &audience, &Datagram::Digest(digest));
            }
        }
        self.now = self.now + TRANSIT;
        self.deliver();
        self.now = self.now + (ROUND - TRANSIT);
        self.round += 1;
    }

    fn deliver(&mut self) {
        let now = self.now;
        for (_, from, to, datagram) in std::mem::take(&mut self.in_flight) {
            let instance = &mut self.instances[to];
            let cut = self.cut.contains(&(from, to)) || self.cut.contains(&(to, from));
            let lost = self.loss > 0.0 && self.losses.random::<f64>() < self.loss;
            if instance.crashed || instance.frozen || cut || lost {
                continue;
            }
            instance.received += 1;
            match datagram {
                Datagram::Report(pulse) => drop(instance.node.receive_report(pulse, now)),
                Datagram::Digest(digest) => drop(instance.node.receive_digest(&digest, now)),
                Datagram::Pulse(pulse) => drop(instance.node.receive_pulse(&pulse, now)),
                _ => unreachable!("the simulated instances send no others"),
            }
        }
    }

    /// Restarts an instance, which then knows only what the store lists.
    pub fn restart(&mut self, index: usize) {
        let members: Vec<Member> =
            self.instances.iter().map(|instance| instance.member.clone()).collect();
        let own = Member { born: members[index].born + 1, ..members[index].clone() };
        self.instances[index] = start(&own, &members, self.now);
    }

    /// Simulates rounds for a time.
    pub fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.run_round();
        }
    }

    /// Instances of a failure domain, the most preferred ones first.
    pub fn domain(&self, domain: usize) -> Vec<usize> {
        let name = domain_name(domain);
        let all = 0..self.instances.len();
        let mut indices: Vec<usize> =
            all.filter(|index| *self.instances[*index].member.domain == *name).collect();
        indices.sort_by_key(|index| self.instances[*index].member.rank());
        indices
    }

    /// Whether all the given instances count this many attempts at an endpoint.
    fn all_know(&self, endpoint: usize, attempts: u32, of: &[usize]) -> bool {
        of.iter().all(|index| {
            let instance = &self.instances[*index];
            let endpoint = &instance.node.board.endpoints[instance.keys[endpoint]];
            endpoint.load(self.now).attempts == attempts
        })
    }

    /// Asserts that the start of an attempt, and then its end, become known within a time.
    pub fn assert_spreads(
        &mut self,
        name: &str,
        from: usize,
        endpoint: usize,
        within: Duration,
        to: &[usize],
    ) {
        let load = Load { attempts: 1, unread: 900, context: 900, output: 20 };
        for (starting, attempts) in [(true, 1), (false, 0)] {
            let start = self.now;
            let now = self.now;
            let instance = &mut self.instances[from];
            let key = instance.keys[endpoint];
            if starting {
                instance.node.board.start(key, load);
            } else {
                instance.node.board.finish(key, load, now);
            }
            while !self.all_know(endpoint, attempts, to) {
                self.run_round();
                assert!(
                    self.now.since(start) <= within,
                    "{name}: {attempts} attempts of {from} at {endpoint} unknown after {:?}",
                    self.now.since(start)
                );
            }
        }
    }
}

/// Starts an instance that knows the others from the store.
fn start(own: &Member, members: &[Member], now: Moment) -> Instance {
    let settings = NodeSettings {
        own: own.clone(),
        board: BoardSettings::default(),
        retry: RetrySettings::default(),
        draw: 0.5,
    };
    let mut node = Node::new(settings);
    for other in members.iter().filter(|other| other.name != own.name) {
        node.members.note_row(other.clone(), now);
    }
    let keys = (0..ENDPOINTS).map(|index| node.note_endpoint(endpoint(index))).collect();
    Instance {
        node,
        member: own.clone(),
        keys,
        last_report: None,
        reported_at: 0,
        sent: 0,
        received: 0,
        crashed: false,
        frozen: false,
        last_digests: None,
    }
}

fn domain_name(domain: usize) -> String {
    format!("domain-{domain}")
}

/// A few instances of each domain are larger than the others.
pub fn member(index: usize) -> Member {
    let port = 1000 + index as u16;
    Member {
        name: format!("i{index}").into(),
        domain: domain_name(index % DOMAINS).into(),
        callers: ([127, 0, 0, 1], port).into(),
        peers: ([127, 0, 0, 2], port).into(),
        born: 1,
        weight: if index < 3 * DOMAINS { 500 } else { 120 },
    }
}

/// Rate of an instance's link in megabits per second.
fn link_mbps(member: &Member) -> f64 {
    if member.weight < 500 { 20.0 } else { 200.0 }
}

/// An endpoint of the service `engines`.
pub fn endpoint(index: usize) -> EndpointFacts {
    EndpointFacts {
        name: format!("engine-{index}").into(),
        service: "engines".into(),
        address: ([127, 0, 0, 3], 2000 + index as u16).into(),
        domain: "domain-0".into(),
        slots: 6,
        leaving: false,
        stage: None,
        born: 1,
        reclaimable: false,
    }
}
