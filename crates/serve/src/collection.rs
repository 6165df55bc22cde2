//! Reports that a collector has received and not yet forwarded.

use std::collections::HashMap;
use std::time::Duration;

use agatestair_policy::Moment;
use agatestair_policy::board::{EndpointReport, Load};
use bincode::Encode;

use crate::datagram::{Identity, Pulse, PulseLimits, PulseLoad};
use crate::digest::{Digest, DigestNews, DomainSums, put_load, put_pulse};
use crate::news::News;
use crate::room::Room;

/// Time after which the identity of an instance is sent again, for receivers that missed it.
const IDENTITY_REFRESH: Duration = Duration::from_secs(5);

/// Time after which the state of an instance and unchanged sums are sent again to the collectors of
/// other domains: a third of the time after which those expire there.
const REFRESH: Duration = Duration::from_millis(480);

/// Time after which unchanged weights are sent again, for receivers that missed them.
const WEIGHTS_REFRESH: Duration = Duration::from_secs(4);

/// Time after which a sum that was sent as empty is removed.
const EMPTY_LIFETIME: Duration = Duration::from_millis(400);

/// Time after which an instance whose pulses are no longer sent is removed.
const SENT_LIFETIME: Duration = Duration::from_secs(60);

/// Pace from which on an endpoint counts as slow. Receivers assume that endpoints are not slow.
const SLOW_PACE: f64 = 1.3;

/// Time after which a slow pace is sent again: half of its lifetime at the receivers.
const SLOW_REFRESH: Duration = Duration::from_millis(150);

/// What the receivers of digests were last sent of each instance.
#[derive(Clone, Debug, Default)]
struct SentStates {
    known: HashMap<u64, SentState>,
}

#[derive(Clone, Debug)]
struct SentState {
    identity: Identity,
    identity_sent: Moment,
    state: (bool, bool),
    sent: Moment,
    weights: Vec<(u32, u32)>,
    weights_sent: Moment,
}

impl SentStates {
    /// Removes instances that have not been sent for [`SENT_LIFETIME`].
    fn expire(&mut self, now: Moment) {
        self.known.retain(|_, known| now.since(known.sent) < SENT_LIFETIME);
    }

    /// Removes the identity and the weights from a pulse if they were sent recently, or adds the
    /// identity if it is to be sent again. Returns whether the pulse is to be sent even if it is
    /// otherwise empty.
    fn prepare(&self, pulse: &mut Pulse, now: Moment) -> bool {
        let Some(known) = self.known.get(&pulse.sender) else { return pulse.identity.is_some() };
        if let Some(limits) = &mut pulse.limits
            && limits.weights == known.weights
            && now.since(known.weights_sent) < WEIGHTS_REFRESH
        {
            limits.weights.clear();
        }
        pulse.limits.take_if(|limits| limits.is_empty());
        let changed = pulse.identity.as_ref().is_some_and(|identity| *identity != known.identity);
        if !changed && now.since(known.identity_sent) < IDENTITY_REFRESH {
            pulse.identity = None;
        } else if pulse.identity.is_none() {
            pulse.identity = Some(known.identity.clone());
        }
        let due = known.state != (pulse.ready, pulse.leaving) || now.since(known.sent) >= REFRESH;
        due || pulse.identity.is_some()
    }

    /// Records that a prepared pulse is sent.
    fn note_sent(&mut self, pulse: &Pulse, now: Moment) {
        let state = (pulse.ready, pulse.leaving);
        let weights = pulse.limits.iter().map(|limits| &limits.weights);
        let weights = weights.into_iter().find(|weights| !weights.is_empty());
        match (self.known.get_mut(&pulse.sender), &pulse.identity) {
            (Some(known), identity) => {
                (known.state, known.sent) = (state, now);
                if let Some(identity) = identity {
                    (known.identity, known.identity_sent) = (identity.clone(), now);
                }
                if let Some(weights) = weights {
                    (known.weights, known.weights_sent) = (weights.clone(), now);
                }
            }
            (None, Some(identity)) => {
                let known = SentState {
                    identity: identity.clone(),
                    identity_sent: now,
                    state,
                    sent: now,
                    weights: weights.cloned().unwrap_or_default(),
                    weights_sent: now,
                };
                self.known.insert(pulse.sender, known);
            }
            (None, None) => {}
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct SentSum {
    load: Load,
    at: Moment,
    /// Whether the endpoint was reported as slow.
    slow: bool,
}

/// Something that waits to be forwarded, and since when.
#[derive(Clone, Debug)]
struct Pending<T> {
    item: T,
    since: Moment,
}

/// Pulses that wait to be forwarded, by sender, and what was last sent of each.
#[derive(Clone, Debug, Default)]
struct Pulses {
    pending: HashMap<u64, Pending<Pulse>>,
    sent: SentStates,
    /// Whether a pulse is forwarded even if it holds nothing new.
    eager: bool,
}

impl Pulses {
    fn add(&mut self, pulse: Pulse, now: Moment) {
        match self.pending.get_mut(&pulse.sender) {
            Some(known) => merge(&mut known.item, pulse),
            None => drop(self.pending.insert(pulse.sender, Pending { item: pulse, since: now })),
        }
    }

    /// Takes the pulse of an instance, or the part of it that there is room for.
    fn take(&mut self, sender: u64, room: &mut Room, now: Moment) -> Option<Pulse> {
        let Pending { item: pending, since } = self.pending.remove(&sender)?;
        let mut pulse = pending.clone();
        let due = self.sent.prepare(&mut pulse, now);
        if !(self.eager || due || has_news(&pulse)) {
            return None;
        }
        let whole = (pulse.loads.len(), pulse.reads.len());
        let (mut loads, mut reads) = whole;
        while !room.take(|body, names| put_pulse(body, names, &pulse)) {
            if (loads, reads) == (0, 0) {
                self.pending.insert(sender, Pending { item: pending, since });
                return None;
            }
            (loads, reads) = (loads / 2, reads / 2);
            pulse.loads.truncate(loads);
            pulse.reads.truncate(reads);
        }
        self.sent.note_sent(&pulse, now);
        if (loads, reads) != whole {
            let rest = Pulse {
                identity: None,
                loads: pending.loads[loads..].to_vec(),
                reads: pending.reads[reads..].to_vec(),
                leavers: Vec::new(),
                limits: None,
                ..pending
            };
            self.pending.insert(sender, Pending { item: rest, since });
        }
        Some(pulse)
    }
}

/// Fraction of a digest that news about endpoints may take, if there is more to send.
const NEWS_SHARE: f64 = 0.5;

/// Fraction of what is left in a digest to other domains that pulses may take; sums take the rest.
const STATES_SHARE: f64 = 0.5;

/// An item of a digest, in the order in which items of the same age are sent.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Item {
    Local(u64),
    Remote(u64),
    /// The sum of a domain at an endpoint.
    Sum(u64, u64),
}

/// Reports that a collector has received and not yet forwarded.
///
/// What a digest has no room for is sent in a later one; what has waited longest goes first.
#[derive(Clone, Debug)]
pub struct Collection {
    /// Pulses from the own domain for the own domain.
    local: Pulses,
    /// Pulses from the own domain for other domains, without loads.
    outward: Pulses,
    /// Pulses from other domains for the own domain.
    remote: Pulses,
    /// News for the own domain, and for other domains.
    local_news: News,
    outward_news: News,
    /// Sums of other domains, by domain and endpoint.
    sums: HashMap<(u64, u64), Pending<PulseLoad>>,
    /// Sums last sent to other domains, by endpoint.
    sent_sums: HashMap<u64, SentSum>,
    /// Time of the last digest to the own domain.
    last_round: Moment,
}

impl Default for Collection {
    fn default() -> Self {
        Self {
            local: Pulses { eager: true, ..Pulses::default() },
            outward: Pulses::default(),
            remote: Pulses::default(),
            local_news: News::default(),
            outward_news: News::default(),
            sums: HashMap::new(),
            sent_sums: HashMap::new(),
            last_round: Moment(0),
        }
    }
}

impl Collection {
    /// Adds a pulse of an instance of the own domain.
    pub fn add_local(&mut self, pulse: Pulse, now: Moment) {
        self.local_news.add_pulse(&pulse, now);
        self.outward_news.add_pulse(&pulse, now);
        let pulse = without_news(pulse);
        self.outward.add(Pulse { loads: Vec::new(), ..pulse.clone() }, now);
        self.local.add(pulse, now);
    }

    /// Adds the digest of a collector of another domain.
    pub fn add_remote(&mut self, digest: &Digest, now: Moment) {
        self.local_news.add(&digest.news, now);
        for pulse in &digest.pulses {
            self.local_news.add_pulse(pulse, now);
            self.remote.add(without_news(pulse.clone()), now);
        }
        for sums in &digest.sums {
            for load in &sums.loads {
                let pending = Pending { item: *load, since: now };
                let known = self.sums.entry((sums.domain, load.endpoint)).or_insert(pending);
                known.item = *load;
            }
        }
    }

    /// Whether there is something to forward that the last digests had no room for.
    pub fn has_rest(&self) -> bool {
        let pulses = [&self.local, &self.outward, &self.remote];
        !self.sums.is_empty()
            || !self.local_news.is_empty()
            || !self.outward_news.is_empty()
            || pulses.iter().any(|pulses| !pulses.pending.is_empty())
    }

    /// Drains the pulses, sums and news to send to the own domain.
    pub fn local_round(
        &mut self,
        room: &mut Room,
        now: Moment,
    ) -> (Vec<Pulse>, Vec<DomainSums>, DigestNews) {
        for pulses in [&mut self.local, &mut self.remote, &mut self.outward] {
            pulses.sent.expire(now);
        }
        let mut news = room.within(NEWS_SHARE, |room| self.local_news.take(room, now));
        let local = self.local.pending.iter();
        let remote = self.remote.pending.iter();
        let mut items: Vec<(Moment, Item)> = local
            .map(|(sender, pulse)| (pulse.since, Item::Local(*sender)))
            .chain(remote.map(|(sender, pulse)| (pulse.since, Item::Remote(*sender))))
            .chain(
                self.sums
                    .iter()
                    .map(|((domain, endpoint), sum)| (sum.since, Item::Sum(*domain, *endpoint))),
            )
            .collect();
        items.sort_unstable();
        let mut pulses = Vec::new();
        let mut sums: HashMap<u64, Vec<PulseLoad>> = HashMap::new();
        for (_, item) in items {
            match item {
                Item::Local(sender) => pulses.extend(self.local.take(sender, room, now)),
                Item::Remote(sender) => pulses.extend(self.remote.take(sender, room, now)),
                Item::Sum(domain, endpoint) => {
                    let is_new = !sums.contains_key(&domain);
                    let load = self.sums[&(domain, endpoint)].item;
                    let fits = room.take(|body, names| {
                        let head = (domain.to_le_bytes(), u16::MAX);
                        is_new.then(|| head.encode(body)).transpose()?;
                        put_load(body, names, &load)
                    });
                    if fits {
                        self.sums.remove(&(domain, endpoint));
                        sums.entry(domain).or_default().push(load);
                    }
                }
            }
        }
        news.append(self.local_news.take(room, now));
        self.age_rest(now);
        let sums = sums.into_iter().map(|(domain, loads)| DomainSums { domain, loads });
        (pulses, sums.collect(), news)
    }

    /// Adds the time since the last digest to the ages of paces that wait for the next one.
    fn age_rest(&mut self, now: Moment) {
        let pulses = self.local.pending.values_mut();
        let loads = pulses.flat_map(|pulse| {
            let since = pulse.since;
            pulse.item.loads.iter_mut().map(move |load| (load, since))
        });
        let sums = self.sums.values_mut().map(|sum| (&mut sum.item, sum.since));
        for (load, since) in loads.chain(sums) {
            let waited = now.since(since.max(self.last_round)).as_millis();
            let waited = u16::try_from(waited).unwrap_or(u16::MAX);
            load.age_ms = load.age_ms.saturating_add(waited);
        }
        self.last_round = now;
    }

    /// Drains the pulses, sums and news to send to the collectors of other domains; `totals` is the
    /// load of all instances of the own domain at every endpoint.
    pub fn remote_round(
        &mut self,
        totals: &[EndpointReport],
        room: &mut Room,
        now: Moment,
    ) -> (Vec<Pulse>, Vec<PulseLoad>, DigestNews) {
        let mut news = room.within(NEWS_SHARE, |room| self.outward_news.take(room, now));
        let outward = self.outward.pending.iter();
        let mut senders: Vec<(Moment, u64)> =
            outward.map(|(sender, pulse)| (pulse.since, *sender)).collect();
        senders.sort_unstable();
        let pulses = room.within(STATES_SHARE, |room| {
            let senders = senders.into_iter();
            senders.filter_map(|(_, sender)| self.outward.take(sender, room, now)).collect()
        });
        // Sums that have been empty for long are no longer sent.
        let expired = |sent: &SentSum| sent.load.is_empty() && now.since(sent.at) >= EMPTY_LIFETIME;
        self.sent_sums.retain(|_, sent| !expired(sent));
        let sent = &mut self.sent_sums;
        let mut due: Vec<(Option<Moment>, &EndpointReport)> = Vec::new();
        for total in totals {
            let known = sent.get(&total.endpoint);
            let slow = is_slow(total);
            // The other collector or the next refresh makes up for a lost sum.
            let is_due = match known {
                None => slow || !total.load.is_empty(),
                Some(known) => {
                    let age = now.since(known.at);
                    let paced = total.pace.is_some()
                        && (slow != known.slow || (slow && age >= SLOW_REFRESH));
                    known.load != total.load || age >= REFRESH || paced
                }
            };
            if is_due {
                due.push((known.map(|known| known.at), total));
            }
        }
        due.sort_by_key(|(at, _)| *at);
        let mut loads = Vec::new();
        for (_, total) in due {
            let load = PulseLoad::from(*total);
            if room.take(|body, names| put_load(body, names, &load)) {
                // An endpoint without a reported pace no longer counts as slow.
                let sum = SentSum { load: total.load, at: now, slow: is_slow(total) };
                sent.insert(total.endpoint, sum);
                loads.push(load);
            }
        }
        news.append(self.outward_news.take(room, now));
        (pulses, loads, news)
    }
}

/// Whether an endpoint is reported as slow.
fn is_slow(total: &EndpointReport) -> bool {
    total.pace.is_some_and(|(pace, _)| pace >= SLOW_PACE)
}

/// Whether a pulse is to be forwarded even if the state of its sender is known.
fn has_news(pulse: &Pulse) -> bool {
    !pulse.loads.is_empty() || !pulse.reads.is_empty() || !pulse.leavers.is_empty()
}

/// A pulse without what is forwarded as news.
fn without_news(pulse: Pulse) -> Pulse {
    let limits = pulse.limits.map(|limits| PulseLimits { changes: Vec::new(), ..limits });
    let limits = limits.filter(|limits| !limits.is_empty());
    Pulse { limits, crashes: None, ..pulse }
}

/// Merges a pulse into the pending one of its sender; the newer load of an endpoint wins.
fn merge(known: &mut Pulse, pulse: Pulse) {
    let Pulse { identity, ready, leaving, version, loads, reads, leavers, limits, .. } = pulse;
    known.loads.retain(|old| loads.iter().all(|load| load.endpoint != old.endpoint));
    known.loads.extend(loads);
    let fresh: Vec<_> = reads.into_iter().filter(|read| !known.reads.contains(read)).collect();
    known.reads.extend(fresh);
    let fresh: Vec<_> = leavers.into_iter().filter(|it| !known.leavers.contains(it)).collect();
    known.leavers.extend(fresh);
    if let Some(limits) = limits {
        known.limits.get_or_insert_default().merge(limits);
    }
    known.identity = identity.or(known.identity.take());
    (known.ready, known.leaving, known.version) = (ready, leaving, version);
}
