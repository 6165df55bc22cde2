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
];
