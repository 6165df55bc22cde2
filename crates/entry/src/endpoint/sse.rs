//! Reader for server-sent events with bounded memory.

use std::fmt;
use std::io::{BufRead, Read};

/// Maximum size of one event's data in bytes.
pub const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Error that ends the reading of a stream.
#[derive(Debug)]
pub enum SseError {
    /// A line or an event is larger than [`MAX_EVENT_BYTES`].
    TooLarge,
    /// An event is not UTF-8.
    NotText,
    /// The connection failed or timed out.
    Io(std::io::Error),
}

impl fmt::Display for SseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge => {
                write!(f, "an event is over {MAX_EVENT_BYTES} bytes; check the engine")
            }
            Self::NotText => f.write_str("an event is not UTF-8; check the engine"),
            Self::Io(error) => write!(f, "the connection failed ({error}); it is tried anew"),
        }
    }
}

impl std::error::Error for SseError {}

/// Reads server-sent events from one stream.
pub struct SseReader<R> {
    source: R,
    line: Vec<u8>,
}

impl<R: BufRead> SseReader<R> {
    /// Creates a reader of `source`.
    pub fn new(source: R) -> Self {
        Self { source, line: Vec::new() }
    }

    /// Data of the next event; `None` at the end of the stream.
    ///
    /// Multiple data lines of one event are joined by line feeds. Comments and other fields are
    /// ignored. An incomplete event at the end of the stream is dropped, as the specification
    /// requires.
    ///
    /// # Errors
    ///
    /// [`SseError`], after which the stream must not be read any further.
    pub fn next_event(&mut self) -> Result<Option<String>, SseError> {
        let mut data: Option<Vec<u8>> = None;
        while self.read_line()? {
            let line = trim_end(&self.line);
            if line.is_empty() {
                if let Some(data) = data.take() {
                    return String::from_utf8(data).map(Some).map_err(|_| SseError::NotText);
                }
            } else if let Some(value) = data_of(line) {
                append(&mut data, value)?;
            }
        }
        Ok(None)
    }

    /// Reads one line, including the line feed, into `self.line`; `false` at the end of the stream.
    fn read_line(&mut self) -> Result<bool, SseError> {
        self.line.clear();
        let limit = MAX_EVENT_BYTES as u64 + 1;
        let mut source = Read::take(&mut self.source, limit);
        let size = source.read_until(b'\n', &mut self.line).map_err(SseError::Io)?;
        if size > MAX_EVENT_BYTES {
            return Err(SseError::TooLarge);
        }
        Ok(self.line.last() == Some(&b'\n'))
    }
}

/// Value of a `data` field, without the optional space after the colon.
fn data_of(line: &[u8]) -> Option<&[u8]> {
    let value = line.strip_prefix(b"data:")?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}

fn append(data: &mut Option<Vec<u8>>, value: &[u8]) -> Result<(), SseError> {
    let size = data.as_ref().map_or(0, Vec::len) + value.len();
    if size > MAX_EVENT_BYTES {
        return Err(SseError::TooLarge);
    }
    match data {
        Some(data) => {
            data.push(b'\n');
            data.extend_from_slice(value);
        }
        None => *data = Some(value.to_vec()),
    }
    Ok(())
}

fn trim_end(line: &[u8]) -> &[u8] {
    let line = line.strip_suffix(b"\n").unwrap_or(line);
    line.strip_suffix(b"\r").unwrap_or(line)
}
