//! The entry beside this process.

use agatestair_link::LinkKey;
use agatestair_policy::Moment;
use agatestair_schema::link::{Heartbeat, Presence};

/// What is known of the entry.
#[derive(Default)]
pub struct EntrySide {
    /// Link to it, if open.
    pub link: Option<LinkKey>,
    /// Its last heartbeat on this link.
    pub beat: Option<Heartbeat>,
    /// When the link opened or ended.
    pub changed: Moment,
    /// Version of the last fleet view sent.
    pub version: u64,
}

impl EntrySide {
    /// Whether it is linked and takes new work.
    pub fn is_live(&self) -> bool {
        let leaving = self.beat.as_ref().is_some_and(|beat| beat.presence == Presence::Leaving);
        self.link.is_some() && !leaving
    }

    /// Requests in work at it.
    pub fn open(&self) -> u32 {
        self.beat.as_ref().map_or(0, |beat| beat.open)
    }
}
