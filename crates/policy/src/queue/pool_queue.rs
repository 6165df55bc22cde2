//! Queue of one pool's waiting requests.

use crate::queue::PlanQueue;

/// Requests that wait for one pool, with one queue per plan.
#[derive(Debug, Default)]
pub(crate) struct PoolQueue {
    plans: Vec<PlanQueue>,
    count: u32,
}

impl PoolQueue {
    /// The queue of a plan.
    pub(crate) fn plan(&mut self, plan: usize) -> &mut PlanQueue {
        if self.plans.len() <= plan {
            self.plans.resize_with(plan + 1, PlanQueue::default);
        }
        &mut self.plans[plan]
    }

    /// The queue of a plan, if one was ever used.
    pub(crate) fn peek(&self, plan: usize) -> Option<&PlanQueue> {
        self.plans.get(plan)
    }

    /// Number of waiting requests of all plans.
    pub(crate) fn count(&self) -> u32 {
        self.count
    }

    /// Counts one more request as waiting.
    pub(crate) fn increment(&mut self) {
        self.count += 1;
    }

    /// Counts one request less as waiting.
    pub(crate) fn decrement(&mut self) {
        self.count = self.count.saturating_sub(1);
    }
}
