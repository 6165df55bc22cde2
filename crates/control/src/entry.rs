//! State of the entry process of this instance.

use agatestair_link::LinkKey;
use agatestair_policy::Moment;
use agatestair_schema::link::{Heartbeat, Presence};

/// State of the entry.
#[derive(Default)]
pub struct EntryState {
    /// Link to the entry, if open.
    pub link: Option<LinkKey>,
    /// Last heartbeat received on this link.
    pub heartbeat: Option<Heartbeat>,
    /// When the link last opened or closed.
    pub changed: Moment,
    /// Version of the last fleet view sent.
    pub version: u64,
}

impl EntryState {
    /// Whether the entry is linked and takes new requests.
    pub fn is_live(&self) -> bool {
        let leaving = self
            .heartbeat
            .as_ref()
            .is_some_and(|heartbeat| heartbeat.presence == Presence::Leaving);
        self.link.is_some() && !leaving
    }

    /// Number of requests in progress at the entry.
    pub fn open(&self) -> u32 {
        self.heartbeat.as_ref().map_or(0, |heartbeat| heartbeat.open)
    }
}
