//! Checks the promises against what the stand-ins recorded.
//!
//! [`Records`] holds what the stand-ins saw, [`CallerRecord`]s what callers got. Nothing is taken
//! from what the processes under test say of themselves.

mod caller_record;
mod calls;
mod fleet;
mod promises;
mod records;

pub use caller_record::{CallKind, CallerRecord, Seen};
pub use promises::{Promise, PromiseCounts, check};
pub use records::Records;
