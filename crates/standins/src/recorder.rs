//! Records of the work, orders and faults at the stand-ins, read by test checkers.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use agatestair_schema::standins::{
    EndpointSummary, HoldRecord, LeaveRecord, LeaveSource, ListsRecord, OrderRecord, RunOutcome,
    RunPage, RunRecord, Summary,
};

use crate::clock::now_ms;

/// Maximum number of run records kept; the oldest are dropped first.
const MAX_RUNS: usize = 400_000;
/// Maximum time for which a thread is held.
const MAX_HOLD: Duration = Duration::from_secs(60);

#[derive(Default)]
struct Records {
    runs: VecDeque<RunRecord>,
    dropped: u64,
    orders: Vec<OrderRecord>,
    leaves: Vec<LeaveRecord>,
    lists: Vec<ListsRecord>,
    holds: Vec<HoldRecord>,
    releases: u64,
    endpoints: BTreeMap<String, EndpointSummary>,
}

/// Collects the records of all stand-ins in this process.
#[derive(Default)]
pub struct Recorder {
    records: Mutex<Records>,
    released: Condvar,
}

/// Identifier of a [`RunRecord`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RunId(u64);

impl Recorder {
    fn lock(&self) -> MutexGuard<'_, Records> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds an endpoint to the summary, or counts its restart.
    pub fn record_boot(&self, endpoint: &str, service: &str, address: &str, boot: &str) {
        let mut records = self.lock();
        let summary = records.endpoints.entry(endpoint.to_owned()).or_insert_with(|| {
            let mut summary = empty_summary(endpoint, service);
            address.clone_into(&mut summary.address);
            summary
        });
        boot.clone_into(&mut summary.boot);
        summary.boots += 1;
    }

    /// Records the arrival of a unit of work; fills in its identifier and time of arrival.
    pub fn begin_run(&self, mut run: RunRecord) -> RunId {
        let mut records = self.lock();
        run.id = records.dropped + records.runs.len() as u64 + 1;
        run.received_ms = now_ms();
        let id = RunId(run.id);
        if let Some(summary) = records.endpoints.get_mut(&run.endpoint) {
            summary.received += 1;
        }
        records.runs.push_back(run);
        if records.runs.len() > MAX_RUNS {
            records.runs.pop_front();
            records.dropped += 1;
        }
        id
    }

    /// Updates the record of a run, unless it has been dropped.
    pub fn update_run(&self, id: RunId, change: impl FnOnce(&mut RunRecord)) {
        let mut records = self.lock();
        let Some(index) = id.0.checked_sub(records.dropped + 1) else {
            return;
        };
        if let Some(run) = records.runs.get_mut(usize::try_from(index).unwrap_or(usize::MAX)) {
            change(run);
        }
    }

    /// Records that a unit of work takes effect.
    pub fn start_run(&self, id: RunId) {
        self.update_run(id, |run| {
            run.started_ms = now_ms();
            run.outcome = RunOutcome::Running;
        });
        self.update_summary(id, |summary, _| summary.started += 1);
    }

    /// Records the outcome of a unit of work.
    pub fn end_run(&self, id: RunId, outcome: RunOutcome) {
        self.update_run(id, |run| {
            run.ended_ms = now_ms();
            run.outcome = outcome;
        });
        self.update_summary(id, |summary, run| {
            summary.tokens += u64::from(run.tokens);
            match outcome {
                RunOutcome::Done => summary.done += 1,
                RunOutcome::Refused => summary.refused += 1,
                _ => {}
            }
        });
    }

    /// Updates the totals of the endpoint of a run.
    fn update_summary(&self, id: RunId, change: impl FnOnce(&mut EndpointSummary, &RunRecord)) {
        let mut records = self.lock();
        let records = &mut *records;
        let Some(index) = id.0.checked_sub(records.dropped + 1) else {
            return;
        };
        let Some(run) = records.runs.get(usize::try_from(index).unwrap_or(usize::MAX)) else {
            return;
        };
        if let Some(summary) = records.endpoints.get_mut(&run.endpoint) {
            change(summary, run);
        }
    }

    /// Records an order; fills in its identifier and returns it.
    pub fn add_order(&self, mut order: OrderRecord) -> u64 {
        let mut records = self.lock();
        order.id = records.orders.len() as u64 + 1;
        order.received_ms = now_ms();
        let id = order.id;
        records.orders.push(order);
        id
    }

    /// Records that the effect of an order is complete.
    pub fn finish_order(&self, id: u64, role_changed: bool) {
        let mut records = self.lock();
        let records = &mut *records;
        let index = usize::try_from(id).unwrap_or(usize::MAX).wrapping_sub(1);
        let Some(order) = records.orders.get_mut(index) else {
            return;
        };
        order.effect_ms = now_ms();
        if let Some(summary) = records.endpoints.get_mut(&order.endpoint) {
            summary.role_changes += u64::from(role_changed);
        }
    }

    /// Records that an endpoint or instance starts to leave, or returns to service.
    pub fn add_leave(&self, endpoint: &str, source: LeaveSource, leaving: bool) {
        let record =
            LeaveRecord { endpoint: endpoint.to_owned(), source, leaving, at_ms: now_ms() };
        self.lock().leaves.push(record);
    }

    /// Records an accepted revision of the lists.
    pub fn add_lists(&self, revision: u64, attempt: &str) {
        let record = ListsRecord { revision, at_ms: now_ms(), attempt: attempt.to_owned() };
        self.lock().lists.push(record);
    }

    /// Blocks the calling thread until [`Recorder::release_holds`], for at most 60 seconds.
    pub fn hold(&self, place: &str, stage: &str, subject: &str) {
        let mut records = self.lock();
        let releases = records.releases;
        records.holds.push(HoldRecord {
            place: place.to_owned(),
            stage: stage.to_owned(),
            subject: subject.to_owned(),
            at_ms: now_ms(),
        });
        let held = |records: &mut Records| records.releases == releases;
        drop(self.released.wait_timeout_while(records, MAX_HOLD, held));
    }

    /// Records a hold that the caller implements itself. The hold lasts until
    /// [`Recorder::release_count`] differs from the returned count.
    pub fn record_hold(&self, place: &str, stage: &str, subject: &str) -> u64 {
        let mut records = self.lock();
        records.holds.push(HoldRecord {
            place: place.to_owned(),
            stage: stage.to_owned(),
            subject: subject.to_owned(),
            at_ms: now_ms(),
        });
        records.releases
    }

    /// Number of calls of [`Recorder::release_holds`] so far.
    pub fn release_count(&self) -> u64 {
        self.lock().releases
    }

    /// Ends all current holds.
    pub fn release_holds(&self) {
        self.lock().releases += 1;
        self.released.notify_all();
    }

    /// Records of runs with an identifier above `after`, at most `limit`.
    pub fn runs(&self, after: u64, limit: usize) -> RunPage {
        let records = self.lock();
        let skip = usize::try_from(after.saturating_sub(records.dropped)).unwrap_or(usize::MAX);
        let runs = records.runs.iter().skip(skip).take(limit).cloned().collect();
        RunPage { dropped: records.dropped, runs }
    }

    /// Records of orders with an identifier above `after`.
    pub fn orders(&self, after: u64) -> Vec<OrderRecord> {
        let skip = usize::try_from(after).unwrap_or(usize::MAX);
        self.lock().orders.iter().skip(skip).cloned().collect()
    }

    /// Records of endpoints and instances that left or returned.
    pub fn leaves(&self) -> Vec<LeaveRecord> {
        self.lock().leaves.clone()
    }

    /// Records of accepted revisions of the lists.
    pub fn lists(&self) -> Vec<ListsRecord> {
        self.lock().lists.clone()
    }

    /// Records of current and past holds.
    pub fn holds(&self) -> Vec<HoldRecord> {
        self.lock().holds.clone()
    }

    /// Totals of all endpoints.
    pub fn summary(&self) -> Summary {
        Summary { endpoints: self.lock().endpoints.values().cloned().collect() }
    }
}

fn empty_summary(endpoint: &str, service: &str) -> EndpointSummary {
    EndpointSummary {
        endpoint: endpoint.to_owned(),
        service: service.to_owned(),
        address: String::new(),
        boot: String::new(),
        boots: 0,
        received: 0,
        started: 0,
        done: 0,
        refused: 0,
        tokens: 0,
        role_changes: 0,
    }
}
