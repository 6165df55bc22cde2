//! Role, models and orders of an engine.

use std::collections::HashMap;
use std::time::Instant;

use agatestair_schema::endpoint::{EngineRole, Order, OrderKind, OrderReply, OrderResult};
use agatestair_schema::standins::OrderRecord;

/// What a change under way leads to.
#[derive(Clone, Debug)]
pub enum Goal {
    /// Take a role.
    Role(EngineRole),
    /// Load a model.
    Model(String),
}

/// A change under way.
#[derive(Clone, Debug)]
pub struct Change {
    /// The order that asked for it.
    pub order: Order,
    /// Number of the order's record.
    pub record: u64,
    /// What it leads to.
    pub goal: Goal,
    /// Time of its end; `None` while running work must finish first.
    pub ready: Option<Instant>,
}

/// State of an engine that orders change.
#[derive(Debug)]
pub struct OrderState {
    /// Role in force.
    pub role: EngineRole,
    /// Models loaded.
    pub models: Vec<String>,
    /// Whether new work is refused.
    pub draining: bool,
    /// Highest fencing number seen; outlives a crash.
    pub fencing: u64,
    /// Identifier of the last order that took effect.
    pub last_order: String,
    /// Change under way.
    pub change: Option<Change>,
    fenced: bool,
    results: HashMap<String, OrderResult>,
}

/// What an order leads to.
pub enum Verdict {
    /// It is answered without effect.
    Answer(OrderReply),
    /// It takes effect at once.
    Apply,
    /// It starts a change.
    Start(Goal),
}

impl OrderState {
    /// State after the first start.
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

    /// State after a crash: only the highest fencing number is kept.
    pub fn restart(&mut self, models: Vec<String>) {
        let fencing = self.fencing;
        *self = Self::new(models, self.fenced);
        self.fencing = fencing;
    }

    /// Whether a role change is under way.
    pub fn changes_role(&self) -> bool {
        self.change.as_ref().is_some_and(|change| matches!(change.goal, Goal::Role(_)))
    }

    /// Role being changed to.
    pub fn target(&self) -> Option<EngineRole> {
        match self.change.as_ref()?.goal {
            Goal::Role(role) => Some(role),
            Goal::Model(_) => None,
        }
    }

    /// Record of an order on its arrival.
    pub fn record(&self, order: &Order, endpoint: &str, boot: &str) -> OrderRecord {
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

    /// Decides on an order.
    pub fn judge(&mut self, order: &Order) -> Verdict {
        let stale = order.fencing < self.fencing;
        if stale && self.fenced {
            let detail = "a newer fencing number was seen; read the lease again";
            return Verdict::Answer(self.reply(OrderResult::Stale, detail));
        }
        self.fencing = self.fencing.max(order.fencing);
        if let Some(result) = self.results.get(&order.id) {
            return Verdict::Answer(self.reply(*result, "repeat of a known order"));
        }
        match goal_of(order) {
            Err(detail) => Verdict::Answer(self.reply(OrderResult::Invalid, detail)),
            Ok(Some(_)) if self.change.is_some() => {
                let detail = "a change is under way; ask for the state and come back";
                Verdict::Answer(self.reply(OrderResult::Busy, detail))
            }
            Ok(Some(Goal::Role(role))) if role == self.role => Verdict::Apply,
            Ok(Some(Goal::Model(model))) if self.models.contains(&model) => Verdict::Apply,
            Ok(Some(goal)) => Verdict::Start(goal),
            Ok(None) => Verdict::Apply,
        }
    }

    /// Carries out an order that needs no time.
    pub fn apply(&mut self, order: &Order) {
        match order.kind {
            OrderKind::Drain => self.draining = true,
            OrderKind::Resume => self.draining = false,
            OrderKind::UnloadModel => {
                self.models.retain(|model| Some(model) != order.model.as_ref());
            }
            OrderKind::SetRole | OrderKind::LoadModel => {}
        }
        self.note(order, OrderResult::Done);
    }

    /// Ends the change under way.
    pub fn finish_change(&mut self) -> Option<Change> {
        let change = self.change.take()?;
        match &change.goal {
            Goal::Role(role) => self.role = *role,
            Goal::Model(model) => self.models.push(model.clone()),
        }
        self.note(&change.order, OrderResult::Done);
        Some(change)
    }

    /// Remembers how an order was taken.
    pub fn note(&mut self, order: &Order, result: OrderResult) {
        self.results.insert(order.id.clone(), result);
        if result == OrderResult::Done {
            self.last_order.clone_from(&order.id);
        }
    }

    /// A reply with the highest fencing number.
    pub fn reply(&self, result: OrderResult, detail: &str) -> OrderReply {
        OrderReply { result, detail: detail.to_owned(), fencing: self.fencing }
    }
}

fn goal_of(order: &Order) -> Result<Option<Goal>, &'static str> {
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
