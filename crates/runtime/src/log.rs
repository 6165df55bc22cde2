//! Structured logging to standard error.

use agatestair_schema::settings::{LogFormat, LogLevel, LogSettings};
use slog::{Drain, Level, Logger, o};
use slog_async::{Async, OverflowStrategy};

/// Capacity of the queue of unwritten records; further records are dropped and counted.
const QUEUED_RECORDS: usize = 4096;

/// Opens the log of a process; each record includes `process` and `instance`.
pub fn open_log(settings: Option<&LogSettings>, process: &'static str, instance: &str) -> Logger {
    let level = settings.map_or(Level::Info, |settings| level_of(&settings.level));
    let json = settings.is_some_and(|settings| settings.format == LogFormat::Json);
    let values = o!("process" => process, "instance" => instance.to_owned());
    if json {
        let drain = slog_json::Json::default(std::io::stderr());
        return Logger::root(queued(drain.filter_level(level).ignore_res()), values);
    }
    let decorator = slog_term::PlainDecorator::new(std::io::stderr());
    let drain = slog_term::FullFormat::new(decorator).use_original_order().build();
    Logger::root(queued(drain.filter_level(level).ignore_res()), values)
}

fn queued<D>(drain: D) -> slog::Fuse<Async>
where
    D: Drain<Err = slog::Never, Ok = ()> + Send + 'static,
{
    Async::new(drain)
        .chan_size(QUEUED_RECORDS)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build()
        .fuse()
}

pub(crate) fn level_of(level: &LogLevel) -> Level {
    match level {
        LogLevel::Trace => Level::Trace,
        LogLevel::Debug => Level::Debug,
        LogLevel::Info => Level::Info,
        LogLevel::Warning => Level::Warning,
        LogLevel::Error => Level::Error,
    }
}
