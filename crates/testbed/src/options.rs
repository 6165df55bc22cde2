//! Options and timing of a deployment.

use std::time::Duration;

use agatestair_schema::settings::PolicyName;

use crate::layout::Layout;

/// Intervals and durations in the settings of the processes, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Lifetime of a response to `GET /v1/entries`.
    pub answer_ms: u64,
    /// Timeout of a graceful shutdown.
    pub patience_ms: u64,
    /// Time without contact after which an entry refuses work.
    pub stale_ms: u64,
    /// Interval of collecting load reports.
    pub poll_ms: u64,
    /// Interval of polling the platform for the lists.
    pub lists_ms: u64,
    /// Duration of a lease.
    pub lease_ms: u64,
    /// Safety margin before a lease expires, in which its holder sends no more orders.
    pub margin_ms: u64,
    /// Interval of pings on links.
    pub ping_ms: u64,
    /// Time without a response to pings after which a link is closed.
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
    /// Short intervals, so that tests wait less for leases to expire and for lists to be applied.
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
    /// Sizes and names of the deployment.
    pub layout: Layout,
    /// Number of entry instances, each with one entry and one control process.
    pub entries: usize,
    /// Placement policy of the entries.
    pub policy: PolicyName,
    /// Whether callers, links, endpoints and the platform are reached through the fault proxy.
    pub proxied: bool,
    /// Whether engine roles are adapted to the mix of prompt and output tokens.
    pub plan_roles: bool,
    /// Random seed of the stand-ins.
    pub seed: u64,
    /// Lag of the instance list in milliseconds.
    pub list_lag: u64,
    /// Intervals and durations of the processes.
    pub timing: Timing,
    /// Protections that are disabled, to show that the checker detects the violations.
    pub disabled: Vec<String>,
    /// Whether the processes log at debug level.
    pub verbose: bool,
    /// Time limit for a process to become ready.
    pub ready_timeout: Duration,
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
            ready_timeout: Duration::from_secs(30),
        }
    }
}
