//! Numbered log events of the entry.

use agatestair_runtime::Event;
use slog::Level;

/// The entry accepts connections.
pub const STARTED: Event = Event { number: 1001, level: Level::Info, text: "entry started" };
/// Lists and fleet are known.
pub const READY: Event = Event { number: 1002, level: Level::Info, text: "entry ready" };
/// The lists may be out of date; work is refused.
pub const LISTS_STALE: Event = Event {
    number: 1003,
    level: Level::Warning,
    text: "lists may be out of date, work is refused",
};
/// Newer lists are in force.
pub const LISTS_APPLIED: Event = Event { number: 1004, level: Level::Info, text: "lists in force" };
/// Lists from the control process could not be read.
pub const LISTS_MALFORMED: Event =
    Event { number: 1005, level: Level::Error, text: "lists malformed, the former stay in force" };
/// Shutdown has begun.
pub const SHUTDOWN_STARTED: Event =
    Event { number: 1006, level: Level::Info, text: "entry leaving" };
/// Shutdown is complete.
pub const STOPPED: Event = Event { number: 1007, level: Level::Info, text: "entry left" };
/// The platform's patience ran out with requests in work.
pub const SHUTDOWN_TIMED_OUT: Event =
    Event { number: 1008, level: Level::Error, text: "patience ran out with requests in work" };
/// An attempt failed.
pub const ATTEMPT_FAILED: Event =
    Event { number: 1010, level: Level::Info, text: "attempt failed" };
/// A piece was dropped.
pub const PIECE_DROPPED: Event = Event { number: 1011, level: Level::Info, text: "piece dropped" };
/// An answer was cut.
pub const RESPONSE_TRUNCATED: Event =
    Event { number: 1012, level: Level::Warning, text: "answer cut" };
/// A connection of a caller failed.
pub const CONNECTION_FAILED: Event =
    Event { number: 1013, level: Level::Debug, text: "caller's connection failed" };
/// No connection could be accepted.
pub const ACCEPT_FAILED: Event =
    Event { number: 1014, level: Level::Warning, text: "cannot accept connections" };
/// The outcome of a keyed call could not be recorded yet.
pub const RECORD_DELAYED: Event =
    Event { number: 1020, level: Level::Warning, text: "outcome of a keyed call not yet recorded" };
/// A snapshot of the service-level counters could not be written.
pub const SNAPSHOT_FAILED: Event =
    Event { number: 1021, level: Level::Warning, text: "service-level snapshot not written" };
/// Protections are switched off; never in production.
pub const PROTECTION_DISABLED: Event =
    Event { number: 1022, level: Level::Warning, text: "protections are switched off" };

/// All events of this crate.
pub const ALL: &[Event] = &[
    STARTED,
    READY,
    LISTS_STALE,
    LISTS_APPLIED,
    LISTS_MALFORMED,
    SHUTDOWN_STARTED,
    STOPPED,
    SHUTDOWN_TIMED_OUT,
    ATTEMPT_FAILED,
    PIECE_DROPPED,
    RESPONSE_TRUNCATED,
    CONNECTION_FAILED,
    ACCEPT_FAILED,
    RECORD_DELAYED,
    SNAPSHOT_FAILED,
    PROTECTION_DISABLED,
];
