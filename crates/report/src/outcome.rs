//! Request outcomes and their counts.

use std::ops::{Add, AddAssign, Mul};

use agatestair_schema::slo::SloCounts;
use serde::Serialize;

/// Why a request missed its objective.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// Answered completely but outside a target.
    Late,
    /// Refused because of insufficient capacity or time.
    Refused,
    /// The response was truncated.
    Cut,
    /// The platform's store was down or slow.
    Store,
    /// An endpoint failed or could not be reached.
    Engine,
}

/// All reasons, in display order.
pub const REASONS: [Reason; 5] =
    [Reason::Late, Reason::Refused, Reason::Cut, Reason::Store, Reason::Engine];

impl Reason {
    /// Display name.
    pub fn name(self) -> &'static str {
        match self {
            Self::Late => "late",
            Self::Refused => "refused",
            Self::Cut => "cut",
            Self::Store => "store",
            Self::Engine => "engine",
        }
    }

    /// Explanation for operators.
    pub fn meaning(self) -> &'static str {
        match self {
            Self::Late => "answered completely, but outside the target",
            Self::Refused => "refused because of insufficient capacity or time",
            Self::Cut => "the response was truncated",
            Self::Store => "the platform's store was down or slow",
            Self::Engine => "an endpoint failed or could not be reached",
        }
    }
}

/// Request counts by outcome.
///
/// Counts are fractional if a window boundary falls within a sampling interval.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Tally {
    /// Requests answered completely and within the targets.
    pub good: f64,
    /// Misses by reason, in the order of [`REASONS`].
    pub missed: [f64; REASONS.len()],
}

impl Tally {
    /// Total number of requests.
    pub fn total(&self) -> f64 {
        self.good + self.misses()
    }

    /// Requests that missed the objective.
    pub fn misses(&self) -> f64 {
        self.missed.iter().sum()
    }

    /// Share of requests that missed the objective; 0 without requests.
    pub fn miss_share(&self) -> f64 {
        if self.total() > 0.0 { self.misses() / self.total() } else { 0.0 }
    }

    /// Misses for one reason.
    pub fn missed_for(&self, reason: Reason) -> f64 {
        self.missed[reason as usize]
    }

    /// Most frequent reason for misses, the first in [`REASONS`] on a tie; `None` without misses.
    pub fn main_reason(&self) -> Option<Reason> {
        let most = REASONS.into_iter().max_by(|a, b| {
            self.missed_for(*a).total_cmp(&self.missed_for(*b)).then_with(|| b.cmp(a))
        });
        most.filter(|reason| self.missed_for(*reason) > 0.0)
    }
}

impl Add for Tally {
    type Output = Self;

    fn add(mut self, other: Self) -> Self {
        self += other;
        self
    }
}

impl AddAssign for Tally {
    fn add_assign(&mut self, other: Self) {
        self.good += other.good;
        for (mine, theirs) in self.missed.iter_mut().zip(other.missed) {
            *mine += theirs;
        }
    }
}

impl Mul<f64> for Tally {
    type Output = Self;

    fn mul(self, factor: f64) -> Self {
        Self { good: self.good * factor, missed: self.missed.map(|count| count * factor) }
    }
}

impl From<&SloCounts> for Tally {
    #[allow(clippy::cast_precision_loss)]
    fn from(counts: &SloCounts) -> Self {
        let missed = [counts.late, counts.refused, counts.cut, counts.store, counts.engine];
        Self { good: counts.good as f64, missed: missed.map(|count| count as f64) }
    }
}
