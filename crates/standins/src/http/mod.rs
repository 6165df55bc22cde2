//! HTTP/1.1 server with full control over each connection.
//!
//! `tiny_http` cannot close or reset a connection on demand, and it responds to a dropped request
//! with status 500, so it cannot simulate an endpoint that crashes or stops responding. The
//! stand-ins therefore accept connections themselves and parse requests with `httparse`.

mod connection;
mod listener_faults;
mod request;
mod server;

pub use connection::{Connection, keep_alive};
pub use listener_faults::ListenerFaults;
pub use request::HttpRequest;
pub use server::{Handler, serve};
