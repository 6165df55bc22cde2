//! Rows with versions, changed by transactions.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use agatestair_schema::platform::{Check, Committed, Row, Transaction, Write};

/// Attempts whose results are remembered.
const KEPT_ATTEMPTS: usize = 100_000;

/// A row; one that was deleted keeps its version, which never goes down.
struct StoredRow {
    value: Option<String>,
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
        self.rows.get(key).filter(|row| row.is_live())
    }

    fn version(&self, key: &str) -> u64 {
        self.live(key).map_or(0, |row| row.version)
    }

    fn present(&self, check: &Check) -> Row {
        self.row(&check.key).unwrap_or_else(|| absent(&check.key))
    }

    fn write(&mut self, write: &Write) -> Row {
        let version = self.rows.get(&write.key).map_or(0, |row| row.version) + 1;
        let expires = write.ttl_ms.map(|ttl| Instant::now() + Duration::from_millis(ttl));
        let row = StoredRow { value: write.value.clone(), version, expires };
        self.rows.insert(write.key.clone(), row);
        self.row(&write.key).unwrap_or_else(|| absent(&write.key))
    }

    /// The row of a key.
    pub fn row(&self, key: &str) -> Option<Row> {
        self.live(key)?.to_wire(key)
    }

    /// The rows whose keys start with `prefix`, in order of key.
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

fn absent(key: &str) -> Row {
    Row { key: key.to_owned(), value: String::new(), version: 0 }
}
