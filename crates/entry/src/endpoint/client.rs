//! HTTP client for one attempt. Connections are not reused, because an idle one may be dead without
//! notice.

use std::io;
use std::time::Duration;

use ureq::http::Response;
use ureq::{Agent, Body, Error, Timeout};

use crate::core::message::AttemptFailure;
use crate::endpoint::adapter::EnginePost;

/// Connect timeout.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Buffer size per connection and direction, in bytes.
const BUFFER_BYTES: usize = 8 * 1024;

/// Timeouts of one exchange.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// Total time.
    pub total: Duration,
    /// Time for a single read or write.
    pub idle: Duration,
}

/// Creates a client for one exchange.
pub fn open_client(timeouts: Timeouts) -> Agent {
    Agent::config_builder()
        .timeout_global(Some(timeouts.total))
        .timeout_per_read(Some(timeouts.idle))
        .timeout_per_write(Some(timeouts.idle))
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .http_status_as_error(false)
        .allow_non_standard_methods(true)
        .input_buffer_size(BUFFER_BYTES)
        .output_buffer_size(BUFFER_BYTES)
        .max_idle_connections(0)
        .max_idle_connections_per_host(0)
        .max_redirects(0)
        .build()
        .into()
}

/// Sends a JSON `POST`.
///
/// # Errors
///
/// The client's error.
pub fn send_post(agent: &Agent, address: &str, post: &EnginePost) -> Result<Response<Body>, Error> {
    agent
        .post(format!("http://{address}{}", post.path))
        .header("Content-Type", "application/json")
        .send(&post.body)
}

/// Converts a client error to the failure of an attempt.
pub fn failure_of(error: &Error) -> AttemptFailure {
    AttemptFailure {
        may_have_run: !never_sent(error),
        too_large: false,
        cache_lost: false,
        cause: error.to_string(),
    }
}

/// Whether the error rules out that any byte of the request was sent.
fn never_sent(error: &Error) -> bool {
    match error {
        Error::Io(error) => matches!(
            error.kind(),
            io::ErrorKind::ConnectionRefused
                | io::ErrorKind::HostUnreachable
                | io::ErrorKind::NetworkUnreachable
                | io::ErrorKind::AddrNotAvailable
        ),
        Error::Timeout(Timeout::Connect | Timeout::Resolve) => true,
        Error::ConnectionFailed | Error::HostNotFound | Error::BadUri(_) => true,
        _ => false,
    }
}
