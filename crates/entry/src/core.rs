//! The entry's actor and what it keeps.

pub mod actor;
pub mod assembly;
mod attempts;
mod control;
pub mod explain;
mod job;
mod leave;
pub mod message;
mod requests;
pub mod slo;
