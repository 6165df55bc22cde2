//! Orders to engines: each is recorded as intended before it is sent, and as done afterwards.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use agatestair_policy::Moment;
use agatestair_schema::endpoint::{
    EngineRole, EngineState, Order, OrderKind, OrderReply, OrderResult,
};
use agatestair_schema::lists::OrderRow;

/// Interval between polls of an engine that is executing an order.
const STATE_POLL_INTERVAL: Duration = Duration::from_millis(300);
/// Delay before an order is sent again to an engine that was busy or did not respond.
const RETRY_DELAY: Duration = Duration::from_millis(700);

/// Change that an order requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Intent {
    /// Kind.
    pub kind: OrderKind,
    /// Role for `set_role`, model for `load_model` and `unload_model`, else empty.
    pub argument: String,
}

/// Progress of an active order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// The record of the intent is being written.
    Recording,
    /// To be sent at this time.
    Ready(Moment),
    /// Sent; no reply yet.
    Sending,
    /// The engine is executing the order; its state is polled at this time.
    Executing(Moment),
    /// The engine's state was requested; no response yet.
    Polling,
    /// The order took effect or was refused; its record is to be marked as done at this time.
    Closing(Moment),
    /// The record is being marked as done.
    RecordingDone,
}

/// One order in progress.
#[derive(Clone, Debug)]
pub struct ActiveOrder {
    /// Row as last written.
    pub row: OrderRow,
    /// Version of the row.
    pub version: u64,
    /// Shard of the endpoint.
    pub shard: u32,
    /// Progress.
    pub stage: Stage,
}

/// Orders by endpoint.
#[derive(Default)]
pub struct OrderBook {
    rows: BTreeMap<Arc<str>, (OrderRow, u64)>,
    active: BTreeMap<Arc<str>, ActiveOrder>,
}

/// Effect of an engine's reply on an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Progress {
    /// The order remains active.
    Continuing,
    /// The engine has seen a newer fencing number.
    Stale,
    /// The engine cannot execute the order; its record is to be marked as done.
    Refused,
}

impl OrderBook {
    /// Updates the rows from those read; keeps newer versions.
    pub fn note_rows(&mut self, rows: Vec<(OrderRow, u64)>) {
        for (row, version) in rows {
            let name: Arc<str> = row.endpoint.as_str().into();
            let known = self.rows.get(&name).map_or(0, |(_, known)| *known);
            if version > known {
                self.rows.insert(name, (row, version));
            }
        }
    }

    /// The last order recorded for an endpoint.
    pub fn last(&self, endpoint: &str) -> Option<&OrderRow> {
        self.rows.get(endpoint).map(|(row, _)| row)
    }

    /// Version of the row of an endpoint; 0 if there is none.
    pub fn version(&self, endpoint: &str) -> u64 {
        self.rows.get(endpoint).map_or(0, |(_, version)| *version)
    }

    /// The active order of an endpoint.
    pub fn active(&self, endpoint: &str) -> Option<&ActiveOrder> {
        self.active.get(endpoint)
    }

    /// Mutable access to the active order of an endpoint.
    pub fn active_mut(&mut self, endpoint: &str) -> Option<&mut ActiveOrder> {
        self.active.get_mut(endpoint)
    }

    /// All active orders by endpoint.
    pub fn iter_active(&self) -> impl Iterator<Item = (&Arc<str>, &ActiveOrder)> {
        self.active.iter()
    }

    /// Whether a call to an engine of this shard is in flight, so that an order may still arrive.
    pub fn is_busy(&self, shard: u32) -> bool {
        self.active.values().any(|active| active.shard == shard && active.in_flight())
    }

    /// Adds an active order.
    pub fn start(&mut self, endpoint: Arc<str>, active: ActiveOrder) {
        self.active.insert(endpoint, active);
    }

    /// Removes the active order of an endpoint.
    pub fn end(&mut self, endpoint: &str) {
        self.active.remove(endpoint);
    }

    /// Removes all active orders of a shard except those with a call in flight.
    ///
    /// The next lease holder continues them from their records.
    pub fn drop_shard(&mut self, shard: u32) {
        self.active.retain(|_, active| active.shard != shard || active.in_flight());
    }

    /// Records a row that was written.
    pub fn note_written(&mut self, endpoint: &str, row: OrderRow, version: u64) {
        self.rows.insert(endpoint.into(), (row, version));
    }
}

impl ActiveOrder {
    /// Whether a call to the engine is in flight.
    fn in_flight(&self) -> bool {
        matches!(self.stage, Stage::Sending | Stage::Polling)
    }

    /// Applies the engine's reply to the order; `None` if none arrived.
    pub fn note_reply(&mut self, now: Moment, reply: Option<&OrderReply>) -> Progress {
        self.stage = match reply.map(|reply| reply.result) {
            Some(OrderResult::Done) => Stage::Closing(now),
            Some(OrderResult::Started) | None => Stage::Executing(now + STATE_POLL_INTERVAL),
            Some(OrderResult::Busy) => Stage::Ready(now + RETRY_DELAY),
            Some(OrderResult::Stale) => return Progress::Stale,
            Some(OrderResult::Invalid) => {
                self.stage = Stage::Closing(now);
                return Progress::Refused;
            }
        };
        Progress::Continuing
    }

    /// Applies the engine's state; `None` if it did not respond.
    pub fn note_state(&mut self, now: Moment, state: Option<&EngineState>) {
        self.stage = match state {
            Some(state) if state.last_order == self.row.id => Stage::Closing(now),
            Some(state) if state.target.is_some() => Stage::Executing(now + STATE_POLL_INTERVAL),
            // Sending the same identifier again has no further effect.
            Some(_) | None => Stage::Ready(now + RETRY_DELAY),
        };
    }

    /// The message to the engine; `None` if the kind in the row is unknown.
    pub fn order(&self, fencing: u64) -> Option<Order> {
        let intent = Intent::try_from(&self.row).ok()?;
        let model = matches!(intent.kind, OrderKind::LoadModel | OrderKind::UnloadModel);
        Some(Order {
            epoch: self.row.epoch,
            fencing,
            holder: self.row.holder.clone(),
            id: self.row.id.clone(),
            kind: intent.kind,
            model: model.then(|| intent.argument.clone()),
            role: (intent.kind == OrderKind::SetRole)
                .then(|| intent.argument.parse::<EngineRole>().ok())
                .flatten(),
            sequence: self.row.sequence,
        })
    }
}

impl TryFrom<&OrderRow> for Intent {
    type Error = String;

    fn try_from(row: &OrderRow) -> Result<Self, String> {
        let kind = row.kind.parse::<OrderKind>().map_err(|_| {
            format!("unknown kind of order `{}`; replace older instances first", row.kind)
        })?;
        Ok(Self { kind, argument: row.argument.clone() })
    }
}
