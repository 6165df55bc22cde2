//! Splits server-sent event streams into events.

use std::fmt;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::time::Instant;

/// Maximum size of one event in bytes; a larger one makes the stream invalid.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Why the bytes of a stream are not passed on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StreamError {
    /// An event of this many bytes or more exceeds the maximum size.
    TooLarge(usize),
    /// A resumed stream begins with the event `next` after the event `last`.
    OutOfPlace {
        /// Identifier of the last event before the resumption.
        last: String,
        /// Identifier of the first event after it.
        next: String,
    },
}

impl fmt::Display for StreamError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge(size) => write!(f, "event of {size} bytes is too large"),
            Self::OutOfPlace { last, next } => {
                write!(f, "the stream was resumed with event {next} after event {last}")
            }
        }
    }
}

impl std::error::Error for StreamError {}

/// Splits the bytes of a stream into complete events and records the last identifier.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    /// Last identifier among the complete events.
    pub last: Option<String>,
    /// Number of complete events so far.
    pub events: u64,
    /// Longest time between the arrivals of complete events.
    pub max_gap: Duration,
    last_event: Option<Instant>,
    /// Number of events whose identifiers were consecutive up to the last one.
    consecutive: u64,
    /// Whether the next event with an identifier is the first one of a resumed run.
    resumed: bool,
}

impl EventSplitter {
    /// Adds bytes and returns all events that are complete now.
    ///
    /// # Errors
    ///
    /// Returns a [`StreamError`] if an event exceeds the maximum size, or if a resumed run does not
    /// continue after the last event.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, StreamError> {
        self.pending.extend_from_slice(bytes);
        let mut end = 0;
        while let Some(length) = event_length(&self.pending[end..]) {
            if let Some(id) = event_id(&self.pending[end..end + length]) {
                self.note_id(id)?;
            }
            self.events += 1;
            end += length;
        }
        if end > 0 {
            let now = Instant::now();
            let gap = self.last_event.replace(now).map(|last_event| now - last_event);
            self.max_gap = self.max_gap.max(gap.unwrap_or_default());
        }
        if self.pending.len() - end > MAX_EVENT_BYTES {
            return Err(StreamError::TooLarge(self.pending.len()));
        }
        Ok(self.pending.split_to(end).freeze())
    }

    /// Drops an incomplete event, and expects the next run to continue after the last complete one.
    pub fn resume(&mut self) {
        self.pending.clear();
        self.resumed = true;
    }

    /// Records the identifier of a complete event.
    fn note_id(&mut self, id: String) -> Result<(), StreamError> {
        let step = self.last.as_deref().and_then(|last| step(last, &id));
        if std::mem::take(&mut self.resumed)
            && let (Some(last), Some(step)) = (&self.last, step)
            && (step <= 0 || (step > 1 && self.consecutive > 1))
        {
            return Err(StreamError::OutOfPlace { last: last.clone(), next: id });
        }
        self.consecutive = if step == Some(1) { self.consecutive + 1 } else { 1 };
        self.last = Some(id);
        Ok(())
    }

    /// The buffered bytes after the last complete event.
    pub fn rest(&self) -> &[u8] {
        &self.pending
    }

    /// Number of buffered bytes of an incomplete event.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Memory allocated for an incomplete event, in bytes.
    pub fn capacity(&self) -> usize {
        self.pending.capacity()
    }

    /// Takes the buffered bytes after the last complete event.
    pub fn take_rest(&mut self) -> Bytes {
        self.pending.split().freeze()
    }
}

/// Length of the first event, including the empty line that ends it; `None` if incomplete.
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

/// Difference of two identifiers; `None` if they are not numbers.
fn step(last: &str, next: &str) -> Option<i128> {
    Some(i128::from(next.parse::<u64>().ok()?) - i128::from(last.parse::<u64>().ok()?))
}

/// Value of the event's last `id` field.
fn event_id(event: &[u8]) -> Option<String> {
    let lines = event.split(|byte| *byte == b'\n');
    let id = lines.filter_map(|line| line.strip_prefix(b"id:")).next_back()?;
    String::from_utf8(id.trim_ascii().to_vec()).ok()
}
