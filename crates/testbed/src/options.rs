//! What a deployment is started with.

use std::time::Duration;

use agatestair_schema::settings::PolicyName;

use crate::layout::Layout;

/// Intervals and durations of the processes, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Lifetime of an answer of `GET /v1/entries`.
    pub answer_ms: u64,
    /// Time for a graceful shutdown.
    pub patience_ms: u64,
    /// Time without contact after which an entry refuses work.
    pub stale_ms: u64,
    /// Interval of load collection.
    pub poll_ms: u64,
    /// Interval of polling for the lists.
    pub lists_ms: u64,
    /// Duration of a lease.
    pub lease_ms: u64,
    /// Time before the lapse of a lease at which its holder stops giving orders.
    pub margin_ms: u64,
    /// Interval of pings on links.
    pub ping_ms: u64,
    /// Time without an answer after which a link is dropped.
    pub link_timeout: u64,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            answer_ms: 5000,
            patience_ms: 30_000,
            stale_ms: 7000,
            poll_ms: 250,
            lists_ms: 1000,
            lease_ms: 6000,
            margin_ms: 1500,
            ping_ms: 500,
            link_timeout: 2000,
        }
    }
}

impl Timing {
    /// Short intervals, so that tests need not wait long for leases and lists.
    pub fn short() -> Self {
        Self {
            answer_ms: 1000,
            patience_ms: 15_000,
            stale_ms: 3000,
            poll_ms: 100,
            lists_ms: 300,
            lease_ms: 2000,
            margin_ms: 500,
            ping_ms: 200,
            link_timeout: 800,
        }
    }
}

/// Options of a deployment.
#[derive(Clone, Debug)]
pub struct TestbedOptions {
    /// Sizes and names.
    pub layout: Layout,
    /// Number of entry instances; each has its control process.
    pub entries: usize,
    /// Placement policy of the entries.
    pub policy: PolicyName,
    /// Whether callers, links, endpoints and the platform are reached through the fault proxy.
    pub proxied: bool,
    /// Whether roles follow the token mix.
    pub plan_roles: bool,
    /// Seed of the stand-ins.
    pub seed: u64,
    /// Lag of the instance list in milliseconds.
    pub list_lag: u64,
    /// Intervals and durations.
    pub timing: Timing,
    /// Protections switched off, to show that a checker can fail.
    pub disabled: Vec<String>,
    /// Whether the processes log details.
    pub verbose: bool,
    /// Longest wait for a process to become ready.
    pub ready_time: Duration,
}

impl Default for TestbedOptions {
    fn default() -> Self {
        Self {
            layout: Layout::lexicon(),
            entries: 7,
            policy: PolicyName::Own,
            proxied: false,
            plan_roles: true,
            seed: 1,
            list_lag: 1000,
            timing: Timing::default(),
            disabled: Vec::new(),
            verbose: false,
            ready_time: Duration::from_secs(30),
        }
    }
}
