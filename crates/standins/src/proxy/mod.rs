//! Fault proxy for TCP: each route dials a target and can delay, cut, refuse or go silent.

mod api;
mod relay;
mod route;

pub use api::proxy_handler;
pub use route::{ProxyRoutes, Route, start_routes};
