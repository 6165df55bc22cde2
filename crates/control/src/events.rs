//! Log events of the control process.

use agatestair_runtime::Event;
use slog::Level;

/// The process is ready.
pub const STARTED: Event =
    Event { number: 2000, level: Level::Info, text: "control process started" };
/// The process ends.
pub const STOPPED: Event =
    Event { number: 2001, level: Level::Info, text: "control process ended" };
/// Lists of a new revision are in force.
pub const LISTS_IN_FORCE: Event =
    Event { number: 2002, level: Level::Info, text: "lists in force" };
/// The platform's store gave no answer.
pub const STORE_FAILED: Event =
    Event { number: 2003, level: Level::Warning, text: "platform call failed" };
/// The platform's store answers again.
pub const STORE_BACK: Event =
    Event { number: 2004, level: Level::Info, text: "platform answers again" };
/// An endpoint gives no load report.
pub const ENDPOINT_SILENT: Event =
    Event { number: 2005, level: Level::Warning, text: "endpoint gives no load report" };
/// An endpoint gives load reports again.
pub const ENDPOINT_BACK: Event =
    Event { number: 2006, level: Level::Info, text: "endpoint gives load reports again" };
/// The entry beside this process came or went.
pub const ENTRY_LINK: Event =
    Event { number: 2007, level: Level::Info, text: "link to the entry changed" };
/// The lists' freshness changed.
pub const FRESHNESS: Event =
    Event { number: 2008, level: Level::Info, text: "freshness of the lists changed" };
/// The process was asked to end.
pub const STOPPING: Event =
    Event { number: 2009, level: Level::Info, text: "graceful shutdown started" };
/// A protection is switched off.
pub const PROTECTION_OFF: Event = Event {
    number: 2010,
    level: Level::Warning,
    text: "protection switched off by a test setting",
};

/// A lease was taken.
pub const LEASE_TAKEN: Event = Event { number: 2011, level: Level::Info, text: "lease taken" };
/// A lease was handed over.
pub const LEASE_RELEASED: Event =
    Event { number: 2012, level: Level::Info, text: "lease handed over" };
/// Another instance holds a lease that this one held.
pub const LEASE_LOST: Event = Event { number: 2013, level: Level::Warning, text: "lease lost" };
/// An order was sent.
pub const ORDER_SENT: Event = Event { number: 2014, level: Level::Info, text: "order sent" };
/// The effect of an order was seen and recorded.
pub const ORDER_DONE: Event = Event { number: 2015, level: Level::Info, text: "order done" };
/// An engine refused an order for its fencing number.
pub const ORDER_STALE: Event =
    Event { number: 2016, level: Level::Warning, text: "order refused as stale" };
/// An engine can't carry an order out.
pub const ORDER_REFUSED: Event =
    Event { number: 2017, level: Level::Error, text: "order refused as invalid" };

/// All events, for the catalogue.
pub const ALL: &[Event] = &[
    STARTED,
    STOPPED,
    LISTS_IN_FORCE,
    STORE_FAILED,
    STORE_BACK,
    ENDPOINT_SILENT,
    ENDPOINT_BACK,
    ENTRY_LINK,
    FRESHNESS,
    STOPPING,
    PROTECTION_OFF,
    LEASE_TAKEN,
    LEASE_RELEASED,
    LEASE_LOST,
    ORDER_SENT,
    ORDER_DONE,
    ORDER_STALE,
    ORDER_REFUSED,
];
