//! Clients for engines and plain services.

pub mod adapter;
pub mod client;
pub mod engine;
pub mod service;
pub mod sse;
