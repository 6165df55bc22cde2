//! Log events of links.

use agatestair_runtime::Event;
use slog::Level;

/// A link is open and both ends are authenticated.
pub const LINK_UP: Event = Event { number: 3001, level: Level::Info, text: "link up" };
/// A link was closed.
pub const LINK_DOWN: Event = Event { number: 3002, level: Level::Info, text: "link down" };
/// A connection attempt failed, or an open link was closed.
pub const LINK_FAILED: Event = Event { number: 3003, level: Level::Debug, text: "link failed" };
/// Links are not authenticated because no key is set.
pub const LINK_NO_KEY: Event = Event {
    number: 3004,
    level: Level::Warning,
    text: "links are not authenticated; set `link.key` on all instances",
};
/// A message was dropped because the link's send queue is full.
pub const QUEUE_FULL: Event = Event {
    number: 3005,
    level: Level::Warning,
    text: "message dropped, send queue of the link full",
};

/// All events of this crate.
pub const ALL: &[Event] = &[LINK_UP, LINK_DOWN, LINK_FAILED, LINK_NO_KEY, QUEUE_FULL];
