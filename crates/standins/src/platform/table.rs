//! Transactional table of versioned rows.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use agatestair_schema::platform::{Check, Committed, Row, Transaction, Write};

/// Maximum number of transaction attempts whose results are remembered.
const MAX_ATTEMPTS: usize = 100_000;

/// A row. A deleted row keeps its version, so that versions of a key only increase.
struct StoredRow {
    value: Option<String>,
    version: u64,
    expires: Option<Instant>,
}

/// Outcome of a transaction.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// All checks passed and the writes took effect.
    Committed,
    /// A check failed; nothing was written.
    Conflict,
    /// The attempt was known; its first result was returned again.
    Repeat,
}

/// The rows, and the results of recent attempts.
#[derive(Default)]
pub struct Table {
    rows: BTreeMap<String, StoredRow>,
    results: HashMap<String, Committed>,
    attempts: VecDeque<String>,
}

impl Table {
    /// Runs a transaction. A repeated attempt has no effect and returns the first result.
    pub fn transact(&mut self, transaction: &Transaction) -> (Committed, Outcome) {
        if let Some(result) = self.results.get(&transaction.attempt) {
            return (result.clone(), Outcome::Repeat);
        }
        let valid =
            transaction.checks.iter().all(|check| self.version(&check.key) == check.version);
        let (result, outcome) = if valid {
            let rows = transaction.writes.iter().map(|write| self.write(write)).collect();
            (Committed { committed: true, rows }, Outcome::Committed)
        } else {
            let rows = transaction.checks.iter().map(|check| self.current_row(check)).collect();
            (Committed { committed: false, rows }, Outcome::Conflict)
        };
        self.remember(&transaction.attempt, &result);
        (result, outcome)
    }

    fn remember(&mut self, attempt: &str, result: &Committed) {
        self.results.insert(attempt.to_owned(), result.clone());
        self.attempts.push_back(attempt.to_owned());
        if self.attempts.len() > MAX_ATTEMPTS
            && let Some(oldest) = self.attempts.pop_front()
        {
            self.results.remove(&oldest);
        }
    }

    fn live(&self, key: &str) -> Option<&StoredRow> {
        self.rows.get(key).filter(|row| row.is_live())
    }

    fn version(&self, key: &str) -> u64 {
        self.live(key).map_or(0, |row| row.version)
    }

    /// Current row of a check's key; version 0 if there is none.
    fn current_row(&self, check: &Check) -> Row {
        self.row(&check.key).unwrap_or_else(|| absent_row(&check.key))
    }

    fn write(&mut self, write: &Write) -> Row {
        let version = self.rows.get(&write.key).map_or(0, |row| row.version) + 1;
        let expires = write.ttl_ms.map(|ttl| Instant::now() + Duration::from_millis(ttl));
        let row = StoredRow { value: write.value.clone(), version, expires };
        self.rows.insert(write.key.clone(), row);
        self.row(&write.key).unwrap_or_else(|| absent_row(&write.key))
    }

    /// Returns the live row of a key.
    pub fn row(&self, key: &str) -> Option<Row> {
        self.live(key)?.to_wire(key)
    }

    /// Returns the live rows whose keys start with `prefix`, in key order.
    pub fn rows(&self, prefix: &str) -> Vec<Row> {
        let range = self.rows.range(prefix.to_owned()..);
        range
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(_, row)| row.is_live())
            .filter_map(|(key, row)| row.to_wire(key))
            .collect()
    }
}

impl StoredRow {
    fn is_live(&self) -> bool {
        self.value.is_some() && self.expires.is_none_or(|expires| Instant::now() < expires)
    }

    fn to_wire(&self, key: &str) -> Option<Row> {
        let value = self.value.clone()?;
        Some(Row { key: key.to_owned(), value, version: self.version })
    }
}

fn absent_row(key: &str) -> Row {
    Row { key: key.to_owned(), value: String::new(), version: 0 }
}
