//! Reads the bodies of callers' requests within a share of the instance's memory.

use bytes::Bytes;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};

use crate::buffer_limit::{BufferGuard, BufferLimit};
use crate::response::{DEFAULT_RETRY_AFTER, Failure};

/// Reads a request's body, which counts towards the memory limit while the guard is held.
///
/// # Errors
///
/// A [`Failure`] if the body is larger than `max_bytes`, does not fit into the memory for bodies, is
/// broken off, or is not complete by `deadline`.
pub async fn read_body(
    total: &BufferLimit,
    body: Incoming,
    max_bytes: usize,
    deadline: Instant,
) -> Result<(Bytes, BufferGuard), Failure> {
    let mut guard = BufferGuard::new(total);
    match timeout_at(deadline, collect(body, max_bytes, &mut guard)).await {
        Ok(collected) => collected.map(|bytes| (bytes, guard)),
        Err(_) => Err(Failure::BadRequest(StatusCode::REQUEST_TIMEOUT, "body too slow")),
    }
}

/// Reads and drops the body of a request that is refused, up to `max_bytes` and until `deadline`.
///
/// A connection that is closed with unread bytes is reset, and the caller may not see the refusal.
pub async fn drain_body(mut body: Incoming, max_bytes: usize, deadline: Instant) {
    let mut received = 0;
    while received <= max_bytes {
        match timeout_at(deadline, body.frame()).await {
            Ok(Some(Ok(frame))) => received += frame.data_ref().map_or(0, bytes::Buf::remaining),
            Ok(None | Some(Err(_))) | Err(_) => return,
        }
    }
}

async fn collect(
    mut body: Incoming,
    max_bytes: usize,
    guard: &mut BufferGuard,
) -> Result<Bytes, Failure> {
    let mut bytes = Vec::new();
    let (mut received, mut fits) = (0, true);
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return Err(Failure::BadRequest(StatusCode::BAD_REQUEST, "body broken off"));
        };
        let data = frame.into_data().unwrap_or_default();
        received += data.len();
        if received > max_bytes {
            return Err(Failure::BadRequest(StatusCode::PAYLOAD_TOO_LARGE, "body too large"));
        }
        if fits && !guard.append(&mut bytes, &data) {
            // The rest is read and dropped, since a connection that is closed with unread bytes is
            // reset, and the caller may not see the refusal.
            (fits, bytes) = (false, Vec::new());
            guard.set(0);
        }
    }
    if fits {
        return Ok(bytes.into());
    }
    let cause = "too many request bodies in memory";
    Err(Failure::NotRun { retry_after: DEFAULT_RETRY_AFTER, cause })
}
