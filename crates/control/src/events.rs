//! Log events of the control process.

use agatestair_runtime::Event;
use slog::Level;

/// The process has started.
pub const STARTED: Event =
    Event { number: 2000, level: Level::Info, text: "control process started" };
/// The process has stopped.
pub const STOPPED: Event =
    Event { number: 2001, level: Level::Info, text: "control process stopped" };
/// Lists of another revision were applied.
pub const LISTS_APPLIED: Event = Event { number: 2002, level: Level::Info, text: "lists applied" };
/// A call to the platform failed; logged for the first of consecutive failures.
pub const PLATFORM_FAILED: Event =
    Event { number: 2003, level: Level::Warning, text: "platform call failed" };
/// A call to the platform succeeded after failures.
pub const PLATFORM_RECOVERED: Event =
    Event { number: 2004, level: Level::Info, text: "platform calls succeed again" };
/// Consecutive polls of an endpoint failed.
pub const ENDPOINT_SILENT: Event =
    Event { number: 2005, level: Level::Warning, text: "endpoint load polls failed" };
/// An endpoint responds to polls again.
pub const ENDPOINT_RECOVERED: Event =
    Event { number: 2006, level: Level::Info, text: "endpoint load polls succeed again" };
/// The link to the entry of this instance opened or closed.
pub const ENTRY_LINK: Event =
    Event { number: 2007, level: Level::Info, text: "link to the entry changed" };
/// The lists became fresh or stale.
pub const FRESHNESS: Event =
    Event { number: 2008, level: Level::Info, text: "freshness of the lists changed" };
/// Shutdown has begun.
pub const SHUTDOWN_STARTED: Event =
    Event { number: 2009, level: Level::Info, text: "control process shutting down" };
/// A protection is disabled; for tests only.
pub const PROTECTION_DISABLED: Event =
    Event { number: 2010, level: Level::Warning, text: "protection disabled by a test setting" };

/// A lease was taken.
pub const LEASE_TAKEN: Event = Event { number: 2011, level: Level::Info, text: "lease taken" };
/// A lease was released.
pub const LEASE_RELEASED: Event =
    Event { number: 2012, level: Level::Info, text: "lease released" };
/// A lease held by this instance was lost.
pub const LEASE_LOST: Event = Event { number: 2013, level: Level::Warning, text: "lease lost" };
/// An order was sent.
pub const ORDER_SENT: Event = Event { number: 2014, level: Level::Info, text: "order sent" };
/// An order was recorded as done.
pub const ORDER_DONE: Event = Event { number: 2015, level: Level::Info, text: "order done" };
/// An engine refused an order because of an old fencing number.
pub const ORDER_STALE: Event =
    Event { number: 2016, level: Level::Warning, text: "order refused as stale" };
/// An engine refused an order that it cannot execute.
pub const ORDER_REFUSED: Event =
    Event { number: 2017, level: Level::Error, text: "order refused as invalid" };

/// All events, for the catalogue test.
pub const ALL: &[Event] = &[
    STARTED,
    STOPPED,
    LISTS_APPLIED,
    PLATFORM_FAILED,
    PLATFORM_RECOVERED,
    ENDPOINT_SILENT,
    ENDPOINT_RECOVERED,
    ENTRY_LINK,
    FRESHNESS,
    SHUTDOWN_STARTED,
    PROTECTION_DISABLED,
    LEASE_TAKEN,
    LEASE_RELEASED,
    LEASE_LOST,
    ORDER_SENT,
    ORDER_DONE,
    ORDER_STALE,
    ORDER_REFUSED,
];
