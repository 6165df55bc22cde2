//! Numbered log events of the serving core.

use agatestair_runtime::Event;
use slog::Level;

/// The instance accepts connections.
pub const STARTED: Event = Event { number: 5001, level: Level::Info, text: "instance started" };
/// Configuration and endpoints are known.
pub const READY: Event = Event { number: 5002, level: Level::Info, text: "instance ready" };
/// Shutdown has begun.
pub const LEAVING: Event = Event { number: 5003, level: Level::Info, text: "instance leaving" };
/// Shutdown is complete.
pub const LEFT: Event = Event { number: 5004, level: Level::Info, text: "instance left" };
/// The settings file has been read again.
pub const RELOADED: Event = Event { number: 5005, level: Level::Info, text: "settings read again" };
/// The settings file is faulty; the former settings stay in force.
pub const RELOAD_FAILED: Event =
    Event { number: 5006, level: Level::Error, text: "settings faulty, the former stay in force" };
/// A table of the store is followed again.
pub const STORE_REGAINED: Event =
    Event { number: 5010, level: Level::Info, text: "store regained" };
/// A table of the store cannot be followed.
pub const STORE_LOST: Event = Event { number: 5011, level: Level::Warning, text: "store lost" };
/// A newer configuration is in force.
pub const CONFIGURED: Event =
    Event { number: 5012, level: Level::Info, text: "configuration in force" };
/// A row of the store cannot be understood and is passed over.
pub const ROW_MALFORMED: Event =
    Event { number: 5013, level: Level::Warning, text: "row of the store not understood" };
/// What the store says of an endpoint has changed.
pub const ENDPOINT_CHANGED: Event =
    Event { number: 5014, level: Level::Info, text: "endpoint changed" };
/// The store no longer lists an endpoint.
pub const ENDPOINT_GONE: Event = Event { number: 5015, level: Level::Info, text: "endpoint gone" };
/// The store no longer lists an endpoint, which may come back.
pub const ENDPOINT_LAPSED: Event =
    Event { number: 5016, level: Level::Info, text: "entry of an endpoint lapsed, kept for now" };
/// An endpoint failed too often and gets no work for a while.
pub const ENDPOINT_EJECTED: Event =
    Event { number: 5017, level: Level::Info, text: "endpoint ejected" };
/// Another instance was heard of, or its state has changed.
pub const MEMBER_CHANGED: Event =
    Event { number: 5018, level: Level::Info, text: "other instance changed" };
/// This instance's row could not be written.
pub const ROW_UNWRITTEN: Event =
    Event { number: 5019, level: Level::Warning, text: "own row not written" };
/// An attempt goes to an endpoint.
pub const PLACED: Event = Event { number: 5020, level: Level::Info, text: "attempt placed" };
/// No endpoint can take an attempt now.
pub const DENIED: Event =
    Event { number: 5027, level: Level::Info, text: "no place for an attempt" };
/// An attempt failed.
pub const ATTEMPT_FAILED: Event =
    Event { number: 5021, level: Level::Info, text: "attempt failed" };
/// A request has its answer.
pub const ANSWERED: Event = Event { number: 5022, level: Level::Info, text: "request answered" };
/// A stream goes on at another endpoint.
pub const RESUMED: Event = Event { number: 5023, level: Level::Info, text: "stream resumed" };
/// A caller left before its answer was complete.
pub const ABANDONED: Event = Event { number: 5024, level: Level::Info, text: "caller left" };
/// A prompt that was read and is not needed could not be freed; the engine frees it in time.
pub const HANDLE_KEPT: Event =
    Event { number: 5025, level: Level::Info, text: "read prompt not freed" };
/// A stream is complete.
pub const STREAMED: Event = Event { number: 5026, level: Level::Info, text: "stream complete" };
/// An engine told what it keeps of earlier prompts.
pub const CACHE_LEARNED: Event =
    Event { number: 5028, level: Level::Info, text: "cache of an engine learned" };
/// An engine did not tell what it keeps; it is learned from the prompts to come.
pub const CACHE_UNKNOWN: Event =
    Event { number: 5029, level: Level::Info, text: "cache of an engine not learned" };
/// A connection of a caller failed.
pub const CONNECTION_FAILED: Event =
    Event { number: 5030, level: Level::Debug, text: "caller's connection failed" };
/// No connection could be accepted.
pub const ACCEPT_FAILED: Event =
    Event { number: 5031, level: Level::Warning, text: "cannot accept connections" };
/// A datagram of another instance cannot be understood.
pub const PULSE_MALFORMED: Event =
    Event { number: 5032, level: Level::Warning, text: "datagram not understood" };
/// A datagram could not be sent.
pub const PULSE_UNSENT: Event =
    Event { number: 5033, level: Level::Debug, text: "datagram not sent" };
/// A task of the instance ended by an unexpected error and is started again.
pub const TASK_FAILED: Event =
    Event { number: 5034, level: Level::Error, text: "task failed, started again" };
/// This instance begins or ceases to follow the store for others.
pub const WATCHING: Event =
    Event { number: 5035, level: Level::Info, text: "following the store for others" };
/// This instance begins or ceases to collect for its failure domain.
pub const COLLECTING: Event =
    Event { number: 5036, level: Level::Info, text: "collecting for the failure domain" };
/// An endpoint announced that it will end; it gets no new work.
pub const ENDPOINT_LEAVING: Event =
    Event { number: 5037, level: Level::Info, text: "endpoint announced its leaving" };
/// An endpoint turned a request away and wants no work for a while.
pub const ENDPOINT_PAUSED: Event =
    Event { number: 5038, level: Level::Info, text: "endpoint wants no work for a while" };
/// An endpoint's answer says something that cannot be understood; told once an endpoint.
pub const ANSWER_ODD: Event =
    Event { number: 5039, level: Level::Warning, text: "header of an answer not understood" };
/// A bulletin goes out without its rows, which are too much for this instance's link.
pub const BULLETIN_BARE: Event =
    Event { number: 5040, level: Level::Info, text: "bulletin without rows, link too narrow" };
/// A silent endpoint cannot be connected to; it gets no work until it can.
pub const ENDPOINT_DARK: Event =
    Event { number: 5041, level: Level::Info, text: "endpoint cannot be reached" };
/// An endpoint can be connected to again.
pub const ENDPOINT_REACHED: Event =
    Event { number: 5042, level: Level::Info, text: "endpoint reached again" };
/// All events of this crate.
pub const ALL: &[Event] = &[
    STARTED,
    READY,
    LEAVING,
    LEFT,
    RELOADED,
    RELOAD_FAILED,
    STORE_REGAINED,
    STORE_LOST,
    CONFIGURED,
    ROW_MALFORMED,
    ENDPOINT_CHANGED,
    ENDPOINT_GONE,
    ENDPOINT_LAPSED,
    ENDPOINT_EJECTED,
    MEMBER_CHANGED,
    ROW_UNWRITTEN,
    PLACED,
    DENIED,
    ATTEMPT_FAILED,
    ANSWERED,
    RESUMED,
    ABANDONED,
    HANDLE_KEPT,
    CACHE_LEARNED,
    CACHE_UNKNOWN,
    STREAMED,
    CONNECTION_FAILED,
    ACCEPT_FAILED,
    PULSE_MALFORMED,
    PULSE_UNSENT,
    TASK_FAILED,
    WATCHING,
    COLLECTING,
    ENDPOINT_LEAVING,
    ENDPOINT_PAUSED,
    ANSWER_ODD,
    BULLETIN_BARE,
    ENDPOINT_DARK,
    ENDPOINT_REACHED,
];
