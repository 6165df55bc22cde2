//! Rows with versions, changed by transactions.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use agatestair_schema::platform::{Check, Committed, Row, Transaction, Write};

/// Attempts whose results are remembered.
const KEPT_ATTEMPTS: usize = 100_000;

struct StoredRow {
    value: String,
    version: u64,
    expires: Option<Instant>,
}

/// How a transaction ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ending {
    /// Its writes took effect.
    Committed,
    /// A check failed.
    Conflict,
    /// Its attempt was known already.
    Repeat,
}

/// The rows and the remembered attempts.
#[derive(Default)]
pub struct Table {
    rows: BTreeMap<String, StoredRow>,
    version: u64,
    results: HashMap<String, Committed>,
    order: VecDeque<String>,
}

impl Table {
    /// Carries out a transaction. An attempt that is known gets its first answer again.
    pub fn transact(&mut self, transaction: &Transaction) -> (Committed, Ending) {
        if let Some(result) = self.results.get(&transaction.attempt) {
            return (result.clone(), Ending::Repeat);
        }
        let holds =
            transaction.checks.iter().all(|check| self.version(&check.key) == check.version);
        let (result, ending) = if holds {
            let rows = transaction.writes.iter().map(|write| self.write(write)).collect();
            (Committed { committed: true, rows }, Ending::Committed)
        } else {
            let rows = transaction.checks.iter().map(|check| self.present(check)).collect();
            (Committed { committed: false, rows }, Ending::Conflict)
        };
        self.remember(&transaction.attempt, &result);
        (result, ending)
    }

    fn remember(&mut self, attempt: &str, result: &Committed) {
        self.results.insert(attempt.to_owned(), result.clone());
        self.order.push_back(attempt.to_owned());
        if self.order.len() > KEPT_ATTEMPTS
            && let Some(oldest) = self.order.pop_front()
        {
            self.results.remove(&oldest);
        }
    }

    fn live(&self, key: &str) -> Option<&StoredRow> {
        self.rows.get(key).filter(|row| is_live(row))
    }

    fn version(&self, key: &str) -> u64 {
        self.live(key).map_or(0, |row| row.version)
    }

    fn present(&self, check: &Check) -> Row {
        self.row(&check.key).unwrap_or_else(|| absent(&check.key))
    }

    fn write(&mut self, write: &Write) -> Row {
        let Some(value) = &write.value else {
            self.rows.remove(&write.key);
            return absent(&write.key);
        };
        self.version += 1;
        let expires = write.ttl_ms.map(|ttl| Instant::now() + Duration::from_millis(ttl));
        let row = StoredRow { value: value.clone(), version: self.version, expires };
        self.rows.insert(write.key.clone(), row);
        Row { key: write.key.clone(), value: value.clone(), version: self.version }
    }

    /// The row of a key.
    pub fn row(&self, key: &str) -> Option<Row> {
        let row = self.live(key)?;
        Some(Row { key: key.to_owned(), value: row.value.clone(), version: row.version })
    }

    /// The rows whose keys start with `prefix`, in order of key.
    pub fn rows(&self, prefix: &str) -> Vec<Row> {
        let range = self.rows.range(prefix.to_owned()..);
        range
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(_, row)| is_live(row))
            .map(|(key, row)| Row {
                key: key.clone(),
                value: row.value.clone(),
                version: row.version,
            })
            .collect()
    }
}

fn is_live(row: &StoredRow) -> bool {
    row.expires.is_none_or(|expires| Instant::now() < expires)
}

fn absent(key: &str) -> Row {
    Row { key: key.to_owned(), value: String::new(), version: 0 }
}
