//! Instance list that lags behind the truth.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use agatestair_schema::platform::{InstanceList, InstanceRecord};

struct Version {
    at: Option<Instant>,
    record: InstanceRecord,
}

/// All versions of the records of instances that may still be seen.
#[derive(Default)]
pub struct Instances {
    versions: BTreeMap<String, Vec<Version>>,
}

impl Instances {
    /// Lists an instance from the start.
    pub fn insert(&mut self, record: InstanceRecord) {
        self.versions.insert(record.name.clone(), vec![Version { at: None, record }]);
    }

    /// Changes the record of an instance; readers see it after the lag.
    pub fn put(&mut self, record: InstanceRecord) {
        let versions = self.versions.entry(record.name.clone()).or_default();
        versions.push(Version { at: Some(Instant::now()), record });
    }

    /// The list as it was `lag` ago.
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
