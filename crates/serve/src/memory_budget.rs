//! The budget for all memory that callers can make the instance hold.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use agatestair_policy::{Holding, PressureSettings, choose_drops};
use agatestair_runtime::log_event;
use slog::Logger;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

use crate::buffer_limit::{BufferGuard, BufferLimit};
use crate::events::{CALLER_DROPPED, MEMORY_FREE, MEMORY_SHORT};

/// Fraction of the instance's memory for all that callers make it hold. The process itself takes
/// 13 to 19 MB with connections of a small crowd, and the allocator keeps a part of what was freed.
const CALLER_SHARE: f64 = 0.4;

/// Fraction of the budget below which pressure ends.
const RELIEF: f64 = 0.8;

/// Longest time that a body waits for memory before its request is refused. Holdings that stall
/// show within half of it.
const ROOM_WAIT: Duration = Duration::from_secs(1);

/// Time after which a caller that reads nothing of its response counts as stalled. Lost packets are
/// retransmitted within this time.
const READER_STALL: Duration = Duration::from_secs(1);

/// Interval at which a body that waits for memory, and the budget itself, look for stalled holdings.
const CHECK: Duration = Duration::from_millis(100);

/// Bytes in a megabyte.
const MEGABYTE: f64 = 1024.0 * 1024.0;

/// What memory is held for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MemoryKind {
    /// The body of a request.
    Body,
    /// A connection with its read buffer, an incomplete head and what its caller has not read.
    Connection,
}

impl MemoryKind {
    const ALL: [Self; 2] = [Self::Body, Self::Connection];

    fn label(self) -> &'static str {
        match self {
            Self::Body => "body",
            Self::Connection => "connection",
        }
    }
}

/// Whether a holding may be dropped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MayDrop {
    /// Its request is not complete, so that nothing has run.
    Always,
    /// A response, whose caller may be too slow to read it.
    Unread,
    /// Its request is in work.
    Never,
}

impl MayDrop {
    /// Whether a holding without progress for this long may be dropped.
    fn applies(self, still: Duration) -> bool {
        match self {
            Self::Always => true,
            Self::Unread => still >= READER_STALL,
            Self::Never => false,
        }
    }
}

#[derive(Debug)]
struct Entry {
    kind: MemoryKind,
    bytes: usize,
    begun: Instant,
    progress: Instant,
    may_drop: MayDrop,
    request: Option<Rc<str>>,
    dropped: CancellationToken,
}

/// All memory that callers make the instance hold, and its limit.
#[derive(Clone, Debug)]
pub struct MemoryBudget(Rc<Inner>);

#[derive(Debug)]
struct Inner {
    entries: RefCell<HashMap<u64, Entry>>,
    bytes: Cell<usize>,
    next: Cell<u64>,
    max_bytes: usize,
    /// Responses that are being read from endpoints.
    responses: BufferLimit,
    /// Bytes of these that are counted with the caller's connection already.
    handed: Cell<usize>,
    freed: Notify,
    short: Cell<bool>,
    settings: PressureSettings,
    log: Logger,
}

impl MemoryBudget {
    /// Creates the budget of an instance with this much memory, in megabytes.
    pub fn new(memory_mb: f64, responses: BufferLimit, log: Logger) -> Self {
        Self(Rc::new(Inner {
            entries: RefCell::default(),
            bytes: Cell::new(0),
            next: Cell::new(0),
            max_bytes: (memory_mb * CALLER_SHARE * MEGABYTE) as usize,
            responses,
            handed: Cell::new(0),
            freed: Notify::new(),
            short: Cell::new(false),
            settings: PressureSettings::default(),
            log,
        }))
    }

    /// Begins to hold memory; nothing is counted yet.
    pub fn hold(&self, kind: MemoryKind, request: Option<Rc<str>>) -> MemoryHold {
        let key = self.0.next.get();
        self.0.next.set(key + 1);
        let (now, dropped) = (Instant::now(), CancellationToken::new());
        let entry = Entry {
            kind,
            bytes: 0,
            begun: now,
            progress: now,
            may_drop: MayDrop::Always,
            request,
            dropped: dropped.clone(),
        };
        self.0.entries.borrow_mut().insert(key, entry);
        MemoryHold { budget: self.clone(), key, dropped }
    }

    /// Drops the connection that has been without a request or progress for the longest time;
    /// returns whether there is one.
    pub fn drop_idle(&self) -> bool {
        let oldest = {
            let entries = self.0.entries.borrow();
            let idle = entries.iter().filter(|(_, entry)| {
                entry.kind == MemoryKind::Connection
                    && entry.may_drop == MayDrop::Always
                    && !entry.dropped.is_cancelled()
                    && entry.progress.elapsed() >= self.0.settings.stall
            });
            idle.min_by_key(|(_, entry)| entry.progress).map(|(key, _)| *key)
        };
        if let Some(key) = oldest {
            self.drop_entry(key, "too many connections");
        }
        oldest.is_some()
    }

    /// Watches for holdings that stall while the budget is exceeded, and reports what is held.
    pub async fn watch(self) {
        loop {
            tokio::select! {
                () = sleep(CHECK) => {}
                () = self.0.responses.grown() => {
                    self.relieve(0, 0);
                    continue;
                }
            }
            // What exceeds the budget was taken for responses and heads; incomplete requests yield.
            self.relieve(0, 0);
            if self.0.short.get() && (self.total() as f64) < self.0.max_bytes as f64 * RELIEF {
                self.0.short.set(false);
                log_event!(self.0.log, MEMORY_FREE, "bytes" => self.total());
            }
            for kind in MemoryKind::ALL {
                let entries = self.0.entries.borrow();
                let held = entries.values().filter(|entry| entry.kind == kind);
                let bytes: usize = held.map(|entry| entry.bytes).sum();
                metrics::gauge!("agatestair_serve_held_bytes", "kind" => kind.label())
                    .set(bytes as f64);
            }
            metrics::gauge!("agatestair_serve_held_bytes", "kind" => "response")
                .set(self.0.responses.bytes() as f64);
        }
    }

    fn total(&self) -> usize {
        self.0.bytes.get() + self.0.responses.bytes() - self.0.handed.get()
    }

    /// Drops holdings so that `more` bytes fit for a request that holds `wanted` bytes then.
    fn relieve(&self, more: usize, wanted: usize) {
        let needed = (self.total() + more).saturating_sub(self.0.max_bytes);
        if needed == 0 {
            return;
        }
        if !self.0.short.replace(true) {
            log_event!(self.0.log, MEMORY_SHORT, "bytes" => self.total(),
                "max_bytes" => self.0.max_bytes);
        }
        let (mut freed, mut holdings) = (0, Vec::new());
        for (key, entry) in self.0.entries.borrow().iter() {
            if entry.dropped.is_cancelled() {
                // Its memory is about to be freed.
                freed += entry.bytes;
            } else if entry.may_drop.applies(entry.progress.elapsed()) {
                let (age, still) = (entry.begun.elapsed(), entry.progress.elapsed());
                holdings.push(Holding { key: *key, bytes: entry.bytes, age, still });
            }
        }
        let needed = needed.saturating_sub(freed);
        if needed == 0 {
            return;
        }
        for key in choose_drops(&holdings, wanted, needed, &self.0.settings) {
            self.drop_entry(key, "memory is short");
        }
    }

    fn drop_entry(&self, key: u64, cause: &'static str) {
        let entries = self.0.entries.borrow();
        let Some(entry) = entries.get(&key) else { return };
        entry.dropped.cancel();
        metrics::counter!("agatestair_serve_dropped_total", "kind" => entry.kind.label())
            .increment(1);
        log_event!(self.0.log, CALLER_DROPPED, "request" => entry.request.as_deref(),
            "kind" => entry.kind.label(), "bytes" => entry.bytes,
            "ms" => entry.begun.elapsed().as_millis() as u64,
            "still_ms" => entry.progress.elapsed().as_millis() as u64, "cause" => cause);
    }
}

/// Memory that is held for one caller, released on drop.
#[derive(Debug)]
pub struct MemoryHold {
    budget: MemoryBudget,
    key: u64,
    dropped: CancellationToken,
}

impl MemoryHold {
    /// Sets the number of bytes, also if the budget is exceeded; other holdings are dropped then.
    pub fn set(&self, bytes: usize) {
        let before = self.update(|entry| std::mem::replace(&mut entry.bytes, bytes));
        let inner = &self.budget.0;
        inner.bytes.set(inner.bytes.get() - before + bytes);
        if bytes < before {
            inner.freed.notify_waiters();
        } else {
            self.budget.relieve(0, bytes);
        }
    }

    /// Sets a larger number of bytes once it fits; returns `false` and changes nothing if it does
    /// not fit in time, or if this holding is dropped.
    pub async fn grow(&self, bytes: usize) -> bool {
        let begun = Instant::now();
        loop {
            let held = self.update(|entry| entry.bytes);
            let more = bytes.saturating_sub(held);
            if self.dropped.is_cancelled() {
                return false;
            }
            if self.budget.total() + more <= self.budget.0.max_bytes {
                self.note_progress();
                self.set(bytes);
                return true;
            }
            if begun.elapsed() >= ROOM_WAIT {
                return false;
            }
            // A body that waits for memory has not stalled.
            self.note_progress();
            self.budget.relieve(more, bytes);
            tokio::select! {
                () = self.budget.0.freed.notified() => {}
                () = self.dropped.cancelled() => return false,
                () = sleep(CHECK) => {}
            }
        }
    }

    /// Keeps a buffered response's share of the memory for responses while the connection, which
    /// counts its bytes from now on, writes it.
    pub fn hand(&self, buffer: BufferGuard) -> HandedBuffer {
        let handed = &self.budget.0.handed;
        handed.set(handed.get() + buffer.counted());
        HandedBuffer { budget: self.budget.clone(), buffer }
    }

    /// Records that the caller has made progress.
    pub fn note_progress(&self) {
        self.update(|entry| entry.progress = Instant::now());
    }

    /// Restarts the time since the holding began.
    pub fn restart(&self) {
        let now = Instant::now();
        self.update(|entry| (entry.begun, entry.progress) = (now, now));
    }

    /// Sets whether the holding may be dropped.
    pub fn set_may_drop(&self, may_drop: MayDrop) {
        self.update(|entry| entry.may_drop = may_drop);
    }

    /// Sets the request that the holding belongs to.
    pub fn set_request(&self, request: Option<Rc<str>>) {
        self.update(|entry| entry.request = request);
    }

    /// Waits until the holding is dropped.
    pub async fn dropped(&self) {
        self.dropped.cancelled().await;
    }

    fn update<T>(&self, change: impl FnOnce(&mut Entry) -> T) -> T {
        let mut entries = self.budget.0.entries.borrow_mut();
        change(entries.get_mut(&self.key).expect("the entry lasts as long as its hold"))
    }
}

impl Drop for MemoryHold {
    fn drop(&mut self) {
        let inner = &self.budget.0;
        let entry = inner.entries.borrow_mut().remove(&self.key);
        let bytes = entry.map_or(0, |entry| entry.bytes);
        inner.bytes.set(inner.bytes.get() - bytes);
        inner.freed.notify_waiters();
    }
}

/// A buffered response that a connection writes.
#[derive(Debug)]
pub struct HandedBuffer {
    budget: MemoryBudget,
    buffer: BufferGuard,
}

impl Drop for HandedBuffer {
    fn drop(&mut self) {
        let handed = &self.budget.0.handed;
        handed.set(handed.get() - self.buffer.counted());
    }
}
