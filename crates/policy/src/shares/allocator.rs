//! Division of each plan's allowance among the entries.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use agatestair_schema::link::{DemandReport, PlanShare, ShareGrant};

use crate::moment::Moment;

/// Settings of a [`ShareAllocator`].
#[derive(Clone, Debug)]
pub struct ShareSettings {
    /// Fraction of the allowance that is divided evenly regardless of demand, between 0 and 1.
    pub even_fraction: f64,
    /// Time after its last report at which an entry counts as silent.
    pub silent_after: Duration,
    /// Time after its last report during which a silent entry may still use its last grant.
    pub grant_lifetime: Duration,
}

impl Default for ShareSettings {
    fn default() -> Self {
        Self {
            even_fraction: 0.1,
            silent_after: Duration::from_millis(1500),
            grant_lifetime: Duration::from_millis(3500),
        }
    }
}

#[derive(Debug, Default)]
struct Entry {
    reported: Option<Moment>,
    demand: BTreeMap<Arc<str>, f64>,
    granted: BTreeMap<Arc<str>, f64>,
}

/// Divides each plan's allowance among the entries by their demand.
///
/// The shares of one plan add up to at most 1 over all entries that the platform lists, even
/// during a partition: an entry without a new grant falls back to an even share when its last
/// grant expires, and the allocator reserves that share for it. Two allocators with reports from
/// disjoint sets of entries therefore grant no more than 1 in total.
#[derive(Debug)]
pub struct ShareAllocator {
    settings: ShareSettings,
    entries: BTreeMap<Arc<str>, Entry>,
    engines: u32,
}

impl ShareAllocator {
    /// Creates an allocator without entries.
    pub fn new(settings: ShareSettings) -> Self {
        Self { settings, entries: BTreeMap::new(), engines: 0 }
    }

    /// Sets the entries that the platform lists as live or leaving; all others are removed.
    pub fn set_entries<S: AsRef<str>>(&mut self, names: &[S]) {
        self.entries.retain(|known, _| names.iter().any(|name| name.as_ref() == &**known));
        for name in names {
            if !self.entries.contains_key(name.as_ref()) {
                self.entries.insert(name.as_ref().into(), Entry::default());
            }
        }
    }

    /// Sets the total number of serving engines, which is part of each grant.
    pub fn set_engines(&mut self, engines: u32) {
        self.engines = engines;
    }

    /// Records the demand of one entry; reports of entries that are not listed are ignored.
    pub fn note_demand(&mut self, now: Moment, report: &DemandReport) {
        let Some(entry) = self.entries.get_mut(report.instance.as_str()) else {
            return;
        };
        entry.reported = Some(now);
        entry.demand = report
            .plans
            .iter()
            .map(|plan| {
                let asked = plan.prefill_demand.max(0.0) + plan.decode_demand.max(0.0);
                (plan.plan.as_str().into(), asked)
            })
            .collect();
    }

    /// Divides all plans' allowances; the result contains one grant for each reporting entry.
    pub fn allocate(&mut self, now: Moment) -> BTreeMap<Arc<str>, ShareGrant> {
        let reporting: Vec<Arc<str>> = self.reporting(now);
        let listed = u32::try_from(self.entries.len()).unwrap_or(u32::MAX);
        let mut grants: BTreeMap<Arc<str>, ShareGrant> = reporting
            .iter()
            .map(|name| {
                let plans = Vec::new();
                (name.clone(), ShareGrant { entries: listed, engines: self.engines, plans })
            })
            .collect();
        for plan in self.plans() {
            let total = reporting.iter().map(|name| self.demand(name, &plan)).sum();
            let shares = self.divide(now, &reporting, &plan, total);
            for (name, share) in reporting.iter().zip(shares) {
                let Some(grant) = grants.get_mut(name) else { continue };
                grant.plans.push(PlanShare { plan: plan.to_string(), share, demand_total: total });
                if let Some(entry) = self.entries.get_mut(name) {
                    entry.granted.insert(plan.clone(), share);
                }
            }
        }
        grants
    }

    fn reporting(&self, now: Moment) -> Vec<Arc<str>> {
        let fresh = |entry: &Entry| {
            entry.reported.is_some_and(|at| now.since(at) < self.settings.silent_after)
        };
        self.entries.iter().filter(|(_, e)| fresh(e)).map(|(name, _)| name.clone()).collect()
    }

    fn plans(&self) -> Vec<Arc<str>> {
        let mut plans: Vec<Arc<str>> =
            self.entries.values().flat_map(|entry| entry.demand.keys().cloned()).collect();
        plans.sort_unstable();
        plans.dedup();
        plans
    }

    fn demand(&self, name: &str, plan: &str) -> f64 {
        self.entries.get(name).and_then(|e| e.demand.get(plan)).copied().unwrap_or(0.0)
    }

    fn divide(&self, now: Moment, reporting: &[Arc<str>], plan: &str, total: f64) -> Vec<f64> {
        let pool = (1.0 - self.reserved(now, reporting, plan)).max(0.0);
        let count = reporting.len() as f64;
        let even = if total > 0.0 { self.settings.even_fraction } else { 1.0 };
        reporting
            .iter()
            .map(|name| {
                let weight =
                    if total > 0.0 { self.demand(name, plan) / total } else { 1.0 / count };
                pool * (even / count + (1.0 - even) * weight)
            })
            .collect()
    }

    /// The fraction of a plan's allowance that silent entries may use.
    fn reserved(&self, now: Moment, reporting: &[Arc<str>], plan: &str) -> f64 {
        let fallback = 1.0 / self.entries.len().max(1) as f64;
        let silent = self.entries.iter().filter(|(name, _)| !reporting.contains(name));
        silent
            .map(|(_, entry)| {
                let last = entry.granted.get(plan).copied().unwrap_or(fallback);
                let lapsed =
                    entry.reported.is_none_or(|at| now.since(at) >= self.settings.grant_lifetime);
                if lapsed { fallback } else { last.max(fallback) }
            })
            .sum()
    }
}
