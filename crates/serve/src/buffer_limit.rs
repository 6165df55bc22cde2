//! Limits the total memory of response data that is buffered before it can be forwarded.

use std::cell::Cell;
use std::rc::Rc;

/// Fraction of the instance's memory for buffered response data.
const MEMORY_SHARE: f64 = 0.25;

/// Bytes of each response that do not count towards the limit. Normal responses are smaller than
/// this, so they can always be buffered, whatever other responses use.
pub const UNCOUNTED_BYTES: usize = 64 * 1024;

/// Bytes in a megabyte.
const MEGABYTE: f64 = 1024.0 * 1024.0;

/// Memory used by all buffered responses, and its limit.
#[derive(Clone, Debug)]
pub struct BufferLimit {
    bytes: Rc<Cell<usize>>,
    max_bytes: usize,
}

impl BufferLimit {
    /// Creates the limit for an instance with this much memory, in megabytes.
    pub fn new(memory_mb: f64) -> Self {
        Self { bytes: Rc::default(), max_bytes: (memory_mb * MEGABYTE * MEMORY_SHARE) as usize }
    }

    /// Bytes that currently count towards the limit.
    pub fn bytes(&self) -> usize {
        self.bytes.get()
    }
}

/// Memory used by one buffered response, released on drop.
#[derive(Debug)]
pub struct BufferGuard {
    total: BufferLimit,
    counted: usize,
}

impl BufferGuard {
    /// Creates an empty reservation.
    pub fn new(total: &BufferLimit) -> Self {
        Self { total: total.clone(), counted: 0 }
    }

    /// Sets the size of the response in bytes; returns `false` and changes nothing if the limit
    /// would be exceeded. Shrinking always succeeds.
    pub fn set(&mut self, bytes: usize) -> bool {
        let counted = bytes.saturating_sub(UNCOUNTED_BYTES);
        let others = self.total.bytes.get() - self.counted;
        let fits = counted <= self.counted || others + counted <= self.total.max_bytes;
        if fits {
            self.total.bytes.set(others + counted);
            self.counted = counted;
        }
        fits
    }
}

impl Drop for BufferGuard {
    fn drop(&mut self) {
        self.total.bytes.set(self.total.bytes.get() - self.counted);
    }
}
