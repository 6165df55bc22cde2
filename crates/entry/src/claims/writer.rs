//! Writes records in groups: what waits while one transaction is under way goes into the next.

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

/// Greatest number of records written in one transaction.
const MAX_BATCH: usize = 64;
/// Pause after the store refused a transaction.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Interval at which abandoned records are looked for.
const ABANDONED_INTERVAL: Duration = Duration::from_secs(1);

/// What became of one write.
#[derive(Clone, Debug, PartialEq)]
pub enum WriteResult {
    /// It took effect; holds the version of the row.
    Written(u64),
    /// The row has another version; holds the row if there is one.
    Conflict(Option<Row>),
    /// The store is down or slow; the write may have taken effect if `maybe`.
    Unavailable {
        /// Whether it may have taken effect.
        maybe: bool,
    },
}

/// One conditional write of a record.
pub struct RecordWrite {
    /// Key of the row.
    pub key: String,
    /// Version that the row must have.
    pub version: u64,
    /// New record; `None` deletes the row.
    pub row: Option<ClaimRow>,
    /// Time at which the writer gives up.
    pub deadline: Instant,
    /// Takes the result.
    pub reply: oneshot::Sender<WriteResult>,
    /// Whether an earlier transaction with this write went unanswered.
    pub unconfirmed: bool,
}

/// A record that may stand in the table although its call was never dispatched.
struct Abandoned {
    key: String,
    request: String,
}

enum Task {
    Write(Box<RecordWrite>),
    Abandon(Abandoned),
}

/// Sends writes to the thread that groups them.
#[derive(Clone)]
pub struct RecordWriter {
    tasks: Sender<Task>,
}

impl RecordWriter {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// The operating system's error.
    pub fn start(table: Table) -> io::Result<Self> {
        let (tasks, receiver) = channel();
        let batch = Batcher { table, waiting: Vec::new(), abandoned: Vec::new() };
        thread::Builder::new().name("records".to_owned()).spawn(move || batch.run(&receiver))?;
        Ok(Self { tasks })
    }

    /// Queues a write.
    pub fn write(&self, write: RecordWrite) {
        // The reply is dropped with the write if the thread has ended, which the waiter sees.
        let _ = self.tasks.send(Task::Write(Box::new(write)));
    }

    /// Has the record of a call deleted that was claimed without an answer and never dispatched.
    pub fn abandon(&self, key: String, request: String) {
        let _ = self.tasks.send(Task::Abandon(Abandoned { key, request }));
    }
}

/// The thread's state.
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
                    Ok(task) => self.take(task),
                    Err(RecvTimeoutError::Timeout) => self.delete_abandoned(),
                    Err(RecvTimeoutError::Disconnected) => return,
                }
            }
            while let Ok(task) = tasks.try_recv() {
                self.take(task);
            }
            self.write_batch();
        }
    }

    fn take(&mut self, task: Task) {
        match task {
            Task::Write(write) => self.waiting.push(*write),
            Task::Abandon(abandoned) => self.abandoned.push(abandoned),
        }
    }

    /// Writes the next group; no two writes of it are for the same row.
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

    /// Answers the writes whose check failed; the others of the group go into the next one.
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

/// Whether the present row is the one that the write would have left.
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
    // The asker has gone if this fails.
    let _ = write.reply.send(result);
}

/// Deletes an abandoned record; `true` if it does not stand in the table any more.
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
