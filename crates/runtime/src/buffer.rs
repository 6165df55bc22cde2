//! Buffered log that never blocks the logging thread.

use std::io::{self, Write};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use agatestair_schema::settings::LogSettings;
use rustix::fs::{OFlags, fcntl_getfl, fcntl_setfl};
use slog::{Drain, Logger, o};

use crate::log::level_of;

/// Buffer size in bytes from which further records are dropped and counted.
const MAX_BUFFERED: usize = 512 * 1024;

#[derive(Debug, Default)]
struct Pending {
    bytes: Vec<u8>,
    dropped: u64,
}

/// Log records not yet written to standard output.
#[derive(Clone, Debug, Default)]
pub struct LogBuffer {
    pending: Arc<Mutex<Pending>>,
}

impl LogBuffer {
    /// Writes as much as standard output accepts without blocking.
    pub fn flush(&self) {
        let mut pending = self.lock();
        if pending.dropped > 0 {
            let line =
                format!("{{\"msg\":\"log records dropped\",\"count\":{}}}\n", pending.dropped);
            pending.bytes.extend_from_slice(line.as_bytes());
            pending.dropped = 0;
        }
        if pending.bytes.is_empty() {
            return;
        }
        match rustix::io::write(rustix::stdio::stdout(), &pending.bytes) {
            Ok(written) => {
                pending.bytes.drain(..written);
            }
            // The reader lags: retry on the next flush. `MAX_BUFFERED` limits memory until then.
            Err(rustix::io::Errno::AGAIN | rustix::io::Errno::INTR) => {}
            // The reader is gone, so there is nowhere to report the error.
            Err(_) => pending.bytes.clear(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Pending> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Write for LogBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.lock().bytes.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Opens a log in JSON lines whose records stay in a buffer until [`LogBuffer::flush`].
///
/// # Errors
///
/// The operating system's error if standard output cannot be set to non-blocking.
pub fn open_buffered_log(
    settings: Option<&LogSettings>,
    process: &'static str,
    instance: &str,
) -> io::Result<(Logger, LogBuffer)> {
    let output = rustix::stdio::stdout();
    fcntl_setfl(output, fcntl_getfl(output)? | OFlags::NONBLOCK)?;
    let buffer = LogBuffer::default();
    let level = settings.map_or(slog::Level::Info, |settings| level_of(&settings.level));
    let json = Mutex::new(slog_json::Json::default(buffer.clone()));
    let limited = buffer.clone();
    let drain = json.ignore_res().filter(move |_| {
        let mut pending = limited.lock();
        let full = pending.bytes.len() >= MAX_BUFFERED;
        pending.dropped += u64::from(full);
        !full
    });
    let drain = drain.filter_level(level).ignore_res();
    let values = o!("process" => process, "instance" => instance.to_owned());
    Ok((Logger::root(drain, values), buffer))
}
