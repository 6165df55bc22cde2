//! Division of the plans' allowances among the entries, and accounting against the shares.

mod accounts;
mod allocator;

pub(crate) use accounts::{Account, PrefillSplit};
pub use allocator::{ShareAllocator, ShareSettings};
