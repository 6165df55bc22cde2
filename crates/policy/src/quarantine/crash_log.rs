//! Crashes of processes, and their withdrawal once a process proves to have outlived them.

use std::collections::HashSet;
use std::time::Duration;

use super::evidence::{Evidence, MIN_CRASHES};
use super::report::{CrashReport, ProcessKey, QuarantineChange, ServicePart};
use super::{Entry, MAX_CRASHES, MAX_SUSPECTS, Quarantine};
use crate::moment::Moment;

#[derive(Clone, Debug)]
pub(super) struct Crash {
    pub(super) process: ProcessKey,
    pub(super) service: u64,
    /// The first observation.
    pub(super) at: Moment,
    /// The last observation.
    latest: Moment,
    pub(super) suspects: HashSet<u64>,
    /// When this instance observed it, and the suspects that it added.
    pub(super) own: Option<(Moment, Vec<u64>)>,
}

impl Crash {
    /// Time since the last observation.
    pub(super) fn age(&self, now: Moment) -> Duration {
        now.since(self.latest)
    }
}

impl Quarantine {
    /// Whether a crash of a process is recorded.
    pub fn has_crashed(&self, process: ProcessKey) -> bool {
        self.crashes.iter().any(|crash| crash.process == process)
    }

    /// Time since the last observation of a process's crash, if there is one.
    pub fn crash_age(&self, process: ProcessKey, now: Moment) -> Option<Duration> {
        let crash = self.crashes.iter().find(|crash| crash.process == process)?;
        Some(crash.age(now))
    }

    /// Withdraws the crashes of processes that are alive, by `outlived` of a process and the last
    /// observation of its crash; a path that refuses connections for a while looks like a crash.
    ///
    /// Parts whose quarantine rested on them are released, at all instances. A verdict that the
    /// crashes known here never explained is left to the instances that know the others.
    pub fn withdraw_crashes(
        &mut self,
        outlived: impl Fn(ProcessKey, Moment) -> bool,
        now: Moment,
    ) -> Vec<QuarantineChange> {
        let outlived = |crash: &Crash| outlived(crash.process, crash.latest);
        if !self.crashes.iter().any(outlived) {
            return Vec::new();
        }
        let quarantined = self.entries.keys().copied();
        let explained: Vec<ServicePart> =
            quarantined.filter(|part| self.is_explained(*part)).collect();
        let withdrawn: Vec<Crash> = self.crashes.extract_if(.., |crash| outlived(crash)).collect();
        let mut changes = Vec::new();
        for crash in &withdrawn {
            changes.push(QuarantineChange::Withdrawn(crash.process, crash.age(now)));
            for part in &crash.suspects {
                let part = ServicePart { service: crash.service, part: *part };
                if let Some(entry) = self.entries.get_mut(&part) {
                    entry.crashes = entry.crashes.saturating_sub(1);
                }
            }
        }
        for part in explained {
            let few = |entry: &Entry| (entry.crashes as usize) < MIN_CRASHES;
            if self.entries.get(&part).is_some_and(few) && !self.is_explained(part) {
                self.entries.remove(&part);
                self.survivors.insert(part, now);
                self.survivals.insert(part, now);
                changes.push(QuarantineChange::Unfounded(part));
            }
        }
        changes
    }

    /// Whether the known crashes are sufficient to quarantine a part.
    fn is_explained(&self, part: ServicePart) -> bool {
        self.is_sufficient(part, &self.evidence_of(part))
    }

    /// Times of all crashes with a part since its last survival.
    fn evidence_of(&self, part: ServicePart) -> Evidence {
        let survived = self.survivors.get(&part).copied();
        let mut evidence = Evidence::default();
        let crashes = self.crashes_with(part);
        let crashes = crashes.filter(|crash| survived.is_none_or(|survived| survived < crash.at));
        crashes.for_each(|crash| evidence.add(crash.at));
        evidence
    }

    /// Adds the suspects of a report to its crash; returns the crash's index.
    pub(super) fn add_crash(&mut self, report: &CrashReport, now: Moment) -> usize {
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
                latest: at,
                suspects: HashSet::new(),
                own: None,
            });
            self.crashes.len() - 1
        });
        let crash = &mut self.crashes[index];
        crash.at = crash.at.min(at);
        crash.latest = crash.latest.max(at);
        for part in &report.suspects {
            let is_new = crash.suspects.len() < MAX_SUSPECTS && crash.suspects.insert(*part);
            let part = ServicePart { service: crash.service, part: *part };
            if let Some(entry) = self.entries.get_mut(&part).filter(|_| is_new) {
                entry.crashes += 1;
            }
        }
        index
    }
}
