//! Read-only view of the deployment, shared with the threads that serve callers.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use agatestair_schema::caller::RunState;
use agatestair_schema::link::{EndpointKind, EntryRecord, FleetView};
use agatestair_schema::lists::{Allowance, Lists, Plan, ServiceRule, StoreRule};

use crate::customers::Customers;
use crate::refusal::{RefusalKind, Refused};

/// Deadline of calls to a service that has no rule.
const CALL_DEADLINE: Duration = Duration::from_secs(10);
/// Latency target of calls to a service that has no rule.
const CALL_TARGET: Duration = Duration::from_millis(500);

/// One revision of the lists, indexed.
pub struct ListsView {
    /// The lists.
    pub lists: Arc<Lists>,
    /// Customers by API key.
    pub customers: Customers,
}

impl ListsView {
    /// Plan by name.
    pub fn plan(&self, name: &str) -> Option<&Plan> {
        self.lists.plans.plans.iter().find(|plan| plan.name == name)
    }

    /// Allowance of a plan.
    pub fn allowance(&self, plan: &str) -> Option<&Allowance> {
        self.lists.allowances.allowances.iter().find(|allowance| allowance.plan == plan)
    }

    /// Rule of a service.
    pub fn rule(&self, service: &str) -> Option<&ServiceRule> {
        self.lists.allowances.services.iter().find(|rule| rule.service == service)
    }

    /// Deadline of calls to a service.
    pub fn call_deadline(&self, service: &str) -> Duration {
        self.rule(service).map_or(CALL_DEADLINE, |rule| Duration::from_millis(rule.deadline_ms))
    }

    /// Latency target of calls to a service.
    pub fn call_target(&self, service: &str) -> Duration {
        self.rule(service).map_or(CALL_TARGET, |rule| Duration::from_millis(rule.target_ms))
    }

    /// How calls with an idempotency key are handled while the store is down.
    pub fn store_rule(&self, service: &str) -> StoreRule {
        self.rule(service).map_or(StoreRule::Refuse, |rule| rule.store_down)
    }
}

/// Services and models of the fleet.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct FleetIndex {
    /// Services whose engines serve a model, by model.
    pub models: BTreeMap<Arc<str>, BTreeSet<Arc<str>>>,
    /// Addresses of the endpoints of each plain service.
    pub services: BTreeMap<Arc<str>, Vec<Arc<str>>>,
}

impl From<&FleetView> for FleetIndex {
    fn from(fleet: &FleetView) -> Self {
        let mut index = Self::default();
        for endpoint in &fleet.endpoints {
            let service: Arc<str> = endpoint.service.as_str().into();
            match endpoint.kind {
                EndpointKind::Engine => {
                    for model in &endpoint.models {
                        let services = index.models.entry(model.as_str().into()).or_default();
                        services.insert(service.clone());
                    }
                }
                EndpointKind::Service => {
                    let addresses = index.services.entry(service).or_default();
                    addresses.push(endpoint.address.as_str().into());
                }
            }
        }
        index
    }
}

/// State that the entry's actor publishes to the threads that serve callers.
#[derive(Clone, Default)]
pub struct View {
    /// Current lists.
    pub lists: Option<Arc<ListsView>>,
    /// Services and models, once the fleet is known.
    pub fleet: Option<Arc<FleetIndex>>,
    /// Other entries to announce to callers.
    pub directory: Arc<[EntryRecord]>,
    /// Whether the control process confirmed recently that the lists are current.
    pub fresh: bool,
    /// Whether the entry is shutting down and no longer announced to callers.
    pub leaving: bool,
    /// Whether the entry has stopped accepting requests.
    pub closed: bool,
}

impl View {
    /// The current lists, if the entry may accept requests now.
    ///
    /// # Errors
    ///
    /// A refusal in state [`RunState::NotRun`].
    pub fn admit(&self) -> Result<&Arc<ListsView>, Refused> {
        if self.closed {
            return Err(Refused::not_run(RefusalKind::Leaving));
        }
        match (&self.lists, &self.fleet) {
            (Some(lists), Some(_)) if self.fresh => Ok(lists),
            (Some(_), Some(_)) => Err(Refused::not_run(RefusalKind::Stale)),
            _ => Err(Refused::not_run(RefusalKind::NotReady)),
        }
    }

    /// Whether this entry may be announced to callers.
    pub fn ready(&self) -> bool {
        !self.leaving && self.admit().is_ok()
    }

    /// Service that serves `model`; prefers the services that the plan is `allowed` to use.
    pub fn service_of(&self, model: &str, allowed: &[String]) -> Option<Arc<str>> {
        let services = self.fleet.as_ref()?.models.get(model)?;
        let usable =
            services.iter().find(|service| allowed.iter().any(|name| **name == ***service));
        usable.or_else(|| services.first()).cloned()
    }
}

/// Run state of a request whose idempotency record was not read. With a key it is unknown, because
/// an earlier call with the same key may have run.
pub fn state_without_record(keyed: bool) -> RunState {
    if keyed { RunState::Unknown } else { RunState::NotRun }
}
