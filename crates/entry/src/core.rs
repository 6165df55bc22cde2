//! The entry's actor and its state.

pub mod actor;
pub mod assembly;
mod attempts;
mod control;
pub mod explain;
mod job;
pub mod message;
mod requests;
mod shutdown;
pub mod slo;
