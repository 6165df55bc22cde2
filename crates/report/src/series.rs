//! Converts the counters of all instances and runs into increments over time.

use std::collections::BTreeMap;
use std::sync::Arc;

use agatestair_schema::slo::{SloCounts, SloKind, SloSnapshot};
use serde::Serialize;

use crate::outcome::Tally;

/// Plan, service and kind of request for which burn rates are computed.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Subject {
    /// Name of the plan.
    pub plan: Arc<str>,
    /// Name of the service.
    pub service: Arc<str>,
    /// Whether the requests are calls of a plain service rather than completions.
    pub calls: bool,
}

/// Requests that ended between two samples of one run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Increment {
    /// Start in milliseconds since the Unix epoch.
    pub from_ms: u64,
    /// End in milliseconds since the Unix epoch.
    pub to_ms: u64,
    /// Requests that ended between start and end.
    pub tally: Tally,
}

impl Increment {
    /// Part of the increment between two times, assuming an even distribution over its length.
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

/// Counter increments of all instances by subject.
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
    /// Merges the snapshots of all runs.
    ///
    /// The counters of each run start at zero. A counter that decreases between two samples is
    /// treated as reset to zero, so that no increment is negative.
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
                let tally = counter_increase(before, now);
                if tally.total() > 0.0 {
                    let increment = Increment { from_ms, to_ms, tally };
                    self.subjects.entry(subject).or_default().push(increment);
                }
            }
            from_ms = to_ms;
            self.newest_ms = self.newest_ms.max(to_ms);
        }
    }

    /// Requests of a subject that ended between two times.
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

/// Increase of all counters; a counter that decreased is treated as reset to zero.
fn counter_increase(before: Tally, now: Tally) -> Tally {
    let increase = |before: f64, now: f64| if now >= before { now - before } else { now };
    let mut missed = now.missed;
    for (now, before) in missed.iter_mut().zip(before.missed) {
        *now = increase(before, *now);
    }
    Tally { good: increase(before.good, now.good), missed }
}
