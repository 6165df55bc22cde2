//! Stand-in for a plain HTTP service: calls append to and read from tables, and the service
//! remembers the state of each idempotency key.

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
use crate::faults::FaultInjector;
use crate::http::{Connection, Handler, HttpRequest, ListenerFaults, keep_alive};
use crate::recorder::{Recorder, RunId};

/// Maximum length of a call's body in its record, in bytes.
const RECORDED_BODY: usize = 256;

#[derive(Default)]
struct Tables {
    tables: BTreeMap<String, Vec<LedgerEntry>>,
    keys: HashMap<String, KeyStatus>,
}

/// Tables and idempotency keys of one service, shared by its endpoints.
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

    /// Sets the state of an idempotency key, unless the key is empty.
    fn set_key(&self, key: &str, state: KeyState, body: Option<String>) {
        if key.is_empty() {
            return;
        }
        let status = body.is_some().then_some(200);
        let value = KeyStatus { key: key.to_owned(), state, status, body };
        self.lock().keys.insert(key.to_owned(), value);
    }

    /// Forgets a key if its call is still running.
    fn forget_running(&self, key: &str) {
        let mut state = self.lock();
        if state.keys.get(key).is_some_and(|status| status.state == KeyState::Running) {
            state.keys.remove(key);
        }
    }

    fn key_status(&self, key: &str) -> KeyStatus {
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
    /// Processing time of one call.
    pub work: Duration,
    /// Tables and idempotency keys of the service.
    pub store: Arc<ServiceStore>,
    /// Active faults of the endpoint.
    pub faults: Arc<FaultInjector>,
    /// Faults of its listener.
    pub listener_faults: Arc<ListenerFaults>,
    /// Recorder of its calls and orders.
    pub recorder: Arc<Recorder>,
    /// Load reports.
    pub reports: Reports,
    /// Number of the current run of the endpoint, counted from 1.
    pub boots: AtomicU32,
    /// Number of calls in progress.
    pub active: AtomicU32,
    /// Whether new calls are refused.
    pub draining: AtomicBool,
}

/// Returns the handler of an endpoint's requests.
pub fn plain_handler(endpoint: Arc<PlainEndpoint>) -> Handler {
    Arc::new(move |request, connection| endpoint.handle(&request, connection))
}

/// Load report of a plain service with `active` calls in progress.
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
    /// Identifier of the current run of the endpoint; a new one is used after each crash.
    pub fn boot_name(&self) -> String {
        format!("{}-{}", self.name, self.boots.load(Ordering::Relaxed))
    }

    /// Crashes the endpoint: calls in progress get no response, new connections are closed for the
    /// duration `time`.
    pub fn crash(&self, time: Duration) {
        self.boots.fetch_add(1, Ordering::Relaxed);
        self.draining.store(false, Ordering::Relaxed);
        self.listener_faults.crash(time);
        self.recorder.record_boot(&self.name, &self.service, &self.address, &self.boot_name());
    }

    fn handle(&self, request: &HttpRequest, connection: Connection) -> Option<Connection> {
        let path = request.path();
        if let Some(key) = path.strip_prefix("/agatestair/keys/") {
            let status = self.store.key_status(&decode(key));
            return keep_alive(&connection, |c| c.respond_json(200, &status)).then_some(connection);
        }
        let reusable = match (request.method.as_str(), path) {
            ("GET", "/agatestair/load") => {
                let stale = self.faults.get().stale_reports;
                keep_alive(&connection, |c| c.respond_json(200, &self.reports.latest(stale)))
            }
            ("GET", "/agatestair/cache-events") => {
                keep_alive(&connection, |c| c.respond_json(200, &self.no_events()))
            }
            ("GET", "/agatestair/state") => {
                keep_alive(&connection, |c| c.respond_json(200, &self.state()))
            }
            ("POST", "/agatestair/order") => self.handle_order(request, &connection),
            ("GET", "/healthz") => keep_alive(&connection, |c| c.respond(200, "", b"ok\n")),
            _ => return self.handle_call(request, connection),
        };
        reusable.then_some(connection)
    }

    /// Empty page of cache events: plain services have no prefix cache.
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

    fn handle_order(&self, request: &HttpRequest, connection: &Connection) -> bool {
        let Ok(order) = serde_json::from_slice::<Order>(&request.body) else {
            let message = "the body is not an order; see the endpoint schema";
            return keep_alive(connection, |c| c.refuse(400, "invalid_body", message, ""));
        };
        if self.faults.consume(|faults| &mut faults.hold_orders) {
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
        let id = self.recorder.add_order(self.order_record(&order, result));
        self.recorder.finish_order(id, false);
        let reply = OrderReply { result, detail: detail.to_owned(), fencing: order.fencing };
        keep_alive(connection, |c| c.respond_json(200, &reply))
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

    fn handle_call(&self, request: &HttpRequest, connection: Connection) -> Option<Connection> {
        let run = self.recorder.begin_run(self.run_record(request));
        let id = request.header("X-Request-Id");
        if self.faults.consume(|faults| &mut faults.hang) {
            self.recorder.end_run(run, RunOutcome::Hung);
            connection.silence();
            return Some(connection);
        }
        let refused = self.faults.consume(|faults| &mut faults.refuse);
        if refused || self.draining.load(Ordering::Relaxed) {
            self.recorder.end_run(run, RunOutcome::Refused);
            let message = "the endpoint takes no new calls; use another";
            return keep_alive(&connection, |c| c.refuse(503, "draining", message, id))
                .then_some(connection);
        }
        self.change_active(1);
        let outcome = self.run_call(request, &connection, run);
        self.change_active(-1);
        self.recorder.end_run(run, outcome);
        (outcome == RunOutcome::Done).then_some(connection)
    }

    /// Changes the number of calls in progress and publishes a load report.
    fn change_active(&self, change: i32) {
        let before = if change > 0 {
            self.active.fetch_add(1, Ordering::Relaxed)
        } else {
            self.active.fetch_sub(1, Ordering::Relaxed)
        };
        let active = before.saturating_add_signed(change);
        self.reports.publish(plain_report(&self.name, active));
    }

    /// Runs a call: waits half of its processing time, applies its effect, waits the other half.
    fn run_call(&self, request: &HttpRequest, connection: &Connection, run: RunId) -> RunOutcome {
        let key = request.header("Idempotency-Key");
        let subject = if key.is_empty() { request.header("X-Request-Id") } else { key };
        let boot = self.boots.load(Ordering::Relaxed);
        self.store.set_key(key, KeyState::Running, None);
        if self.faults.consume(|faults| &mut faults.hold_before) {
            self.recorder.hold(&self.name, "before", subject);
        }
        self.wait_half();
        if self.boots.load(Ordering::Relaxed) != boot {
            self.store.forget_running(key);
            return RunOutcome::Crashed;
        }
        self.recorder.start_run(run);
        let body = self.apply_effect(request);
        self.store.set_key(key, KeyState::Done, Some(body.clone()));
        if self.faults.consume(|faults| &mut faults.hold_after) {
            self.recorder.hold(&self.name, "after", subject);
        }
        self.wait_half();
        if self.boots.load(Ordering::Relaxed) != boot {
            return RunOutcome::Crashed;
        }
        if self.faults.consume(|faults| &mut faults.lose_answers) {
            return RunOutcome::Lost;
        }
        let sent = connection.respond(200, "Content-Type: application/json\r\n", body.as_bytes());
        if sent.is_ok() { RunOutcome::Done } else { RunOutcome::Gone }
    }

    fn wait_half(&self) {
        thread::sleep(self.work.div_f64(2.0).mul_f64(self.faults.slow_factor()));
        self.listener_faults.wait_unfrozen();
    }

    /// Reads a table on GET and HEAD, appends to it on any other method.
    fn apply_effect(&self, request: &HttpRequest) -> String {
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

    fn run_record(&self, request: &HttpRequest) -> RunRecord {
        let start = &request.body[..request.body.len().min(RECORDED_BODY)];
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
