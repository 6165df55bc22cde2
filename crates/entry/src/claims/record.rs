//! Row format of idempotency records.

use std::time::{SystemTime, UNIX_EPOCH};

use agatestair_schema::lists::{ClaimRow, ClaimState};
use sha2::{Digest, Sha256};

use crate::core::message::{CallRequest, Caller};

/// TTL of a record in milliseconds: one day.
pub const RECORD_TTL_MS: u64 = 24 * 60 * 60 * 1000;

/// Row key of a keyed call. It includes the customer, so that customers cannot collide.
pub fn row_key(customer: &str, service: &str, key: &str) -> String {
    format!("claim/{customer}/{service}/{key}")
}

/// SHA-256 of method, path and body in hexadecimal; detects reuse of a key for another request.
pub fn digest_of(request: &CallRequest) -> String {
    let mut hasher = Sha256::new();
    for part in [request.method.as_bytes(), request.path.as_bytes(), &request.body] {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    hasher.finalize().iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Record of a call that is about to be dispatched.
pub fn running_row(caller: &Caller, digest: String, entry: &str, boot: &str) -> ClaimRow {
    ClaimRow {
        state: ClaimState::Running,
        digest,
        entry: entry.to_owned(),
        boot: boot.to_owned(),
        request: caller.id.to_string(),
        endpoint: String::new(),
        status: 0,
        content: String::new(),
        body: String::new(),
        object: String::new(),
        claimed_ms: now_ms(),
    }
}

/// Milliseconds since the Unix epoch.
pub fn now_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
