//! Stand-in of a plain service: a table that calls append to and read from, with a record of what
//! became of each idempotency key.

use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use agatestair_schema::endpoint::{
    CacheEvents, EngineRole, EngineState, KeyState, KeyStatus, LoadReport, Order, OrderKind,
    OrderReply, OrderResult,
};
use agatestair_schema::standins::{
    Ledger, LedgerEntry, OrderRecord, RunKind, RunOutcome, RunRecord,
};

use crate::engine::Reports;
use crate::faults::FaultBox;
use crate::http::{Connection, Gate, Handler, HttpRequest, keep};
use crate::recorder::{Recorder, RunId};

/// Bytes of a call's body that its record keeps.
const KEPT_BODY: usize = 256;

#[derive(Default)]
struct Tables {
    tables: BTreeMap<String, Vec<LedgerEntry>>,
    keys: HashMap<String, KeyStatus>,
}

/// Tables and keys of one service, shared by its endpoints.
#[derive(Default)]
pub struct ServiceStore {
    state: Mutex<Tables>,
}

impl ServiceStore {
    fn lock(&self) -> MutexGuard<'_, Tables> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn read(&self, table: &str) -> Ledger {
        let entries = self.lock().tables.get(table).cloned().unwrap_or_default();
        Ledger { table: table.to_owned(), entries }
    }

    fn append(&self, table: &str, mut entry: LedgerEntry) -> LedgerEntry {
        let mut state = self.lock();
        let entries = state.tables.entry(table.to_owned()).or_default();
        entry.index = entries.len() as u64;
        entries.push(entry.clone());
        entry
    }

    fn set_key(&self, key: &str, state: KeyState, body: Option<String>) {
        if key.is_empty() {
            return;
        }
        let status = body.is_some().then_some(200);
        let value = KeyStatus { key: key.to_owned(), state, status, body };
        self.lock().keys.insert(key.to_owned(), value);
    }

    fn forget_running(&self, key: &str) {
        let mut state = self.lock();
        if state.keys.get(key).is_some_and(|status| status.state == KeyState::Running) {
            state.keys.remove(key);
        }
    }

    fn key(&self, key: &str) -> KeyStatus {
        let unseen =
            KeyStatus { key: key.to_owned(), state: KeyState::Unseen, status: None, body: None };
        self.lock().keys.get(key).cloned().unwrap_or(unseen)
    }
}

/// One endpoint of a plain service.
pub struct PlainEndpoint {
    /// Name of the endpoint.
    pub name: String,
    /// Service that it belongs to.
    pub service: String,
    /// Address as `IP:port`.
    pub address: String,
    /// Duration of one call.
    pub work: Duration,
    /// Tables of the service.
    pub store: Arc<ServiceStore>,
    /// Faults in force.
    pub faults: Arc<FaultBox>,
    /// Its connections.
    pub gate: Arc<Gate>,
    /// Records.
    pub recorder: Arc<Recorder>,
    /// Load reports.
    pub reports: Reports,
    /// Counts the crashes.
    pub boots: AtomicU32,
    /// Calls being worked on.
    pub active: AtomicU32,
    /// Whether new calls are refused.
    pub draining: AtomicBool,
}

/// Handler of the requests of one endpoint.
pub fn plain_handler(endpoint: Arc<PlainEndpoint>) -> Handler {
    Arc::new(move |request, connection| endpoint.answer(&request, connection))
}

/// A load report of a plain service.
pub fn plain_report(name: &str, active: u32) -> LoadReport {
    LoadReport {
        endpoint: name.to_owned(),
        sequence: 0,
        age_ms: 0,
        role: EngineRole::Mixed,
        changing: false,
        active,
        queued: 0,
        prefill_backlog: 0,
        decode_backlog: 0,
        prefill_rate: 0.0,
        decode_rate: 0.0,
        kv_used: 0,
        kv_total: 0,
        models: Vec::new(),
    }
}

impl PlainEndpoint {
    /// Name of this run of the endpoint.
    pub fn boot_name(&self) -> String {
        format!("{}-{}", self.name, self.boots.load(Ordering::Relaxed))
    }

    /// Loses the calls in work and starts anew after `time`.
    pub fn crash(&self, time: Duration) {
        self.boots.fetch_add(1, Ordering::Relaxed);
        self.draining.store(false, Ordering::Relaxed);
        self.gate.crash(time);
        self.recorder.note_boot(&self.name, &self.service, &self.address, &self.boot_name());
    }

    fn answer(&self, request: &HttpRequest, connection: Connection) -> Option<Connection> {
        let path = request.path();
        if let Some(key) = path.strip_prefix("/agatestair/keys/") {
            let status = self.store.key(&decode(key));
            return keep(&connection, |c| c.respond_json(200, &status)).then_some(connection);
        }
        let kept = match (request.method.as_str(), path) {
            ("GET", "/agatestair/load") => {
                let repeat = self.faults.get().stale_reports;
                keep(&connection, |c| c.respond_json(200, &self.reports.latest(repeat)))
            }
            ("GET", "/agatestair/cache-events") => {
                keep(&connection, |c| c.respond_json(200, &self.no_events()))
            }
            ("GET", "/agatestair/state") => {
                keep(&connection, |c| c.respond_json(200, &self.state()))
            }
            ("POST", "/agatestair/order") => self.order(request, &connection),
            ("GET", "/healthz") => keep(&connection, |c| c.respond(200, "", b"ok\n")),
            _ => return self.call(request, connection),
        };
        kept.then_some(connection)
    }

    fn no_events(&self) -> CacheEvents {
        CacheEvents { endpoint: self.name.clone(), first: 1, last: 0, events: Vec::new() }
    }

    fn state(&self) -> EngineState {
        EngineState {
            endpoint: self.name.clone(),
            boot: self.boot_name(),
            role: EngineRole::Mixed,
            target: None,
            draining: self.draining.load(Ordering::Relaxed),
            models: Vec::new(),
            fencing: 0,
            last_order: String::new(),
            active: self.active.load(Ordering::Relaxed),
        }
    }

    fn order(&self, request: &HttpRequest, connection: &Connection) -> bool {
        let Ok(order) = serde_json::from_slice::<Order>(&request.body) else {
            let message = "the body is not an order; see the endpoint schema";
            return keep(connection, |c| c.refuse(400, "invalid_body", message, ""));
        };
        if self.faults.take(|faults| &mut faults.hold_orders) {
            self.recorder.hold(&self.name, "order", &order.id);
        }
        let (result, detail) = match order.kind {
            OrderKind::Drain => (OrderResult::Done, "takes no new calls"),
            OrderKind::Resume => (OrderResult::Done, "takes calls"),
            _ => (OrderResult::Invalid, "plain services have neither roles nor models"),
        };
        if result == OrderResult::Done {
            self.draining.store(order.kind == OrderKind::Drain, Ordering::Relaxed);
        }
        let number = self.recorder.add_order(self.order_record(&order, result));
        self.recorder.finish_order(number, false);
        let reply = OrderReply { result, detail: detail.to_owned(), fencing: order.fencing };
        keep(connection, |c| c.respond_json(200, &reply))
    }

    fn order_record(&self, order: &Order, result: OrderResult) -> OrderRecord {
        OrderRecord {
            id: 0,
            endpoint: self.name.clone(),
            boot: self.boot_name(),
            order: order.id.clone(),
            kind: order.kind.to_string(),
            argument: String::new(),
            holder: order.holder.clone(),
            epoch: order.epoch,
            fencing: order.fencing,
            sequence: order.sequence,
            highest: 0,
            during: String::new(),
            during_holder: String::new(),
            repeat: false,
            result: result.to_string(),
            received_ms: 0,
            effect_ms: 0,
        }
    }

    fn call(&self, request: &HttpRequest, connection: Connection) -> Option<Connection> {
        let run = self.recorder.begin_run(self.record(request));
        let id = request.header("X-Request-Id");
        if self.faults.take(|faults| &mut faults.hang) {
            self.recorder.end_run(run, RunOutcome::Hung);
            connection.silence();
            return Some(connection);
        }
        let refused = self.faults.take(|faults| &mut faults.refuse);
        if refused || self.draining.load(Ordering::Relaxed) {
            self.recorder.end_run(run, RunOutcome::Refused);
            let message = "the endpoint takes no new calls; use another";
            return keep(&connection, |c| c.refuse(503, "draining", message, id))
                .then_some(connection);
        }
        self.note_active(1);
        let outcome = self.run(request, &connection, run);
        self.note_active(-1);
        self.recorder.end_run(run, outcome);
        (outcome == RunOutcome::Done).then_some(connection)
    }

    fn note_active(&self, change: i32) {
        let before = if change > 0 {
            self.active.fetch_add(1, Ordering::Relaxed)
        } else {
            self.active.fetch_sub(1, Ordering::Relaxed)
        };
        let active = before.saturating_add_signed(change);
        self.reports.publish(plain_report(&self.name, active));
    }

    /// Carries out a call: the effect stands between two halves of its work.
    fn run(&self, request: &HttpRequest, connection: &Connection, run: RunId) -> RunOutcome {
        let key = request.header("Idempotency-Key");
        let subject = if key.is_empty() { request.header("X-Request-Id") } else { key };
        let boot = self.boots.load(Ordering::Relaxed);
        self.store.set_key(key, KeyState::Running, None);
        if self.faults.take(|faults| &mut faults.hold_before) {
            self.recorder.hold(&self.name, "before", subject);
        }
        self.work_half();
        if self.boots.load(Ordering::Relaxed) != boot {
            self.store.forget_running(key);
            return RunOutcome::Crashed;
        }
        self.recorder.start_run(run);
        let body = self.effect(request);
        self.store.set_key(key, KeyState::Done, Some(body.clone()));
        if self.faults.take(|faults| &mut faults.hold_after) {
            self.recorder.hold(&self.name, "after", subject);
        }
        self.work_half();
        if self.boots.load(Ordering::Relaxed) != boot {
            return RunOutcome::Crashed;
        }
        if self.faults.take(|faults| &mut faults.lose_answers) {
            return RunOutcome::Lost;
        }
        let sent = connection.respond(200, "Content-Type: application/json\r\n", body.as_bytes());
        if sent.is_ok() { RunOutcome::Done } else { RunOutcome::Gone }
    }

    fn work_half(&self) {
        thread::sleep(self.work.div_f64(2.0).mul_f64(self.faults.slow_factor()));
        self.gate.wait_thaw();
    }

    /// Reads a table on GET and HEAD, appends to it on any other method.
    fn effect(&self, request: &HttpRequest) -> String {
        let table = request.path();
        if request.method == "GET" || request.method == "HEAD" {
            return serde_json::to_string(&self.store.read(table)).unwrap_or_default();
        }
        let entry = LedgerEntry {
            index: 0,
            key: request.header("Idempotency-Key").to_owned(),
            request: request.header("X-Request-Id").to_owned(),
            body: String::from_utf8_lossy(&request.body).into_owned(),
        };
        serde_json::to_string(&self.store.append(table, entry)).unwrap_or_default()
    }

    fn record(&self, request: &HttpRequest) -> RunRecord {
        let start = &request.body[..request.body.len().min(KEPT_BODY)];
        RunRecord {
            id: 0,
            endpoint: self.name.clone(),
            service: self.service.clone(),
            boot: self.boot_name(),
            kind: RunKind::Call,
            request: request.header("X-Request-Id").to_owned(),
            attempt: String::new(),
            key: request.header("Idempotency-Key").to_owned(),
            method: request.method.clone(),
            path: request.target.clone(),
            body: String::from_utf8_lossy(start).into_owned(),
            received_ms: 0,
            started_ms: 0,
            ended_ms: 0,
            outcome: RunOutcome::Queued,
            prompt_tokens: 0,
            cached_tokens: 0,
            first_token: 0,
            tokens: 0,
            pieces: 0,
            altered: 0,
        }
    }
}

/// Decodes the percent encoding of a path segment.
fn decode(segment: &str) -> String {
    percent_encoding::percent_decode_str(segment).decode_utf8_lossy().into_owned()
}
