//! Limits the total memory of requests and responses that are buffered before they can be forwarded.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::Notify;

/// Fraction of the instance's memory for buffered response data.
const RESPONSE_SHARE: f64 = 0.25;

/// Largest step in bytes by which a buffer grows, so that the memory that it reserves ahead stays
/// small.
const MAX_GROWTH_BYTES: usize = 1024 * 1024;

/// Bytes of each response that do not count towards the limit. Normal responses are smaller than
/// this, so they can always be buffered, whatever other responses use.
pub const UNCOUNTED_BYTES: usize = 64 * 1024;

/// Bytes in a megabyte.
const MEGABYTE: f64 = 1024.0 * 1024.0;

/// Memory used by all buffers of a kind, and its limit.
#[derive(Clone, Debug)]
pub struct BufferLimit {
    bytes: Rc<Cell<usize>>,
    max_bytes: usize,
    /// Bytes of each buffer that do not count.
    uncounted: usize,
    /// Signals that more bytes count.
    grown: Rc<Notify>,
}

impl BufferLimit {
    /// Creates the limit on responses of an instance with this much memory, in megabytes.
    pub fn new(memory_mb: f64) -> Self {
        Self::of(memory_mb * RESPONSE_SHARE, UNCOUNTED_BYTES)
    }

    fn of(max_mb: f64, uncounted: usize) -> Self {
        Self {
            bytes: Rc::default(),
            max_bytes: (max_mb * MEGABYTE) as usize,
            uncounted,
            grown: Rc::default(),
        }
    }

    /// Waits until more bytes count.
    pub(crate) async fn grown(&self) {
        self.grown.notified().await;
    }

    /// Bytes that currently count towards the limit.
    pub fn bytes(&self) -> usize {
        self.bytes.get()
    }
}

/// Memory used by one buffer, released on drop.
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

    /// Bytes that count towards the limit.
    pub(crate) fn counted(&self) -> usize {
        self.counted
    }

    /// Appends data to the buffered bytes, whose capacity counts; returns `false` and changes nothing if
    /// the limit would be exceeded.
    pub fn append(&mut self, bytes: &mut Vec<u8>, data: &[u8]) -> bool {
        let size = bytes.len() + data.len();
        if size > bytes.capacity() {
            let capacity = bytes.capacity() + bytes.capacity().min(MAX_GROWTH_BYTES);
            let capacity = capacity.max(size);
            if !self.set(capacity) {
                return false;
            }
            bytes.reserve_exact(capacity - bytes.len());
        }
        bytes.extend_from_slice(data);
        true
    }

    /// Sets the size of the buffer in bytes; returns `false` and changes nothing if the limit
    /// would be exceeded. Shrinking always succeeds.
    pub fn set(&mut self, bytes: usize) -> bool {
        let counted = bytes.saturating_sub(self.total.uncounted);
        let others = self.total.bytes.get() - self.counted;
        let fits = counted <= self.counted || others + counted <= self.total.max_bytes;
        if fits {
            if counted > self.counted {
                self.total.grown.notify_one();
            }
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
