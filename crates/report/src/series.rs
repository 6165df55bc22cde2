//! Merges the counters of all runs of all instances into increments over time.

use std::collections::BTreeMap;
use std::sync::Arc;

use agatestair_schema::slo::{SloCounts, SloKind, SloSnapshot};
use serde::Serialize;

use crate::outcome::Tally;

/// Plan and service to which an objective applies.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Subject {
    /// Name of the plan.
    pub plan: Arc<str>,
    /// Name of the service.
    pub service: Arc<str>,
    /// Whether it counts calls of a plain service; completions otherwise.
    pub calls: bool,
}

/// Requests of one process that completed between two samples.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Increment {
    /// Start in milliseconds since the Unix epoch.
    pub from_ms: u64,
    /// End in milliseconds since the Unix epoch.
    pub to_ms: u64,
    /// Requests that completed in between.
    pub tally: Tally,
}

impl Increment {
    /// Part of the increment between two times, assuming that requests are spread evenly over it.
    #[allow(clippy::cast_precision_loss)]
    pub fn within(&self, from_ms: u64, to_ms: u64) -> Tally {
        let length = self.to_ms.saturating_sub(self.from_ms);
        if length == 0 {
            let inside = from_ms <= self.to_ms && self.to_ms < to_ms;
            return if inside { self.tally } else { Tally::default() };
        }
        let overlap = self.to_ms.min(to_ms).saturating_sub(self.from_ms.max(from_ms));
        self.tally * (overlap as f64 / length as f64)
    }
}

/// Increments of all processes, grouped by subject.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Series {
    /// Increments of each subject, in no particular order.
    pub subjects: BTreeMap<Subject, Vec<Increment>>,
    /// Number of instances that wrote counters.
    pub instances: usize,
    /// Number of runs of these instances.
    pub runs: usize,
    /// Time of the newest sample in milliseconds since the Unix epoch.
    pub newest_ms: u64,
}

impl Series {
    /// Merges snapshots.
    ///
    /// Each run of a process starts at zero. A counter below its previous value is taken as reset
    /// to zero, so that no increment is negative.
    pub fn merge(snapshots: &[SloSnapshot]) -> Self {
        let mut series = Self { runs: snapshots.len(), ..Self::default() };
        let mut instances: Vec<&str> = snapshots.iter().map(|s| s.instance.as_str()).collect();
        instances.sort_unstable();
        instances.dedup();
        series.instances = instances.len();
        for snapshot in snapshots {
            series.add_run(snapshot);
        }
        series
    }

    fn add_run(&mut self, snapshot: &SloSnapshot) {
        let mut last: BTreeMap<Subject, Tally> = BTreeMap::new();
        let mut from_ms = snapshot.started_ms;
        for sample in &snapshot.samples {
            let to_ms = sample.at_ms.max(from_ms);
            for counts in &sample.counts {
                let subject = Subject::from(counts);
                let now = Tally::from(counts);
                let before = last.insert(subject.clone(), now).unwrap_or_default();
                let tally = difference(before, now);
                if tally.total() > 0.0 {
                    let increment = Increment { from_ms, to_ms, tally };
                    self.subjects.entry(subject).or_default().push(increment);
                }
            }
            from_ms = to_ms;
            self.newest_ms = self.newest_ms.max(to_ms);
        }
    }

    /// Requests of a subject that completed between two times.
    pub fn tally(&self, subject: &Subject, from_ms: u64, to_ms: u64) -> Tally {
        let increments = self.subjects.get(subject).map(Vec::as_slice).unwrap_or_default();
        increments
            .iter()
            .map(|increment| increment.within(from_ms, to_ms))
            .fold(Tally::default(), |sum, part| sum + part)
    }
}

impl From<&SloCounts> for Subject {
    fn from(counts: &SloCounts) -> Self {
        Self {
            plan: Arc::from(&*counts.plan),
            service: Arc::from(&*counts.service),
            calls: counts.kind == SloKind::Call,
        }
    }
}

/// Increase of each counter; a counter that decreased is taken as reset to zero.
fn difference(before: Tally, now: Tally) -> Tally {
    let increase = |before: f64, now: f64| if now >= before { now - before } else { now };
    let mut missed = now.missed;
    for (now, before) in missed.iter_mut().zip(before.missed) {
        *now = increase(before, *now);
    }
    Tally { good: increase(before.good, now.good), missed }
}
