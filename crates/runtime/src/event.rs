//! Log events with stable numbers.

/// One event of the log catalogue, `docs/EVENTS.md`.
///
/// Numbers are never reused. Entries use 1000 to 1999, control processes 2000 to 2999, links
/// 3000 to 3999, store clients 4000 to 4999, the serving core 5000 to 5999 and the stand-ins
/// 9000 to 9999.
#[derive(Clone, Copy, Debug)]
pub struct Event {
    /// Unique number.
    pub number: u32,
    /// Severity.
    pub level: slog::Level,
    /// Message.
    pub text: &'static str,
}

/// Logs an [`Event`] with key-value pairs: `log_event!(log, STARTED, "address" => address)`.
#[macro_export]
macro_rules! log_event {
    ($log:expr, $event:expr $(, $key:expr => $value:expr)* $(,)?) => {
        slog::log!($log, $event.level, "", "{}", $event.text; "event" => $event.number $(, $key => $value)*)
    };
}
