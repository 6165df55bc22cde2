//! State of an engine that orders change: role, models and draining.

use std::collections::HashMap;
use std::time::Instant;

use agatestair_schema::endpoint::{EngineRole, Order, OrderKind, OrderReply, OrderResult};
use agatestair_schema::standins::OrderRecord;

/// Target of a role or model change.
#[derive(Clone, Debug)]
pub enum Goal {
    /// Switch to a role.
    Role(EngineRole),
    /// Load a model.
    Model(String),
}

/// A role or model change in progress.
#[derive(Clone, Debug)]
pub struct Change {
    /// Order that requested the change.
    pub order: Order,
    /// Identifier of the order's record.
    pub record_id: u64,
    /// Target of the change.
    pub goal: Goal,
    /// Time at which the change completes; `None` while it waits for requests or for weights.
    pub ready_at: Option<Instant>,
}

/// Role, models, draining flag and fencing state of an engine.
#[derive(Debug)]
pub struct OrderState {
    /// Current role.
    pub role: EngineRole,
    /// Loaded models.
    pub models: Vec<String>,
    /// Whether new requests are refused.
    pub draining: bool,
    /// Highest fencing number seen; kept across crashes.
    pub fencing: u64,
    /// Identifier of the last order that took effect.
    pub last_order: String,
    /// Change in progress.
    pub change: Option<Change>,
    /// Whether orders with an old fencing number are refused.
    fenced: bool,
    /// Latest result of each order, by order identifier.
    results: HashMap<String, OrderResult>,
}

/// Decision on an order.
pub enum Decision {
    /// Reply without effect.
    Reply(OrderReply),
    /// Apply the order immediately.
    Apply,
    /// Start a change that takes time.
    Start(Goal),
}

impl OrderState {
    /// State at the first start.
    pub fn new(models: Vec<String>, fenced: bool) -> Self {
        Self {
            role: EngineRole::Mixed,
            models,
            draining: false,
            fencing: 0,
            last_order: String::new(),
            change: None,
            fenced,
            results: HashMap::new(),
        }
    }

    /// Resets the state after a crash; only the highest fencing number is kept.
    pub fn restart(&mut self, models: Vec<String>) {
        let fencing = self.fencing;
        *self = Self::new(models, self.fenced);
        self.fencing = fencing;
    }

    /// Whether a role change is in progress.
    pub fn is_changing_role(&self) -> bool {
        self.change.as_ref().is_some_and(|change| matches!(change.goal, Goal::Role(_)))
    }

    /// Target of the role change in progress.
    pub fn target_role(&self) -> Option<EngineRole> {
        match self.change.as_ref()?.goal {
            Goal::Role(role) => Some(role),
            Goal::Model(_) => None,
        }
    }

    /// Returns the record of an arriving order; its result and times are not yet set.
    pub fn order_record(&self, order: &Order, endpoint: &str, boot: &str) -> OrderRecord {
        let during = self.change.as_ref().map(|change| &change.order);
        let role = order.role.map(|role| role.to_string());
        OrderRecord {
            id: 0,
            endpoint: endpoint.to_owned(),
            boot: boot.to_owned(),
            order: order.id.clone(),
            kind: order.kind.to_string(),
            argument: role.or_else(|| order.model.clone()).unwrap_or_default(),
            holder: order.holder.clone(),
            epoch: order.epoch,
            fencing: order.fencing,
            sequence: order.sequence,
            highest: self.fencing,
            during: during.map(|order| order.id.clone()).unwrap_or_default(),
            during_holder: during.map(|order| order.holder.clone()).unwrap_or_default(),
            repeat: self.results.contains_key(&order.id),
            result: String::new(),
            received_ms: 0,
            effect_ms: 0,
        }
    }

    /// Decides how to handle an order; remembers its fencing number.
    pub fn decide(&mut self, order: &Order) -> Decision {
        let stale = order.fencing < self.fencing;
        if stale && self.fenced {
            let detail = "a newer fencing number was seen; read the lease again";
            return Decision::Reply(self.reply(OrderResult::Stale, detail));
        }
        self.fencing = self.fencing.max(order.fencing);
        if let Some(result) = self.results.get(&order.id) {
            return Decision::Reply(self.reply(*result, "repeat of a known order"));
        }
        match order_goal(order) {
            Err(detail) => Decision::Reply(self.reply(OrderResult::Invalid, detail)),
            Ok(Some(_)) if self.change.is_some() => {
                let detail = "a change is under way; ask for the state and come back";
                Decision::Reply(self.reply(OrderResult::Busy, detail))
            }
            Ok(Some(Goal::Role(role))) if role == self.role => Decision::Apply,
            Ok(Some(Goal::Model(model))) if self.models.contains(&model) => Decision::Apply,
            Ok(Some(goal)) => Decision::Start(goal),
            Ok(None) => Decision::Apply,
        }
    }

    /// Applies an order that takes effect immediately.
    pub fn apply(&mut self, order: &Order) {
        match order.kind {
            OrderKind::Drain => self.draining = true,
            OrderKind::Resume => self.draining = false,
            OrderKind::UnloadModel => {
                self.models.retain(|model| Some(model) != order.model.as_ref());
            }
            OrderKind::SetRole | OrderKind::LoadModel => {}
        }
        self.record_result(order, OrderResult::Done);
    }

    /// Completes the change in progress and returns it.
    pub fn finish_change(&mut self) -> Option<Change> {
        let change = self.change.take()?;
        match &change.goal {
            Goal::Role(role) => self.role = *role,
            Goal::Model(model) => self.models.push(model.clone()),
        }
        self.record_result(&change.order, OrderResult::Done);
        Some(change)
    }

    /// Stores the result of an order.
    pub fn record_result(&mut self, order: &Order, result: OrderResult) {
        self.results.insert(order.id.clone(), result);
        if result == OrderResult::Done {
            self.last_order.clone_from(&order.id);
        }
    }

    /// Returns a reply that carries the highest fencing number seen.
    pub fn reply(&self, result: OrderResult, detail: &str) -> OrderReply {
        OrderReply { result, detail: detail.to_owned(), fencing: self.fencing }
    }
}

/// Target of an order; `None` if it needs no change over time, an error if a field is missing.
fn order_goal(order: &Order) -> Result<Option<Goal>, &'static str> {
    match order.kind {
        OrderKind::SetRole => {
            let role = order.role.ok_or("`role` is missing; name the role to take")?;
            Ok(Some(Goal::Role(role)))
        }
        OrderKind::LoadModel => {
            let model = order.model.clone();
            let model = model.ok_or("`model` is missing; name the model to load")?;
            Ok(Some(Goal::Model(model)))
        }
        OrderKind::UnloadModel if order.model.is_none() => {
            Err("`model` is missing; name the model to unload")
        }
        OrderKind::UnloadModel | OrderKind::Drain | OrderKind::Resume => Ok(None),
    }
}
