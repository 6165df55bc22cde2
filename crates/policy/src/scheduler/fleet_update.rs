//! Updates from fleet views.

use std::collections::HashMap;
use std::sync::Arc;

use agatestair_schema::link::{EndpointKind, EndpointState, EndpointView, FleetView};

use crate::assign::name_hash;
use crate::fleet::{Endpoint, Pool, PoolKey};
use crate::keys::EndpointKey;
use crate::moment::Moment;
use crate::scheduler::Scheduler;

/// Assumed usual duration of a call, in seconds.
const CALL_SECS: f64 = 0.02;

/// Pools by service and model.
pub(crate) type PoolNames = HashMap<Arc<str>, HashMap<Arc<str>, PoolKey>>;

impl Scheduler {
    /// Applies a fleet view, see [`Scheduler::set_fleet`].
    pub(crate) fn update_fleet(&mut self, now: Moment, fleet: &FleetView) {
        self.fleet_views += 1;
        let fraction = self.plans.demand_fraction();
        for view in &fleet.endpoints {
            let key = self.intern_endpoint(view);
            let model = &self.settings.engine;
            let endpoint = &mut self.endpoints[key];
            endpoint.seen = self.fleet_views;
            let models_changed = endpoint.pools.is_empty() || endpoint.view.models != view.models;
            let fresh = endpoint.view.report != view.report || endpoint.view.age_ms != view.age_ms;
            endpoint.view.clone_from(view);
            if fresh || models_changed {
                endpoint.update(now, model, fraction);
            }
            if &*endpoint.address != view.address.as_str() {
                endpoint.address = view.address.as_str().into();
            }
            if models_changed {
                self.join_pools(key);
            }
        }
        let engines = self.endpoints.values().filter(|e| e.view.kind == EndpointKind::Engine);
        if let Some(slots) = engines.map(Endpoint::slots).max() {
            self.settings.engine.slots = slots;
        }
        self.drop_unseen();
        let engines = self.endpoints.values().filter(|e| e.view.kind == EndpointKind::Engine);
        self.engines = u32::try_from(engines.count()).unwrap_or(u32::MAX);
        self.count_serving();
        self.refresh_all(now);
    }

    fn intern_endpoint(&mut self, view: &EndpointView) -> EndpointKey {
        if let Some(key) = self.names.get(view.name.as_str()) {
            return *key;
        }
        let endpoint = Endpoint::new(view, &self.settings.engine);
        let name = endpoint.name.clone();
        let key = self.endpoints.insert(endpoint);
        self.names.insert(name, key);
        key
    }

    /// Adds an endpoint to the pools of the models that it serves.
    fn join_pools(&mut self, key: EndpointKey) {
        self.leave_pools(key);
        let view = &self.endpoints[key].view;
        let (service, kind) = (view.service.clone(), view.kind);
        let models = match kind {
            EndpointKind::Engine => view.models.clone(),
            EndpointKind::Service => vec![String::new()],
        };
        for model in models {
            let pool = self.intern_pool(&service, &model, kind);
            let rank = name_hash(&self.endpoints[key].name);
            let members = &mut self.pools[pool].members;
            let place =
                members.partition_point(|member| name_hash(&self.endpoints[*member].name) < rank);
            members.insert(place, key);
            self.endpoints[key].pools.push(pool);
        }
    }

    fn leave_pools(&mut self, key: EndpointKey) {
        for pool in std::mem::take(&mut self.endpoints[key].pools) {
            let pool = &mut self.pools[pool];
            pool.members.retain(|member| *member != key);
            pool.whole.set(key, false);
            pool.unreserved.set(key, false);
            pool.prefill.set(key, false);
        }
    }

    fn intern_pool(&mut self, service: &str, model: &str, kind: EndpointKind) -> PoolKey {
        if let Some(pool) = self.find_pool(service, model) {
            return pool;
        }
        let token_secs = match kind {
            EndpointKind::Engine => self.settings.engine.step_us * 1.25 / 1e6,
            EndpointKind::Service => CALL_SECS,
        };
        let service: Arc<str> = service.into();
        let model: Arc<str> = model.into();
        let pool = self.pools.insert(Pool::new(kind, token_secs));
        self.pool_names.entry(service).or_default().insert(model, pool);
        pool
    }

    /// The pool of a service and model.
    pub(crate) fn find_pool(&self, service: &str, model: &str) -> Option<PoolKey> {
        self.pool_names.get(service)?.get(model).copied()
    }

    /// Marks endpoints that are missing from the last view as gone; removes those without attempts.
    fn drop_unseen(&mut self) {
        let seen = self.fleet_views;
        let gone: Vec<EndpointKey> =
            self.endpoints.iter().filter(|(_, e)| e.seen != seen).map(|(key, _)| key).collect();
        for key in gone {
            self.endpoints[key].view.state = EndpointState::Gone;
            if self.endpoints[key].open == 0 {
                self.leave_pools(key);
                self.cache.remove_endpoint(key);
                if let Some(endpoint) = self.endpoints.remove(key) {
                    self.names.remove(&endpoint.name);
                }
            }
        }
    }

    fn count_serving(&mut self) {
        for pool in self.pools.values_mut() {
            let serving = pool.members.iter().map(|key| &self.endpoints[*key]);
            let serving: Vec<&Endpoint> = serving.filter(|e| e.serving()).collect();
            pool.capacity = serving.iter().map(|e| 1.0 / e.pools.len().max(1) as f64).sum();
            let prefill = serving.iter().filter(|e| e.prefill_only()).count();
            let mixed = serving.iter().filter(|e| !e.prefill_only() && !e.decode_only()).count();
            pool.mixed_count = u32::try_from(mixed).unwrap_or(u32::MAX);
            pool.prefill_count = u32::try_from(prefill).unwrap_or(u32::MAX);
            pool.whole_count = u32::try_from(serving.len() - prefill).unwrap_or(u32::MAX);
        }
    }

    /// Updates the pools' sets of endpoints with room.
    pub(crate) fn refresh_all(&mut self, now: Moment) {
        self.last_refresh = now;
        for (key, endpoint) in &self.endpoints {
            let room = endpoint.has_room(now, &self.settings.engine);
            set_room(&mut self.pools, endpoint, key, room);
        }
    }

    /// Updates the pools' sets of endpoints with room for one endpoint.
    pub(crate) fn refresh(&mut self, now: Moment, key: EndpointKey) {
        if let Some(endpoint) = self.endpoints.get(key) {
            let room = endpoint.has_room(now, &self.settings.engine);
            set_room(&mut self.pools, endpoint, key, room);
        }
    }
}

fn set_room(
    pools: &mut slotmap::SlotMap<PoolKey, Pool>,
    endpoint: &Endpoint,
    key: EndpointKey,
    room: bool,
) {
    for pool in &endpoint.pools {
        let pool = &mut pools[*pool];
        pool.prefill.set(key, room && endpoint.prefill_only());
        pool.whole.set(key, room && !endpoint.prefill_only());
        pool.unreserved.set(key, room && !endpoint.prefill_only() && !endpoint.reserved);
    }
}
