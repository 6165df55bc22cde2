//! Quarantine of requests and of prompt parts that crash the endpoints that answer them.
//!
//! Instances report the crashes that they observe, each with the fingerprints of the requests whose
//! answers were beginning at the crashed process, and the parts of their prompts. A part that keeps
//! occurring in crashes and in no run that survives is quarantined: no instance sends prompts with it
//! any more. The fingerprint of a request is treated as a part of it. A crash has one cause, so
//! crashes that a quarantined part explains do not count for other parts; requests that were in the
//! same crashes are all quarantined and then tried apart.

mod crash_log;
mod doubt;
mod evidence;
mod report;

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use crate::moment::Moment;

use crash_log::Crash;
use evidence::Evidence;
use report::is_fingerprint;
pub use report::{
    CrashReport, ProcessKey, QuarantineChange, QuarantineCheck, ServicePart, Survival, Verdict,
    fingerprint,
};

/// Age up to which a surviving run raises the number of crashes that is necessary.
const PROVEN_AGE: Duration = Duration::from_secs(60);

/// Crashes of a quarantined part from which on no trial request is sent.
const CERTAIN_CRASHES: usize = 5;

/// Time after which one request with a quarantined part is sent as a trial.
const TRIAL_AFTER: Duration = Duration::from_secs(60);

/// Time without requests after which a part is no longer quarantined.
const FORGET_AFTER: Duration = Duration::from_secs(600);

/// Time after which it is reported again that requests with a quarantined part still come.
const SEEN_REFRESH: Duration = Duration::from_secs(60);

/// Age of a verdict from which on an instance that does not act by it is told again; before, the
/// first report may still be on its way.
const REMIND_AFTER: Duration = Duration::from_secs(1);

/// Age at which a crash no longer counts.
const CRASH_LIFETIME: Duration = Duration::from_secs(600);

/// Largest number of crashes that are kept; the oldest is dropped first.
const MAX_CRASHES: usize = 64;

/// Largest number of suspects of a crash.
const MAX_SUSPECTS: usize = 256;

/// Largest number of suspects of a crash that one instance observes; reports fit a datagram.
const MAX_OWN_SUSPECTS: usize = 128;

/// Largest number of quarantined parts; the one without requests for longest is dropped first.
const MAX_QUARANTINED: usize = 256;

/// Largest number of parts whose surviving runs are remembered.
const MAX_SURVIVORS: usize = 4096;

#[derive(Clone, Copy, Debug)]
struct Entry {
    since: Moment,
    seen: Moment,
    /// Latest request that other instances know of.
    known: Moment,
    crashes: u32,
    trials: u32,
    /// Time of the last trial.
    tried: Option<Moment>,
    /// When this instance decided or refreshed it, to report it.
    reported: Option<Moment>,
}

/// Evidence on prompt parts, and the parts that are quarantined.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    crashes: Vec<Crash>,
    /// Latest run with each part that survived.
    survivors: HashMap<ServicePart, Moment>,
    /// Survivals that this instance reports, and since when.
    survivals: HashMap<ServicePart, Moment>,
    entries: HashMap<ServicePart, Entry>,
}

impl Quarantine {
    /// Whether requests to a service may have crashed endpoints, so that their fingerprints matter.
    pub fn suspects_requests(&self, service: u64) -> bool {
        self.crashes.iter().any(|crash| crash.service == service)
            || self.entries.keys().any(|part| part.service == service)
    }

    /// Records a crash that this instance observed.
    pub fn note_crash(&mut self, report: &CrashReport, now: Moment) -> Vec<QuarantineChange> {
        let index = self.add_crash(report, now);
        let own = &mut self.crashes[index].own;
        let (at, known) = own.get_or_insert((now, Vec::new()));
        for part in &report.suspects {
            if known.len() < MAX_OWN_SUSPECTS && !known.contains(part) {
                known.push(*part);
                *at = now;
            }
        }
        self.judge(now)
    }

    /// Records a crash that another instance observed.
    pub fn note_peer_crash(&mut self, report: &CrashReport, now: Moment) -> Vec<QuarantineChange> {
        let is_new = !self.has_crashed(report.process);
        self.add_crash(report, now);
        let reported = QuarantineChange::Reported(report.process, report.age);
        let mut changes: Vec<QuarantineChange> = is_new.then_some(reported).into_iter().collect();
        changes.extend(self.judge(now));
        changes
    }

    /// Records that a run with these parts survived: it was completed, or its answer went on for long.
    pub fn note_survived(
        &mut self,
        service: u64,
        parts: impl Iterator<Item = u64>,
        now: Moment,
    ) -> Vec<QuarantineChange> {
        let mut changes = Vec::new();
        for part in parts {
            let part = ServicePart { service, part };
            self.survivors.insert(part, now);
            if self.entries.remove(&part).is_some() {
                self.survivals.insert(part, now);
                changes.push(QuarantineChange::Released(part));
            }
        }
        self.trim_survivors(now);
        changes
    }

    /// Records a survival that another instance reports.
    pub fn note_peer_survival(
        &mut self,
        survival: Survival,
        now: Moment,
    ) -> Option<QuarantineChange> {
        let (part, at) = (survival.part, now - survival.age);
        let known = self.survivors.entry(part).or_insert(at);
        *known = (*known).max(at);
        self.trim_survivors(now);
        let refuted = self.entries.get(&part).is_some_and(|entry| entry.since < at);
        refuted.then(|| {
            self.entries.remove(&part);
            QuarantineChange::Released(part)
        })
    }

    /// Records a verdict of another instance.
    pub fn note_peer_verdict(&mut self, verdict: Verdict, now: Moment) -> Option<QuarantineChange> {
        let (since, seen) = (now - verdict.age, now - verdict.seen);
        if let Some(entry) = self.entries.get_mut(&verdict.part) {
            entry.seen = entry.seen.max(seen);
            entry.known = entry.known.max(seen);
            entry.crashes = entry.crashes.max(verdict.crashes);
            entry.since = entry.since.min(since);
            return None;
        }
        if self.survivors.get(&verdict.part).is_some_and(|at| *at > since) {
            self.survivals.insert(verdict.part, now);
            return None;
        }
        let entry = Entry {
            since,
            seen,
            known: seen,
            crashes: verdict.crashes,
            trials: 0,
            tried: None,
            reported: None,
        };
        let full = self.entries.len() >= MAX_QUARANTINED;
        if full && self.entries.values().all(|known| known.seen >= seen) {
            return None;
        }
        self.insert(verdict.part, entry);
        Some(QuarantineChange::Added(verdict))
    }

    /// Whether a request with these parts may be sent; `elected` tells whether this instance sends
    /// the trial of a part.
    pub fn check(
        &mut self,
        service: u64,
        parts: impl Iterator<Item = u64>,
        elected: impl Fn(u64) -> bool,
        now: Moment,
    ) -> QuarantineCheck {
        let mut trial = None;
        if self.entries.is_empty() {
            return QuarantineCheck::Clear;
        }
        for id in parts {
            let part = ServicePart { service, part: id };
            let Some(entry) = self.entries.get_mut(&part) else {
                continue;
            };
            entry.seen = now;
            if entry.known + SEEN_REFRESH <= now {
                (entry.known, entry.reported) = (now, Some(now));
            }
            let entry = *entry;
            if trial.is_some() || !elected(id) || !self.is_trial_due(part, &entry, now) {
                return QuarantineCheck::Denied(id);
            }
            trial = Some(part);
        }
        let Some(part) = trial else { return QuarantineCheck::Clear };
        if let Some(entry) = self.entries.get_mut(&part) {
            entry.trials += 1;
            entry.tried = Some(now);
        }
        QuarantineCheck::Trial(part.part)
    }

    /// Whether one of these parts is quarantined.
    pub fn contains(&self, service: u64, mut parts: impl Iterator<Item = u64>) -> bool {
        parts.any(|part| self.entries.contains_key(&ServicePart { service, part }))
    }

    /// Reports verdicts on these parts again, to an instance that has sent a request with one.
    pub fn report_again(
        &mut self,
        service: u64,
        parts: &[u64],
        elected: impl Fn(u64) -> bool,
        now: Moment,
    ) {
        for part in parts {
            let Some(entry) = self.entries.get_mut(&ServicePart { service, part: *part }) else {
                continue;
            };
            if elected(*part) && now.since(entry.since) >= REMIND_AFTER {
                entry.reported = Some(now);
            }
        }
    }

    /// Removes old crashes, and parts without requests.
    pub fn expire(&mut self, now: Moment) -> Vec<QuarantineChange> {
        self.crashes.retain(|crash| now.since(crash.at) < CRASH_LIFETIME);
        self.survivals.retain(|_, since| now.since(*since) < PROVEN_AGE);
        let old = self.entries.iter().filter(|(_, entry)| now.since(entry.seen) >= FORGET_AFTER);
        let old: Vec<ServicePart> = old.map(|(part, _)| *part).collect();
        for part in &old {
            self.entries.remove(part);
        }
        old.into_iter().map(QuarantineChange::Forgotten).collect()
    }

    /// Crashes that this instance observed within the last `within`.
    pub fn crash_reports(&self, within: Duration, now: Moment) -> Vec<CrashReport> {
        let report = |crash: &Crash| {
            let (at, suspects) = crash.own.as_ref()?;
            (now.since(*at) < within).then(|| CrashReport {
                process: crash.process,
                service: crash.service,
                age: crash.age(now),
                suspects: suspects.clone(),
            })
        };
        self.crashes.iter().rev().filter_map(report).collect()
    }

    /// Verdicts that this instance reached or refreshed within the last `within`.
    pub fn recent_verdicts(&self, within: Duration, now: Moment) -> Vec<Verdict> {
        self.verdicts(now, |entry| {
            entry.reported.is_some_and(|reported| now.since(reported) < within)
        })
    }

    /// All verdicts in force, for instances that may not know of them.
    pub fn all_verdicts(&self, now: Moment) -> Vec<Verdict> {
        self.verdicts(now, |_| true)
    }

    /// Survivals of doubted parts that this instance learned to be of use to others within the last
    /// `within`.
    pub fn survivals(&self, within: Duration, now: Moment) -> Vec<Survival> {
        let recent = self.survivals.iter().filter(|(_, since)| now.since(**since) < within);
        let recent = recent.filter_map(|(part, _)| {
            let at = self.survivors.get(part)?;
            Some(Survival { part: *part, age: now.since(*at) })
        });
        let mut recent: Vec<Survival> = recent.collect();
        recent.sort_by_key(|survival| survival.part);
        recent
    }

    fn verdicts(&self, now: Moment, selected: impl Fn(&Entry) -> bool) -> Vec<Verdict> {
        let selected = self.entries.iter().filter(|(_, entry)| selected(entry));
        let mut verdicts: Vec<Verdict> =
            selected.map(|(part, entry)| verdict(*part, entry, now)).collect();
        verdicts.sort_by_key(|verdict| (verdict.seen, verdict.part));
        verdicts
    }

    /// Quarantines the parts that the evidence is sufficient for.
    fn judge(&mut self, now: Moment) -> Vec<QuarantineChange> {
        let mut changes = Vec::new();
        loop {
            let evidence = self.evidence();
            let sufficient =
                evidence.iter().filter(|(part, evidence)| self.is_sufficient(**part, evidence));
            // A request with the evidence of its parts goes before them: it is the narrower verdict.
            let guilty = sufficient.max_by_key(|(part, evidence)| {
                (evidence.distinct(), evidence.len(), is_fingerprint(part.part), **part)
            });
            let Some((part, evidence)) = guilty else {
                self.note_doubted(&evidence, now);
                return changes;
            };
            let count = u32::try_from(evidence.len()).unwrap_or(u32::MAX);
            let entry = Entry {
                since: now,
                seen: now,
                known: now,
                crashes: count,
                trials: 0,
                tried: None,
                reported: Some(now),
            };
            let part = *part;
            self.insert(part, entry);
            changes.push(QuarantineChange::Added(verdict(part, &entry, now)));
        }
    }

    /// Times of the crashes since the last survival of each suspect that no quarantined part explains.
    ///
    /// A quarantined request may have crashed endpoints by a part of its prompt, so that all its
    /// crashes count as one for parts. For other requests they count: each of two that come at the
    /// same time may have caused them.
    fn evidence(&self) -> HashMap<ServicePart, Evidence> {
        let mut evidence: HashMap<ServicePart, Evidence> = HashMap::new();
        let mut counted = HashSet::new();
        for crash in &self.crashes {
            let part = |part: &u64| ServicePart { service: crash.service, part: *part };
            let suspects = crash.suspects.iter().map(part);
            let known = suspects.filter(|suspect| self.entries.contains_key(suspect));
            let (requests, parts): (Vec<_>, Vec<_>) =
                known.partition(|suspect| is_fingerprint(suspect.part));
            if !parts.is_empty() {
                continue;
            }
            let is_new = requests.is_empty() || requests.iter().any(|part| counted.insert(*part));
            for suspect in crash.suspects.iter().map(part) {
                let is_known = self.entries.contains_key(&suspect);
                let survived = self.survivors.get(&suspect).is_some_and(|at| *at >= crash.at);
                if !is_known && !survived && (is_new || is_fingerprint(suspect.part)) {
                    evidence.entry(suspect).or_default().add(crash.at);
                }
            }
        }
        evidence
    }

    /// Whether crashes are sufficient to quarantine a part.
    fn is_sufficient(&self, part: ServicePart, evidence: &Evidence) -> bool {
        let proven = self.survivors.get(&part).zip(evidence.first());
        if proven.is_some_and(|(at, first)| first.since(*at) < PROVEN_AGE) {
            evidence.is_sufficient_for_proven()
        } else if is_fingerprint(part.part) {
            evidence.is_sufficient_for_request()
        } else {
            evidence.is_sufficient_for_part()
        }
    }

    /// Selects the survivals that other instances should know of.
    fn note_doubted(&mut self, evidence: &HashMap<ServicePart, Evidence>, now: Moment) {
        for (part, evidence) in evidence {
            let survived = self.survivors.get(part).is_some_and(|at| now.since(*at) < PROVEN_AGE);
            if survived && evidence.is_doubted() {
                self.survivals.entry(*part).or_insert(now);
            }
        }
    }

    fn insert(&mut self, part: ServicePart, entry: Entry) {
        if self.entries.len() >= MAX_QUARANTINED {
            let oldest = self.entries.iter().min_by_key(|(_, entry)| entry.seen);
            if let Some(oldest) = oldest.map(|(part, _)| *part) {
                self.entries.remove(&oldest);
            }
        }
        self.entries.insert(part, entry);
    }

    fn trim_survivors(&mut self, now: Moment) {
        if self.survivors.len() <= MAX_SURVIVORS {
            return;
        }
        let mut age = PROVEN_AGE;
        while self.survivors.len() > MAX_SURVIVORS {
            self.survivors.retain(|_, at| now.since(*at) < age);
            age /= 2;
        }
        self.survivals.retain(|part, _| self.survivors.contains_key(part));
    }
}

fn verdict(part: ServicePart, entry: &Entry, now: Moment) -> Verdict {
    Verdict {
        part,
        age: now.since(entry.since),
        seen: now.since(entry.seen),
        crashes: entry.crashes,
    }
}
