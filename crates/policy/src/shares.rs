//! Shares of the plans' allowances between the entries.

mod allocator;

pub use allocator::{ShareAllocator, ShareSettings};
