//! Budgets of extra work.

use crate::settings::BudgetSettings;

/// A budget of extra work that ordinary work earns.
///
/// What is spent in all never exceeds the burst plus the ratio times the ordinary work.
#[derive(Clone, Debug)]
pub struct Budget {
    settings: BudgetSettings,
    left: f64,
}

impl Budget {
    /// Creates a full budget.
    pub fn new(settings: BudgetSettings) -> Self {
        let left = settings.burst;
        Self { settings, left }
    }

    /// Earns from `work` units of ordinary work.
    pub fn earn(&mut self, work: f64) {
        self.refund(work.max(0.0) * self.settings.ratio);
    }

    /// Takes `work` units; takes nothing and returns `false` if fewer are left.
    pub fn spend(&mut self, work: f64) -> bool {
        let enough = work <= self.left;
        if enough {
            self.left -= work.max(0.0);
        }
        enough
    }

    /// Gives back units that were taken and not used.
    pub fn refund(&mut self, work: f64) {
        self.left = (self.left + work.max(0.0)).min(self.settings.burst);
    }

    /// Units left.
    pub fn left(&self) -> f64 {
        self.left
    }
}
