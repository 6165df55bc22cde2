//! What a collector has heard and not passed on yet.

use std::collections::HashMap;
use std::time::Duration;

use agatestair_policy::Moment;
use agatestair_policy::board::{Load, Telling};

use crate::datagram::{DomainSums, Identity, Pulse, PulseLoad};

/// Time after which an instance is introduced again, for those that did not hear of it.
const INTRODUCTION: Duration = Duration::from_secs(5);

/// Time after which the collectors of other domains are told again that an instance lives, and
/// of work that has not changed: a third of the time after which they forget it.
const REFRESH: Duration = Duration::from_millis(480);

/// Time after which a sum that was told to be empty is forgotten.
const FORGOTTEN: Duration = Duration::from_millis(400);

/// Time after which an instance that is not heard of any more is forgotten.
const GONE: Duration = Duration::from_secs(60);

/// Pace from which on an endpoint counts as slow. That others are not is what all expect.
const SLOW: f64 = 1.3;

/// Time after which it is told again that an endpoint is slow: half the time for which that counts.
const SLOW_REFRESH: Duration = Duration::from_millis(150);

/// When the receivers of digests were last told of an instance.
#[derive(Clone, Debug, Default)]
struct Introductions {
    known: HashMap<u64, Introduction>,
}

#[derive(Clone, Debug)]
struct Introduction {
    identity: Identity,
    introduced: Moment,
    state: (bool, bool),
    told: Moment,
}

impl Introductions {
    /// Forgets instances that have not been told of for long.
    fn forget(&mut self, now: Moment) {
        self.known.retain(|_, known| now.since(known.told) < GONE);
    }

    /// Leaves the identity out if it was told lately. Returns whether the instance is to be told of
    /// although it has nothing to say.
    fn prepare(&mut self, pulse: &mut Pulse, now: Moment) -> bool {
        let state = (pulse.ready, pulse.leaving);
        let Some(known) = self.known.get_mut(&pulse.sender) else {
            let Some(identity) = pulse.identity.clone() else { return false };
            let known = Introduction { identity, introduced: now, state, told: now };
            self.known.insert(pulse.sender, known);
            return true;
        };
        let due = known.state != state || now.since(known.told) >= REFRESH;
        let changed = pulse.identity.as_ref().is_some_and(|identity| *identity != known.identity);
        if changed || now.since(known.introduced) >= INTRODUCTION {
            known.introduced = now;
            match &pulse.identity {
                Some(identity) => known.identity = identity.clone(),
                None => pulse.identity = Some(known.identity.clone()),
            }
        } else {
            pulse.identity = None;
        }
        if due || pulse.identity.is_some() {
            known.told = now;
            known.state = state;
        }
        due || pulse.identity.is_some()
    }
}

#[derive(Clone, Copy, Debug)]
struct ToldSum {
    load: Load,
    at: Moment,
    /// Whether the endpoint was told to be slow.
    slow: bool,
}

/// What a collector has heard and not passed on yet.
#[derive(Clone, Debug, Default)]
pub struct Collection {
    near: HashMap<u64, Pulse>,
    outward: HashMap<u64, Pulse>,
    far: HashMap<u64, Pulse>,
    sums: HashMap<u64, HashMap<u64, PulseLoad>>,
    met_near: Introductions,
    met_far: Introductions,
    met_outward: Introductions,
    told: HashMap<u64, ToldSum>,
}

impl Collection {
    /// Takes in a pulse of an instance of the own domain.
    pub fn take_near(&mut self, pulse: Pulse) {
        merge(&mut self.outward, Pulse { loads: Vec::new(), ..pulse.clone() });
        merge(&mut self.near, pulse);
    }

    /// Takes in what a collector of another domain passed on.
    pub fn take_far(&mut self, pulses: &[Pulse], sums: &[DomainSums]) {
        pulses.iter().for_each(|pulse| merge(&mut self.far, pulse.clone()));
        for domain in sums {
            let known = self.sums.entry(domain.domain).or_default();
            known.extend(domain.loads.iter().map(|load| (load.endpoint, *load)));
        }
    }

    /// What is passed on to the own domain.
    pub fn near_round(&mut self, now: Moment) -> (Vec<Pulse>, Vec<DomainSums>) {
        for met in [&mut self.met_near, &mut self.met_far, &mut self.met_outward] {
            met.forget(now);
        }
        let mut pulses: Vec<Pulse> = Vec::new();
        for (_, mut pulse) in self.near.drain() {
            self.met_near.prepare(&mut pulse, now);
            pulses.push(pulse);
        }
        for (_, mut pulse) in self.far.drain() {
            let due = self.met_far.prepare(&mut pulse, now);
            if due || !pulse.reads.is_empty() || !pulse.leavers.is_empty() {
                pulses.push(pulse);
            }
        }
        let sums = self
            .sums
            .drain()
            .map(|(domain, loads)| DomainSums { domain, loads: loads.into_values().collect() });
        (pulses, sums.collect())
    }

    /// What is passed on to the collectors of other domains; `totals` is the work of the whole own
    /// domain at every endpoint.
    pub fn far_round(&mut self, totals: &[Telling], now: Moment) -> (Vec<Pulse>, Vec<PulseLoad>) {
        let mut pulses: Vec<Pulse> = Vec::new();
        for (_, mut pulse) in self.outward.drain() {
            let due = self.met_outward.prepare(&mut pulse, now);
            if due || !pulse.reads.is_empty() || !pulse.leavers.is_empty() {
                pulses.push(pulse);
            }
        }
        // Sums that have been empty for long are told no more.
        let over = |told: &ToldSum| told.load.is_empty() && now.since(told.at) >= FORGOTTEN;
        self.told.retain(|_, told| !over(told));
        let told = &mut self.told;
        let loads = totals.iter().filter(|total| {
            let known = told.get(&total.endpoint);
            let slow = total.pace.is_some_and(|(pace, _)| pace >= SLOW);
            // A lost sum is made up for by the other collector, or by the next refreshment.
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
                // Without a word on its pace an endpoint is no longer taken to be slow.
                let sum = ToldSum { load: total.load, at: now, slow };
                told.insert(total.endpoint, sum);
            }
            due
        });
        (pulses, loads.map(|total| PulseLoad::from(*total)).collect())
    }
}

/// Adds a pulse to what is to be passed on of its sender; the later word on an endpoint counts.
fn merge(pulses: &mut HashMap<u64, Pulse>, pulse: Pulse) {
    let Some(known) = pulses.get_mut(&pulse.sender) else {
        pulses.insert(pulse.sender, pulse);
        return;
    };
    let Pulse { identity, ready, leaving, version, loads, reads, leavers, .. } = pulse;
    known.loads.retain(|former| loads.iter().all(|load| load.endpoint != former.endpoint));
    known.loads.extend(loads);
    let fresh: Vec<_> = reads.into_iter().filter(|read| !known.reads.contains(read)).collect();
    known.reads.extend(fresh);
    let fresh: Vec<_> = leavers.into_iter().filter(|it| !known.leavers.contains(it)).collect();
    known.leavers.extend(fresh);
    known.identity = identity.or(known.identity.take());
    (known.ready, known.leaving, known.version) = (ready, leaving, version);
}
