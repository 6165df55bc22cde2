//! Request counts by outcome.

use std::ops::{Add, AddAssign, Mul};

use agatestair_schema::slo::SloCounts;
use serde::Serialize;

/// Why a request missed its objective.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// Answered completely but after a target time.
    Late,
    /// Refused because of insufficient capacity or time.
    Refused,
    /// The response was truncated.
    Cut,
    /// The platform's store was unavailable or slow.
    Store,
    /// An endpoint failed or was unreachable.
    Engine,
}

/// All reasons in display order.
pub const REASONS: [Reason; 5] =
    [Reason::Late, Reason::Refused, Reason::Cut, Reason::Store, Reason::Engine];

impl Reason {
    /// Name of the reason.
    pub fn name(self) -> &'static str {
        match self {
            Self::Late => "late",
            Self::Refused => "refused",
            Self::Cut => "cut",
            Self::Store => "store",
            Self::Engine => "engine",
        }
    }

    /// Explanation of the reason in reports.
    pub fn meaning(self) -> &'static str {
        match self {
            Self::Late => "answered completely but after a target time",
            Self::Refused => "refused because of insufficient capacity or time",
            Self::Cut => "the response was truncated",
            Self::Store => "the platform's store was unavailable or slow",
            Self::Engine => "an endpoint failed or was unreachable",
        }
    }
}

/// Request counts by outcome; fractional where a window cuts a sampling interval.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Tally {
    /// Requests answered completely and within the targets.
    pub good: f64,
    /// Misses in the order of [`REASONS`].
    pub missed: [f64; REASONS.len()],
}

impl Tally {
    /// Number of requests.
    pub fn total(&self) -> f64 {
        self.good + self.misses()
    }

    /// Number of requests that missed the objective.
    pub fn misses(&self) -> f64 {
        self.missed.iter().sum()
    }

    /// Share of requests that missed the objective; 0 without requests.
    pub fn miss_share(&self) -> f64 {
        if self.total() > 0.0 { self.misses() / self.total() } else { 0.0 }
    }

    /// Number of misses for one reason.
    pub fn missed_for(&self, reason: Reason) -> f64 {
        self.missed[reason as usize]
    }

    /// Most frequent reason for misses; `None` without misses.
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
        for (count, added) in self.missed.iter_mut().zip(other.missed) {
            *count += added;
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
