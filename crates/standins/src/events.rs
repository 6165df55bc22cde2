//! Log events of the stand-ins.

use agatestair_runtime::Event;
use slog::Level;

/// All endpoints, the platform and the recorder are listening.
pub const STARTED: Event = Event { number: 9000, level: Level::Info, text: "stand-ins started" };
/// The fault proxy is listening.
pub const PROXY_STARTED: Event =
    Event { number: 9001, level: Level::Info, text: "fault proxy started" };
/// The process exits after a termination signal.
pub const STOPPED: Event = Event { number: 9002, level: Level::Info, text: "stand-ins stopped" };
/// A listener could not be started; the process exits.
pub const LISTEN_FAILED: Event =
    Event { number: 9003, level: Level::Error, text: "cannot listen; choose a free port" };

/// All events of this crate.
pub const ALL: &[Event] = &[STARTED, PROXY_STARTED, STOPPED, LISTEN_FAILED];
