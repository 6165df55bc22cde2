//! The endpoints of a service that an instance uses if an endpoint accepts fewer connections than
//! there are instances.
//!
//! The endpoints of a stage form a ring, and each instance uses the endpoints in an arc of it. The
//! arcs start at even distances in the order of the instances, so that every endpoint is in the arcs
//! of the same number of instances, and a change of their number shifts each arc only slightly.

use std::collections::{HashMap, HashSet};

use crate::assign::interleave_domains;
use crate::board::{Board, BoardEndpoint, Stage};
use crate::keys::EndpointKey;
use crate::moment::Moment;

/// The connections that each endpoint of a service accepts, divided among the instances.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Division {
    /// Number of instances.
    pub instances: usize,
    /// Position of this instance in the common order of the instances.
    pub rank: usize,
    /// Number of instances whose arcs contain an endpoint.
    pub users: usize,
    /// Number of further instances that may use an endpoint because none in their arcs accepts
    /// work.
    pub spare: usize,
}

impl Division {
    /// Positions in a ring of endpoints that this instance uses; `open` states for each position
    /// whether the endpoint accepts work.
    ///
    /// Instances without an open endpoint in their arcs divide the spare connections. If those do
    /// not suffice, the ring consists of the open endpoints only.
    pub fn positions(&self, open: &[bool]) -> Vec<usize> {
        let ring = open.len();
        let accepting: Vec<usize> = (0..ring).filter(|position| open[*position]).collect();
        let spare = self.spare * accepting.len();
        let distances = distances(open);
        let lost = |rank: &usize| !self.has_open(*rank, &distances);
        let all_lost = (0..self.instances).filter(lost).count();
        if all_lost > spare && !accepting.is_empty() && accepting.len() < ring {
            let positions = self.positions(&vec![true; accepting.len()]);
            return positions.into_iter().map(|position| accepting[position]).collect();
        }
        let first = self.first(self.rank, ring);
        let arc =
            (first..first + ring).take_while(|position| self.is_in_arc(self.rank, *position, ring));
        let mut positions: Vec<usize> = arc.map(|position| position % ring).collect();
        if lost(&self.rank) {
            let turn = (0..self.rank).filter(lost).count();
            positions.extend((turn < spare).then(|| accepting[turn % accepting.len()]));
        }
        positions
    }

    /// First position in the arc of the instance of a rank.
    fn first(&self, rank: usize, ring: usize) -> usize {
        (rank * ring).div_ceil(self.instances)
    }

    /// Whether a position, counted on beyond the end of the ring, is in the arc of the instance of
    /// a rank. Exactly `users` instances have each position, since their arcs start at distances of
    /// `ring` on a circle of `ring * instances`.
    fn is_in_arc(&self, rank: usize, position: usize, ring: usize) -> bool {
        position * self.instances < (rank + self.users) * ring
    }

    fn has_open(&self, rank: usize, distances: &[Option<usize>]) -> bool {
        let ring = distances.len();
        let first = self.first(rank, ring);
        let distance = distances.get(first % ring.max(1)).copied().flatten();
        distance.is_some_and(|distance| self.is_in_arc(rank, first + distance, ring))
    }
}

/// Distance from each position of a ring to the next open one, 0 if it is open itself.
fn distances(open: &[bool]) -> Vec<Option<usize>> {
    let mut distances = vec![None; open.len()];
    let mut next = None;
    for position in (0..2 * open.len()).rev() {
        let position = position % open.len();
        next = if open[position] { Some(0) } else { next.map(|distance: usize| distance + 1) };
        distances[position] = next;
    }
    distances
}

impl Board {
    /// The endpoints of a service that this instance uses, without those where all connections are
    /// known to be in use. Those in `tried` count as not accepting work.
    pub fn subset(
        &self,
        service: &str,
        division: &Division,
        tried: &[EndpointKey],
        now: Moment,
    ) -> HashSet<EndpointKey> {
        let mut pools: HashMap<Option<Stage>, Vec<EndpointKey>> = HashMap::new();
        for key in self.members(service) {
            let endpoint = &self.endpoints[*key];
            if !endpoint.is_leaving() {
                pools.entry(endpoint.facts.stage).or_default().push(*key);
            }
        }
        let used = pools.into_values().flat_map(|pool| {
            let items = pool.iter().map(|key| {
                let endpoint = &self.endpoints[*key];
                (&*endpoint.facts.domain, endpoint.name_hash)
            });
            let ring = interleave_domains(&items.collect::<Vec<_>>());
            let ring: Vec<EndpointKey> = ring.into_iter().map(|index| pool[index]).collect();
            let is_open =
                |key: &EndpointKey| !tried.contains(key) && is_open(&self.endpoints[*key], now);
            let open: Vec<bool> = ring.iter().map(is_open).collect();
            division.positions(&open).into_iter().map(move |position| ring[position])
        });
        // Attempts of an earlier division may still be in work.
        let accepts = |key: &EndpointKey| {
            (self.endpoints[*key].load(now).attempts as usize) < division.users + division.spare
        };
        used.filter(accepts).collect()
    }
}

fn is_open(endpoint: &BoardEndpoint, now: Moment) -> bool {
    endpoint.availability.pause_left(now).is_none()
        && !endpoint.is_avoided(now)
        && endpoint.limit.allows()
}
