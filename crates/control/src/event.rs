//! What reaches the control actor from other threads.

use std::sync::Arc;
use std::sync::mpsc::Sender;

use agatestair_link::LinkEvent;
use agatestair_platform::PlatformError;
use agatestair_schema::endpoint::{CacheEvents, LoadReport};
use agatestair_schema::lists::{EndpointWish, Lists};
use agatestair_schema::platform::InstanceRecord;

use crate::probe::ProbeError;
use crate::status::StatusReport;

/// A message to the control actor.
pub enum Event {
    /// Something happened on a link.
    Link(LinkEvent),
    /// The platform's instance list.
    Instances(Result<Vec<InstanceRecord>, PlatformError>),
    /// The platform was told of this instance.
    Registered(Result<(), PlatformError>),
    /// Row `lists`, with its text.
    Lists(Result<Option<(Lists, String)>, PlatformError>),
    /// Rows `wish/`.
    Wishes(Result<Vec<EndpointWish>, PlatformError>),
    /// Answer of a polled endpoint.
    Probed(Probed),
    /// An operator asks for the status.
    Status(Sender<StatusReport>),
    /// The process was asked to end.
    Stop,
}

/// Answer of one endpoint.
pub struct Probed {
    /// Name of the endpoint.
    pub endpoint: Arc<str>,
    /// Its load.
    pub load: Result<LoadReport, ProbeError>,
    /// New events of its prefix cache, if asked for.
    pub cache: Option<CacheEvents>,
}
