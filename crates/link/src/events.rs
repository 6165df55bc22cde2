//! Log events of links.

use agatestair_runtime::Event;
use slog::Level;

/// A link is open and both ends are authenticated.
pub const LINK_UP: Event = Event { number: 3001, level: Level::Info, text: "link up" };
/// A link ended.
pub const LINK_DOWN: Event = Event { number: 3002, level: Level::Info, text: "link down" };
/// A link could not be opened.
pub const LINK_FAILED: Event =
    Event { number: 3003, level: Level::Debug, text: "link could not be opened" };
/// Links are not authenticated.
pub const LINK_OPEN_KEY: Event = Event {
    number: 3004,
    level: Level::Warning,
    text: "links are not authenticated; set `link.key` on all instances",
};
/// A message was dropped because the link's queue is full.
pub const LINK_FULL: Event =
    Event { number: 3005, level: Level::Warning, text: "message dropped, queue of the link full" };

/// All events of this crate.
pub const ALL: &[Event] = &[LINK_UP, LINK_DOWN, LINK_FAILED, LINK_OPEN_KEY, LINK_FULL];
