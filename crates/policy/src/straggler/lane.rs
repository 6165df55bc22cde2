//! Running requests of one size class, in the order of their start.

use std::collections::{BTreeMap, VecDeque};

use crate::keys::RequestKey;

/// Earlier requests looked at when a later one gets ahead.
const MAX_BEHIND: usize = 64;

/// Recent times kept for the quantile.
const MAX_TIMES: usize = 128;

/// Least number of recent times from which a quantile is taken.
const MIN_TIMES: usize = 16;

/// How far a request has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Milestone {
    /// Its first token has arrived.
    First,
    /// It is done.
    Done,
}

/// One running request.
#[derive(Clone, Copy, Debug)]
struct Runner {
    request: RequestKey,
    answered: bool,
    /// Later requests that reached the next milestone before it.
    passed: u32,
}

/// Running requests of one size class, in the order of their start.
#[derive(Debug, Default)]
pub(crate) struct Lane {
    runners: BTreeMap<u64, Runner>,
    next: u64,
    times: VecDeque<f64>,
}

impl Lane {
    /// Adds a request that starts now and returns its place.
    pub(crate) fn start(&mut self, request: RequestKey) -> u64 {
        self.next += 1;
        self.runners.insert(self.next, Runner { request, answered: false, passed: 0 });
        self.next
    }

    /// Removes a request.
    pub(crate) fn remove(&mut self, place: u64) {
        self.runners.remove(&place);
    }

    /// Notes that the request at `place` reached a milestone, and counts it for all earlier ones
    /// that have not; appends those that more than `limit` later ones have passed.
    pub(crate) fn pass(
        &mut self,
        place: u64,
        milestone: Milestone,
        limit: u32,
        behind: &mut Vec<RequestKey>,
    ) {
        for runner in self.runners.range_mut(..place).map(|(_, r)| r).take(MAX_BEHIND) {
            if milestone == Milestone::First && runner.answered {
                continue;
            }
            runner.passed += 1;
            if runner.passed > limit {
                behind.push(runner.request);
            }
        }
        if let Some(runner) = self.runners.get_mut(&place) {
            runner.answered = true;
            runner.passed = 0;
        }
    }

    /// Adds the ratio of a request's real to its expected time.
    pub(crate) fn note_time(&mut self, ratio: f64) {
        if self.times.len() == MAX_TIMES {
            self.times.pop_front();
        }
        self.times.push_back(ratio);
    }

    /// A quantile of the recent ratios, if there are enough.
    pub(crate) fn quantile(&self, quantile: f64) -> Option<f64> {
        if self.times.len() < MIN_TIMES {
            return None;
        }
        let mut sorted: Vec<f64> = self.times.iter().copied().collect();
        let index = (quantile.clamp(0.0, 1.0) * (sorted.len() - 1) as f64).round() as usize;
        let index = index.min(sorted.len() - 1);
        Some(*sorted.select_nth_unstable_by(index, f64::total_cmp).1)
    }

    /// Requests in the order of their start.
    pub(crate) fn requests(&self) -> impl Iterator<Item = RequestKey> + '_ {
        self.runners.values().map(|runner| runner.request)
    }
}
