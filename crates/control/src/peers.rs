//! Links to the control processes of other instances.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use agatestair_link::{LinkKey, LinkNode, Peer};
use agatestair_policy::assign::rank;
use agatestair_schema::link::LinkMessage;

/// Number of instances up to which each is linked to each other one.
const FULL_MESH: usize = 16;

/// Open links and dialled addresses.
pub struct Peers {
    node: LinkNode,
    links: Vec<(LinkKey, Arc<Peer>)>,
    dialled: BTreeMap<Arc<str>, SocketAddr>,
}

impl Peers {
    /// Has no links yet.
    pub fn new(node: LinkNode) -> Self {
        Self { node, links: Vec::new(), dialled: BTreeMap::new() }
    }

    /// Notes an open link.
    pub fn note_up(&mut self, link: LinkKey, peer: Arc<Peer>) {
        self.links.push((link, peer));
    }

    /// Notes the end of a link; returns whether no other link to the same instance is open.
    pub fn note_down(&mut self, link: LinkKey, instance: &str) -> bool {
        self.links.retain(|(key, _)| *key != link);
        !self.links.iter().any(|(_, peer)| &*peer.instance == instance)
    }

    /// Dials the wanted addresses and forgets all others.
    pub fn set_dialled(&mut self, wanted: BTreeMap<Arc<str>, SocketAddr>) {
        for (name, address) in &self.dialled {
            if wanted.get(name) != Some(address) {
                self.node.forget(*address);
            }
        }
        for (name, address) in &wanted {
            if self.dialled.get(name) != Some(address) {
                self.node.dial(*address);
            }
        }
        self.dialled = wanted;
    }

    /// Sends a message on one link.
    pub fn send(&self, link: LinkKey, message: LinkMessage) -> bool {
        self.node.send(link, message)
    }

    /// Sends a message to one instance; false if no link to it is open.
    pub fn send_to(&self, instance: &str, message: LinkMessage) -> bool {
        let found = self.links.iter().rev().find(|(_, peer)| &*peer.instance == instance);
        found.is_some_and(|(link, _)| self.node.send(*link, message))
    }

    /// Sends a message once to each linked instance.
    pub fn broadcast(&self, message: &LinkMessage) {
        for (index, (link, peer)) in self.links.iter().enumerate() {
            let newer = &self.links[index + 1..];
            if !newer.iter().any(|(_, other)| other.instance == peer.instance) {
                self.node.send(*link, message.clone());
            }
        }
    }
}

/// Names that `own` dials, among `names`, which include it.
///
/// Up to `FULL_MESH` instances each dials all others: a process that starts while the platform
/// is down knows no address, and learns the lists from those that dial it.
/// Above it the instances form a ring in hash order, and each dials those at distances of powers of
/// two, so that any message reaches all instances within a number of hops that is logarithmic.
pub fn dial_targets(own: &str, names: &[Arc<str>]) -> Vec<Arc<str>> {
    if names.len() <= FULL_MESH {
        return names.iter().filter(|name| &***name != own).cloned().collect();
    }
    let ring = rank(names);
    let Some(place) = ring.iter().position(|index| &*names[*index] == own) else {
        return Vec::new();
    };
    let distances = (0..usize::BITS).map(|power| 1 << power).take_while(|d| *d < ring.len());
    distances.map(|distance| names[ring[(place + distance) % ring.len()]].clone()).collect()
}
