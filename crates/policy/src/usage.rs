//! Requests that endpoints began to run, by window of the wall clock and customer.
//!
//! Each instance counts its own requests in a [`UsageMeter`] and sends the sums to the holder of the
//! duty, which adds them up in a [`UsageLedger`]. Sums only grow, so that they may arrive late, twice
//! or in another order.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// Largest number of windows that are kept.
const MAX_WINDOWS: usize = 16;

/// Requests of each customer.
pub type UsageCounts = BTreeMap<Arc<str>, u32>;

/// Windows of the wall clock; window `k` begins `k` times the length after the Unix epoch.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UsageWindows {
    /// Length of a window in milliseconds.
    pub length_ms: u64,
}

impl UsageWindows {
    /// Windows of a length in seconds.
    pub fn new(seconds: f64) -> Self {
        Self { length_ms: ((seconds * 1000.0) as u64).max(1) }
    }

    /// The window of a time of day.
    pub fn of(self, unix_ms: u64) -> u64 {
        unix_ms / self.length_ms
    }

    /// Milliseconds since the end of a window; `None` if it has not ended.
    pub fn since_end(self, window: u64, unix_ms: u64) -> Option<u64> {
        unix_ms.checked_sub(window.saturating_add(1).saturating_mul(self.length_ms))
    }
}

/// Requests of one instance in windows that no report covers yet.
#[derive(Clone, Debug, Default)]
pub struct UsageMeter {
    windows: BTreeMap<u64, UsageCounts>,
    /// First window that is not settled.
    first: u64,
    /// First window that may still get requests.
    open: u64,
}

impl UsageMeter {
    /// A meter of a process that started in the given window.
    pub fn new(first: u64) -> Self {
        Self { windows: BTreeMap::new(), first, open: first }
    }

    /// Counts a request that began to run in a window. One of a closed window is counted in the
    /// first window that is not.
    pub fn note(&mut self, window: u64, customer: &Arc<str>) {
        let counts = self.windows.entry(window.max(self.open)).or_default();
        *counts.entry(customer.clone()).or_default() += 1;
        while self.windows.len() > MAX_WINDOWS {
            self.windows.pop_first();
        }
    }

    /// Closes the windows up to the given one, since the holder has their last counts. It may settle
    /// them at any time, so that later requests would be lost.
    pub fn close(&mut self, window: u64) {
        self.open = self.open.max(window.saturating_add(1));
    }

    /// Forgets the windows up to the given one, whose report is settled.
    pub fn settle(&mut self, window: u64) {
        self.first = self.first.max(window.saturating_add(1));
        self.close(window);
        self.windows.retain(|known, _| *known > window);
    }

    /// First window that is not settled, and not before this process started.
    pub fn first(&self) -> u64 {
        self.first
    }

    /// Requests in a window so far.
    pub fn counts(&self, window: u64) -> UsageCounts {
        self.windows.get(&window).cloned().unwrap_or_default()
    }
}

/// Number of requests in all.
pub fn usage_total(counts: &UsageCounts) -> u64 {
    counts.values().map(|count| u64::from(*count)).sum()
}

/// Sums of one process of an instance in a window.
#[derive(Clone, Debug, Default)]
struct Reported {
    counts: UsageCounts,
    closed: bool,
}

/// Sums of all instances, as the holder has received them.
#[derive(Clone, Debug, Default)]
pub struct UsageLedger {
    /// By window, then by instance and start time of its process.
    windows: BTreeMap<u64, HashMap<(u64, u64), Reported>>,
}

impl UsageLedger {
    /// Records sums of an instance's process; `total` is the number of its requests in all, of which
    /// `counts` may be a part, and `closed` says that no more are expected. Returns whether all of
    /// them are known.
    pub fn note(
        &mut self,
        window: u64,
        process: (u64, u64),
        counts: &UsageCounts,
        total: u64,
        closed: bool,
    ) -> bool {
        let reported = self.windows.entry(window).or_default().entry(process).or_default();
        for (customer, count) in counts {
            let known = reported.counts.entry(customer.clone()).or_default();
            *known = (*known).max(*count);
        }
        let complete = usage_total(&reported.counts) >= total;
        reported.closed |= closed && complete;
        while self.windows.len() > MAX_WINDOWS {
            self.windows.pop_first();
        }
        complete
    }

    /// Whether each of these instances has sent all of its requests in a window.
    pub fn is_complete(&self, window: u64, instances: impl IntoIterator<Item = u64>) -> bool {
        let known = self.windows.get(&window);
        // The latest process counts: a former one closes the window when it exits.
        let closed = |instance: u64| {
            let processes = known.into_iter().flatten();
            let own = processes.filter(|((other, _), _)| *other == instance);
            own.max_by_key(|((_, born), _)| *born).is_some_and(|(_, reported)| reported.closed)
        };
        instances.into_iter().all(closed)
    }

    /// Requests of all instances in a window.
    pub fn counts(&self, window: u64) -> UsageCounts {
        let mut sums = UsageCounts::new();
        for reported in self.windows.get(&window).into_iter().flat_map(HashMap::values) {
            for (customer, count) in &reported.counts {
                let sum = sums.entry(customer.clone()).or_default();
                *sum = sum.saturating_add(*count);
            }
        }
        sums
    }

    /// Forgets the windows up to the given one.
    pub fn settle(&mut self, window: u64) {
        self.windows.retain(|known, _| *known > window);
    }
}
