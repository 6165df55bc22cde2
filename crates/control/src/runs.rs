//! Runs of instances in the platform's list, to decide which have ended.
//!
//! A run is one lifetime of an instance's control process, identified by its boot identifier.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use agatestair_policy::Moment;
use agatestair_schema::platform::{InstanceKind, InstanceRecord, InstanceState};

/// Time for which a run must be absent from the list before it counts as gone.
///
/// It exceeds the lag of the list. An instance takes leases only once its own run is listed, so a
/// run that held a lease and is absent for this long has been removed.
const ABSENT_BEFORE_GONE: Duration = Duration::from_secs(15);

/// Run of an instance as last listed; `state` is `None` once it is absent from the list.
struct Run {
    boot: String,
    state: Option<InstanceState>,
    since: Moment,
}

/// Last listed run of each instance, by name.
#[derive(Default)]
pub struct Runs {
    runs: BTreeMap<Arc<str>, Run>,
    first_list: Option<Moment>,
}

impl Runs {
    /// Updates the runs from the platform's list.
    pub fn note_list(&mut self, now: Moment, records: &[InstanceRecord]) {
        self.first_list.get_or_insert(now);
        for record in records.iter().filter(|record| record.kind == InstanceKind::Entry) {
            let known = self.runs.get(record.name.as_str());
            let same =
                known.is_some_and(|run| run.boot == record.boot && run.state == Some(record.state));
            if !same {
                let run = Run { boot: record.boot.clone(), state: Some(record.state), since: now };
                self.runs.insert(record.name.as_str().into(), run);
            }
        }
        for (name, run) in &mut self.runs {
            if run.state.is_some() && !records.iter().any(|record| *record.name == **name) {
                run.state = None;
                run.since = now;
            }
        }
    }

    /// Whether this run is listed as live or leaving.
    pub fn is_listed(&self, name: &str, boot: &str) -> bool {
        let run = self.runs.get(name).filter(|run| run.boot == boot);
        run.is_some_and(|run| run.state.is_some_and(|state| state != InstanceState::Gone))
    }

    /// Whether this run is gone: listed as gone, superseded by a later run in the list, or not
    /// listed for `ABSENT_BEFORE_GONE`.
    pub fn is_gone(&self, now: Moment, name: &str, boot: &str) -> bool {
        let long = |since: Moment| now.since(since) >= ABSENT_BEFORE_GONE;
        let Some(run) = self.runs.get(name) else {
            return self.first_list.is_some_and(long);
        };
        match run.state {
            None => long(run.since),
            Some(InstanceState::Gone) => {
                run.boot.is_empty() || *run.boot >= *boot || long(run.since)
            }
            // Identifiers of later runs sort after earlier ones; a lagging list may show an earlier
            // run.
            Some(_) => *run.boot > *boot || (run.boot != boot && long(run.since)),
        }
    }
}
