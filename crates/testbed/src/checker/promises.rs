//! The promises, with how often each was broken and could have been.

use std::collections::BTreeMap;
use std::fmt;

use super::caller_record::CallerRecord;
use super::calls::check_calls;
use super::fleet::check_fleet;
use super::records::Records;

/// What must always hold.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Promise {
    /// A stream ends with the whole answer.
    Cut,
    /// An answer that ends in order is the right one.
    WrongAnswer,
    /// A non-idempotent call runs at most once.
    DoubleRun,
    /// A call that was answered has run.
    LostWrite,
    /// A refusal that says "not run" is true.
    FalseNotRun,
    /// An engine never receives conflicting orders.
    ConflictingOrder,
    /// An order of a process that has lost its authority has no effect.
    StaleOrder,
    /// A leaving endpoint receives no new work after a few seconds.
    WorkAfterLeave,
    /// An accepted configuration never reverts.
    ConfigRevert,
    /// A call with a key ends with its answer once the faults are over.
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

/// How often one promise was broken, and how often it could have been.
#[derive(Clone, Debug, Default)]
pub struct PromiseCount {
    /// Times it was broken.
    pub broken: u64,
    /// Times it could have been broken.
    pub chances: u64,
    /// What was seen, one text for each time, the first few only.
    pub details: Vec<String>,
}

/// Broken promises shown in full.
const KEPT_DETAILS: usize = 5;

/// Counts of all promises.
#[derive(Clone, Debug, Default)]
pub struct PromiseCounts {
    counts: BTreeMap<Promise, PromiseCount>,
}

impl PromiseCounts {
    /// Notes one chance; `broken` tells what was seen if the promise was broken.
    pub fn note(&mut self, promise: Promise, broken: Option<String>) {
        let count = self.counts.entry(promise).or_default();
        count.chances += 1;
        if let Some(detail) = broken {
            count.broken += 1;
            if count.details.len() < KEPT_DETAILS {
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
            let room = KEPT_DETAILS.saturating_sub(count.details.len());
            count.details.extend(other.details.iter().take(room).cloned());
        }
    }

    /// Counts of one promise.
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
