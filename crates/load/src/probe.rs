//! Samples resource usage and list revisions of a deployment's processes during a run.

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

/// Polling interval of the revisions.
pub const REVISION_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout of requests to a process.
const TIMEOUT: Duration = Duration::from_secs(1);
/// Clock ticks per second in `/proc/PID/stat`.
const TICKS_S: f64 = 100.0;
/// Memory page size in bytes.
const PAGE_BYTES: u64 = 4096;
/// Metric of bytes transferred on links, labelled by direction and purpose.
const LINK_BYTES: &str = "agatestair_link_bytes_total";
/// Direction to sum up; counting one direction counts each message once.
const SENT: &str = "sent";

/// Revision of the lists that a control process reported at one time.
#[derive(Clone, Copy, Debug)]
pub struct RevisionSample {
    /// Index of the instance in the deployment.
    pub instance: usize,
    /// Time just before the request, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Reported revision.
    pub revision: u64,
}

/// Resource usage of one process.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct ProcessUsage {
    /// CPU time since the process started, in seconds.
    pub cpu_s: f64,
    /// Resident set size in bytes.
    pub rss_bytes: u64,
}

/// Resource usage of all processes at one time.
#[derive(Clone, Debug)]
pub struct UsageSample {
    /// Time of the sample.
    pub at: Instant,
    /// Usage of each control process.
    pub controls: Vec<ProcessUsage>,
    /// Usage of each entry.
    pub entries: Vec<ProcessUsage>,
    /// Total bytes sent on links by purpose, summed over all instances.
    pub link_bytes: BTreeMap<String, f64>,
    /// Request counters of the platform, if available.
    pub platform: Option<PlatformStats>,
}

/// Reads the admin interfaces and `/proc` entries of a deployment's processes.
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

    /// Polls the revisions of all control processes until `stop` is set.
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

    /// Samples the resource usage of all processes.
    pub fn sample_usage(&self) -> UsageSample {
        let entries = &self.deployment.entries;
        let mut link_bytes = BTreeMap::new();
        for entry in entries.iter().filter(|entry| !entry.admin.is_empty()) {
            self.add_link_bytes(entry, &mut link_bytes);
        }
        UsageSample {
            at: Instant::now(),
            controls: entries.iter().map(|entry| process_usage(entry.control_pid)).collect(),
            entries: entries.iter().map(|entry| process_usage(entry.entry_pid)).collect(),
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

/// Extracts the value of a label from a series in the Prometheus text format.
fn label_of<'a>(series: &'a str, name: &str) -> Option<&'a str> {
    let rest = &series[series.find(&format!("{name}=\""))? + name.len() + 2..];
    rest.split('"').next()
}

/// Reads the usage of a process from `/proc`; zeros if the process does not exist.
fn process_usage(pid: u32) -> ProcessUsage {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields: Vec<&str> =
        stat.rsplit_once(')').map_or(Vec::new(), |(_, rest)| rest.split_whitespace().collect());
    let ticks = |index: usize| fields.get(index).and_then(|text| text.parse::<f64>().ok());
    let rss = fields.get(21).and_then(|text| text.parse::<u64>().ok());
    ProcessUsage {
        cpu_s: (ticks(11).unwrap_or(0.0) + ticks(12).unwrap_or(0.0)) / TICKS_S,
        rss_bytes: rss.unwrap_or(0) * PAGE_BYTES,
    }
}
