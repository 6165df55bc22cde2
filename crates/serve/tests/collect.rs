//! Instances of a large fleet know of each other's work through the collectors of their domains.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use agatestair_policy::board::{BoardSettings, Load, SeatFacts};
use agatestair_policy::{EndpointKey, Moment, RetrySettings};
use agatestair_serve::{Datagram, Digest, Member, Node, NodeSettings, REPORT_CLEARED, interval};
use googletest::prelude::*;

/// Time between two rounds, and that in which a datagram arrives.
const ROUND: Duration = Duration::from_millis(40);
const TRANSIT: Duration = Duration::from_millis(20);

/// Rounds without news after which an instance reports all the same.
const QUIET_ROUNDS: u64 = 12;

/// Time in which all know of a choice: to the own collectors, to those of the other domains, and
/// to their instances, half a round and a transit each at most, and a round to spare.
const KNOWN_WITHIN: Duration = Duration::from_millis(240);

/// The same after collectors were lost: twice 800 ms of silence if the next two are lost as well, the
/// next report without news 480 ms later, and four rounds of smaller instances.
const KNOWN_AFTER_LOSS: Duration = Duration::from_millis(3400);

/// The same where only smaller instances are left in a domain.
const KNOWN_BY_SMALL: Duration = Duration::from_millis(800);

const DOMAINS: usize = 5;
const ENDPOINTS: usize = 20;

/// What becomes of the collectors of one domain.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Loss {
    /// They end.
    End,
    /// They neither send nor receive, and go on later.
    Freeze,
    /// Nothing passes between them and the other instances of their domain.
    CutNear,
    /// Nothing passes between their domain and the others.
    CutDomain,
}

struct LossCase {
    name: &'static str,
    size: usize,
    /// Collectors that it happens to.
    struck: usize,
    loss: Loss,
}

const LOSSES: [LossCase; 6] = [
    LossCase { name: "one collector ends", size: 100, struck: 1, loss: Loss::End },
    LossCase { name: "both end", size: 100, struck: 2, loss: Loss::End },
    LossCase { name: "both and the next two end", size: 100, struck: 4, loss: Loss::End },
    LossCase { name: "both freeze", size: 100, struck: 2, loss: Loss::Freeze },
    LossCase { name: "both are cut from their domain", size: 100, struck: 2, loss: Loss::CutNear },
    LossCase { name: "a domain is cut off", size: 100, struck: 0, loss: Loss::CutDomain },
];

struct Instance {
    node: Node,
    member: Member,
    keys: Vec<EndpointKey>,
    told: Option<agatestair_serve::Pulse>,
    told_at: u64,
    sent: u64,
    received: u64,
    silent: bool,
    frozen: bool,
    /// What it passed on in the last round.
    last: Option<[(Digest, Vec<SocketAddr>); 2]>,
}

struct World {
    instances: Vec<Instance>,
    addresses: HashMap<SocketAddr, usize>,
    /// Datagrams on their way: when they arrive, from whom, to whom.
    flying: Vec<(Moment, usize, usize, Datagram)>,
    cut: Vec<(usize, usize)>,
    now: Moment,
    round: u64,
}

impl World {
    fn new(size: usize) -> Self {
        let members: Vec<Member> = (0..size).map(member).collect();
        let instances = members.iter().map(|own| {
            let settings = NodeSettings {
                own: own.clone(),
                board: BoardSettings::default(),
                retry: RetrySettings::default(),
                draw: 0.5,
            };
            let mut node = Node::new(settings);
            let now = Moment(10_000_000);
            for other in members.iter().filter(|other| other.name != own.name) {
                node.members.note_row(other.clone(), now);
            }
            let keys = (0..ENDPOINTS).map(|index| node.note_endpoint(endpoint(index))).collect();
            let member = own.clone();
            Instance {
                node,
                member,
                keys,
                told: None,
                told_at: 0,
                sent: 0,
                received: 0,
                silent: false,
                frozen: false,
                last: None,
            }
        });
        let instances = instances.collect();
        let addresses = members.iter().enumerate().map(|(index, own)| (own.peers, index));
        let now = Moment(10_000_000);
        let addresses = addresses.collect();
        Self { instances, addresses, flying: Vec::new(), cut: Vec::new(), now, round: 0 }
    }

    fn send(&mut self, from: usize, to: &[SocketAddr], datagram: &Datagram) {
        for address in to {
            let to = self.addresses[address];
            self.instances[from].sent += 1;
            self.flying.push((self.now + TRANSIT, from, to, datagram.clone()));
        }
    }

    /// Plays one round: all report, collectors pass on, datagrams arrive.
    fn play_round(&mut self) {
        let (now, round) = (self.now, self.round);
        for index in 0..self.instances.len() {
            let instance = &mut self.instances[index];
            if instance.silent || instance.frozen {
                continue;
            }
            let pulse = instance.node.pulse(REPORT_CLEARED, ROUND * 2, now);
            if round - instance.told_at >= QUIET_ROUNDS || instance.told.as_ref() != Some(&pulse) {
                instance.told = Some(pulse.clone());
                instance.told_at = round;
                let to = instance.node.report(pulse.clone(), now);
                self.send(index, &to, &Datagram::Report(pulse));
            }
            let instance = &mut self.instances[index];
            let every = interval(instance.member.weight).as_millis() / ROUND.as_millis();
            let due = round.is_multiple_of(every as u64);
            let digests = due.then(|| instance.node.digests(round, now)).flatten();
            instance.last.clone_from(&digests);
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
        for (_, from, to, datagram) in std::mem::take(&mut self.flying) {
            let instance = &mut self.instances[to];
            let cut = self.cut.contains(&(from, to)) || self.cut.contains(&(to, from));
            if instance.silent || instance.frozen || cut {
                continue;
            }
            instance.received += 1;
            match datagram {
                Datagram::Report(pulse) => drop(instance.node.hear_report(pulse, now)),
                Datagram::Digest(digest) => drop(instance.node.hear_digest(&digest, now)),
                Datagram::Pulse(_) | Datagram::Bulletin(_) => unreachable!("none was sent"),
            }
        }
    }

    fn play(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.play_round();
        }
    }

    /// Instances of a domain, the most preferred ones first.
    fn domain(&self, domain: usize) -> Vec<usize> {
        let name = domain_name(domain);
        let all = 0..self.instances.len();
        let mut indices: Vec<usize> =
            all.filter(|index| *self.instances[*index].member.domain == *name).collect();
        indices.sort_by_key(|index| self.instances[*index].member.rank());
        indices
    }

    /// Whether all instances that can hear it know the work at an endpoint.
    fn agree(&self, endpoint: usize, attempts: u32, of: &[usize]) -> bool {
        of.iter().all(|index| {
            let instance = &self.instances[*index];
            let seat = &instance.node.board.seats[instance.keys[endpoint]];
            seat.load(self.now).attempts == attempts
        })
    }

    /// Time until a choice of an instance, and then its end, are known to others.
    fn spread(&mut self, name: &str, from: usize, endpoint: usize, within: Duration, to: &[usize]) {
        let load = Load { attempts: 1, unread: 900, context: 900, output: 20 };
        for (begins, attempts) in [(true, 1), (false, 0)] {
            let begun = self.now;
            let now = self.now;
            let instance = &mut self.instances[from];
            let key = instance.keys[endpoint];
            if begins {
                instance.node.board.start(key, load);
            } else {
                instance.node.board.finish(key, load, now);
            }
            while !self.agree(endpoint, attempts, to) {
                self.play_round();
                assert!(
                    self.now.since(begun) <= within,
                    "{name}: work of {from} at {endpoint}, {attempts} left, unknown after {:?}",
                    self.now.since(begun)
                );
            }
        }
    }
}

fn domain_name(domain: usize) -> String {
    format!("domain-{domain}")
}

/// A few instances of each domain are larger than the others.
fn member(index: usize) -> Member {
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

fn endpoint(index: usize) -> SeatFacts {
    SeatFacts {
        name: format!("engine-{index}").into(),
        service: "engines".into(),
        address: ([127, 0, 0, 3], 2000 + index as u16).into(),
        domain: "domain-0".into(),
        slots: 6,
        leaving: false,
        stage: None,
        born: 1,
    }
}

#[gtest]
fn all_know_of_a_choice_soon_at_any_size() {
    for size in [30, 100, 300, 343] {
        let mut world = World::new(size);
        world.play(Duration::from_secs(1));
        let all: Vec<usize> = (0..size).collect();
        for (turn, from) in [0, 7, 18, 29].into_iter().enumerate() {
            world.spread(&format!("{size} instances"), from, turn, KNOWN_WITHIN, &all);
        }
    }
}

#[gtest]
fn an_announced_leaving_reaches_all_instances() {
    for size in [30, 100, 343] {
        let mut world = World::new(size);
        world.play(Duration::from_secs(1));
        let leaves = |instance: &Instance| {
            instance.node.board.seats[instance.keys[ENDPOINTS - 1]].is_leaving()
        };
        let begun = world.now;
        let first = &mut world.instances[18];
        expect_that!(first.node.board.note_leaving(first.keys[ENDPOINTS - 1], begun), eq(true));
        while !world.instances.iter().all(leaves) {
            world.play_round();
            assert!(world.now.since(begun) <= KNOWN_WITHIN, "{size} instances");
        }
        // The store's word does not bring it back, a new start does.
        let key = world.instances[7].node.note_endpoint(endpoint(ENDPOINTS - 1));
        expect_that!(world.instances[7].node.board.is_open(key), eq(false));
        let next = SeatFacts { born: 2, ..endpoint(ENDPOINTS - 1) };
        let key = world.instances[7].node.note_endpoint(next);
        expect_that!(world.instances[7].node.board.is_open(key), eq(true));
    }
}

#[gtest]
fn what_an_instance_sends_does_not_grow_with_the_fleet() {
    let seconds = 4;
    let mut most = Vec::new();
    for size in [100, 343] {
        let mut world = World::new(size);
        world.play(Duration::from_secs(2));
        for instance in &mut world.instances {
            (instance.sent, instance.received) = (0, 0);
        }
        for round in 0..(seconds * 25) {
            // Every instance begins and ends something now and then.
            for index in (round % 10..size).step_by(10) {
                let instance = &mut world.instances[index];
                let key = instance.keys[index % ENDPOINTS];
                instance.node.board.start(key, Load { attempts: 1, ..Load::default() });
            }
            world.play_round();
        }
        let small = world.instances.iter().filter(|instance| instance.member.weight < 500);
        let sent = small.clone().map(|instance| instance.sent).max().unwrap_or_default();
        let received = small.map(|instance| instance.received).max().unwrap_or_default();
        most.push((sent, received));
        // Two datagrams a round to collectors, and one from each of them.
        expect_that!(sent, le(2 * 25 * seconds as u64), "{size} instances");
        expect_that!(received, le(2 * 25 * seconds as u64), "{size} instances");
    }
    expect_that!(most[0], eq(most[1]));
}

#[gtest]
fn whoever_is_asked_collects_even_if_it_takes_the_fleet_for_a_small_one() {
    let now = Moment(10_000_000);
    let settings = |own| NodeSettings {
        own,
        board: BoardSettings::default(),
        retry: RetrySettings::default(),
        draw: 0.5,
    };
    let mut collector = Node::new(settings(member(0)));
    for index in 1..5 {
        collector.members.note_row(member(index * DOMAINS), now);
    }
    let report = Node::new(settings(member(DOMAINS))).pulse(REPORT_CLEARED, ROUND, now);
    expect_that!(collector.digests(0, now).is_some(), eq(false));
    collector.hear_report(report.clone(), now);
    let [(near, audience), _] = collector.digests(1, now).expect("it was asked");
    expect_that!(
        near.pulses.iter().map(|pulse| pulse.sender).collect::<Vec<_>>(),
        eq(&vec![report.sender])
    );
    expect_that!(audience.len(), eq(4));
}

/// Links of the smallest instances, in bytes a second, and the share that digests may take.
const SMALL_LINK: usize = 20_000_000 / 8;
const DIGEST_SHARE: f64 = 0.5;

#[gtest]
fn digests_of_small_instances_fit_their_links() {
    let size = 300;
    let mut world = World::new(size);
    // The larger instances are gone.
    for instance in world.instances.iter_mut().filter(|instance| instance.member.weight >= 500) {
        instance.silent = true;
    }
    world.play(Duration::from_secs(4));
    let rounds = 100;
    let every = (interval(120).as_millis() / ROUND.as_millis()) as u64;
    let mut bytes = vec![0_usize; size];
    for round in 0..rounds {
        for index in (round % 4..size).step_by(4) {
            // Six requests a second and instance begin and end, and their answers tell paces.
            let now = world.now;
            let instance = &mut world.instances[index];
            let at = |turn: usize| (index + turn / 4) % ENDPOINTS;
            let load = Load { attempts: 1, unread: 300, context: 300, output: 20 };
            instance.node.board.start(instance.keys[at(round)], load);
            if round >= 8 {
                let key = instance.keys[at(round - 8)];
                instance.node.board.finish(key, load, now);
                let pace = if (index + round) % 7 == 0 { 2.5 } else { 1.0 };
                instance.node.hear_pace(key, pace, now);
            }
        }
        let before = world.round;
        world.play_round();
        for (instance, bytes) in world.instances.iter_mut().zip(&mut bytes) {
            if instance.silent || !before.is_multiple_of(every) {
                continue;
            }
            for (digest, audience) in instance.last.take().into_iter().flatten() {
                let datagram = Datagram::Digest(digest).encode().expect("it fits");
                *bytes += datagram.len() * audience.len();
            }
        }
    }
    let most = bytes.into_iter().max().unwrap_or_default();
    let each = most as f64 / (ROUND * rounds as u32).as_secs_f64();
    expect_that!(each, gt(0.0));
    expect_that!(each, le(SMALL_LINK as f64 * DIGEST_SHARE));
}

#[gtest]
fn the_loss_of_collectors_is_made_up_for() {
    for case in &LOSSES {
        let mut world = World::new(case.size);
        world.play(Duration::from_secs(1));
        let near = world.domain(0);
        let (struck, left) = near.split_at(case.struck);
        let far = world.domain(1);
        for index in struck {
            match case.loss {
                Loss::End => world.instances[*index].silent = true,
                Loss::Freeze => world.instances[*index].frozen = true,
                Loss::CutNear => {
                    world.cut.extend(left.iter().map(|other| (*index, *other)));
                }
                Loss::CutDomain => {}
            }
        }
        if case.loss == Loss::CutDomain {
            let others = (0..case.size).filter(|index| !near.contains(index));
            let pairs = others.flat_map(|other| near.iter().map(move |index| (*index, other)));
            world.cut.extend(pairs.collect::<Vec<_>>());
        }
        let reached: Vec<usize> = match case.loss {
            Loss::CutDomain => left.to_vec(),
            _ => left.iter().chain(&far).copied().collect(),
        };
        world.spread(case.name, left[5], 3, KNOWN_AFTER_LOSS, &reached);
        world.spread(case.name, left[6], 4, KNOWN_AFTER_LOSS, &reached);
        // Once the loss is over, or known, news are as fast as before, from and to everywhere.
        world.cut.clear();
        world.instances.iter_mut().for_each(|instance| instance.frozen = false);
        world.play(Duration::from_secs(6));
        let all: Vec<usize> =
            (0..case.size).filter(|index| !world.instances[*index].silent).collect();
        let small = case.loss == Loss::End && case.struck >= 2;
        let within = if small { KNOWN_BY_SMALL } else { KNOWN_WITHIN };
        world.spread(case.name, left[5], 5, within, &all);
        world.spread(case.name, far[9], 6, within, &all);
    }
}
