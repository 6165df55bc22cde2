//! Checks the promises against records of the stand-ins and the callers.
//!
//! [`Records`] holds what the stand-ins received, [`CallerRecord`]s what callers sent and received.
//! The checks use no data reported by the processes under test.

mod caller_record;
mod calls;
mod fleet;
mod promises;
mod records;

pub use caller_record::{CallKind, CallerRecord, Outcome};
pub use promises::{Promise, PromiseCounts, check};
pub use records::Records;
