//! Budgets of extra work, such as retries and hedged attempts.

use crate::settings::BudgetSettings;

/// A budget of extra work, earned in proportion to ordinary work.
///
/// The total spent never exceeds the burst plus the ratio times the ordinary work.
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

    /// Adds what `work` units of ordinary work earn.
    pub fn earn(&mut self, work: f64) {
        self.refund(work.max(0.0) * self.settings.ratio);
    }

    /// Spends `work` units; spends nothing and returns `false` if fewer are left.
    pub fn spend(&mut self, work: f64) -> bool {
        let enough = work <= self.left;
        if enough {
            self.left -= work.max(0.0);
        }
        enough
    }

    /// Returns units that were spent and not used.
    pub fn refund(&mut self, work: f64) {
        self.left = (self.left + work.max(0.0)).min(self.settings.burst);
    }
}
