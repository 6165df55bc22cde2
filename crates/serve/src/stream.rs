//! Events of a stream, whole or not.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::time::Instant;

/// Greatest size of one event in bytes; a stream with a larger one is not understood.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Cuts the bytes of a stream into whole events and remembers the last identifier.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    /// Identifier of the last whole event.
    pub last: Option<String>,
    /// Whole events so far.
    pub events: u64,
    /// Longest time between two of them.
    pub pause: Duration,
    since: Option<Instant>,
}

impl EventSplitter {
    /// Adds bytes and returns all whole events that they complete.
    ///
    /// # Errors
    ///
    /// The bytes at hand if an event is larger than any endpoint sends.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, usize> {
        self.pending.extend_from_slice(bytes);
        let mut end = 0;
        while let Some(length) = event_length(&self.pending[end..]) {
            if let Some(id) = event_id(&self.pending[end..end + length]) {
                self.last = Some(id);
            }
            self.events += 1;
            end += length;
        }
        if end > 0 {
            let now = Instant::now();
            let pause = self.since.replace(now).map(|since| now - since);
            self.pause = self.pause.max(pause.unwrap_or_default());
        }
        if self.pending.len() - end > MAX_EVENT_BYTES {
            return Err(self.pending.len());
        }
        Ok(self.pending.split_to(end).freeze())
    }

    /// Bytes of an event that is not whole yet.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Bytes after the last whole event, taken out.
    pub fn rest(&mut self) -> Bytes {
        self.pending.split().freeze()
    }
}

/// Length of the event at the start of the bytes, with the empty line that ends it.
fn event_length(bytes: &[u8]) -> Option<usize> {
    let mut start = 0;
    while let Some(length) = bytes[start..].iter().position(|byte| *byte == b'\n') {
        let line = &bytes[start..start + length];
        start += length + 1;
        if line.is_empty() || line == b"\r" {
            return Some(start);
        }
    }
    None
}

/// The identifier that an event carries.
fn event_id(event: &[u8]) -> Option<String> {
    let lines = event.split(|byte| *byte == b'\n');
    let id = lines.filter_map(|line| line.strip_prefix(b"id:")).next_back()?;
    String::from_utf8(id.trim_ascii().to_vec()).ok()
}
