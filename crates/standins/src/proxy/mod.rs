//! Fault-injecting TCP proxy: each route forwards to a target and can delay or block data, and
//! close or refuse connections.

mod api;
mod relay;
mod route;

pub use api::proxy_handler;
pub use route::{ProxyRoutes, Route, start_routes};
