//! HTTP/1.1 listening with full control over each connection.
//!
//! `tiny_http` neither closes nor resets a connection on request, and it answers a request that is
//! dropped with status 500, so it cannot stand for an endpoint that crashes or goes silent. The
//! stand-ins therefore accept connections themselves and parse requests with `httparse`.

mod connection;
mod gate;
mod request;
mod server;

pub use connection::{Connection, keep};
pub use gate::Gate;
pub use request::HttpRequest;
pub use server::{Handler, serve};
