//! Idempotency records: a keyed call is claimed before it is dispatched and its outcome is kept.

pub mod key_lookup;
pub mod record;
pub mod writer;

use std::io;
use std::time::{Duration, Instant};

use agatestair_runtime::log_event;
use agatestair_schema::lists::{ClaimRow, ClaimState};
use agatestair_store::{ObjectStore, Platform, Purpose};
use bytes::Bytes;
use slog::Logger;
use tokio::sync::oneshot;
use tokio::task::spawn_blocking;

use crate::claims::writer::{RecordWrite, RecordWriter, WriteResult};
use crate::core::message::CallResponse;
use crate::events::RECORD_DELAYED;

/// Longest wait for a claim.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(2000);
/// Longest time in which the outcome of a call is tried to be recorded.
const OUTCOME_TIMEOUT: Duration = Duration::from_secs(600);
/// Pause between tries to store a large answer.
const OBJECT_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Greatest size of an answer that is kept in its row, in bytes.
const MAX_ROW_BODY: usize = 4096;

/// A claim that this request holds.
#[derive(Clone, Debug, PartialEq)]
pub struct Claim {
    /// Key of the row.
    pub key: String,
    /// Version of the row.
    pub version: u64,
    /// The record.
    pub row: ClaimRow,
}

/// What became of an attempt to claim.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimResult {
    /// The call is this request's to dispatch.
    Acquired(Claim),
    /// Another request holds or held the key.
    Taken(Claim),
    /// The record could not be read or written.
    Unavailable {
        /// Whether the claim may stand in the table.
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
    /// The operating system's error.
    pub fn start(platform: &Platform, log: Logger) -> io::Result<Self> {
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

    /// Has a claim deleted that may stand in the table and whose call was never dispatched.
    pub fn abandon(&self, key: String, request: String) {
        self.writer.abandon(key, request);
    }

    /// Records the outcome of a call; `None` if it is not known.
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

    /// Stores a large answer, trying until the outcome's limit.
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
        // The runtime is ending if this fails.
        let _ = storing.await;
    }

    /// Answer kept in a record; `None` if it cannot be read now.
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
        limit: Duration,
    ) -> WriteResult {
        let (reply, result) = oneshot::channel();
        let deadline = Instant::now() + limit;
        self.writer.write(RecordWrite { key, version, row, deadline, reply, unconfirmed: false });
        result.await.unwrap_or(WriteResult::Unavailable { maybe: true })
    }
}
