//! Cohort of running requests of one size class, in order of start.

use std::collections::{BTreeMap, VecDeque};

use crate::keys::RequestKey;

/// Greatest number of earlier requests that are examined when a later one reaches a milestone.
const MAX_SCANNED: usize = 64;

/// Greatest number of recent times kept for the quantile.
const MAX_TIMES: usize = 128;

/// Least number of recent times from which a quantile is computed.
const MIN_TIMES: usize = 16;

/// A milestone in the progress of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Milestone {
    /// Its first token has arrived.
    First,
    /// It is complete.
    Done,
}

/// One running request.
#[derive(Clone, Copy, Debug)]
struct Member {
    request: RequestKey,
    answered: bool,
    /// Number of later requests that reached the next milestone before it.
    overtaken: u32,
}

/// Running requests of one size class, in order of start.
#[derive(Debug, Default)]
pub(crate) struct Cohort {
    members: BTreeMap<u64, Member>,
    next: u64,
    times: VecDeque<f64>,
}

impl Cohort {
    /// Adds a request that starts now, and returns its position.
    pub(crate) fn start(&mut self, request: RequestKey) -> u64 {
        self.next += 1;
        self.members.insert(self.next, Member { request, answered: false, overtaken: 0 });
        self.next
    }

    /// Removes a request.
    pub(crate) fn remove(&mut self, position: u64) {
        self.members.remove(&position);
    }

    /// Records that the request at `position` reached a milestone, and that it thereby overtook the
    /// earlier ones that have not. Appends those that more than `limit` later ones have overtaken
    /// to `stragglers`.
    pub(crate) fn advance(
        &mut self,
        position: u64,
        milestone: Milestone,
        limit: u32,
        stragglers: &mut Vec<RequestKey>,
    ) {
        for member in self.members.range_mut(..position).map(|(_, r)| r).take(MAX_SCANNED) {
            if milestone == Milestone::First && member.answered {
                continue;
            }
            member.overtaken += 1;
            if member.overtaken > limit {
                stragglers.push(member.request);
            }
        }
        if let Some(member) = self.members.get_mut(&position) {
            member.answered = true;
            member.overtaken = 0;
        }
    }

    /// Adds the ratio of a request's real to its expected time.
    pub(crate) fn note_time(&mut self, ratio: f64) {
        if self.times.len() == MAX_TIMES {
            self.times.pop_front();
        }
        self.times.push_back(ratio);
    }

    /// A quantile (between 0 and 1) of the recent ratios, if there are enough.
    pub(crate) fn quantile(&self, quantile: f64) -> Option<f64> {
        if self.times.len() < MIN_TIMES {
            return None;
        }
        let mut sorted: Vec<f64> = self.times.iter().copied().collect();
        let index = (quantile.clamp(0.0, 1.0) * (sorted.len() - 1) as f64).round() as usize;
        let index = index.min(sorted.len() - 1);
        Some(*sorted.select_nth_unstable_by(index, f64::total_cmp).1)
    }

    /// Running requests in order of start.
    pub(crate) fn requests(&self) -> impl Iterator<Item = RequestKey> + '_ {
        self.members.values().map(|member| member.request)
    }
}
