//! Connections that an endpoint accepts from all instances together.

mod support;

use std::collections::HashMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use agatestair_policy::board::{BoardSettings, EndpointFacts, PlacementRequest};
use agatestair_policy::{Moment, RetrySettings};
use agatestair_serve::{Node, NodeSettings, Search};
use googletest::prelude::*;

use self::support::simulation::{ENDPOINTS, ROUND, Simulation, endpoint, member};

const START: Moment = Moment(10_000_000);

/// Connections that an endpoint accepts while the fleet changes.
const CONNECTIONS: u32 = 170;

/// Time after which an instance that ended or was cut off is known to be silent, and two rounds.
const SILENT: Duration = Duration::from_millis(5080);

/// Instances that place as many attempts as they can at the same moment.
struct Case {
    name: &'static str,
    instances: usize,
    endpoints: usize,
    /// Connections that each endpoint accepts from all instances together, if it names them.
    connections: Option<u32>,
    /// Number of endpoints that no instance can reach.
    unreachable: usize,
    /// Smallest number of reachable endpoints that each instance has to use.
    choice: usize,
}

const LARGE: Case = Case {
    name: "a large fleet",
    instances: 343,
    endpoints: 20,
    connections: Some(170),
    unreachable: 0,
    choice: 7,
};

const CASES: [Case; 17] = [
    Case { name: "one instance", instances: 1, choice: 20, ..LARGE },
    Case { name: "few connections", instances: 1, connections: Some(3), choice: 20, ..LARGE },
    Case { name: "a small fleet", instances: 9, choice: 20, ..LARGE },
    Case { name: "a grown fleet", instances: 30, choice: 20, ..LARGE },
    Case { name: "one each", instances: 170, choice: 20, ..LARGE },
    Case { name: "one too many", instances: 171, choice: 14, ..LARGE },
    LARGE,
    Case { name: "many connections", connections: Some(1900), choice: 20, ..LARGE },
    Case { name: "a few endpoints", endpoints: 4, choice: 1, ..LARGE },
    Case {
        name: "just enough connections",
        endpoints: 3,
        connections: Some(115),
        choice: 1,
        ..LARGE
    },
    Case { name: "too few connections", endpoints: 1, choice: 0, ..LARGE },
    Case {
        name: "a small fleet, too few",
        instances: 9,
        endpoints: 1,
        connections: Some(5),
        choice: 0,
        ..LARGE
    },
    Case { name: "no maximum", connections: None, choice: 20, ..LARGE },
    Case { name: "one of four is lost", endpoints: 4, unreachable: 1, choice: 1, ..LARGE },
    Case { name: "a domain is lost", unreachable: 4, choice: 1, ..LARGE },
    Case { name: "most are lost", unreachable: 17, choice: 1, ..LARGE },
    Case { name: "nearly all are lost", unreachable: 19, choice: 0, ..LARGE },
];

fn request() -> PlacementRequest {
    PlacementRequest {
        service: "engines".into(),
        limit: Duration::from_secs(60),
        objective: Duration::from_secs(60),
        max_wait: Duration::from_secs(60),
        ..PlacementRequest::default()
    }
}

/// Places attempts, which do not end, until none is accepted; returns the names of their endpoints.
fn place_all(node: &mut Node, connections: Option<u32>, now: Moment) -> Vec<Arc<str>> {
    let placed = |_| Some(node.place(&request(), Search::Plain, connections, now).ok()?.name);
    (0..10_000).map_while(placed).collect()
}

/// An endpoint that is never too busy for an attempt.
fn roomy(index: usize) -> EndpointFacts {
    EndpointFacts { slots: 1000, ..endpoint(index) }
}

fn facts(index: usize) -> EndpointFacts {
    EndpointFacts { domain: format!("domain-{}", index % 5).into(), ..roomy(index) }
}

/// Instances that have just read each other's rows from the store and heard nothing yet.
fn started_together(size: usize) -> impl Iterator<Item = Node> {
    (0..size).map(move |index| {
        let settings = NodeSettings {
            own: member(index),
            board: BoardSettings::default(),
            retry: RetrySettings::default(),
            draw: 0.5,
        };
        let mut node = Node::new(settings);
        for other in (0..size).filter(|other| *other != index) {
            node.members.note_row(member(other), START);
        }
        node
    })
}

#[gtest]
fn connections_of_all_instances_fit_each_endpoint_and_reach_all() {
    for case in &CASES {
        let now = START + Duration::from_millis(100);
        let mut used: HashMap<Arc<str>, usize> = HashMap::new();
        let mut narrowest = usize::MAX;
        for mut node in started_together(case.instances) {
            for index in 0..case.endpoints {
                let key = node.note_endpoint(facts(index));
                if index < case.unreachable {
                    node.board.note_unreachable(key);
                }
            }
            let mut placed = place_all(&mut node, case.connections, now);
            placed.iter().for_each(|name| *used.entry(name.clone()).or_default() += 1);
            placed.sort_unstable();
            placed.dedup();
            placed.retain(|name| {
                (case.unreachable..case.endpoints).any(|index| facts(index).name == *name)
            });
            narrowest = narrowest.min(placed.len());
        }
        let most = used.values().max().copied().unwrap_or(0);
        let reached = (case.unreachable..case.endpoints)
            .filter(|index| used.contains_key(&facts(*index).name))
            .count();
        let (live, name) = (case.endpoints - case.unreachable, case.name);
        let maximum = case.connections.map_or(usize::MAX, |maximum| maximum as usize);
        println!("{name}: {most} of {maximum}, {reached} of {live}, {narrowest} each");
        expect_that!(most, le(maximum), "{name}");
        expect_that!(reached, eq(live), "{name}");
        expect_that!(narrowest, ge(case.choice), "{name}");
    }
}

/// What happens to a fleet that has used as many connections as it can.
#[derive(Clone, Copy, Debug)]
enum Change {
    ThirdEnds,
    /// This many instances are cut off from the rest, but reach the endpoints.
    CutOff(usize),
    /// An endpoint is added.
    EndpointJoins,
    /// An endpoint is removed.
    EndpointLeaves,
    /// Every instance finds that this many endpoints are unreachable.
    Lost(usize),
    /// An instance restarts and then knows only what the store lists.
    Restart,
}

#[gtest]
fn connections_fit_the_endpoints_while_the_fleet_changes() {
    for size in [30, 100, 180, 343] {
        for change in [
            Change::ThirdEnds,
            Change::CutOff(1),
            Change::CutOff(size / 2),
            Change::EndpointJoins,
            Change::EndpointLeaves,
            Change::Lost(4),
            Change::Restart,
        ] {
            play(size, change);
        }
    }
}

#[gtest]
fn connections_fit_the_endpoints_that_are_left_when_most_are_lost() {
    play(343, Change::Lost(17));
}

/// Places as many attempts as possible before and after a change; they end only with an instance.
fn play(size: usize, change: Change) {
    let mut sim = Simulation::new(size);
    for instance in &mut sim.instances {
        for index in 0..ENDPOINTS {
            instance.node.note_endpoint(roomy(index));
        }
    }
    sim.run(Duration::from_secs(1));
    let mut open: Vec<Vec<Arc<str>>> = vec![Vec::new(); size];
    let mut check = |sim: &mut Simulation, name: &str| {
        let mut used: HashMap<Arc<str>, usize> = HashMap::new();
        for (instance, open) in sim.instances.iter_mut().zip(&mut open) {
            if instance.crashed {
                open.clear();
                continue;
            }
            open.extend(place_all(&mut instance.node, Some(CONNECTIONS), sim.now));
            open.iter().for_each(|name| *used.entry(name.clone()).or_default() += 1);
        }
        let most = used.values().max().copied().unwrap_or(0);
        println!("{size} instances, {change:?}, {name}: {most} of {CONNECTIONS}");
        expect_that!(most, le(CONNECTIONS as usize), "{size} instances, {change:?}, {name}");
    };
    check(&mut sim, "before");
    sim.run(ROUND * 20);
    make(change, &mut sim);
    check(&mut sim, "at once");
    sim.run(ROUND * 20);
    check(&mut sim, "soon");
    if matches!(change, Change::ThirdEnds | Change::CutOff(_)) {
        sim.run(SILENT);
        check(&mut sim, "later");
    }
}

fn make(change: Change, sim: &mut Simulation) {
    let (size, now) = (sim.instances.len(), sim.now);
    match change {
        Change::ThirdEnds => {
            sim.instances.iter_mut().step_by(3).for_each(|instance| instance.crashed = true);
        }
        Change::CutOff(count) => {
            let split = size - count;
            let pairs = (split..size).flat_map(|other| (0..split).map(move |one| (one, other)));
            sim.cut.extend(pairs);
        }
        Change::EndpointJoins => {
            for instance in &mut sim.instances {
                instance.node.note_endpoint(roomy(100));
            }
        }
        Change::EndpointLeaves => {
            for instance in &mut sim.instances {
                instance.node.drop_endpoint("engine-3", now);
            }
        }
        Change::Lost(count) => {
            for instance in &mut sim.instances {
                for key in &instance.keys[..count] {
                    instance.node.board.note_unreachable(*key);
                }
            }
        }
        Change::Restart => {
            sim.restart(size - 1);
            for index in 0..ENDPOINTS {
                sim.instances[size - 1].node.note_endpoint(roomy(index));
            }
        }
    }
}

/// Accepts connections and answers the request on each, which stays open; resets those beyond a
/// maximum once their request has arrived.
fn serve_at_most(maximum: usize) -> std::net::SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    thread::spawn(move || {
        let mut open = Vec::new();
        for mut stream in listener.incoming().flatten() {
            let mut byte = [0];
            // Closing a connection with unread bytes resets it.
            if stream.peek(&mut byte).is_err() || open.len() == maximum {
                continue;
            }
            drop(stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"));
            open.push(stream);
        }
    });
    address
}

#[gtest]
fn an_endpoint_resets_no_connection_of_instances_that_start_together() {
    for (size, endpoints) in [(30, 1), (170, 1), (343, 1), (343, 3)] {
        let addresses: Vec<_> = (0..endpoints).map(|_| serve_at_most(170)).collect();
        let now = START + Duration::from_millis(100);
        let mut open = Vec::new();
        let (mut served, mut reset, mut refused) = (0, 0, 0);
        for mut node in started_together(size) {
            for (index, address) in addresses.iter().enumerate() {
                node.note_endpoint(EndpointFacts { address: *address, ..facts(index) });
            }
            let Ok(placement) = node.place(&request(), Search::Plain, 170, now) else {
                refused += 1;
                continue;
            };
            let mut stream = TcpStream::connect(placement.address).expect("it listens");
            stream.write_all(b"GET / HTTP/1.1\r\n\r\n").expect("a socket takes a few bytes");
            let mut byte = [0];
            match stream.read(&mut byte) {
                Ok(1) => served += 1,
                Ok(_) => reset += 1,
                Err(error) if error.kind() == ErrorKind::ConnectionReset => reset += 1,
                Err(error) => panic!("the endpoint neither answers nor resets: {error}"),
            }
            open.push(stream);
        }
        let name = format!("{size} instances, {endpoints} endpoints");
        println!("{name}: {served} served, {reset} reset, {refused} refused");
        expect_that!(reset, eq(0), "{name}");
        expect_that!(served, eq(size.min(170 * endpoints)), "{name}");
    }
}
