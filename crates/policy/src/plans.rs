//! Plans with their permissions and accounts.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use agatestair_schema::link::ShareGrant;
use agatestair_schema::lists::{Allowance, Lists, Plan};

use crate::demand::DemandMeter;
use crate::moment::Moment;
use crate::request::{RequestFacts, Work};
use crate::shares::Account;

/// One plan with its allowance.
#[derive(Debug)]
pub(crate) struct PlanState {
    pub(crate) name: Arc<str>,
    /// Whether the current lists contain it.
    present: bool,
    pub(crate) priority: u32,
    /// Target time to the first token.
    pub(crate) first: Duration,
    pub(crate) max_queue: u32,
    /// Fraction of the fleet that it is guaranteed under contention.
    pub(crate) fleet_share: f64,
    pub(crate) borrow: bool,
    services: Vec<String>,
    models: Vec<String>,
    pub(crate) account: Account,
    pub(crate) demand: DemandMeter,
}

impl PlanState {
    fn new(name: &str) -> Self {
        Self {
            name: name.into(),
            present: false,
            priority: 0,
            first: Duration::ZERO,
            max_queue: 0,
            fleet_share: 0.0,
            borrow: false,
            services: Vec::new(),
            models: Vec::new(),
            account: Account::default(),
            demand: DemandMeter::default(),
        }
    }

    fn update(&mut self, plan: &Plan, allowance: &Allowance) {
        self.present = true;
        self.priority = plan.priority;
        self.first = Duration::from_millis(plan.first_ms);
        self.max_queue = allowance.max_queue;
        self.fleet_share = allowance.fleet_share.clamp(0.0, 1.0);
        self.borrow = allowance.borrow;
        self.services.clone_from(&allowance.services);
        self.models.clone_from(&allowance.models);
    }

    /// Whether the plan permits a request.
    pub(crate) fn allows(&self, facts: &RequestFacts) -> bool {
        let model = match facts.work {
            Work::Call(_) => true,
            Work::Completion(_) => self.models.iter().any(|name| **name == *facts.model),
        };
        self.present && model && self.services.iter().any(|name| **name == *facts.service)
    }
}

/// All plans that the lists or grants ever contained, at stable indices.
#[derive(Debug, Default)]
pub(crate) struct PlanTable {
    plans: Vec<PlanState>,
    names: HashMap<Arc<str>, usize>,
    order: Vec<usize>,
    /// Numbers of entries and engines in the last grant.
    entries: u32,
    engines: u32,
    fraction: f64,
}

impl PlanTable {
    /// Sets the lists of plans and allowances.
    pub(crate) fn set_lists(&mut self, lists: &Lists) {
        self.plans.iter_mut().for_each(|plan| plan.present = false);
        for plan in &lists.plans.plans {
            let allowance = lists.allowances.allowances.iter().find(|a| a.plan == plan.name);
            if let Some(allowance) = allowance {
                let index = self.intern(&plan.name);
                self.plans[index].update(plan, allowance);
            }
        }
        self.order = (0..self.plans.len()).collect();
        self.order.sort_by_key(|index| Reverse(self.plans[*index].priority));
    }

    /// Sets this entry's shares.
    pub(crate) fn set_shares(&mut self, now: Moment, grant: &ShareGrant) {
        self.entries = grant.entries;
        self.engines = grant.engines;
        for share in &grant.plans {
            let index = self.intern(&share.plan);
            self.plans[index].account.grant(now, share.share);
        }
        let total: f64 = grant.plans.iter().map(|plan| plan.demand_total).sum();
        let own: f64 = grant.plans.iter().map(|plan| plan.demand_total * plan.share).sum();
        self.fraction = if total > 0.0 { own / total } else { 0.0 };
    }

    /// This entry's fraction of all entries' demand, at least an even one.
    pub(crate) fn demand_fraction(&self) -> f64 {
        self.fraction.max(self.fallback_share()).min(1.0)
    }

    /// This entry's fraction of all entries' demand; an even one if the demand is unknown.
    pub(crate) fn own_fraction(&self) -> f64 {
        if self.fraction > 0.0 { self.fraction } else { self.fallback_share() }
    }

    /// Share of each plan's allowance that this entry may use without a grant.
    pub(crate) fn fallback_share(&self) -> f64 {
        1.0 / f64::from(self.entries.max(1))
    }

    /// Number of engines of the deployment, or `local` before the first grant.
    pub(crate) fn engines(&self, local: u32) -> f64 {
        f64::from(if self.engines > 0 { self.engines } else { local })
    }

    /// Index of the plan with this name.
    pub(crate) fn find(&self, name: &str) -> Option<usize> {
        self.names.get(name).copied()
    }

    /// A plan.
    pub(crate) fn plan(&self, index: usize) -> &PlanState {
        &self.plans[index]
    }

    /// A plan.
    pub(crate) fn plan_mut(&mut self, index: usize) -> &mut PlanState {
        &mut self.plans[index]
    }

    /// All plans.
    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut PlanState> {
        self.plans.iter_mut()
    }

    /// Indices of the plans, highest priority first.
    pub(crate) fn order(&self) -> &[usize] {
        &self.order
    }

    fn intern(&mut self, name: &str) -> usize {
        if let Some(index) = self.names.get(name) {
            return *index;
        }
        let index = self.plans.len();
        self.plans.push(PlanState::new(name));
        self.names.insert(name.into(), index);
        self.order.push(index);
        index
    }
}
