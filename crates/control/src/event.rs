//! Messages to the control actor from other threads.

use std::sync::Arc;
use std::sync::mpsc::Sender;

use agatestair_link::LinkEvent;
use agatestair_policy::Moment;
use agatestair_schema::endpoint::{CacheEvents, EngineState, LoadReport, OrderReply};
use agatestair_schema::lists::{EndpointWish, LeaseRow, Lists, OrderRow};
use agatestair_schema::platform::InstanceRecord;
use agatestair_store::{Outcome, PlatformError};

use crate::endpoint_client::EndpointError;
use crate::lease::LeaseOp;
use crate::status::StatusReport;

/// A message to the control actor.
pub enum Event {
    /// A link opened, closed or received a message.
    Link(LinkEvent),
    /// Result of reading the platform's instance list.
    Instances(Result<Vec<InstanceRecord>, PlatformError>),
    /// Result of registering this instance with the platform.
    Registered(Result<(), PlatformError>),
    /// Result of reading row `lists`, with its JSON text; `None` if it is absent or not newer.
    Lists(Result<Option<(Lists, String)>, PlatformError>),
    /// Result of reading rows `wish/`.
    Wishes(Result<Vec<EndpointWish>, PlatformError>),
    /// An endpoint was polled.
    Polled(PollResult),
    /// Result of reading rows `lease/`, with versions.
    Leases(Result<Vec<(LeaseRow, u64)>, PlatformError>),
    /// A transaction on lease rows ended.
    LeaseWritten(LeaseWrite),
    /// Result of reading rows `order/`, after the leases of these shards and epochs were taken.
    Orders(Vec<(u32, u64)>, Result<Vec<(OrderRow, u64)>, PlatformError>),
    /// A transaction on an order row ended.
    OrderWritten(OrderWrite),
    /// Reply of an engine (by name) to an order.
    OrderReplied(Arc<str>, Result<OrderReply, EndpointError>),
    /// State of an engine (by name) that was polled.
    EngineStateRead(Arc<str>, Result<EngineState, EndpointError>),
    /// An operator requests the status report.
    Status(Sender<StatusReport>),
    /// The process was asked to shut down.
    Shutdown,
}

/// Result of a transaction on lease rows.
pub struct LeaseWrite {
    /// Transaction that was sent.
    pub op: LeaseOp,
    /// A time before it was sent.
    pub sent: Moment,
    /// What became of it.
    pub outcome: Result<Outcome, PlatformError>,
}

/// Result of a transaction on an order row.
pub struct OrderWrite {
    /// Row that was sent.
    pub row: OrderRow,
    /// What became of it.
    pub outcome: Result<Outcome, PlatformError>,
}

/// Result of polling one endpoint.
pub struct PollResult {
    /// Name of the endpoint.
    pub endpoint: Arc<str>,
    /// Load report.
    pub load: Result<LoadReport, EndpointError>,
    /// New events of its prefix cache; `None` if not requested or not received.
    pub cache: Option<CacheEvents>,
}
