//! Idempotency records: a keyed call is claimed before dispatch and its outcome is stored.

pub mod key_lookup;
pub mod record;
pub mod writer;

use std::io;
use std::time::{Duration, Instant};

use agatestair_runtime::log_event;
use agatestair_schema::lists::{ClaimRow, ClaimState};
use agatestair_store::{ObjectStore, PlatformClient, Purpose};
use bytes::Bytes;
use slog::Logger;
use tokio::sync::oneshot;
use tokio::task::spawn_blocking;

use crate::claims::writer::{RecordWrite, RecordWriter, WriteResult};
use crate::core::message::CallResponse;
use crate::events::RECORD_DELAYED;

/// Timeout for claiming a key.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(2000);
/// Time for which recording the outcome of a call is retried.
const OUTCOME_TIMEOUT: Duration = Duration::from_secs(600);
/// Delay between attempts to store a large response.
const OBJECT_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Maximum size in bytes of a response stored in its row. Larger responses and those that are not
/// UTF-8 go to the object store.
const MAX_ROW_BODY: usize = 4096;

/// An idempotency record as stored in the table.
#[derive(Clone, Debug, PartialEq)]
pub struct Claim {
    /// Row key.
    pub key: String,
    /// Version of the row.
    pub version: u64,
    /// The record.
    pub row: ClaimRow,
}

/// Result of an attempt to claim a key.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimResult {
    /// The key is claimed by this request, which may dispatch the call.
    Acquired(Claim),
    /// The key was claimed earlier by another request.
    Taken(Claim),
    /// The record could not be read or written.
    Unavailable {
        /// Whether the claim may nevertheless be in the table.
        maybe: bool,
    },
}

/// Idempotency records of one entry.
#[derive(Clone)]
pub struct Claims {
    writer: RecordWriter,
    objects: ObjectStore,
    log: Logger,
}

impl Claims {
    /// Starts the thread that writes the records.
    ///
    /// # Errors
    ///
    /// The operating system's error if the thread cannot be started.
    pub fn start(platform: &PlatformClient, log: Logger) -> io::Result<Self> {
        let writer = RecordWriter::start(platform.table())?;
        Ok(Self { writer, objects: platform.objects(), log })
    }

    /// Claims a key for one request.
    pub async fn claim(&self, key: String, row: ClaimRow) -> ClaimResult {
        let result = self.write(key.clone(), 0, Some(row.clone()), CLAIM_TIMEOUT).await;
        match result {
            WriteResult::Written(version) => ClaimResult::Acquired(Claim { key, version, row }),
            WriteResult::Conflict(Some(found)) => match serde_json::from_str(&found.value) {
                Ok(row) => ClaimResult::Taken(Claim { key, version: found.version, row }),
                Err(_) => ClaimResult::Unavailable { maybe: false },
            },
            WriteResult::Conflict(None) => ClaimResult::Unavailable { maybe: false },
            WriteResult::Unavailable { maybe } => ClaimResult::Unavailable { maybe },
        }
    }

    /// Deletes the claim of a call that was never dispatched.
    pub async fn release(&self, claim: Claim) {
        self.write(claim.key, claim.version, None, OUTCOME_TIMEOUT).await;
    }

    /// Queues deletion of a claim that may be in the table although its call was never dispatched.
    pub fn abandon(&self, key: String, request: String) {
        self.writer.abandon(key, request);
    }

    /// Records the outcome of a call; `None` if it is unknown.
    pub async fn record(&self, claim: Claim, response: Option<&CallResponse>) {
        let mut row = claim.row;
        match response {
            Some(response) => self.fill_row(&claim.key, &mut row, response).await,
            None => row.state = ClaimState::Unknown,
        }
        let result = self.write(claim.key, claim.version, Some(row), OUTCOME_TIMEOUT).await;
        if !matches!(result, WriteResult::Written(_)) {
            log_event!(self.log, RECORD_DELAYED, "result" => format!("{result:?}"));
        }
    }

    async fn fill_row(&self, key: &str, row: &mut ClaimRow, response: &CallResponse) {
        row.state = ClaimState::Done;
        row.status = response.status;
        row.endpoint = response.endpoint.to_string();
        let content = response.headers.iter().find(|(name, _)| name == "content-type");
        row.content = content.map(|(_, value)| value.clone()).unwrap_or_default();
        match std::str::from_utf8(&response.body) {
            Ok(text) if text.len() <= MAX_ROW_BODY => text.clone_into(&mut row.body),
            _ => {
                row.object = format!("answers/{key}/{}", row.request);
                self.store_body(row.object.clone(), response.body.clone()).await;
            }
        }
    }

    /// Stores a large response, with retries for up to [`OUTCOME_TIMEOUT`].
    async fn store_body(&self, object: String, body: Bytes) {
        let deadline = Instant::now() + OUTCOME_TIMEOUT;
        let objects = self.objects.clone();
        let log = self.log.clone();
        let storing = spawn_blocking(move || {
            while let Err(error) = objects.put(Purpose::Claim, &object, &body) {
                log_event!(log, RECORD_DELAYED, "error" => error.to_string());
                if Instant::now() >= deadline {
                    return;
                }
                std::thread::sleep(OBJECT_RETRY_DELAY);
            }
        });
        // Fails only if the runtime is shutting down.
        let _ = storing.await;
    }

    /// Response stored in a record; `None` if it cannot be read at the moment.
    pub async fn stored_response(&self, row: &ClaimRow) -> Option<CallResponse> {
        let body = if row.object.is_empty() {
            Bytes::from(row.body.clone())
        } else {
            let (objects, object) = (self.objects.clone(), row.object.clone());
            let reading = spawn_blocking(move || objects.get(Purpose::Claim, &object));
            Bytes::from(reading.await.ok()?.ok()??)
        };
        let content = Some(row.content.clone()).filter(|content| !content.is_empty());
        Some(CallResponse {
            status: row.status,
            headers: content.map(|value| ("content-type".to_owned(), value)).into_iter().collect(),
            body,
            endpoint: row.endpoint.as_str().into(),
        })
    }

    async fn write(
        &self,
        key: String,
        version: u64,
        row: Option<ClaimRow>,
        timeout: Duration,
    ) -> WriteResult {
        let (reply, result) = oneshot::channel();
        let deadline = Instant::now() + timeout;
        self.writer.write(RecordWrite { key, version, row, deadline, reply, unconfirmed: false });
        result.await.unwrap_or(WriteResult::Unavailable { maybe: true })
    }
}
