//! Memory for parts of answers that cannot be passed on yet, bounded over all answers together.

use std::cell::Cell;
use std::rc::Rc;

/// Share of an instance's memory for parts of answers.
const HELD_SHARE: f64 = 0.25;

/// Bytes of each answer that are not counted: sound answers are smaller, and are held whatever
/// others send.
pub const FREE_BYTES: usize = 64 * 1024;

/// Bytes in a megabyte.
const MEGABYTE: f64 = 1024.0 * 1024.0;

/// What all answers together hold.
#[derive(Clone, Debug)]
pub struct HeldTotal {
    bytes: Rc<Cell<usize>>,
    most: usize,
}

impl HeldTotal {
    /// The bound of an instance with so much memory.
    pub fn new(memory_mb: f64) -> Self {
        Self { bytes: Rc::default(), most: (memory_mb * MEGABYTE * HELD_SHARE) as usize }
    }

    /// Bytes that are counted now.
    pub fn bytes(&self) -> usize {
        self.bytes.get()
    }
}

/// What one answer holds; given back when it is dropped.
#[derive(Debug)]
pub struct Held {
    total: HeldTotal,
    counted: usize,
}

impl Held {
    /// An answer that holds nothing yet.
    pub fn new(total: &HeldTotal) -> Self {
        Self { total: total.clone(), counted: 0 }
    }

    /// The answer holds this many bytes now; returns whether there is room for them.
    pub fn set(&mut self, bytes: usize) -> bool {
        let counted = bytes.saturating_sub(FREE_BYTES);
        let others = self.total.bytes.get() - self.counted;
        let fits = counted <= self.counted || others + counted <= self.total.most;
        if fits {
            self.total.bytes.set(others + counted);
            self.counted = counted;
        }
        fits
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.total.bytes.set(self.total.bytes.get() - self.counted);
    }
}
