//! Reports that a collector has received and not yet forwarded.

use std::collections::HashMap;
use std::time::Duration;

use agatestair_policy::Moment;
use agatestair_policy::board::{EndpointReport, Load};

use crate::datagram::{DomainSums, Identity, Pulse, PulseLoad};

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

    /// Removes the identity and the weights from a pulse if they were sent recently. Returns
    /// whether the pulse is to be sent even if it is otherwise empty.
    fn prepare(&mut self, pulse: &mut Pulse, now: Moment) -> bool {
        let state = (pulse.ready, pulse.leaving);
        let Some(known) = self.known.get_mut(&pulse.sender) else {
            let Some(identity) = pulse.identity.clone() else { return false };
            let weights = pulse.limits.as_ref().map(|limits| limits.weights.clone());
            let known = SentState {
                identity,
                identity_sent: now,
                state,
                sent: now,
                weights: weights.unwrap_or_default(),
                weights_sent: now,
            };
            self.known.insert(pulse.sender, known);
            return true;
        };
        if let Some(mut limits) = pulse.limits.take() {
            if limits.weights == known.weights && now.since(known.weights_sent) < WEIGHTS_REFRESH {
                limits.weights.clear();
            } else {
                known.weights.clone_from(&limits.weights);
                known.weights_sent = now;
            }
            pulse.limits = Some(limits).filter(|limits| !limits.is_empty());
        }
        let due = known.state != state || now.since(known.sent) >= REFRESH;
        let changed = pulse.identity.as_ref().is_some_and(|identity| *identity != known.identity);
        if changed || now.since(known.identity_sent) >= IDENTITY_REFRESH {
            known.identity_sent = now;
            match &pulse.identity {
                Some(identity) => known.identity = identity.clone(),
                None => pulse.identity = Some(known.identity.clone()),
            }
        } else {
            pulse.identity = None;
        }
        if due || pulse.identity.is_some() {
            known.sent = now;
            known.state = state;
        }
        due || pulse.identity.is_some()
    }
}

#[derive(Clone, Copy, Debug)]
struct SentSum {
    load: Load,
    at: Moment,
    /// Whether the endpoint was reported as slow.
    slow: bool,
}

/// Reports that a collector has received and not yet forwarded.
#[derive(Clone, Debug, Default)]
pub struct Collection {
    /// Pulses from the own domain for the own domain, by sender.
    local: HashMap<u64, Pulse>,
    /// Pulses from the own domain for other domains, without loads.
    outward: HashMap<u64, Pulse>,
    /// Pulses from other domains for the own domain.
    remote: HashMap<u64, Pulse>,
    /// Sums of other domains, by domain and endpoint.
    sums: HashMap<u64, HashMap<u64, PulseLoad>>,
    sent_local: SentStates,
    sent_remote: SentStates,
    sent_outward: SentStates,
    /// Sums last sent to other domains, by endpoint.
    sent_sums: HashMap<u64, SentSum>,
}

impl Collection {
    /// Adds a pulse of an instance of the own domain.
    pub fn add_local(&mut self, pulse: Pulse) {
        merge(&mut self.outward, Pulse { loads: Vec::new(), ..pulse.clone() });
        merge(&mut self.local, pulse);
    }

    /// Adds the digest of a collector of another domain.
    pub fn add_remote(&mut self, pulses: &[Pulse], sums: &[DomainSums]) {
        pulses.iter().for_each(|pulse| merge(&mut self.remote, pulse.clone()));
        for domain in sums {
            let known = self.sums.entry(domain.domain).or_default();
            known.extend(domain.loads.iter().map(|load| (load.endpoint, *load)));
        }
    }

    /// Drains the pulses and sums to send to the own domain.
    pub fn local_round(&mut self, now: Moment) -> (Vec<Pulse>, Vec<DomainSums>) {
        for sent in [&mut self.sent_local, &mut self.sent_remote, &mut self.sent_outward] {
            sent.expire(now);
        }
        let mut pulses: Vec<Pulse> = Vec::new();
        for (_, mut pulse) in self.local.drain() {
            self.sent_local.prepare(&mut pulse, now);
            pulses.push(pulse);
        }
        for (_, mut pulse) in self.remote.drain() {
            let due = self.sent_remote.prepare(&mut pulse, now);
            if due || has_news(&pulse) {
                pulses.push(pulse);
            }
        }
        let sums = self
            .sums
            .drain()
            .map(|(domain, loads)| DomainSums { domain, loads: loads.into_values().collect() });
        (pulses, sums.collect())
    }

    /// Drains the pulses and sums to send to the collectors of other domains; `totals` is the load
    /// of all instances of the own domain at every endpoint.
    pub fn remote_round(
        &mut self,
        totals: &[EndpointReport],
        now: Moment,
    ) -> (Vec<Pulse>, Vec<PulseLoad>) {
        let mut pulses: Vec<Pulse> = Vec::new();
        for (_, mut pulse) in self.outward.drain() {
            let due = self.sent_outward.prepare(&mut pulse, now);
            if due || has_news(&pulse) {
                pulses.push(pulse);
            }
        }
        // Sums that have been empty for long are no longer sent.
        let expired = |sent: &SentSum| sent.load.is_empty() && now.since(sent.at) >= EMPTY_LIFETIME;
        self.sent_sums.retain(|_, sent| !expired(sent));
        let sent = &mut self.sent_sums;
        let loads = totals.iter().filter(|total| {
            let known = sent.get(&total.endpoint);
            let slow = total.pace.is_some_and(|(pace, _)| pace >= SLOW_PACE);
            // The other collector or the next refresh makes up for a lost sum.
            let due = match known {
                None => slow || !total.load.is_empty(),
                Some(known) => {
                    let age = now.since(known.at);
                    let paced = total.pace.is_some()
                        && (slow != known.slow || (slow && age >= SLOW_REFRESH));
                    known.load != total.load || age >= REFRESH || paced
                }
            };
            if due {
                // An endpoint without a reported pace no longer counts as slow.
                let sum = SentSum { load: total.load, at: now, slow };
                sent.insert(total.endpoint, sum);
            }
            due
        });
        (pulses, loads.map(|total| PulseLoad::from(*total)).collect())
    }
}

/// Whether a pulse is to be forwarded even if the state of its sender is known.
fn has_news(pulse: &Pulse) -> bool {
    let limits = pulse.limits.as_ref().is_some_and(|limits| !limits.changes.is_empty());
    limits || pulse.crashes.is_some() || !pulse.reads.is_empty() || !pulse.leavers.is_empty()
}

/// Merges a pulse into the pending one of its sender; the newer load of an endpoint wins.
fn merge(pulses: &mut HashMap<u64, Pulse>, pulse: Pulse) {
    let Some(known) = pulses.get_mut(&pulse.sender) else {
        pulses.insert(pulse.sender, pulse);
        return;
    };
    let Pulse { identity, ready, leaving, version, loads, reads, leavers, limits, crashes, .. } =
        pulse;
    known.loads.retain(|old| loads.iter().all(|load| load.endpoint != old.endpoint));
    known.loads.extend(loads);
    let fresh: Vec<_> = reads.into_iter().filter(|read| !known.reads.contains(read)).collect();
    known.reads.extend(fresh);
    let fresh: Vec<_> = leavers.into_iter().filter(|it| !known.leavers.contains(it)).collect();
    known.leavers.extend(fresh);
    if let Some(limits) = limits {
        known.limits.get_or_insert_default().merge(limits);
    }
    if let Some(crashes) = crashes {
        known.crashes.get_or_insert_default().merge(crashes);
    }
    known.identity = identity.or(known.identity.take());
    (known.ready, known.leaving, known.version) = (ready, leaving, version);
}
