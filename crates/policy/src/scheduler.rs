//! The decisions of one entry.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use agatestair_schema::link::{
    CacheBatch, EndpointKind, EndpointState, EndpointView, FleetView, Observation, PlanDemand,
    ShareGrant,
};
use agatestair_schema::lists::Lists;
use agatestair_schema::settings::PolicyName;
use slotmap::SlotMap;

use crate::action::{Action, AttemptEnd, Purpose, Refusal, RefusalCode};
use crate::keys::{AttemptKey, EndpointKey, RequestKey};
use crate::moment::Moment;
use crate::request::{RequestFacts, Work};

/// Settings of a [`Scheduler`].
#[derive(Clone, Debug)]
pub struct SchedulerSettings {
    /// Placement policy.
    pub policy: PolicyName,
    /// Seed of random choices.
    pub seed: u64,
    /// Attempts of one request in all.
    pub max_attempts: u32,
    /// When callers should come back after a refusal for load.
    pub retry_after: Duration,
}

impl Default for SchedulerSettings {
    fn default() -> Self {
        Self {
            policy: PolicyName::Own,
            seed: 1,
            max_attempts: 3,
            retry_after: Duration::from_secs(1),
        }
    }
}

struct Endpoint {
    view: EndpointView,
    open: u32,
}

struct Request {
    facts: RequestFacts,
    priority: u32,
    attempts: u32,
    live: Vec<AttemptKey>,
    waiting: bool,
}

struct Attempt {
    request: RequestKey,
    endpoint: EndpointKey,
}

/// The decisions of one entry: which request goes next, and where.
pub struct Scheduler {
    settings: SchedulerSettings,
    lists: Option<Arc<Lists>>,
    endpoints: SlotMap<EndpointKey, Endpoint>,
    names: BTreeMap<String, EndpointKey>,
    requests: SlotMap<RequestKey, Request>,
    attempts: SlotMap<AttemptKey, Attempt>,
    queue: Vec<RequestKey>,
    turn: usize,
}

impl Scheduler {
    /// Creates a scheduler that knows no lists and no endpoints.
    pub fn new(settings: SchedulerSettings) -> Self {
        Self {
            settings,
            lists: None,
            endpoints: SlotMap::with_key(),
            names: BTreeMap::new(),
            requests: SlotMap::with_key(),
            attempts: SlotMap::with_key(),
            queue: Vec::new(),
            turn: 0,
        }
    }

    /// Takes over the two lists.
    pub fn set_lists(&mut self, lists: Arc<Lists>) {
        self.lists = Some(lists);
    }

    /// Takes over this entry's shares of the plans' allowances.
    pub fn set_shares(&mut self, _now: Moment, _grant: &ShareGrant) {}

    /// Takes over the endpoints and their lagging load figures.
    pub fn set_fleet(&mut self, _now: Moment, fleet: &FleetView) {
        for view in &fleet.endpoints {
            match self.names.get(&view.name) {
                Some(key) => self.endpoints[*key].view = view.clone(),
                None => {
                    let key = self.endpoints.insert(Endpoint { view: view.clone(), open: 0 });
                    self.names.insert(view.name.clone(), key);
                }
            }
        }
        for endpoint in self.endpoints.values_mut() {
            if !fleet.endpoints.iter().any(|view| view.name == endpoint.view.name) {
                endpoint.view.state = EndpointState::Gone;
            }
        }
    }

    /// Takes over changes of the engines' prefix caches.
    pub fn apply_cache(&mut self, _batch: &CacheBatch) {}

    /// Admits a request.
    ///
    /// # Errors
    ///
    /// A [`Refusal`]; nothing was sent for the request.
    pub fn submit(&mut self, _now: Moment, facts: RequestFacts) -> Result<RequestKey, Refusal> {
        let priority = self.check_allowed(&facts)?;
        let request = Request { facts, priority, attempts: 0, live: Vec::new(), waiting: true };
        let key = self.requests.insert(request);
        self.queue.push(key);
        Ok(key)
    }

    /// Decides what to do now and appends it to `actions`.
    pub fn poll(&mut self, now: Moment, actions: &mut Vec<Action>) {
        let requests = &self.requests;
        self.queue.sort_by_key(|key| std::cmp::Reverse(requests[*key].priority));
        let queue = std::mem::take(&mut self.queue);
        for key in queue {
            if self.requests[key].facts.deadline <= now {
                self.refuse(key, RefusalCode::TooLate, actions);
            } else if !self.start(key, actions) {
                self.queue.push(key);
            }
        }
    }

    /// When [`Self::poll`] should be called at the latest, if nothing else happens.
    pub fn next_wake(&self, now: Moment) -> Option<Moment> {
        (!self.requests.is_empty()).then(|| now + Duration::from_millis(20))
    }

    /// Notes that `tokens` output tokens arrived for an attempt.
    pub fn note_piece(&mut self, _now: Moment, _attempt: AttemptKey, _tokens: u32) {}

    /// Notes that a KV cache computed by a [`Purpose::Prefill`] attempt can be imported.
    pub fn note_prefilled(&mut self, _now: Moment, _attempt: AttemptKey) {}

    /// Notes the end of an attempt; the request ends with [`AttemptEnd::Done`].
    pub fn note_end(&mut self, _now: Moment, attempt: AttemptKey, end: AttemptEnd) {
        let Some(ended) = self.attempts.remove(attempt) else {
            return;
        };
        if let Some(endpoint) = self.endpoints.get_mut(ended.endpoint) {
            endpoint.open = endpoint.open.saturating_sub(1);
        }
        let Some(request) = self.requests.get_mut(ended.request) else {
            return;
        };
        request.live.retain(|live| *live != attempt);
        match end {
            AttemptEnd::Done => {
                self.requests.remove(ended.request);
            }
            AttemptEnd::NotRun | AttemptEnd::Failed | AttemptEnd::Cancelled => {
                if request.live.is_empty() && !request.waiting {
                    request.waiting = true;
                    self.queue.push(ended.request);
                }
            }
        }
    }

    /// Forgets a request whose caller has gone, and cancels its attempts.
    pub fn withdraw(&mut self, request: RequestKey, actions: &mut Vec<Action>) {
        if let Some(removed) = self.requests.remove(request) {
            self.queue.retain(|key| *key != request);
            actions.extend(removed.live.iter().map(|key| Action::Cancel { attempt: *key }));
        }
    }

    /// Demand and draw of each plan since the last call, for [`crate::ShareAllocator`].
    pub fn take_demand(&mut self, _now: Moment) -> Vec<PlanDemand> {
        Vec::new()
    }

    /// What was seen of each endpoint since the last call, for the load collector.
    pub fn take_observations(&mut self, _now: Moment) -> Vec<Observation> {
        Vec::new()
    }

    fn check_allowed(&self, facts: &RequestFacts) -> Result<u32, Refusal> {
        let refusal = Refusal { code: RefusalCode::NotAllowed, retry_after: None };
        let lists = self.lists.as_ref().ok_or(refusal)?;
        let plan = lists.plans.plans.iter().find(|plan| *plan.name == *facts.plan);
        let plan = plan.ok_or(refusal)?;
        let allowance = lists.allowances.allowances.iter().find(|a| *a.plan == *facts.plan);
        let allowance = allowance.ok_or(refusal)?;
        let service = allowance.services.iter().any(|name| **name == *facts.service);
        let model = match facts.work {
            Work::Call(_) => true,
            Work::Completion(_) => allowance.models.iter().any(|name| **name == *facts.model),
        };
        if service && model { Ok(plan.priority) } else { Err(refusal) }
    }

    fn start(&mut self, key: RequestKey, actions: &mut Vec<Action>) -> bool {
        let request = &self.requests[key];
        let retry = request.attempts > 0;
        if request.attempts >= self.settings.max_attempts {
            self.refuse(key, RefusalCode::Failed, actions);
            return true;
        }
        let Some(endpoint) = self.choose(&request.facts.clone()) else {
            return false;
        };
        let attempt = self.attempts.insert(Attempt { request: key, endpoint });
        self.endpoints[endpoint].open += 1;
        let request = &mut self.requests[key];
        request.attempts += 1;
        request.waiting = false;
        request.live.push(attempt);
        let view = &self.endpoints[endpoint].view;
        actions.push(Action::Start {
            request: key,
            attempt,
            endpoint,
            name: view.name.as_str().into(),
            address: view.address.as_str().into(),
            purpose: if retry { Purpose::Retry } else { Purpose::First },
        });
        true
    }

    fn choose(&mut self, facts: &RequestFacts) -> Option<EndpointKey> {
        let mut fit: Vec<(EndpointKey, &Endpoint)> =
            self.endpoints.iter().filter(|(_, endpoint)| fits(&endpoint.view, facts)).collect();
        fit.sort_by(|a, b| a.1.view.name.cmp(&b.1.view.name));
        if fit.is_empty() {
            return None;
        }
        self.turn += 1;
        match self.settings.policy {
            PolicyName::RoundRobin => Some(fit[self.turn % fit.len()].0),
            PolicyName::LeastReported => {
                fit.iter().min_by_key(|(_, e)| e.view.active + e.view.queued).map(|(key, _)| *key)
            }
            PolicyName::Own => {
                fit.iter().min_by_key(|(_, e)| e.open + e.view.queued).map(|(key, _)| *key)
            }
        }
    }

    fn refuse(&mut self, request: RequestKey, code: RefusalCode, actions: &mut Vec<Action>) {
        self.requests.remove(request);
        let refusal = Refusal { code, retry_after: Some(self.settings.retry_after) };
        actions.push(Action::Refuse { request, refusal });
    }
}

fn fits(view: &EndpointView, facts: &RequestFacts) -> bool {
    let kind = match facts.work {
        Work::Call(_) => EndpointKind::Service,
        Work::Completion(_) => EndpointKind::Engine,
    };
    let model = view.models.iter().any(|name| **name == *facts.model);
    view.kind == kind
        && view.state == EndpointState::Serving
        && *view.service == *facts.service
        && (kind == EndpointKind::Service || model)
}
