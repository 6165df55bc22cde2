//! Shares of the plans' allowances between the entries.

mod accounts;
mod allocator;

pub(crate) use accounts::{Account, KindSplit};
pub use allocator::{ShareAllocator, ShareSettings};
