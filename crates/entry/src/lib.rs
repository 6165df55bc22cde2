//! Serves callers over HTTP and places their requests on endpoints.
//!
//! One actor ([`core::actor::EntryActor`]) owns all state on the main thread and asks
//! [`agatestair_policy::Scheduler`] where and when to run requests. Callers are served on a tokio
//! thread ([`http`]), each attempt at an endpoint runs on its own thread ([`endpoint`]), and the
//! outcomes of calls with an idempotency key are stored in the table service ([`claims`]).
//! [`run()`] starts the process.

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
