//! Watches the processes of a deployment during a run.

use std::collections::BTreeMap;
use std::fs;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use agatestair_schema::standins::PlatformStats;
use agatestair_schema::testbed::{Deployment, EntryPlace};
use serde::Serialize;
use serde_json::Value;
use ureq::Agent;

use crate::steps::unix_ms;

/// Interval at which the revisions in force are read.
pub const REVISION_INTERVAL: Duration = Duration::from_millis(50);
/// Longest wait for an answer of a process.
const TIMEOUT: Duration = Duration::from_secs(1);
/// Clock ticks a second in the kernel's accounts of processor time.
const TICKS_S: f64 = 100.0;
/// Size of a page of memory in bytes.
const PAGE_BYTES: u64 = 4096;
/// Metric that counts the bytes of links, by direction and purpose.
const LINK_BYTES: &str = "agatestair_link_bytes_total";
/// Direction counted, so that each message between two instances counts once.
const SENT: &str = "sent";

/// Revision that one control process had in force at one time.
#[derive(Clone, Copy, Debug)]
pub struct RevisionSample {
    /// Index of the instance in the deployment.
    pub instance: usize,
    /// Time of asking in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Revision.
    pub revision: u64,
}

/// What one process has used up to now.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct ProcessUse {
    /// Processor time in seconds.
    pub cpu_s: f64,
    /// Resident memory in bytes.
    pub rss_bytes: u64,
}

/// What all processes have used up to one time.
#[derive(Clone, Debug)]
pub struct UseSample {
    /// Time of the sample.
    pub at: Instant,
    /// Use of each control process.
    pub controls: Vec<ProcessUse>,
    /// Use of each entry.
    pub entries: Vec<ProcessUse>,
    /// Bytes sent on links by purpose, over all instances.
    pub link_bytes: BTreeMap<String, f64>,
    /// Requests to the platform.
    pub platform: Option<PlatformStats>,
}

/// Reads the admin interfaces and accounts of a deployment's processes.
#[derive(Clone)]
pub struct Probe {
    deployment: Deployment,
    agent: Agent,
}

impl Probe {
    /// Creates the probe of a deployment.
    pub fn new(deployment: &Deployment) -> Self {
        let agent = Agent::config_builder().timeout_global(Some(TIMEOUT)).build().into();
        Self { deployment: deployment.clone(), agent }
    }

    /// Reads the revisions until `stop` is set.
    pub fn watch_revisions(&self, stop: &Arc<AtomicBool>) -> Vec<RevisionSample> {
        let mut samples = Vec::new();
        while !stop.load(Ordering::Relaxed) {
            let round = Instant::now();
            for (instance, entry) in self.deployment.entries.iter().enumerate() {
                let at_ms = unix_ms();
                if let Some(revision) = self.revision(entry) {
                    samples.push(RevisionSample { instance, at_ms, revision });
                }
            }
            thread::sleep(REVISION_INTERVAL.saturating_sub(round.elapsed()));
        }
        samples
    }

    fn revision(&self, entry: &EntryPlace) -> Option<u64> {
        if entry.admin.is_empty() {
            return None;
        }
        let url = format!("http://{}/v1/status", entry.admin);
        let status: Value = self.agent.get(url).call().ok()?.body_mut().read_json().ok()?;
        status.get("revision")?.as_u64()
    }

    /// Reads what all processes have used.
    pub fn sample_use(&self) -> UseSample {
        let entries = &self.deployment.entries;
        let mut link_bytes = BTreeMap::new();
        for entry in entries.iter().filter(|entry| !entry.admin.is_empty()) {
            self.add_link_bytes(entry, &mut link_bytes);
        }
        UseSample {
            at: Instant::now(),
            controls: entries.iter().map(|entry| process_use(entry.control_pid)).collect(),
            entries: entries.iter().map(|entry| process_use(entry.entry_pid)).collect(),
            link_bytes,
            platform: self.platform_stats(),
        }
    }

    fn platform_stats(&self) -> Option<PlatformStats> {
        let url = format!("http://{}/stats", self.deployment.platform);
        self.agent.get(url).call().ok()?.body_mut().read_json().ok()
    }

    fn add_link_bytes(&self, entry: &EntryPlace, sums: &mut BTreeMap<String, f64>) {
        let url = format!("http://{}/metrics", entry.admin);
        let Ok(mut response) = self.agent.get(url).call() else { return };
        let Ok(text) = response.body_mut().read_to_string() else { return };
        for line in text.lines().filter(|line| line.starts_with(LINK_BYTES)) {
            let Some((series, value)) = line.rsplit_once(' ') else { continue };
            if label_of(series, "direction") != Some(SENT) {
                continue;
            }
            let purpose = label_of(series, "purpose").unwrap_or("all");
            *sums.entry(purpose.to_owned()).or_insert(0.0) += value.parse().unwrap_or(0.0);
        }
    }
}

/// Value of a label of a series in the Prometheus text format.
fn label_of<'a>(series: &'a str, name: &str) -> Option<&'a str> {
    let rest = &series[series.find(&format!("{name}=\""))? + name.len() + 2..];
    rest.split('"').next()
}

/// Reads the kernel's accounts of a process; zeros if there is none.
fn process_use(pid: u32) -> ProcessUse {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields: Vec<&str> =
        stat.rsplit_once(')').map_or(Vec::new(), |(_, rest)| rest.split_whitespace().collect());
    let ticks = |index: usize| fields.get(index).and_then(|text| text.parse::<f64>().ok());
    let rss = fields.get(21).and_then(|text| text.parse::<u64>().ok());
    ProcessUse {
        cpu_s: (ticks(11).unwrap_or(0.0) + ticks(12).unwrap_or(0.0)) / TICKS_S,
        rss_bytes: rss.unwrap_or(0) * PAGE_BYTES,
    }
}
