//! Orders to engines: recorded as intended before they are sent and as done after.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use agatestair_policy::Moment;
use agatestair_schema::endpoint::{
    EngineRole, EngineState, Order, OrderKind, OrderReply, OrderResult,
};
use agatestair_schema::lists::OrderRow;

/// Time between two looks at an engine that carries an order out.
const LOOK_INTERVAL: Duration = Duration::from_millis(300);
/// Time before an order is given again to an engine that was busy or gave no answer.
const RETRY_INTERVAL: Duration = Duration::from_millis(700);

/// What an order asks.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Intent {
    /// Kind.
    pub kind: OrderKind,
    /// Role for `set_role`, model for `load_model` and `unload_model`, else empty.
    pub argument: String,
}

/// Where the work on an order stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// The record of the intent is being written.
    Recording,
    /// To be sent when the time has come.
    Ready(Moment),
    /// Sent, no answer yet.
    Sending,
    /// The engine carries it out; its state is asked for when the time has come.
    Looking(Moment),
    /// The engine was asked for its state, no answer yet.
    Asking,
    /// Its effect was seen; the record is to be closed when the time has come.
    Closing(Moment),
    /// The record of the effect is being written.
    Recorded,
}

/// One order under way.
#[derive(Clone, Debug)]
pub struct Work {
    /// Row as written last.
    pub row: OrderRow,
    /// Version of the row.
    pub version: u64,
    /// Shard of the endpoint.
    pub shard: u32,
    /// Stage.
    pub stage: Stage,
}

/// Orders by endpoint.
#[derive(Default)]
pub struct OrderBook {
    rows: BTreeMap<Arc<str>, (OrderRow, u64)>,
    work: BTreeMap<Arc<str>, Work>,
}

/// What became of an order after an answer of the engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Progress {
    /// It goes on.
    Going,
    /// The engine has seen a newer fencing number.
    Stale,
    /// The engine can't carry it out; the record is closed.
    Refused,
}

impl OrderBook {
    /// Takes over the rows as read.
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

    /// Version of the row of an endpoint, 0 if absent.
    pub fn version(&self, endpoint: &str) -> u64 {
        self.rows.get(endpoint).map_or(0, |(_, version)| *version)
    }

    /// The order under way at an endpoint.
    pub fn work(&self, endpoint: &str) -> Option<&Work> {
        self.work.get(endpoint)
    }

    /// The order under way at an endpoint, to be changed.
    pub fn work_mut(&mut self, endpoint: &str) -> Option<&mut Work> {
        self.work.get_mut(endpoint)
    }

    /// All orders under way.
    pub fn all(&self) -> impl Iterator<Item = (&Arc<str>, &Work)> {
        self.work.iter()
    }

    /// Whether an order of this shard may have reached an engine, or may yet.
    pub fn is_busy(&self, shard: u32) -> bool {
        self.work.values().any(|work| work.shard == shard && work.in_flight())
    }

    /// Starts work on an order.
    pub fn start(&mut self, endpoint: Arc<str>, work: Work) {
        self.work.insert(endpoint, work);
    }

    /// Ends work on an order.
    pub fn end(&mut self, endpoint: &str) {
        self.work.remove(endpoint);
    }

    /// Ends work on all orders of a shard that nothing was sent for, or whose answer is known.
    ///
    /// The next holder finishes them from their records.
    pub fn drop_shard(&mut self, shard: u32) {
        self.work.retain(|_, work| work.shard != shard || work.in_flight());
    }

    /// Notes that a row was written.
    pub fn note_written(&mut self, endpoint: &str, row: OrderRow, version: u64) {
        self.rows.insert(endpoint.into(), (row, version));
    }
}

impl Work {
    /// Whether a call to the engine is under way.
    fn in_flight(&self) -> bool {
        matches!(self.stage, Stage::Sending | Stage::Asking)
    }

    /// Takes over the engine's answer to the order; `None` if none came.
    pub fn note_reply(&mut self, now: Moment, reply: Option<&OrderReply>) -> Progress {
        self.stage = match reply.map(|reply| reply.result) {
            Some(OrderResult::Done) => Stage::Closing(now),
            Some(OrderResult::Started) | None => Stage::Looking(now + LOOK_INTERVAL),
            Some(OrderResult::Busy) => Stage::Ready(now + RETRY_INTERVAL),
            Some(OrderResult::Stale) => return Progress::Stale,
            Some(OrderResult::Invalid) => {
                self.stage = Stage::Closing(now);
                return Progress::Refused;
            }
        };
        Progress::Going
    }

    /// Takes over the engine's state; `None` if it gave no answer.
    pub fn note_state(&mut self, now: Moment, state: Option<&EngineState>) {
        self.stage = match state {
            Some(state) if state.last_order == self.row.id => Stage::Closing(now),
            Some(state) if state.target.is_some() => Stage::Looking(now + LOOK_INTERVAL),
            // A repeat of the same identifier has no further effect.
            Some(_) | None => Stage::Ready(now + RETRY_INTERVAL),
        };
    }

    /// The message to the engine.
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
