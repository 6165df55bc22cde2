//! Serves callers over HTTP and places their requests on endpoints.
//!
//! One actor ([`core::actor::EntryActor`]) owns all state on the main thread and asks
//! [`agatestair_policy::Scheduler`] what to do. Callers are served on a tokio thread ([`http`]),
//! each attempt at an endpoint has a thread of its own ([`endpoint`]), and the outcomes of
//! non-idempotent calls are kept in the table service ([`claims`]). [`run()`] starts it all.

pub mod claims;
pub mod core;
pub mod customers;
pub mod endpoint;
pub mod events;
pub mod http;
pub mod protections;
pub mod refusal;
mod run;
mod snapshots;
pub mod view;

pub use run::{StartError, run};
