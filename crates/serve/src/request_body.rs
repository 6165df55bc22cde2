//! Reads the bodies of callers' requests within a share of the instance's memory.

use std::rc::Rc;

use bytes::Bytes;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};

use crate::response::{DEFAULT_RETRY_AFTER, Failure};
use crate::shared::Shared;

/// Fraction of the instance's memory that request bodies may use, complete or not.
const MEMORY_SHARE: f64 = 0.3;

/// Bytes in a megabyte.
const MEGABYTE: f64 = 1024.0 * 1024.0;

/// Largest step in bytes by which the buffer of a body grows.
const MAX_GROWTH_BYTES: usize = 1024 * 1024;

/// Memory used by one request body, released on drop.
pub struct BodyGuard {
    shared: Rc<Shared>,
    bytes: usize,
}

impl BodyGuard {
    fn new(shared: &Rc<Shared>) -> Self {
        Self { shared: shared.clone(), bytes: 0 }
    }

    /// Sets the size of the body in bytes; returns `false` and changes nothing if all bodies together
    /// would exceed their share.
    fn set(&mut self, bytes: usize) -> bool {
        let others = self.shared.body_bytes.get() - self.bytes;
        let most = self.shared.settings().machine.memory_mb * MEGABYTE * MEMORY_SHARE;
        let fits = bytes <= self.bytes || (others + bytes) as f64 <= most;
        if fits {
            self.shared.body_bytes.set(others + bytes);
            self.bytes = bytes;
        }
        fits
    }
}

impl Drop for BodyGuard {
    fn drop(&mut self) {
        self.shared.body_bytes.set(self.shared.body_bytes.get() - self.bytes);
    }
}

/// Reads a request's body, which counts towards the memory limit while the guard is held.
///
/// # Errors
///
/// A [`Failure`] if the body is larger than `max_bytes`, does not fit into the memory for bodies, is
/// broken off, or is not complete by `deadline`.
pub async fn read_body(
    shared: &Rc<Shared>,
    body: Incoming,
    max_bytes: usize,
    deadline: Instant,
) -> Result<(Bytes, BodyGuard), Failure> {
    let mut guard = BodyGuard::new(shared);
    match timeout_at(deadline, collect(body, max_bytes, &mut guard)).await {
        Ok(collected) => collected.map(|bytes| (bytes, guard)),
        Err(_) => Err(Failure::BadRequest(StatusCode::REQUEST_TIMEOUT, "body too slow")),
    }
}

async fn collect(
    mut body: Incoming,
    max_bytes: usize,
    guard: &mut BodyGuard,
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
        if fits && received > bytes.capacity() {
            let capacity = bytes.capacity() + bytes.capacity().min(MAX_GROWTH_BYTES);
            let capacity = capacity.max(received);
            fits = guard.set(capacity);
            if fits {
                bytes.reserve_exact(capacity - bytes.len());
            } else {
                // The rest is read and dropped, since a connection that is closed with unread bytes
                // is reset, and the caller may not see the refusal.
                bytes = Vec::new();
                guard.set(0);
            }
        }
        if fits {
            bytes.extend_from_slice(&data);
        }
    }
    if fits {
        return Ok(bytes.into());
    }
    let cause = "too many request bodies in memory";
    Err(Failure::NotRun { retry_after: DEFAULT_RETRY_AFTER, cause })
}
