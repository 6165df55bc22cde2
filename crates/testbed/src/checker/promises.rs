//! The promises of the system, and counts of how often each was checked and broken.

use std::collections::BTreeMap;
use std::fmt;

use super::caller_record::CallerRecord;
use super::calls::check_calls;
use super::fleet::check_fleet;
use super::records::Records;

/// A property that must hold under every fault.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Promise {
    /// A stream ends with the complete response.
    Cut,
    /// A response that ends normally has the correct content.
    WrongAnswer,
    /// A non-idempotent call runs at most once.
    DoubleRun,
    /// A write with a successful response has run.
    LostWrite,
    /// A request refused as not run has not run.
    FalseNotRun,
    /// An engine receives no order that conflicts with one of another holder still in progress.
    ConflictingOrder,
    /// An order of a holder that lost its lease has no effect; its fencing number is outdated.
    StaleOrder,
    /// A leaving endpoint receives no new work after a few seconds.
    WorkAfterLeave,
    /// An accepted configuration never reverts.
    ConfigRevert,
    /// A request that may be retried gets a complete response once the faults are healed.
    Unsettled,
}

impl Promise {
    /// All promises.
    pub const ALL: [Self; 10] = [
        Self::Cut,
        Self::WrongAnswer,
        Self::DoubleRun,
        Self::LostWrite,
        Self::FalseNotRun,
        Self::ConflictingOrder,
        Self::StaleOrder,
        Self::WorkAfterLeave,
        Self::ConfigRevert,
        Self::Unsettled,
    ];

    /// Name in reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::Cut => "cut",
            Self::WrongAnswer => "wrong_answer",
            Self::DoubleRun => "double_run",
            Self::LostWrite => "lost_write",
            Self::FalseNotRun => "false_not_run",
            Self::ConflictingOrder => "conflicting_order",
            Self::StaleOrder => "stale_order_effect",
            Self::WorkAfterLeave => "work_after_leave",
            Self::ConfigRevert => "config_revert",
            Self::Unsettled => "unsettled",
        }
    }
}

/// Number of cases in which one promise was checked and broken.
#[derive(Clone, Debug, Default)]
pub struct PromiseCount {
    /// Number of cases in which it was broken.
    pub broken: u64,
    /// Number of cases in which it was checked, so that it could have been broken.
    pub chances: u64,
    /// Descriptions of the first few violations.
    pub details: Vec<String>,
}

/// Maximum number of violations described for each promise.
const MAX_DETAILS: usize = 5;

/// Counts of all promises.
#[derive(Clone, Debug, Default)]
pub struct PromiseCounts {
    counts: BTreeMap<Promise, PromiseCount>,
}

impl PromiseCounts {
    /// Counts one checked case, in which the promise was broken if there is a `violation`.
    pub fn observe(&mut self, promise: Promise, violation: Option<String>) {
        let count = self.counts.entry(promise).or_default();
        count.chances += 1;
        if let Some(detail) = violation {
            count.broken += 1;
            if count.details.len() < MAX_DETAILS {
                count.details.push(detail);
            }
        }
    }

    /// Adds the counts of another check.
    pub fn add(&mut self, other: &Self) {
        for (promise, other) in &other.counts {
            let count = self.counts.entry(*promise).or_default();
            count.broken += other.broken;
            count.chances += other.chances;
            let room = MAX_DETAILS.saturating_sub(count.details.len());
            count.details.extend(other.details.iter().take(room).cloned());
        }
    }

    /// Counts of one promise; zero if it was never checked.
    pub fn get(&self, promise: Promise) -> PromiseCount {
        self.counts.get(&promise).cloned().unwrap_or_default()
    }

    /// Whether no promise was broken.
    pub fn is_clean(&self) -> bool {
        self.counts.values().all(|count| count.broken == 0)
    }
}

impl fmt::Display for PromiseCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for promise in Promise::ALL {
            let count = self.get(promise);
            writeln!(f, "{:<20} {:>5} of {:>7}", promise.name(), count.broken, count.chances)?;
            for detail in &count.details {
                writeln!(f, "    {detail}")?;
            }
        }
        Ok(())
    }
}

/// Checks the promises on calls and on the fleet.
pub fn check(records: &Records, callers: &[CallerRecord]) -> PromiseCounts {
    let mut counts = PromiseCounts::default();
    check_calls(records, callers, &mut counts);
    check_fleet(records, &mut counts);
    counts
}
