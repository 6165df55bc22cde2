//! The transactional table service.

use agatestair_schema::platform::{Check, Committed, Row, Rows, Transaction, Write};
use serde::Serialize;

use crate::client::{Payload, PlatformClient, encode, escape};
use crate::error::PlatformError;
use crate::purpose::Purpose;

/// Maximum number of retries after the response to a transaction was lost.
const MAX_RETRIES: u32 = 2;

/// Outcome of a transaction.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The writes took effect; contains the written rows.
    Committed(Vec<Row>),
    /// A check failed and nothing took effect; contains the current rows of the checks.
    Conflict(Vec<Row>),
    /// It is unknown whether the writes took effect; contains the attempt identifier.
    Unknown(String),
}

/// Client of the table service.
#[derive(Clone)]
pub struct Table {
    platform: PlatformClient,
}

impl Table {
    /// Creates a client that uses `platform`.
    pub(crate) fn new(platform: PlatformClient) -> Self {
        Self { platform }
    }

    /// Runs a transaction under a new attempt identifier.
    ///
    /// After a lost response the transaction is retried under the same identifier. The table stores
    /// the identifier with each row that it writes, so the transaction takes effect at most once.
    /// The outcome is [`Outcome::Unknown`] if no response arrives, or if a row was overwritten
    /// meanwhile.
    ///
    /// # Errors
    ///
    /// [`PlatformError`] only if the transaction certainly had no effect.
    pub fn transact(
        &self,
        purpose: Purpose,
        checks: Vec<Check>,
        writes: Vec<Write>,
    ) -> Result<Outcome, PlatformError> {
        let attempt = self.platform.attempt_id();
        self.transact_attempt(purpose, Transaction { attempt, checks, writes })
    }

    /// Runs a transaction under the attempt identifier that it contains, e.g. to resolve an earlier
    /// [`Outcome::Unknown`].
    ///
    /// # Errors
    ///
    /// [`PlatformError`] only if no call made here had an effect.
    pub fn transact_attempt(
        &self,
        purpose: Purpose,
        transaction: Transaction,
    ) -> Result<Outcome, PlatformError> {
        let body = encode(&transaction);
        let mut response_lost = false;
        for _ in 0..=MAX_RETRIES {
            match self.platform.call_json::<Committed>(
                purpose,
                "/table/transact",
                &Payload::Post(&body),
            ) {
                Ok(response) if response.committed => return Ok(Outcome::Committed(response.rows)),
                Ok(response) if response_lost && overwritten(&transaction, &response.rows) => break,
                Ok(response) => return Ok(Outcome::Conflict(response.rows)),
                Err(error) if error.had_no_effect() && !response_lost => return Err(error),
                Err(_) => response_lost = true,
            }
        }
        metrics::counter!("agatestair_store_unknown_total", "purpose" => purpose.label())
            .increment(1);
        Ok(Outcome::Unknown(transaction.attempt))
    }

    /// Reads one row; `None` if it is absent.
    ///
    /// # Errors
    ///
    /// [`PlatformError`] if the table could not be read.
    pub fn row(&self, purpose: Purpose, key: &str) -> Result<Option<Row>, PlatformError> {
        let path = format!("/table/row?key={}", escape(key));
        let body = self.platform.call(purpose, &path, &Payload::Get)?;
        let row: Option<Row> = body.map(|body| crate::client::decode(&path, &body)).transpose()?;
        Ok(row.filter(|row| row.version > 0))
    }

    /// Reads the rows whose key starts with `prefix`, sorted by key.
    ///
    /// # Errors
    ///
    /// [`PlatformError`] if the table could not be read.
    pub fn rows(&self, purpose: Purpose, prefix: &str) -> Result<Vec<Row>, PlatformError> {
        let path = format!("/table/rows?prefix={}", escape(prefix));
        let response: Rows = self.platform.call_json(purpose, &path, &Payload::Get)?;
        Ok(response.rows)
    }
}

/// Whether a row that an attempt may have written is past the version that the attempt would have
/// given it.
///
/// A retry whose writes still stand is reported as committed. If the writes took effect and another
/// attempt then overwrote them, the version has risen by two or more, or the row is gone.
fn overwritten(transaction: &Transaction, current: &[Row]) -> bool {
    transaction.checks.iter().any(|check| {
        let written = transaction.writes.iter().any(|write| write.key == check.key);
        let version = current.iter().find(|row| row.key == check.key).map_or(0, |row| row.version);
        written && (version > check.version + 1 || version < check.version)
    })
}

/// Check that row `key` has `version`; 0 means that the row is absent.
pub fn require(key: &str, version: u64) -> Check {
    Check { key: key.to_owned(), version }
}

/// Write of `value` as the JSON text of row `key`.
pub fn put_row<T: Serialize>(key: &str, value: &T) -> Write {
    Write { key: key.to_owned(), value: Some(to_json(value)), ttl_ms: None }
}

/// Like [`put_row`], with a row that expires after `ttl_ms` milliseconds.
pub fn put_row_ttl<T: Serialize>(key: &str, value: &T, ttl_ms: u64) -> Write {
    Write { key: key.to_owned(), value: Some(to_json(value)), ttl_ms: Some(ttl_ms) }
}

/// Deletion of row `key`.
pub fn delete_row(key: &str) -> Write {
    Write { key: key.to_owned(), value: None, ttl_ms: None }
}

fn to_json<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("wire types have text keys")
}
