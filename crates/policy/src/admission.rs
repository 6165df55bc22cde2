//! Admission: drain rate for predicted waits, and retry times for refused callers.

mod drain;
mod retry_after;

pub(crate) use drain::DrainMeter;
pub(crate) use retry_after::RetryAfterPlanner;
