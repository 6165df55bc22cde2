//! Numbered log events of the serving core.

use agatestair_runtime::Event;
use slog::Level;

/// The instance accepts connections.
pub const STARTED: Event = Event { number: 5001, level: Level::Info, text: "instance started" };
/// Configuration and endpoints are loaded.
pub const READY: Event = Event { number: 5002, level: Level::Info, text: "instance ready" };
/// Shutdown has started.
pub const STOPPING: Event =
    Event { number: 5003, level: Level::Info, text: "instance shutting down" };
/// Shutdown is complete.
pub const STOPPED: Event = Event { number: 5004, level: Level::Info, text: "instance stopped" };
/// The settings file was reloaded.
pub const RELOADED: Event = Event { number: 5005, level: Level::Info, text: "settings reloaded" };
/// The settings file is invalid; the previous settings stay in use.
pub const RELOAD_FAILED: Event =
    Event { number: 5006, level: Level::Error, text: "settings invalid, previous ones kept" };
/// A table of the store can be followed again after a failure.
pub const STORE_AVAILABLE: Event =
    Event { number: 5010, level: Level::Info, text: "store available again" };
/// A table of the store cannot be followed.
pub const STORE_UNAVAILABLE: Event =
    Event { number: 5011, level: Level::Warning, text: "store unavailable" };
/// A newer configuration was applied.
pub const CONFIGURED: Event =
    Event { number: 5012, level: Level::Info, text: "configuration applied" };
/// A row of the store cannot be parsed and is skipped.
pub const ROW_MALFORMED: Event =
    Event { number: 5013, level: Level::Warning, text: "malformed row in the store" };
/// An endpoint's entry in the store has changed.
pub const ENDPOINT_CHANGED: Event =
    Event { number: 5014, level: Level::Info, text: "endpoint changed" };
/// The store no longer lists an endpoint.
pub const ENDPOINT_REMOVED: Event =
    Event { number: 5015, level: Level::Info, text: "endpoint removed" };
/// The store no longer lists an endpoint; it is kept for a while because the entry may return.
pub const ENDPOINT_EXPIRED: Event =
    Event { number: 5016, level: Level::Info, text: "endpoint entry expired, kept for now" };
/// An endpoint failed too often and receives no requests for a while.
pub const ENDPOINT_EJECTED: Event =
    Event { number: 5017, level: Level::Info, text: "endpoint ejected" };
/// Another instance was discovered, or its state has changed.
pub const MEMBER_CHANGED: Event =
    Event { number: 5018, level: Level::Info, text: "other instance changed" };
/// This instance's row could not be written to the store.
pub const ROW_WRITE_FAILED: Event =
    Event { number: 5019, level: Level::Warning, text: "cannot write own row" };
/// An endpoint was selected for an attempt.
pub const PLACED: Event = Event { number: 5020, level: Level::Info, text: "attempt placed" };
/// No endpoint can take an attempt.
pub const NOT_PLACED: Event =
    Event { number: 5027, level: Level::Info, text: "no endpoint available for an attempt" };
/// An attempt failed.
pub const ATTEMPT_FAILED: Event =
    Event { number: 5021, level: Level::Info, text: "attempt failed" };
/// A request was answered; for a stream, its head.
pub const ANSWERED: Event = Event { number: 5022, level: Level::Info, text: "request answered" };
/// A withdrawal of API keys may be unknown to this instance; requests with keys are refused.
pub const KEYS_LAPSED: Event =
    Event { number: 5067, level: Level::Warning, text: "keys not known to be current" };
/// All withdrawals of API keys are known again.
pub const KEYS_PROVEN: Event =
    Event { number: 5068, level: Level::Info, text: "keys known to be current" };
/// The configuration lists a customer or a key that is not used.
pub const CUSTOMERS_MALFORMED: Event =
    Event { number: 5069, level: Level::Warning, text: "customer or key ignored" };
/// The store did not say whether the configuration is the newest.
pub const PROOF_FAILED: Event =
    Event { number: 5070, level: Level::Info, text: "configuration not confirmed" };
/// This instance performs the duties at the platform's API from now on.
pub const DUTIES_TAKEN: Event = Event { number: 5071, level: Level::Info, text: "duties taken" };
/// This instance no longer performs the duties.
pub const DUTIES_LOST: Event = Event { number: 5072, level: Level::Info, text: "duties lost" };
/// This instance has given the duties up since it shuts down.
pub const DUTIES_RELEASED: Event =
    Event { number: 5073, level: Level::Info, text: "duties released" };
/// The platform's API answered a call.
pub const DUTY_CALLED: Event = Event { number: 5074, level: Level::Info, text: "duty performed" };
/// A duty could not be performed.
pub const DUTY_FAILED: Event =
    Event { number: 5075, level: Level::Warning, text: "duty not performed" };
/// The usage report of a window can no longer change.
pub const USAGE_SETTLED: Event =
    Event { number: 5076, level: Level::Info, text: "usage report settled" };
/// A number of engines was ordered.
pub const ENGINES_ORDERED: Event =
    Event { number: 5077, level: Level::Info, text: "engines ordered" };
/// The memory that callers may hold is used up; callers are dropped.
pub const MEMORY_SHORT: Event =
    Event { number: 5080, level: Level::Warning, text: "memory for callers is short" };
/// Enough of the memory that callers may hold is free again.
pub const MEMORY_FREE: Event =
    Event { number: 5081, level: Level::Info, text: "memory for callers is free again" };
/// What a caller holds was dropped, since memory or connections were short.
pub const CALLER_DROPPED: Event =
    Event { number: 5082, level: Level::Info, text: "caller dropped" };
/// A second attempt of a slow request begins.
pub const HEDGE_BEGUN: Event =
    Event { number: 5085, level: Level::Info, text: "second attempt begun" };
/// The second attempt of a request is over.
pub const HEDGE_ENDED: Event =
    Event { number: 5086, level: Level::Info, text: "second attempt over" };
/// A call to follow a table of the store has failed.
pub const STORE_CALL_FAILED: Event =
    Event { number: 5087, level: Level::Info, text: "call to the store failed" };
/// Another instance reports the crash of an endpoint's process.
pub const CRASH_REPORTED: Event =
    Event { number: 5088, level: Level::Info, text: "crash of an endpoint reported" };
/// An endpoint's process is alive although it was recorded as crashed.
pub const CRASH_WITHDRAWN: Event =
    Event { number: 5089, level: Level::Info, text: "crash of an endpoint withdrawn" };
/// A stream continues at another endpoint.
pub const RESUMED: Event = Event { number: 5023, level: Level::Info, text: "stream resumed" };
/// A caller disconnected before the response was ready.
pub const ABANDONED: Event =
    Event { number: 5024, level: Level::Info, text: "caller disconnected" };
/// An unused prefilled prompt could not be freed; the engine frees it itself later.
pub const HANDLE_NOT_FREED: Event =
    Event { number: 5025, level: Level::Info, text: "cannot free prefilled prompt" };
/// A stream is complete.
pub const STREAMED: Event = Event { number: 5026, level: Level::Info, text: "stream complete" };
/// An engine listed the parts of earlier prompts in its cache.
pub const CACHE_LISTED: Event =
    Event { number: 5028, level: Level::Info, text: "engine cache listed" };
/// An engine did not list its cache; the contents are inferred from later prompts.
pub const CACHE_LIST_FAILED: Event =
    Event { number: 5029, level: Level::Info, text: "cannot list engine cache" };
/// A caller's connection failed.
pub const CONNECTION_FAILED: Event =
    Event { number: 5030, level: Level::Info, text: "caller's connection failed" };
/// A connection could not be accepted.
pub const ACCEPT_FAILED: Event =
    Event { number: 5031, level: Level::Warning, text: "cannot accept connections" };
/// A datagram from another instance cannot be parsed.
pub const DATAGRAM_MALFORMED: Event =
    Event { number: 5032, level: Level::Warning, text: "malformed datagram" };
/// A datagram could not be sent.
pub const DATAGRAM_NOT_SENT: Event =
    Event { number: 5033, level: Level::Debug, text: "cannot send datagram" };
/// A task of the instance failed unexpectedly and is restarted.
pub const TASK_FAILED: Event =
    Event { number: 5034, level: Level::Error, text: "task failed, restarting it" };
/// This instance starts or stops following the store for other instances.
pub const WATCHING: Event =
    Event { number: 5035, level: Level::Info, text: "store watcher role changed" };
/// This instance starts or stops collecting loads for its failure domain.
pub const COLLECTING: Event =
    Event { number: 5036, level: Level::Info, text: "load collector role changed" };
/// An endpoint announced that it is shutting down; it receives no new requests.
pub const ENDPOINT_LEAVING: Event =
    Event { number: 5037, level: Level::Info, text: "endpoint shutting down" };
/// An endpoint refused a request and asked for a pause.
pub const ENDPOINT_PAUSED: Event =
    Event { number: 5038, level: Level::Info, text: "endpoint paused" };
/// A header of an endpoint's response cannot be parsed; logged once per endpoint.
pub const RESPONSE_MALFORMED: Event =
    Event { number: 5039, level: Level::Warning, text: "malformed response header" };
/// A bulletin is sent without its rows, which would exceed this instance's share of the link.
pub const BULLETIN_WITHOUT_ROWS: Event = Event {
    number: 5040,
    level: Level::Info,
    text: "bulletin sent without rows, link limit reached",
};
/// An endpoint that does not respond cannot be connected to; it receives no requests until it can.
pub const ENDPOINT_UNREACHABLE: Event =
    Event { number: 5041, level: Level::Info, text: "endpoint unreachable" };
/// An endpoint can be connected to again.
pub const ENDPOINT_REACHABLE: Event =
    Event { number: 5042, level: Level::Info, text: "endpoint reachable again" };
/// An endpoint named a limit on its requests, changed it or lifted it.
pub const ENDPOINT_LIMITED: Event =
    Event { number: 5043, level: Level::Info, text: "endpoint rate limit changed" };
/// An attempt was placed, but not sent, since its endpoint accepts no request now.
pub const ATTEMPT_WITHHELD: Event =
    Event { number: 5044, level: Level::Info, text: "attempt withheld" };
/// The process exits although a request has no complete answer yet.
pub const REQUEST_CUT: Event =
    Event { number: 5045, level: Level::Warning, text: "request cut by shutdown" };
/// A run broke because its endpoint's process crashed.
pub const ENDPOINT_CRASHED: Event =
    Event { number: 5046, level: Level::Warning, text: "endpoint crashed during a run" };
/// A part of prompts crashes endpoints; requests with it are refused.
pub const PART_QUARANTINED: Event =
    Event { number: 5047, level: Level::Warning, text: "prompt part quarantined" };
/// A request with a quarantined part is sent as a trial.
pub const PART_TRIED: Event =
    Event { number: 5049, level: Level::Info, text: "quarantined prompt part tried" };
/// A part of prompts is no longer quarantined.
pub const PART_RELEASED: Event =
    Event { number: 5048, level: Level::Info, text: "prompt part released" };
/// The store was restored from a copy; its tables are read again.
pub const STORE_RESTORED: Event =
    Event { number: 5050, level: Level::Warning, text: "store restored" };
/// A table was read again after a restore of the store.
pub const TABLE_READ_AGAIN: Event =
    Event { number: 5051, level: Level::Info, text: "table read after a restore" };
/// An entry of a restored store is older than what is known of its endpoint, and is not used.
pub const ENTRY_HELD: Event =
    Event { number: 5052, level: Level::Info, text: "outdated entry of a restored store" };
/// A response that the store sent before it was restored is not used.
pub const ANSWER_FORMER: Event =
    Event { number: 5053, level: Level::Info, text: "response from before the restore dropped" };
/// A restore of the store has lost this instance's row, which is written again.
pub const ROW_LOST: Event =
    Event { number: 5054, level: Level::Warning, text: "own row lost by a restore" };
/// The store names a timeline that cannot be parsed. Only the first one is logged.
pub const TIMELINE_MALFORMED: Event =
    Event { number: 5055, level: Level::Warning, text: "malformed timeline of the store" };
/// An endpoint does not answer a request, which is tried elsewhere meanwhile if it may be.
pub const ENDPOINT_SILENT: Event =
    Event { number: 5056, level: Level::Info, text: "endpoint silent" };
/// An endpoint that was silent has answered after all.
pub const ENDPOINT_RESUMED: Event =
    Event { number: 5057, level: Level::Info, text: "silent endpoint went on" };
/// An attempt without a response is given up, since another endpoint has answered or the caller has
/// left.
pub const ATTEMPT_DROPPED: Event =
    Event { number: 5058, level: Level::Info, text: "attempt given up" };
/// A caller did not send the rest of a head, or did not take a response, within the time limit.
pub const CALLER_TOO_SLOW: Event =
    Event { number: 5060, level: Level::Info, text: "caller too slow, connection closed" };
/// The code that serves a request has panicked.
pub const REQUEST_FAILED: Event =
    Event { number: 5061, level: Level::Error, text: "request failed unexpectedly" };
/// An attempt to continue a stream is given up without an event, since the endpoint before may still
/// work on the stream.
pub const ATTEMPT_WITHDRAWN: Event =
    Event { number: 5062, level: Level::Info, text: "attempt withdrawn" };
/// A request is written to a connection.
pub const REQUEST_SENT: Event = Event { number: 5063, level: Level::Info, text: "request sent" };
/// A kept connection was closed before any of the request was written.
pub const REQUEST_NOT_BEGUN: Event =
    Event { number: 5064, level: Level::Info, text: "kept connection closed, request not written" };
/// An endpoint says that it has not executed a request.
pub const REQUEST_REFUSED: Event =
    Event { number: 5065, level: Level::Info, text: "request refused by its endpoint" };
/// A broken stream is not continued from the copy of its KV cache.
pub const COPY_NOT_USED: Event =
    Event { number: 5066, level: Level::Info, text: "copy of a broken stream not used" };
/// All events of this crate.
pub const ALL: &[Event] = &[
    STARTED,
    READY,
    STOPPING,
    STOPPED,
    RELOADED,
    RELOAD_FAILED,
    STORE_AVAILABLE,
    STORE_UNAVAILABLE,
    CONFIGURED,
    ROW_MALFORMED,
    ENDPOINT_CHANGED,
    ENDPOINT_REMOVED,
    ENDPOINT_EXPIRED,
    ENDPOINT_EJECTED,
    MEMBER_CHANGED,
    ROW_WRITE_FAILED,
    PLACED,
    NOT_PLACED,
    ATTEMPT_FAILED,
    ANSWERED,
    RESUMED,
    ABANDONED,
    HANDLE_NOT_FREED,
    CACHE_LISTED,
    CACHE_LIST_FAILED,
    STREAMED,
    CONNECTION_FAILED,
    ACCEPT_FAILED,
    DATAGRAM_MALFORMED,
    DATAGRAM_NOT_SENT,
    TASK_FAILED,
    WATCHING,
    COLLECTING,
    ENDPOINT_LEAVING,
    ENDPOINT_PAUSED,
    RESPONSE_MALFORMED,
    BULLETIN_WITHOUT_ROWS,
    ENDPOINT_UNREACHABLE,
    ENDPOINT_REACHABLE,
    ENDPOINT_LIMITED,
    ATTEMPT_WITHHELD,
    REQUEST_CUT,
    ENDPOINT_CRASHED,
    PART_QUARANTINED,
    PART_RELEASED,
    PART_TRIED,
    STORE_RESTORED,
    TABLE_READ_AGAIN,
    ENTRY_HELD,
    ANSWER_FORMER,
    ROW_LOST,
    TIMELINE_MALFORMED,
    ENDPOINT_SILENT,
    ENDPOINT_RESUMED,
    ATTEMPT_DROPPED,
    CALLER_TOO_SLOW,
    REQUEST_FAILED,
    ATTEMPT_WITHDRAWN,
    REQUEST_SENT,
    REQUEST_NOT_BEGUN,
    REQUEST_REFUSED,
    COPY_NOT_USED,
    KEYS_LAPSED,
    KEYS_PROVEN,
    CUSTOMERS_MALFORMED,
    PROOF_FAILED,
    DUTIES_TAKEN,
    DUTIES_LOST,
    DUTIES_RELEASED,
    DUTY_CALLED,
    DUTY_FAILED,
    USAGE_SETTLED,
    ENGINES_ORDERED,
    MEMORY_SHORT,
    MEMORY_FREE,
    CALLER_DROPPED,
    HEDGE_BEGUN,
    HEDGE_ENDED,
    STORE_CALL_FAILED,
    CRASH_REPORTED,
    CRASH_WITHDRAWN,
];
