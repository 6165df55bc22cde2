//! Reads the bodies of callers' requests within the memory that callers may hold.

use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time::{Instant, timeout, timeout_at};

use crate::memory_budget::{MayDrop, MemoryHold};
use crate::response::{DEFAULT_RETRY_AFTER, Failure};

/// Largest step in bytes by which a buffer grows, so that the memory that it reserves ahead stays
/// small.
const MAX_GROWTH_BYTES: usize = 1024 * 1024;

/// Time and bytes for which a body that is too large is read and dropped after its refusal. A
/// connection that is closed with unread bytes is reset, and the caller may not see the refusal.
const DRAIN_TIME: Duration = Duration::from_secs(2);
const DRAIN_BYTES: usize = 16 * 1024 * 1024;

/// What a request's body may be.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    /// Largest size in bytes.
    pub bytes: usize,
    /// When it must be complete.
    pub deadline: Instant,
    /// Whether the caller sends it only after it was asked to continue.
    pub expects: bool,
}

/// Reads a request's body, which counts as held memory until `hold` is dropped.
///
/// # Errors
///
/// A [`Failure`] if the body is larger than allowed, does not fit into the memory for callers, is
/// broken off, or is not complete in time.
pub async fn read_body(
    hold: &MemoryHold,
    mut body: Incoming,
    limits: BodyLimits,
) -> Result<Bytes, Failure> {
    let too_large = Failure::BadRequest(StatusCode::PAYLOAD_TOO_LARGE, "body too large");
    if body.size_hint().lower() > limits.bytes as u64 {
        if !limits.expects {
            drain(body);
        }
        return Err(too_large);
    }
    match timeout_at(limits.deadline, collect(hold, &mut body, limits.bytes)).await {
        Ok(Collected::Whole(bytes)) => {
            // A complete body is never refused for lack of memory.
            hold.set_may_drop(MayDrop::Never);
            Ok(bytes.into())
        }
        Ok(Collected::TooLarge) => {
            hold.set(0);
            drain(body);
            Err(too_large)
        }
        Ok(Collected::Failed(failure)) => Err(failure),
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

enum Collected {
    Whole(Vec<u8>),
    TooLarge,
    Failed(Failure),
}

async fn collect(hold: &MemoryHold, body: &mut Incoming, max_bytes: usize) -> Collected {
    let mut bytes = Vec::new();
    let (mut received, mut fits) = (0, true);
    loop {
        let frame = tokio::select! {
            biased;
            () = hold.dropped(), if fits => {
                // The rest is read and dropped, so that the caller sees the refusal.
                (fits, bytes) = (false, Vec::new());
                hold.set(0);
                continue;
            }
            frame = body.frame() => frame,
        };
        let Some(frame) = frame else { break };
        let Ok(frame) = frame else {
            let cause = "body broken off";
            return Collected::Failed(Failure::BadRequest(StatusCode::BAD_REQUEST, cause));
        };
        let data = frame.into_data().unwrap_or_default();
        received += data.len();
        if received > max_bytes {
            return Collected::TooLarge;
        }
        if fits && !append(hold, &mut bytes, &data).await {
            (fits, bytes) = (false, Vec::new());
            hold.set(0);
        }
    }
    if fits {
        return Collected::Whole(bytes);
    }
    let cause = "too many request bodies in memory";
    Collected::Failed(Failure::NotRun { retry_after: DEFAULT_RETRY_AFTER, cause })
}

/// Appends data to a body, whose capacity counts; returns `false` if it does not fit.
async fn append(hold: &MemoryHold, bytes: &mut Vec<u8>, data: &[u8]) -> bool {
    let size = bytes.len() + data.len();
    if size > bytes.capacity() {
        let capacity = bytes.capacity() + bytes.capacity().min(MAX_GROWTH_BYTES);
        let capacity = capacity.max(size);
        if !hold.grow(capacity).await {
            return false;
        }
        bytes.reserve_exact(capacity - bytes.len());
    }
    bytes.extend_from_slice(data);
    hold.note_progress();
    true
}

/// Reads and drops what is left of a refused body, within bounds, after which its connection closes.
fn drain(mut body: Incoming) {
    tokio::task::spawn_local(async move {
        let mut left = DRAIN_BYTES;
        let reading = async {
            while let Some(Ok(frame)) = body.frame().await {
                left = left.saturating_sub(frame.data_ref().map_or(0, Bytes::len));
                if left == 0 {
                    return;
                }
            }
        };
        // A caller that goes on after the refusal has had time to read it.
        drop(timeout(DRAIN_TIME, reading).await);
    });
}
