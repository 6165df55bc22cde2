//! News about endpoints that a collector has received and not yet forwarded.
//!
//! Many instances observe one crash or one limit. What they report is merged, so that it takes the
//! room of one report.

use std::time::Duration;

use agatestair_policy::{CrashReport, Moment, ProcessKey, ServicePart, Survival, Verdict};

use crate::datagram::{Pulse, PulseLimit, millis};
use crate::digest::{DigestNews, put_crash, put_limit, put_survival, put_verdict};
use crate::pulse_crashes::{PulseCrash, PulseCrashes, PulseSurvival, PulseVerdict};
use crate::room::Room;

/// Largest number of pending items of each kind; the oldest is dropped first. No instance keeps more
/// crashes or verdicts.
const MAX_ITEMS: usize = 512;

/// Largest number of pending suspects of a crash; no instance keeps more.
const MAX_SUSPECTS: usize = 256;

/// Items by key, the one that was added first in front.
#[derive(Clone, Debug)]
struct Queue<K, V> {
    items: Vec<(K, V)>,
}

impl<K, V> Default for Queue<K, V> {
    fn default() -> Self {
        Self { items: Vec::new() }
    }
}

impl<K: PartialEq, V> Queue<K, V> {
    /// Adds an item, or merges it into the pending one with its key.
    fn add(&mut self, key: K, value: V, merge: impl FnOnce(&mut V, V)) {
        if let Some((_, known)) = self.items.iter_mut().find(|(known, _)| *known == key) {
            return merge(known, value);
        }
        if self.items.len() >= MAX_ITEMS {
            self.items.remove(0);
        }
        self.items.push((key, value));
    }
}

#[derive(Clone, Copy, Debug)]
struct Limit {
    observer: u64,
    /// Thousandths of a request per second.
    rate: Option<u64>,
    at: Moment,
}

#[derive(Clone, Debug)]
struct Crash {
    service: u64,
    at: Moment,
    suspects: Vec<u64>,
}

#[derive(Clone, Copy, Debug)]
struct Quarantined {
    since: Moment,
    seen: Moment,
    crashes: u32,
}

/// News about endpoints that a collector has received and not yet forwarded.
#[derive(Clone, Debug, Default)]
pub struct News {
    verdicts: Queue<ServicePart, Quarantined>,
    limits: Queue<ProcessKey, Limit>,
    survivals: Queue<ServicePart, Moment>,
    crashes: Queue<ProcessKey, Crash>,
}

impl News {
    /// Adds the news of an instance's pulse.
    pub fn add_pulse(&mut self, pulse: &Pulse, now: Moment) {
        let changes = pulse.limits.iter().flat_map(|limits| &limits.changes);
        changes.for_each(|limit| self.add_limit(pulse.sender, *limit, now));
        pulse.crashes.iter().for_each(|crashes| self.add_crashes(crashes, now));
    }

    /// Adds the news of a digest.
    pub fn add(&mut self, news: &DigestNews, now: Moment) {
        news.limits.iter().for_each(|(observer, limit)| self.add_limit(*observer, *limit, now));
        self.add_crashes(&news.crashes, now);
    }

    fn add_limit(&mut self, observer: u64, limit: PulseLimit, now: Moment) {
        let PulseLimit { endpoint, born, rate, age_ms } = limit;
        let at = now - Duration::from_millis(age_ms.into());
        let limit = Limit { observer, rate, at };
        self.limits.add(ProcessKey { endpoint, born }, limit, |known, new| {
            if new.at >= known.at {
                *known = new;
            }
        });
    }

    fn add_crashes(&mut self, news: &PulseCrashes, now: Moment) {
        for crash in &news.crashes {
            let CrashReport { process, service, age, mut suspects } = crash.clone().into();
            suspects.truncate(MAX_SUSPECTS);
            let crash = Crash { service, at: now - age, suspects };
            self.crashes.add(process, crash, |known, new| {
                known.at = known.at.min(new.at);
                for part in new.suspects {
                    if known.suspects.len() < MAX_SUSPECTS && !known.suspects.contains(&part) {
                        known.suspects.push(part);
                    }
                }
            });
        }
        for verdict in &news.verdicts {
            let Verdict { part, age, seen, crashes } = (*verdict).into();
            let verdict = Quarantined { since: now - age, seen: now - seen, crashes };
            self.verdicts.add(part, verdict, |known, new| {
                known.since = known.since.min(new.since);
                known.seen = known.seen.max(new.seen);
                known.crashes = known.crashes.max(new.crashes);
            });
        }
        for survival in &news.survivals {
            let Survival { part, age } = (*survival).into();
            self.survivals.add(part, now - age, |known, new| *known = (*known).max(new));
        }
    }

    /// Whether there is no news.
    pub fn is_empty(&self) -> bool {
        let Self { verdicts, limits, survivals, crashes } = self;
        verdicts.items.is_empty()
            && limits.items.is_empty()
            && survivals.items.is_empty()
            && crashes.items.is_empty()
    }

    /// Drains what there is room for: verdicts, limits, survivals, then crashes; within a kind the
    /// oldest first.
    pub fn take(&mut self, room: &mut Room, now: Moment) -> DigestNews {
        let age = |at: Moment| now.since(at);
        let mut taken = DigestNews::default();
        self.verdicts.items.retain(|(part, known)| {
            let Quarantined { since, seen, crashes } = *known;
            let verdict = Verdict { part: *part, age: age(since), seen: age(seen), crashes };
            let verdict = PulseVerdict::from(verdict);
            let fits = room.take(|body, names| put_verdict(body, names, &verdict));
            taken.crashes.verdicts.extend(fits.then_some(verdict));
            !fits
        });
        self.limits.items.retain(|(process, known)| {
            let ProcessKey { endpoint, born } = *process;
            let (rate, age_ms) = (known.rate, millis(age(known.at)));
            let limit = (known.observer, PulseLimit { endpoint, born, rate, age_ms });
            let fits = room.take(|body, names| put_limit(body, names, &limit));
            taken.limits.extend(fits.then_some(limit));
            !fits
        });
        self.survivals.items.retain(|(part, at)| {
            let survival = PulseSurvival::from(Survival { part: *part, age: age(*at) });
            let fits = room.take(|body, names| put_survival(body, names, &survival));
            taken.crashes.survivals.extend(fits.then_some(survival));
            !fits
        });
        self.crashes.items.retain_mut(|(process, known)| {
            let Some(crash) = take_crash(*process, known, age(known.at), room) else { return true };
            taken.crashes.crashes.push(crash);
            !known.suspects.is_empty()
        });
        taken
    }
}

/// Drains the suspects of a crash that there is room for; `None` if there is none.
fn take_crash(
    process: ProcessKey,
    known: &mut Crash,
    age: Duration,
    room: &mut Room,
) -> Option<PulseCrash> {
    let mut count = known.suspects.len();
    loop {
        let suspects = known.suspects[..count].to_vec();
        let report = CrashReport { process, service: known.service, age, suspects };
        let crash = PulseCrash::from(report);
        if room.take(|body, names| put_crash(body, names, &crash)) {
            known.suspects.drain(..count);
            return Some(crash);
        }
        count /= 2;
        if count == 0 {
            return None;
        }
    }
}
