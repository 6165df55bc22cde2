//! Orders: decides what engines should do, and carries the orders out.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use agatestair_policy::{Moment, RolePlanner, RoleSettings};
use agatestair_runtime::log_event;
use agatestair_schema::endpoint::{EngineState, OrderKind, OrderReply};
use agatestair_schema::link::{EndpointKind, EndpointState, EndpointView};
use agatestair_schema::lists::{OrderRow, WishState};
use agatestair_store::{Outcome, PlatformError, Purpose, put_row, require};

use super::Control;
use crate::endpoint_client::EndpointError;
use crate::event::{Event, OrderWrite};
use crate::events::{ORDER_DONE, ORDER_REFUSED, ORDER_SENT, ORDER_STALE};
use crate::lease::shard_of;
use crate::orders::{ActiveOrder, Intent, Progress, Stage};
use crate::store::order_key;

/// Time for a drain to reach all entries before the engine is told to refuse new requests.
const DRAIN_DELAY: Duration = Duration::from_secs(2);
/// Delay before a failed record write or an order that was not sent is retried.
const RECORD_RETRY_DELAY: Duration = Duration::from_millis(500);

impl Control {
    /// Starts new orders and advances the active ones.
    pub(super) fn run_orders(&mut self, now: Moment) {
        if !self.timers.orders.try_start(now) {
            return;
        }
        self.start_orders(now);
        let names: Vec<Arc<str>> =
            self.orders.iter_active().map(|(name, _)| name.clone()).collect();
        for name in names {
            self.advance(now, &name);
        }
    }

    /// Starts new orders for the engines whose lease this instance may use.
    fn start_orders(&mut self, now: Moment) {
        if self.shutdown_started.is_some() || !self.members.is_own_listed() {
            return;
        }
        let services = self.engine_services();
        for service in services {
            let shard = shard_of(&service, self.settings.shards);
            let acknowledged = self.needs_acknowledgement(&service);
            if self.leases.usable(now, shard, acknowledged).is_none() {
                continue;
            }
            for (name, intent) in self.desired_orders(now, &service) {
                self.start_order(now, name, shard, intent);
            }
        }
    }

    fn engine_services(&self) -> Vec<Arc<str>> {
        let engines =
            self.fleet.iter().filter(|(_, tracked)| tracked.view.kind == EndpointKind::Engine);
        let mut services: Vec<Arc<str>> =
            engines.map(|(_, tracked)| tracked.view.service.as_str().into()).collect();
        services.sort_unstable();
        services.dedup();
        services
    }

    /// Whether orders for a service must wait until former holders acknowledge their loss.
    ///
    /// This holds for services whose engines ignore fencing numbers.
    fn needs_acknowledgement(&self, service: &str) -> bool {
        let settings = self.settings.services.iter().find(|settings| settings.name == service);
        self.protections.former_ack && settings.is_some_and(|settings| !settings.fenced)
    }

    /// New orders for the engines of a service that have no active order.
    fn desired_orders(&mut self, now: Moment, service: &str) -> Vec<(Arc<str>, Intent)> {
        let mut desired_orders: BTreeMap<Arc<str>, Intent> = BTreeMap::new();
        for (name, tracked) in self.fleet.iter() {
            let view = &tracked.view;
            if view.service != service || view.kind != EndpointKind::Engine || !tracked.listed {
                continue;
            }
            if let Some(intent) = self.unfinished(name).or_else(|| self.drain_intent(now, name)) {
                desired_orders.insert(name.clone(), intent);
            } else if let Some(intent) = self.model_intent(now, name) {
                desired_orders.insert(name.clone(), intent);
            }
        }
        for (name, intent) in self.role_intents(now, service) {
            desired_orders.entry(name).or_insert(intent);
        }
        desired_orders.retain(|name, _| self.orders.active(name).is_none());
        desired_orders.into_iter().collect()
    }

    /// The last recorded order of an endpoint, if it is not done.
    fn unfinished(&self, name: &str) -> Option<Intent> {
        let row = self.orders.last(name).filter(|row| !row.done)?;
        Intent::try_from(row).ok()
    }

    fn drain_intent(&self, now: Moment, name: &str) -> Option<Intent> {
        let tracked = self.fleet.get(name)?;
        let wish = tracked.wish.as_ref();
        let asked = wish.is_some_and(|wish| wish.state != WishState::Serve);
        let not_serving = matches!(
            self.fleet.state(now, tracked),
            EndpointState::Draining | EndpointState::Withdrawn
        );
        let drained = self.orders.last(name).is_some_and(|row| row.kind == "drain");
        let waited = tracked.wish_seen.is_some_and(|seen| now.since(seen) >= DRAIN_DELAY);
        let kind = match (asked && not_serving, drained) {
            (true, false) if waited => OrderKind::Drain,
            (false, true) if !asked => OrderKind::Resume,
            _ => return None,
        };
        Some(Intent { kind, argument: String::new() })
    }

    /// Order to load a model that the engine needs in order to replace another one.
    fn model_intent(&self, now: Moment, name: &str) -> Option<Intent> {
        let tracked = self.fleet.get(name)?;
        if tracked.view.changing || tracked.measured.is_none() {
            return None;
        }
        let replaced = self.fleet.iter().filter(|(_, other)| {
            let wish = other.wish.as_ref().filter(|wish| wish.state == WishState::Replace);
            let gone = self.fleet.state(now, other) == EndpointState::Gone;
            !gone && wish.is_some_and(|wish| wish.successor.as_deref() == Some(name))
        });
        let mut models = replaced.flat_map(|(_, other)| other.view.models.iter());
        let model = models.find(|model| !tracked.view.models.contains(model))?;
        Some(Intent { kind: OrderKind::LoadModel, argument: model.clone() })
    }

    fn role_intents(&mut self, now: Moment, service: &str) -> Vec<(Arc<str>, Intent)> {
        if !self.settings.plan_roles {
            return Vec::new();
        }
        let views: Vec<EndpointView> = self
            .fleet
            .iter()
            .filter(|(_, k)| k.view.service == service && k.view.kind == EndpointKind::Engine)
            .map(|(_, tracked)| self.fleet.view(now, tracked))
            .collect();
        let planner = self
            .planners
            .entry(service.into())
            .or_insert_with(|| RolePlanner::new(RoleSettings::default()));
        let changes = planner.plan(now, &views);
        changes
            .into_iter()
            .map(|change| {
                let argument = change.role.to_string();
                (change.engine, Intent { kind: OrderKind::SetRole, argument })
            })
            .collect()
    }

    /// Records an order as intended. An unfinished order of an earlier holder keeps its identifier.
    fn start_order(&mut self, now: Moment, name: Arc<str>, shard: u32, intent: Intent) {
        let earlier = self.orders.last(&name).filter(|row| !row.done).map(|row| row.id.clone());
        let Some(held) = self.leases.usable(now, shard, false) else {
            return;
        };
        held.sequence += 1;
        let row = OrderRow {
            argument: intent.argument,
            done: false,
            endpoint: name.to_string(),
            epoch: held.epoch,
            fencing: held.fencing,
            holder: self.own.to_string(),
            id: earlier.unwrap_or_else(|| self.platform.attempt_id()),
            kind: intent.kind.to_string(),
            sequence: held.sequence,
        };
        let version = self.orders.version(&name);
        let recorded = self.protections.order_record;
        let stage = if recorded { Stage::Recording } else { Stage::Ready(now) };
        self.orders.start(name, ActiveOrder { row: row.clone(), version, shard, stage });
        if recorded {
            self.write_order(row, version);
        }
    }

    fn write_order(&self, row: OrderRow, version: u64) {
        let table = self.platform.table();
        self.workers.orders.run(move || {
            let key = order_key(&row.endpoint);
            let checks = vec![require(&key, version)];
            let outcome = table.transact(Purpose::Order, checks, vec![put_row(&key, &row)]);
            Event::OrderWritten(OrderWrite { row, outcome })
        });
    }

    pub(super) fn on_order_written(&mut self, now: Moment, write: OrderWrite) {
        let OrderWrite { row, outcome } = write;
        let name = row.endpoint.clone();
        match outcome {
            Ok(Outcome::Committed(rows)) => {
                self.note_response(now);
                let version = rows.first().map_or(0, |row| row.version);
                if row.done {
                    log_event!(self.log, ORDER_DONE, "endpoint" => &name, "order" => &row.id);
                    self.orders.end(&name);
                } else if let Some(active) = self.orders.active_mut(&name) {
                    active.version = version;
                    active.stage = Stage::Ready(now);
                }
                self.orders.note_written(&name, row, version);
            }
            Ok(Outcome::Conflict(_) | Outcome::Unknown(_)) => {
                // The current row decides what to do; it is read again before any further order.
                self.orders.end(&name);
                let shard = self.shard_of_endpoint(&name);
                self.leases.reload_orders(shard);
                self.timers.leases.make_due();
            }
            Err(error) => {
                self.note_failure("order", &error);
                if row.done {
                    if let Some(active) = self.orders.active_mut(&name) {
                        active.stage = Stage::Closing(now + RECORD_RETRY_DELAY);
                    }
                } else {
                    self.orders.end(&name);
                }
            }
        }
    }

    fn shard_of_endpoint(&self, name: &str) -> u32 {
        let service = self.fleet.get(name).map_or("", |tracked| &*tracked.view.service);
        shard_of(service, self.settings.shards)
    }

    /// Performs the next step of one order if it is due.
    fn advance(&mut self, now: Moment, name: &Arc<str>) {
        let Some(active) = self.orders.active(name).cloned() else {
            return;
        };
        match active.stage {
            Stage::Ready(at) if now >= at => self.send_order(now, name, &active),
            Stage::Executing(at) if now >= at => self.poll_state(name),
            Stage::Closing(at) if now >= at => {
                let row = OrderRow { done: true, ..active.row.clone() };
                if let Some(active) = self.orders.active_mut(name) {
                    active.stage = Stage::RecordingDone;
                }
                if self.protections.order_record {
                    self.write_order(row, active.version);
                } else {
                    self.orders.note_written(name, row, active.version);
                    self.orders.end(name);
                }
            }
            _ => {}
        }
    }

    /// Sends an order if the lease is still valid when the worker thread runs the call.
    fn send_order(&mut self, now: Moment, name: &Arc<str>, active: &ActiveOrder) {
        let service = self.fleet.get(name).map(|tracked| tracked.view.service.clone());
        let acknowledged = service.is_some_and(|service| self.needs_acknowledgement(&service));
        let held = self.leases.usable(now, active.shard, acknowledged).cloned();
        let address = self.fleet.get(name).map(|tracked| tracked.record.address.clone());
        let (Some(held), Some(address)) = (held, address) else {
            if !self.leases.holds(active.shard) || self.fleet.get(name).is_none() {
                self.orders.end(name);
            }
            return;
        };
        let fencing = if self.protections.fencing { held.fencing } else { u64::MAX };
        let Some(order) = active.order(fencing).filter(|_| held.epoch == active.row.epoch) else {
            self.orders.end(name);
            return;
        };
        log_event!(self.log, ORDER_SENT, "endpoint" => &**name, "order" => &order.id,
            "kind" => &active.row.kind, "argument" => &active.row.argument, "fencing" => fencing);
        metrics::counter!("agatestair_orders_sent_total", "kind" => active.row.kind.clone())
            .increment(1);
        if let Some(active) = self.orders.active_mut(name) {
            active.stage = Stage::Sending;
        }
        let (client, clock, name) = (self.order_client.clone(), self.clock, name.clone());
        let weights = (order.kind == OrderKind::LoadModel).then(|| self.platform.weights());
        self.workers.sends.run(move || {
            let model = order.model.as_deref().unwrap_or("");
            let reserved = weights.is_none_or(|weights| weights.reserve(model).is_ok());
            if !reserved || clock.now() >= held.deadline {
                return Event::OrderReplied(
                    name,
                    Err(EndpointError::Refused("not sent".to_owned())),
                );
            }
            let reply = client.order(&address, &order);
            Event::OrderReplied(name, reply)
        });
    }

    pub(super) fn on_order_reply(
        &mut self,
        now: Moment,
        name: &Arc<str>,
        reply: Result<OrderReply, EndpointError>,
    ) {
        let Some(active) = self.orders.active_mut(name) else {
            return;
        };
        if let Err(EndpointError::Refused(_)) = reply {
            active.stage = Stage::Ready(now + RECORD_RETRY_DELAY);
            return;
        }
        let progress = active.note_reply(now, reply.as_ref().ok());
        let shard = active.shard;
        match progress {
            Progress::Continuing => {}
            Progress::Stale => {
                log_event!(self.log, ORDER_STALE, "endpoint" => &**name, "shard" => shard);
                self.orders.end(name);
                self.orders.drop_shard(shard);
                self.leases.invalidate(shard);
                self.timers.leases.make_due();
            }
            Progress::Refused => {
                let detail = reply.map(|reply| reply.detail).unwrap_or_default();
                log_event!(self.log, ORDER_REFUSED, "endpoint" => &**name, "detail" => detail);
            }
        }
    }

    fn poll_state(&mut self, name: &Arc<str>) {
        let Some(address) = self.fleet.get(name).map(|tracked| tracked.record.address.clone())
        else {
            self.orders.end(name);
            return;
        };
        if let Some(active) = self.orders.active_mut(name) {
            active.stage = Stage::Polling;
        }
        let (client, name) = (self.order_client.clone(), name.clone());
        self.workers.sends.run(move || {
            let state = client.state(&address);
            Event::EngineStateRead(name, state)
        });
    }

    pub(super) fn on_engine_state(
        &mut self,
        now: Moment,
        name: &Arc<str>,
        state: &Result<EngineState, EndpointError>,
    ) {
        if let Some(active) = self.orders.active_mut(name) {
            active.note_state(now, state.as_ref().ok());
        }
    }

    pub(super) fn on_orders(
        &mut self,
        now: Moment,
        epochs: &[(u32, u64)],
        result: Result<Vec<(OrderRow, u64)>, PlatformError>,
    ) {
        self.loading_orders = false;
        match result {
            Ok(rows) => {
                self.note_response(now);
                self.orders.note_rows(rows);
                self.leases.note_orders_loaded(epochs);
            }
            Err(error) => self.note_failure("orders", &error),
        }
    }
}
