//! Instance list whose readers see changes with a delay.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use agatestair_schema::platform::{InstanceList, InstanceRecord};

/// One version of an instance's record.
struct Version {
    /// Time of the change; `None` for a record listed from the start.
    at: Option<Instant>,
    record: InstanceRecord,
}

/// Versions of the instance records that readers may still see.
#[derive(Default)]
pub struct Instances {
    versions: BTreeMap<String, Vec<Version>>,
}

impl Instances {
    /// Adds an instance that readers see immediately.
    pub fn insert(&mut self, record: InstanceRecord) {
        self.versions.insert(record.name.clone(), vec![Version { at: None, record }]);
    }

    /// Adds or replaces an instance's record; readers see the change after the lag.
    pub fn put(&mut self, record: InstanceRecord) {
        let versions = self.versions.entry(record.name.clone()).or_default();
        versions.push(Version { at: Some(Instant::now()), record });
    }

    /// Returns the list as it was `lag` ago; drops versions that are no longer visible.
    pub fn list(&mut self, lag: Duration) -> InstanceList {
        let now = Instant::now();
        let mut instances = Vec::new();
        for versions in self.versions.values_mut() {
            let visible = |version: &Version| version.at.is_none_or(|at| now - at >= lag);
            if let Some(index) = versions.iter().rposition(visible) {
                instances.push(versions[index].record.clone());
                versions.drain(..index);
            }
        }
        InstanceList { instances }
    }
}
