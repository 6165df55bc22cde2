//! Links to the control processes of other instances.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use agatestair_link::{LinkKey, LinkNode, Peer};
use agatestair_policy::assign::rank;
use agatestair_schema::link::LinkMessage;

/// Number of instances up to which each is linked to every other.
const MAX_FULL_MESH: usize = 16;

/// Open links and dialled addresses.
pub struct Peers {
    node: LinkNode,
    links: Vec<(LinkKey, Arc<Peer>)>,
    dialled: BTreeMap<Arc<str>, SocketAddr>,
}

impl Peers {
    /// Starts without links.
    pub fn new(node: LinkNode) -> Self {
        Self { node, links: Vec::new(), dialled: BTreeMap::new() }
    }

    /// Records an open link.
    pub fn note_up(&mut self, link: LinkKey, peer: Arc<Peer>) {
        self.links.push((link, peer));
    }

    /// Removes a closed link; returns whether no other link to the same instance is open.
    pub fn note_down(&mut self, link: LinkKey, instance: &str) -> bool {
        self.links.retain(|(key, _)| *key != link);
        !self.links.iter().any(|(_, peer)| &*peer.instance == instance)
    }

    /// Dials the wanted addresses and disconnects from all others.
    pub fn set_dialled(&mut self, wanted: BTreeMap<Arc<str>, SocketAddr>) {
        for (name, address) in &self.dialled {
            if wanted.get(name) != Some(address) {
                self.node.disconnect(*address);
            }
        }
        for (name, address) in &wanted {
            if self.dialled.get(name) != Some(address) {
                self.node.dial(*address);
            }
        }
        self.dialled = wanted;
    }

    /// Sends a message on one link; returns whether it was queued.
    pub fn send(&self, link: LinkKey, message: LinkMessage) -> bool {
        self.node.send(link, message)
    }

    /// Sends a message to one instance; returns false if it has no open link or its queue is full.
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

/// Names of the instances that `own` dials, out of `names`, which include it.
///
/// Up to `MAX_FULL_MESH` instances, each dials all others: a process that starts while the platform
/// is down knows no addresses, and gets the lists from the peers that dial it. With more instances
/// they form a ring in hash order, and each dials the ones at power-of-two distances, so that a
/// message can reach all instances in a logarithmic number of hops.
pub fn dial_targets(own: &str, names: &[Arc<str>]) -> Vec<Arc<str>> {
    if names.len() <= MAX_FULL_MESH {
        return names.iter().filter(|name| &***name != own).cloned().collect();
    }
    let ring = rank(names);
    let Some(position) = ring.iter().position(|index| &*names[*index] == own) else {
        return Vec::new();
    };
    let distances = (0..usize::BITS).map(|power| 1 << power).take_while(|d| *d < ring.len());
    distances.map(|distance| names[ring[(position + distance) % ring.len()]].clone()).collect()
}
