//! Quarantine of requests and of prompt parts that crash the endpoints that answer them.
//!
//! Instances report the crashes that they observe, each with the fingerprints of the requests whose
//! answers were beginning at the crashed process, and the parts of their prompts. A part that keeps
//! occurring in crashes and in no run that survives is quarantined: no instance sends prompts with it
//! any more. The fingerprint of a request is treated as a part of it. A crash has one cause, so
//! crashes that a quarantined part explains do not count for other parts.

mod report;

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use crate::moment::Moment;

use report::is_fingerprint;
pub use report::{
    CrashReport, ProcessKey, QuarantineChange, QuarantineCheck, ServicePart, Survival, Verdict,
    fingerprint,
};

/// Crashes within this time of each other count as one, since they may have a common cause outside
/// the endpoints, for example the loss of a rack.
const SAME_CAUSE: Duration = Duration::from_millis(100);

/// Crashes after which a part is quarantined.
const MIN_CRASHES: usize = 3;

/// The same for a part of which a run survived shortly before.
const PROVEN_CRASHES: usize = 5;

/// Crashes of a part, even within [`SAME_CAUSE`], after which one that recurs is sufficient.
const MASS_CRASHES: usize = 5;

/// Time after the last of [`MASS_CRASHES`] from which on another crash counts as recurrence. By then
/// other instances have reported runs that survived.
const RECURRED_AFTER: Duration = Duration::from_millis(500);

/// Age up to which a surviving run raises the number of crashes that is necessary.
const PROVEN_AGE: Duration = Duration::from_secs(60);

/// Crashes of a part from which on runs that survive are reported to other instances.
const DOUBTED_CRASHES: usize = 2;

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

#[derive(Clone, Debug)]
struct Crash {
    process: ProcessKey,
    service: u64,
    at: Moment,
    suspects: HashSet<u64>,
    /// When this instance observed it, and the suspects that it added.
    own: Option<(Moment, Vec<u64>)>,
}

/// Times of the crashes that a suspect may have caused.
#[derive(Clone, Debug, Default)]
struct Evidence {
    /// Those that nothing else explains.
    crashes: Vec<Moment>,
    /// For a request, those that another, quarantined request explains: each of two that come at the
    /// same time may have caused them.
    explained: Vec<Moment>,
}

impl Evidence {
    fn sort(&mut self) {
        self.crashes.sort_unstable();
        self.explained.sort_unstable();
    }
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    since: Moment,
    seen: Moment,
    /// Latest request that other instances know of.
    known: Moment,
    crashes: u32,
    tried: bool,
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
    /// Whether a process is known to have crashed.
    pub fn has_crashed(&self, process: ProcessKey) -> bool {
        self.crashes.iter().any(|crash| crash.process == process)
    }

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
        self.add_crash(report, now);
        self.judge(now)
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
            tried: false,
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
        let mut result = QuarantineCheck::Clear;
        if self.entries.is_empty() {
            return result;
        }
        for part in parts {
            let Some(entry) = self.entries.get_mut(&ServicePart { service, part }) else {
                continue;
            };
            entry.seen = now;
            if entry.known + SEEN_REFRESH <= now {
                (entry.known, entry.reported) = (now, Some(now));
            }
            let due = !entry.tried
                && (entry.crashes as usize) < CERTAIN_CRASHES
                && now.since(entry.since) >= TRIAL_AFTER;
            if due && result == QuarantineCheck::Clear && elected(part) {
                result = QuarantineCheck::Trial(part);
            } else {
                return QuarantineCheck::Denied(part);
            }
        }
        if let QuarantineCheck::Trial(part) = result
            && let Some(entry) = self.entries.get_mut(&ServicePart { service, part })
        {
            entry.tried = true;
        }
        result
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
                age: now.since(crash.at),
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

    /// Adds the suspects of a report to its crash; returns the crash's index.
    fn add_crash(&mut self, report: &CrashReport, now: Moment) -> usize {
        let at = now - report.age;
        let known = self.crashes.iter().position(|crash| crash.process == report.process);
        let index = known.unwrap_or_else(|| {
            if self.crashes.len() >= MAX_CRASHES {
                self.crashes.remove(0);
            }
            self.crashes.push(Crash {
                process: report.process,
                service: report.service,
                at,
                suspects: HashSet::new(),
                own: None,
            });
            self.crashes.len() - 1
        });
        let crash = &mut self.crashes[index];
        crash.at = crash.at.min(at);
        for part in &report.suspects {
            let is_new = crash.suspects.len() < MAX_SUSPECTS && crash.suspects.insert(*part);
            let part = ServicePart { service: crash.service, part: *part };
            if let Some(entry) = self.entries.get_mut(&part).filter(|_| is_new) {
                entry.crashes += 1;
            }
        }
        index
    }

    /// Quarantines the parts that the evidence is sufficient for.
    fn judge(&mut self, now: Moment) -> Vec<QuarantineChange> {
        let mut changes = Vec::new();
        loop {
            let evidence = self.evidence();
            let sufficient =
                evidence.iter().filter(|(part, evidence)| self.is_sufficient(**part, evidence));
            // A request with the evidence of its parts goes before them: it is the narrower verdict.
            let guilty = sufficient.max_by_key(|(part, Evidence { crashes, .. })| {
                (distinct(crashes), crashes.len(), is_fingerprint(part.part), **part)
            });
            let Some((part, Evidence { crashes, .. })) = guilty else {
                self.note_doubted(&evidence, now);
                return changes;
            };
            let count = u32::try_from(crashes.len()).unwrap_or(u32::MAX);
            let entry = Entry {
                since: now,
                seen: now,
                known: now,
                crashes: count,
                tried: false,
                reported: Some(now),
            };
            let part = *part;
            self.insert(part, entry);
            changes.push(QuarantineChange::Added(verdict(part, &entry, now)));
        }
    }

    /// Times of the unexplained crashes since the last survival of each suspect.
    ///
    /// A quarantined request may have crashed endpoints by a part of its prompt, so that all its
    /// crashes count as one for parts.
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
            let is_first = requests.iter().any(|request| counted.insert(*request));
            for suspect in crash.suspects.iter().map(part) {
                if self.survivors.get(&suspect).is_some_and(|at| *at >= crash.at)
                    || self.entries.contains_key(&suspect)
                {
                    continue;
                }
                let known = evidence.entry(suspect).or_default();
                if requests.is_empty() || is_first && !is_fingerprint(suspect.part) {
                    known.crashes.push(crash.at);
                } else if is_fingerprint(suspect.part) {
                    known.explained.push(crash.at);
                }
            }
        }
        evidence.values_mut().for_each(Evidence::sort);
        evidence
    }

    /// Whether crashes are sufficient to quarantine a part.
    fn is_sufficient(&self, part: ServicePart, evidence: &Evidence) -> bool {
        let Evidence { crashes, explained } = evidence;
        let proven = self.survivors.get(&part).zip(crashes.first());
        if proven.is_some_and(|(at, first)| first.since(*at) < PROVEN_AGE) {
            return distinct(crashes) >= PROVEN_CRASHES;
        }
        let mut all = [crashes.as_slice(), explained].concat();
        all.sort_unstable();
        let goes_on =
            !crashes.is_empty() && (distinct(&all) >= PROVEN_CRASHES || has_recurred(&all));
        let repeats = is_fingerprint(part.part) && has_repeated(crashes);
        distinct(crashes) >= MIN_CRASHES || goes_on || repeats
    }

    /// Selects the survivals that other instances should know of.
    fn note_doubted(&mut self, evidence: &HashMap<ServicePart, Evidence>, now: Moment) {
        for (part, Evidence { crashes, .. }) in evidence {
            let survived = self.survivors.get(part).is_some_and(|at| now.since(*at) < PROVEN_AGE);
            let doubted = distinct(crashes) >= DOUBTED_CRASHES || crashes.len() >= MASS_CRASHES;
            if survived && doubted {
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

/// Number of crashes, where those within [`SAME_CAUSE`] of each other count once.
fn distinct(crashes: &[Moment]) -> usize {
    let mut count = 0;
    let mut last: Option<Moment> = None;
    for at in crashes {
        if last.is_none_or(|last| at.since(last) >= SAME_CAUSE) {
            count += 1;
            last = Some(*at);
        }
    }
    count
}

/// Whether one request was in many crashes, not all of them at the same moment. Unlike the parts of
/// prompts, it is seldom at several endpoints when they end for another reason.
fn has_repeated(crashes: &[Moment]) -> bool {
    let span = crashes.first().zip(crashes.last());
    crashes.len() >= MASS_CRASHES
        && span.is_some_and(|(first, last)| last.since(*first) >= RECURRED_AFTER)
}

/// Whether a crash followed many others after a while.
fn has_recurred(crashes: &[Moment]) -> bool {
    let mass = crashes.get(MASS_CRASHES - 1).zip(crashes.last());
    mass.is_some_and(|(mass, last)| last.since(*mass) >= RECURRED_AFTER)
}
