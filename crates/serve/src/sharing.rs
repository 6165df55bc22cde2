//! Shares of limits that apply to all instances together, by the load of each instance.
//!
//! Instances announce weights to each other and divide a limit in proportion. Each one counts its
//! own weight as the lowest that it lately announced and those of others as the highest that it
//! lately heard, so that the shares sum to at most one while announcements are in transit.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use agatestair_policy::Moment;
use agatestair_policy::assign::name_hash;

/// Time after which all other instances have received an announcement: three datagrams to a group
/// that gets one in three rounds.
const SETTLE_TIME: Duration = Duration::from_millis(400);

/// The same in a large fleet, where an announcement passes through two collectors.
const LARGE_SETTLE_TIME: Duration = Duration::from_millis(1500);

/// Time constant of the average of a service's requests per second.
const RATE_TIME: Duration = Duration::from_secs(4);

/// Time after the last request to a service for which its rate is kept.
const RATE_LIFETIME: Duration = Duration::from_secs(60);

/// Weight of an instance without requests, in requests per second. An instance whose load begins
/// has a share before its announcement is settled.
const BASE_WEIGHT: f64 = 0.1;

/// Relative change of a weight from which on it is announced again.
const ANNOUNCED_CHANGE: f64 = 0.4;

/// Weights are announced in tenths of a request per second, so that most take one byte.
const WEIGHT_SCALE: f64 = 10.0;

/// Time after which the weight of an instance that announces none is dropped.
const WEIGHT_LIFETIME: Duration = Duration::from_secs(10);

/// The values that a weight had lately.
#[derive(Clone, Debug, Default)]
struct Weight {
    /// Values and when each was set, the oldest first.
    values: VecDeque<(Moment, f64)>,
}

impl Weight {
    fn set(&mut self, value: f64, now: Moment) {
        if self.latest() != value {
            self.values.push_back((now, value));
        }
        self.expire(now);
    }

    fn latest(&self) -> f64 {
        self.values.back().map_or(BASE_WEIGHT, |(_, value)| *value)
    }

    /// Removes values that no settle time includes any more.
    fn expire(&mut self, now: Moment) {
        while self.values.get(1).is_some_and(|(at, _)| now.since(*at) >= LARGE_SETTLE_TIME) {
            self.values.pop_front();
        }
    }

    /// The values within the last `settle`.
    fn recent(&self, settle: Duration, now: Moment) -> impl Iterator<Item = f64> {
        let first = self.values.front().filter(|(at, _)| now.since(*at) >= settle);
        let initial = if first.is_none() { Some(BASE_WEIGHT) } else { None };
        // A value counts until its successor is settled.
        let counts = move |index: &usize| {
            self.values.get(index + 1).is_none_or(|(at, _)| now.since(*at) < settle)
        };
        let recent = (0..self.values.len()).filter(counts).map(|index| self.values[index].1);
        initial.into_iter().chain(recent)
    }
}

/// Average of a service's requests per second at this instance.
#[derive(Clone, Copy, Debug, Default)]
struct RequestRate {
    rate: f64,
    updated: Moment,
}

impl RequestRate {
    fn at(&self, now: Moment) -> f64 {
        let age = now.since(self.updated).as_secs_f64();
        self.rate * (-age / RATE_TIME.as_secs_f64()).exp()
    }

    fn note_request(&mut self, now: Moment) {
        self.rate = self.at(now) + 1.0 / RATE_TIME.as_secs_f64();
        self.updated = now;
    }
}

#[derive(Clone, Debug, Default)]
struct PeerWeight {
    weight: Weight,
    heard: Moment,
}

/// Key of a service in announcements: half of the hash of its name, to keep datagrams small.
fn service_key(service: &str) -> u32 {
    name_hash(service) as u32
}

/// Weights of all instances, by service.
#[derive(Clone, Debug, Default)]
pub struct Sharing {
    rates: HashMap<Arc<str>, RequestRate>,
    /// Announced weights of this instance, by the key of the service.
    own: HashMap<u32, Weight>,
    /// Weights of other instances, by the key of the service and the hash of the instance's name.
    peers: HashMap<u32, HashMap<u64, PeerWeight>>,
}

impl Sharing {
    /// Counts a request to a service.
    pub fn note_request(&mut self, service: &Arc<str>, now: Moment) {
        match self.rates.get_mut(service) {
            Some(rate) => rate.note_request(now),
            None => self.rates.entry(service.clone()).or_default().note_request(now),
        }
    }

    /// Updates the announced weights: those of the given services, none of others.
    pub fn announce<'a>(&mut self, services: impl Iterator<Item = &'a Arc<str>>, now: Moment) {
        let mut weights: HashMap<u32, f64> = HashMap::new();
        for service in services {
            let rate = self.rates.get(service).map_or(0.0, |rate| rate.at(now));
            let weight = ((rate + BASE_WEIGHT) * WEIGHT_SCALE).round() / WEIGHT_SCALE;
            weights.insert(service_key(service), weight);
        }
        self.own.retain(|service, _| weights.contains_key(service));
        for (service, weight) in weights {
            let own = self.own.entry(service).or_default();
            let known = own.latest();
            if (weight - known).abs() > ANNOUNCED_CHANGE * known {
                own.set(weight, now);
            } else {
                own.set(known, now);
            }
        }
    }

    /// The announced weights in tenths of a request per second, by the key of the service.
    pub fn announced(&self) -> Vec<(u32, u32)> {
        let scaled = |weight: f64| (weight * WEIGHT_SCALE).round() as u32;
        let mut announced: Vec<(u32, u32)> =
            self.own.iter().map(|(service, own)| (*service, scaled(own.latest()))).collect();
        announced.sort_unstable();
        announced
    }

    /// Records the weights that another instance announces.
    pub fn note_peer(&mut self, peer: u64, announced: &[(u32, u32)], now: Moment) {
        for (service, weight) in announced {
            let known = self.peers.entry(*service).or_default().entry(peer).or_default();
            known.weight.set(f64::from(*weight) / WEIGHT_SCALE, now);
            known.heard = now;
        }
    }

    /// This instance's share of the limits of a service's endpoints, from 0 to 1; `others` are the
    /// other instances, `large` whether they exchange weights through collectors.
    pub fn share(
        &self,
        service: &str,
        others: impl Iterator<Item = u64>,
        large: bool,
        now: Moment,
    ) -> f64 {
        let settle = if large { LARGE_SETTLE_TIME } else { SETTLE_TIME };
        let unsettled = Weight::default();
        let service = service_key(service);
        let own = self.own.get(&service).unwrap_or(&unsettled);
        let own = own.recent(settle, now).fold(f64::MAX, f64::min);
        let peers = self.peers.get(&service);
        let others = others.map(|other| match peers.and_then(|peers| peers.get(&other)) {
            Some(peer) => peer.weight.recent(settle, now).fold(BASE_WEIGHT, f64::max),
            None => BASE_WEIGHT,
        });
        own / (own + others.sum::<f64>())
    }

    /// Removes weights that are no longer announced, and rates of services without requests.
    pub fn expire(&mut self, now: Moment) {
        self.rates.retain(|_, rate| now.since(rate.updated) < RATE_LIFETIME);
        for peers in self.peers.values_mut() {
            peers.retain(|_, peer| now.since(peer.heard) < WEIGHT_LIFETIME);
        }
        self.peers.retain(|_, peers| !peers.is_empty());
    }
}
