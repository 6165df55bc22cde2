//! Numbered log events of the entry.

use agatestair_runtime::Event;
use slog::Level;

/// The entry accepts connections.
pub const STARTED: Event = Event { number: 1001, level: Level::Info, text: "entry started" };
/// Lists and fleet have been received; callers may be sent here.
pub const READY: Event = Event { number: 1002, level: Level::Info, text: "entry ready" };
/// The lists are stale; requests are refused.
pub const LISTS_STALE: Event =
    Event { number: 1003, level: Level::Warning, text: "lists stale, refusing requests" };
/// Newer lists were applied.
pub const LISTS_APPLIED: Event = Event { number: 1004, level: Level::Info, text: "lists applied" };
/// Lists from the control process could not be parsed.
pub const LISTS_MALFORMED: Event =
    Event { number: 1005, level: Level::Error, text: "lists malformed, previous ones kept" };
/// Shutdown has begun.
pub const SHUTDOWN_STARTED: Event =
    Event { number: 1006, level: Level::Info, text: "entry shutting down" };
/// Shutdown is complete.
pub const STOPPED: Event = Event { number: 1007, level: Level::Info, text: "entry stopped" };
/// The platform's shutdown timeout expired with open requests.
pub const SHUTDOWN_TIMED_OUT: Event =
    Event { number: 1008, level: Level::Error, text: "shutdown timed out with open requests" };
/// A request was open at the end of the shutdown.
pub const REQUEST_CUT: Event =
    Event { number: 1009, level: Level::Warning, text: "request cut by shutdown" };
/// An attempt failed.
pub const ATTEMPT_FAILED: Event =
    Event { number: 1010, level: Level::Info, text: "attempt failed" };
/// A response piece was dropped.
pub const PIECE_DROPPED: Event = Event { number: 1011, level: Level::Info, text: "piece dropped" };
/// A response was truncated.
pub const RESPONSE_TRUNCATED: Event =
    Event { number: 1012, level: Level::Warning, text: "response truncated" };
/// A caller's connection failed.
pub const CONNECTION_FAILED: Event =
    Event { number: 1013, level: Level::Debug, text: "caller's connection failed" };
/// A connection could not be accepted.
pub const ACCEPT_FAILED: Event =
    Event { number: 1014, level: Level::Warning, text: "cannot accept connections" };
/// Nothing has come from the engine of an attempt for a while.
pub const ATTEMPT_SILENT: Event =
    Event { number: 1015, level: Level::Info, text: "attempt silent" };
/// The engine of a silent attempt has gone on.
pub const ATTEMPT_RESUMED: Event =
    Event { number: 1016, level: Level::Info, text: "silent attempt went on" };
/// The outcome of a keyed call has not been recorded yet.
pub const RECORD_DELAYED: Event =
    Event { number: 1020, level: Level::Warning, text: "outcome of a keyed call not yet recorded" };
/// A snapshot of the service-level counters could not be written.
pub const SNAPSHOT_FAILED: Event =
    Event { number: 1021, level: Level::Warning, text: "cannot write service-level snapshot" };
/// Protections are disabled; for tests only.
pub const PROTECTION_DISABLED: Event =
    Event { number: 1022, level: Level::Warning, text: "protections disabled by a test setting" };

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
    REQUEST_CUT,
    ATTEMPT_FAILED,
    PIECE_DROPPED,
    RESPONSE_TRUNCATED,
    CONNECTION_FAILED,
    ACCEPT_FAILED,
    ATTEMPT_SILENT,
    ATTEMPT_RESUMED,
    RECORD_DELAYED,
    SNAPSHOT_FAILED,
    PROTECTION_DISABLED,
];
