//! Writes records in batches: writes that arrive during a transaction go into the next one.

use std::collections::BTreeSet;
use std::io;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

use agatestair_schema::lists::ClaimRow;
use agatestair_schema::platform::{Row, Write};
use agatestair_store::{Outcome, Purpose, Table, delete_row, put_row_ttl, require};
use tokio::sync::oneshot;

use crate::claims::record::RECORD_TTL_MS;

/// Maximum number of records per transaction.
const MAX_BATCH: usize = 64;
/// Delay after a transaction that failed without effect.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Idle time after which the deletion of abandoned records is attempted.
const ABANDONED_INTERVAL: Duration = Duration::from_secs(1);

/// Result of one write.
#[derive(Clone, Debug, PartialEq)]
pub enum WriteResult {
    /// The write took effect; contains the new version of the row.
    Written(u64),
    /// The row has another version; contains the current row, if any.
    Conflict(Option<Row>),
    /// The store is down or slow; the write may have taken effect if `maybe`.
    Unavailable {
        /// Whether it may have taken effect.
        maybe: bool,
    },
}

/// One conditional write of a record.
pub struct RecordWrite {
    /// Row key.
    pub key: String,
    /// Version that the row must have; 0 if it must not exist.
    pub version: u64,
    /// New record; `None` deletes the row.
    pub row: Option<ClaimRow>,
    /// Time after which the write is no longer retried.
    pub deadline: Instant,
    /// Receives the result.
    pub reply: oneshot::Sender<WriteResult>,
    /// Whether the outcome of an earlier transaction with this write is unknown.
    pub unconfirmed: bool,
}

/// A record that may be in the table although its call was never dispatched.
struct Abandoned {
    key: String,
    request: String,
}

enum Task {
    Write(Box<RecordWrite>),
    Abandon(Abandoned),
}

/// Handle to the thread that batches writes.
#[derive(Clone)]
pub struct RecordWriter {
    tasks: Sender<Task>,
}

impl RecordWriter {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// The operating system's error if the thread cannot be started.
    pub fn start(table: Table) -> io::Result<Self> {
        let (tasks, receiver) = channel();
        let batch = Batcher { table, waiting: Vec::new(), abandoned: Vec::new() };
        thread::Builder::new().name("records".to_owned()).spawn(move || batch.run(&receiver))?;
        Ok(Self { tasks })
    }

    /// Queues a write.
    pub fn write(&self, write: RecordWrite) {
        // If the thread has exited, the reply sender is dropped and the receiver sees that.
        let _ = self.tasks.send(Task::Write(Box::new(write)));
    }

    /// Queues deletion of a record whose write is unconfirmed and whose call was never dispatched.
    pub fn abandon(&self, key: String, request: String) {
        let _ = self.tasks.send(Task::Abandon(Abandoned { key, request }));
    }
}

/// State of the writer thread.
struct Batcher {
    table: Table,
    waiting: Vec<RecordWrite>,
    abandoned: Vec<Abandoned>,
}

impl Batcher {
    fn run(mut self, tasks: &Receiver<Task>) {
        loop {
            if self.waiting.is_empty() {
                match tasks.recv_timeout(ABANDONED_INTERVAL) {
                    Ok(task) => self.enqueue(task),
                    Err(RecvTimeoutError::Timeout) => self.delete_abandoned(),
                    Err(RecvTimeoutError::Disconnected) => return,
                }
            }
            while let Ok(task) = tasks.try_recv() {
                self.enqueue(task);
            }
            self.write_batch();
        }
    }

    fn enqueue(&mut self, task: Task) {
        match task {
            Task::Write(write) => self.waiting.push(*write),
            Task::Abandon(abandoned) => self.abandoned.push(abandoned),
        }
    }

    /// Writes the next batch, which contains at most one write per row.
    fn write_batch(&mut self) {
        let mut keys = BTreeSet::new();
        let mut batch = Vec::new();
        let mut rest = Vec::new();
        for write in self.waiting.drain(..) {
            if batch.len() < MAX_BATCH && keys.insert(write.key.clone()) {
                batch.push(write);
            } else {
                rest.push(write);
            }
        }
        self.waiting = rest;
        if batch.is_empty() {
            return;
        }
        metrics::histogram!("agatestair_record_group").record(batch.len() as f64);
        let checks = batch.iter().map(|write| require(&write.key, write.version)).collect();
        let writes = batch.iter().map(row_write).collect();
        match self.table.transact(Purpose::Claim, checks, writes) {
            Ok(Outcome::Committed(rows)) => {
                for write in batch {
                    let row = rows.iter().find(|row| row.key == write.key);
                    finish(write, WriteResult::Written(row.map_or(0, |row| row.version)));
                }
            }
            Ok(Outcome::Conflict(rows)) => self.resolve_conflict(batch, &rows),
            Ok(Outcome::Unknown(_)) => self.requeue(batch, true),
            Err(_) => {
                self.requeue(batch, false);
                thread::sleep(RETRY_DELAY);
            }
        }
    }

    /// Completes the writes whose version check failed and requeues the rest of the batch.
    fn resolve_conflict(&mut self, batch: Vec<RecordWrite>, present: &[Row]) {
        for write in batch {
            let row = present.iter().find(|row| row.key == write.key && row.version > 0);
            let version = row.map_or(0, |row| row.version);
            if version == write.version {
                self.waiting.push(write);
            } else if write.unconfirmed && took_effect(&write, row) {
                finish(write, WriteResult::Written(version));
            } else {
                finish(write, WriteResult::Conflict(row.cloned()));
            }
        }
    }

    fn requeue(&mut self, batch: Vec<RecordWrite>, unconfirmed: bool) {
        let now = Instant::now();
        for mut write in batch {
            write.unconfirmed |= unconfirmed;
            if write.deadline <= now {
                let maybe = write.unconfirmed;
                finish(write, WriteResult::Unavailable { maybe });
            } else {
                self.waiting.push(write);
            }
        }
    }

    fn delete_abandoned(&mut self) {
        let table = &self.table;
        self.abandoned.retain(|abandoned| !delete(table, abandoned));
    }
}

fn row_write(write: &RecordWrite) -> Write {
    match &write.row {
        Some(row) => put_row_ttl(&write.key, row, RECORD_TTL_MS),
        None => delete_row(&write.key),
    }
}

/// Whether the current row matches the result of the write.
fn took_effect(write: &RecordWrite, present: Option<&Row>) -> bool {
    match (&write.row, present) {
        (None, None) => true,
        (Some(row), Some(present)) => {
            serde_json::from_str::<ClaimRow>(&present.value).is_ok_and(|found| found == *row)
        }
        _ => false,
    }
}

fn finish(write: RecordWrite, result: WriteResult) {
    // Fails if the receiver no longer waits for the result.
    let _ = write.reply.send(result);
}

/// Deletes an abandoned record; `true` if it is no longer in the table.
fn delete(table: &Table, abandoned: &Abandoned) -> bool {
    let row = match table.row(Purpose::Claim, &abandoned.key) {
        Ok(Some(row)) => row,
        Ok(None) => return true,
        Err(_) => return false,
    };
    let found: Option<ClaimRow> = serde_json::from_str(&row.value).ok();
    if found.is_none_or(|found| found.request != abandoned.request) {
        return true;
    }
    let checks = vec![require(&row.key, row.version)];
    let outcome = table.transact(Purpose::Claim, checks, vec![delete_row(&row.key)]);
    matches!(outcome, Ok(Outcome::Committed(_)))
}
