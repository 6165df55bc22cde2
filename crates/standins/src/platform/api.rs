//! HTTP API of the platform, with its faults and counters.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use agatestair_schema::lists::{EndpointWish, Lists, WishState};
use agatestair_schema::platform::{
    InstanceRecord, InstanceState, PlatformFaults, Rows, Transaction, Write,
};
use agatestair_schema::standins::{LeaveSource, PlatformStats, PrefixCount};
use percent_encoding::percent_decode_str;

use super::instances::Instances;
use super::table::{Outcome, Table};
use super::weights::WeightStore;
use crate::http::{Connection, Handler, HttpRequest, keep_alive};
use crate::recorder::Recorder;

/// Key prefix of the endpoint states requested by operators.
const WISH_PREFIX: &str = "wish/";
/// Key of the lists.
const LISTS_KEY: &str = "lists";

#[derive(Default)]
struct Counts {
    totals: Totals,
    prefixes: BTreeMap<String, PrefixCount>,
}

#[derive(Clone, Copy, Default)]
struct Totals {
    transactions: u64,
    conflicts: u64,
    repeats: u64,
    reads: u64,
    object_reads: u64,
    object_writes: u64,
    list_reads: u64,
    list_writes: u64,
    weights: u64,
    limited: u64,
    refused: u64,
    lost: u64,
}

struct State {
    table: Table,
    objects: HashMap<String, Vec<u8>>,
    instances: Instances,
    faults: PlatformFaults,
    counts: Counts,
}

/// Options of the platform.
pub struct PlatformOptions {
    /// Recorder of holds, leaving endpoints and lists.
    pub recorder: Arc<Recorder>,
    /// Weight store that serves `/weights/`.
    pub weights: Arc<WeightStore>,
    /// Instances in the instance list at the start.
    pub instances: Instances,
    /// Time after which changes show in the instance list.
    pub list_lag: Duration,
}

/// Platform with its table, objects, instance list and faults.
pub struct Platform {
    state: Mutex<State>,
    recorder: Arc<Recorder>,
    weights: Arc<WeightStore>,
    list_lag: Duration,
}

/// Faults that apply to one request.
#[derive(Default)]
struct RequestFaults {
    outage: bool,
    hold_before: bool,
    hold_after: bool,
    lost: bool,
    delay: Duration,
}

/// Returns the handler of the platform's requests.
pub fn platform_handler(platform: Arc<Platform>) -> Handler {
    Arc::new(move |request, connection| platform.handle(&request, connection))
}

impl Platform {
    /// Creates a platform with an empty table.
    pub fn new(options: PlatformOptions) -> Self {
        let state = State {
            table: Table::default(),
            objects: HashMap::new(),
            instances: options.instances,
            faults: PlatformFaults::default(),
            counts: Counts::default(),
        };
        Self {
            state: Mutex::new(state),
            recorder: options.recorder,
            weights: options.weights,
            list_lag: options.list_lag,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn handle(&self, request: &HttpRequest, connection: Connection) -> Option<Connection> {
        let reusable = match (request.method.as_str(), request.path()) {
            ("POST", "/faults") => self.set_faults(request, &connection),
            ("GET", "/stats") => keep_alive(&connection, |c| c.respond_json(200, &self.stats())),
            ("POST", "/release") => {
                self.recorder.release_holds();
                keep_alive(&connection, |c| c.respond(200, "", b"{}"))
            }
            ("GET", "/healthz") => keep_alive(&connection, |c| c.respond(200, "", b"ok\n")),
            _ => self.serve(request, &connection),
        };
        reusable.then_some(connection)
    }

    fn set_faults(&self, request: &HttpRequest, connection: &Connection) -> bool {
        match serde_json::from_slice(&request.body) {
            Ok(faults) => {
                self.lock().faults = faults;
                keep_alive(connection, |c| c.respond(200, "", b"{}"))
            }
            Err(error) => refuse_invalid(connection, &error),
        }
    }

    /// Serves a request with the faults that apply to it.
    fn serve(&self, request: &HttpRequest, connection: &Connection) -> bool {
        let transaction = match self.parse_transaction(request) {
            Ok(transaction) => transaction,
            Err(error) => return refuse_invalid(connection, &error),
        };
        let keys = request_keys(request, transaction.as_ref());
        let matched = self.match_faults(&keys, transaction.is_some());
        if matched.outage {
            self.lock().counts.totals.refused += 1;
            let message = "the platform is out of service; come back later";
            return keep_alive(connection, |c| c.refuse(503, "outage", message, ""));
        }
        let subject = keys.first().map_or("", String::as_str);
        if matched.hold_before {
            self.recorder.hold("platform", "before", subject);
        }
        let response = match transaction {
            Some(transaction) => self.transact(&transaction),
            None => self.dispatch(request),
        };
        if matched.hold_after {
            self.recorder.hold("platform", "after", subject);
        }
        thread::sleep(matched.delay);
        if matched.lost {
            connection.close();
            return false;
        }
        let Response { status, headers, body } = response;
        keep_alive(connection, |c| c.respond(status, &headers, &body))
    }

    /// Parses the transaction of a request; `None` if the request is not a transaction.
    fn parse_transaction(
        &self,
        request: &HttpRequest,
    ) -> Result<Option<Transaction>, serde_json::Error> {
        if request.method != "POST" || request.path() != "/table/transact" {
            return Ok(None);
        }
        serde_json::from_slice(&request.body).map(Some)
    }

    /// Returns the faults that apply to a request on `keys`, and counts down the limited ones.
    fn match_faults(&self, keys: &[String], transaction: bool) -> RequestFaults {
        let mut state = self.lock();
        let faults = &mut state.faults;
        let matches = faults.prefix.is_empty()
            || keys.iter().any(|key| key.starts_with(faults.prefix.as_str()));
        if !matches {
            return RequestFaults::default();
        }
        let mut matched = RequestFaults {
            outage: faults.outage,
            delay: Duration::from_millis(faults.delay_ms),
            ..RequestFaults::default()
        };
        if !transaction || matched.outage {
            return matched;
        }
        let armed = faults.hold_before + faults.hold_after + faults.lose_replies > 0;
        if armed && faults.hold_count > 0 {
            faults.hold_count -= 1;
            return matched;
        }
        matched.hold_before = consume(&mut faults.hold_before);
        matched.hold_after = consume(&mut faults.hold_after);
        matched.lost = consume(&mut faults.lose_replies);
        state.counts.totals.lost += u64::from(matched.lost);
        matched
    }

    fn transact(&self, transaction: &Transaction) -> Response {
        let mut state = self.lock();
        let (result, outcome) = state.table.transact(transaction);
        if outcome == Outcome::Committed {
            for write in &transaction.writes {
                self.record_write(write, &transaction.attempt);
            }
        }
        state.counts.add_transaction(transaction, outcome);
        Response::json(200, &result)
    }

    /// Records writes that a checker needs: requested endpoint states and lists.
    fn record_write(&self, write: &Write, attempt: &str) {
        let value = write.value.as_deref().unwrap_or_default();
        if let Some(endpoint) = write.key.strip_prefix(WISH_PREFIX) {
            let wish = serde_json::from_str::<EndpointWish>(value);
            let leaving = wish.is_ok_and(|wish| wish.state != WishState::Serve);
            self.recorder.add_leave(endpoint, LeaveSource::Wish, leaving);
        }
        if write.key == LISTS_KEY
            && let Ok(lists) = serde_json::from_str::<Lists>(value)
        {
            self.recorder.add_lists(lists.revision, attempt);
        }
    }

    /// Handles a request that is not a transaction.
    fn dispatch(&self, request: &HttpRequest) -> Response {
        let path = request.path();
        let name = |prefix: &str| path.strip_prefix(prefix).map(decode);
        match request.method.as_str() {
            "GET" if path == "/table/rows" => self.rows(&decoded_query(request, "prefix")),
            "GET" if path == "/table/row" => self.row(&decoded_query(request, "key")),
            "GET" if path == "/instances" => self.instances(),
            method => {
                if let Some(key) = name("/objects/") {
                    return self.object(method, key, &request.body);
                }
                if let (Some(name), "PUT") = (name("/instances/"), method) {
                    return self.put_instance(&name, &request.body);
                }
                if let (Some(model), "GET") = (name("/weights/"), method) {
                    return self.weights(&model);
                }
                Response::text(404, "no such path; see ARCHITECTURE.md\n")
            }
        }
    }

    fn rows(&self, prefix: &str) -> Response {
        let mut state = self.lock();
        state.counts.add_read(prefix);
        Response::json(200, &Rows { rows: state.table.rows(prefix) })
    }

    fn row(&self, key: &str) -> Response {
        let mut state = self.lock();
        state.counts.add_read(key);
        match state.table.row(key) {
            Some(row) => Response::json(200, &row),
            None => Response::text(404, "no such row\n"),
        }
    }

    fn object(&self, method: &str, key: String, body: &[u8]) -> Response {
        let mut state = self.lock();
        match method {
            "PUT" => {
                state.counts.totals.object_writes += 1;
                state.objects.insert(key, body.to_vec());
                Response::text(200, "")
            }
            "DELETE" => {
                state.counts.totals.object_writes += 1;
                state.objects.remove(&key);
                Response::text(200, "")
            }
            _ => {
                state.counts.totals.object_reads += 1;
                match state.objects.get(&key) {
                    Some(object) => Response::bytes(200, object.clone()),
                    None => Response::text(404, "no such object\n"),
                }
            }
        }
    }

    fn instances(&self) -> Response {
        let mut state = self.lock();
        state.counts.totals.list_reads += 1;
        let lag = match state.faults.list_lag_ms {
            0 => self.list_lag,
            lag => Duration::from_millis(lag),
        };
        Response::json(200, &state.instances.list(lag))
    }

    fn put_instance(&self, name: &str, body: &[u8]) -> Response {
        let record: InstanceRecord = match serde_json::from_slice(body) {
            Ok(record) => record,
            Err(error) => {
                return Response::text(400, &format!("{error}; see the platform schema\n"));
            }
        };
        if record.name != name {
            return Response::text(400, "the record names another instance; use its own path\n");
        }
        let mut state = self.lock();
        state.counts.totals.list_writes += 1;
        let leaving = record.state != InstanceState::Live;
        self.recorder.add_leave(name, LeaveSource::List, leaving);
        state.instances.put(record);
        Response::text(200, "")
    }

    fn weights(&self, model: &str) -> Response {
        let wait = self.weights.try_acquire();
        let totals = &mut self.lock().counts.totals;
        match wait {
            None => {
                totals.weights += 1;
                Response::text(200, model)
            }
            Some(wait) => {
                totals.limited += 1;
                let mut response = Response::text(429, "above the rate; come back later\n");
                response.headers = format!("Retry-After: {}\r\n", wait.as_secs() + 1);
                response
            }
        }
    }

    /// Returns the counters since the start.
    pub fn stats(&self) -> PlatformStats {
        let state = self.lock();
        let totals = state.counts.totals;
        PlatformStats {
            transactions: totals.transactions,
            conflicts: totals.conflicts,
            repeats: totals.repeats,
            reads: totals.reads,
            object_reads: totals.object_reads,
            object_writes: totals.object_writes,
            list_reads: totals.list_reads,
            list_writes: totals.list_writes,
            weights: totals.weights,
            limited: totals.limited,
            refused: totals.refused,
            lost: totals.lost,
            prefixes: state.counts.prefixes.values().cloned().collect(),
        }
    }
}

impl Counts {
    /// Counts of the first part of `key`.
    fn prefix_count(&mut self, key: &str) -> &mut PrefixCount {
        let prefix = key.split('/').next().unwrap_or_default().to_owned();
        let empty = PrefixCount { prefix: prefix.clone(), reads: 0, checks: 0, writes: 0 };
        self.prefixes.entry(prefix).or_insert(empty)
    }

    fn add_read(&mut self, key: &str) {
        self.totals.reads += 1;
        self.prefix_count(key).reads += 1;
    }

    fn add_transaction(&mut self, transaction: &Transaction, outcome: Outcome) {
        self.totals.transactions += 1;
        match outcome {
            Outcome::Committed => {}
            Outcome::Conflict => self.totals.conflicts += 1,
            Outcome::Repeat => self.totals.repeats += 1,
        }
        for check in &transaction.checks {
            self.prefix_count(&check.key).checks += 1;
        }
        if outcome == Outcome::Committed {
            for write in &transaction.writes {
                self.prefix_count(&write.key).writes += 1;
            }
        }
    }
}

/// Response of the platform.
struct Response {
    status: u16,
    headers: String,
    body: Vec<u8>,
}

impl Response {
    fn json<T: serde::Serialize>(status: u16, value: &T) -> Self {
        let body = serde_json::to_vec(value).unwrap_or_default();
        Self { status, headers: "Content-Type: application/json\r\n".to_owned(), body }
    }

    fn text(status: u16, text: &str) -> Self {
        Self::bytes(status, text.as_bytes().to_vec())
    }

    fn bytes(status: u16, body: Vec<u8>) -> Self {
        Self { status, headers: String::new(), body }
    }
}

/// Decrements a counter unless it is zero; returns whether it was above zero.
fn consume(counter: &mut u32) -> bool {
    let applies = *counter > 0;
    *counter = counter.saturating_sub(1);
    applies
}

/// Keys that the prefix of the faults is matched against: row keys or the prefix read for the
/// table, else the path.
fn request_keys(request: &HttpRequest, transaction: Option<&Transaction>) -> Vec<String> {
    if let Some(transaction) = transaction {
        let writes = transaction.writes.iter().map(|write| write.key.clone());
        let checks = transaction.checks.iter().map(|check| check.key.clone());
        return writes.chain(checks).collect();
    }
    match request.path() {
        "/table/rows" => vec![decoded_query(request, "prefix")],
        "/table/row" => vec![decoded_query(request, "key")],
        path => vec![decode(path.trim_start_matches('/'))],
    }
}

/// Value of a query parameter, percent-decoded; empty if absent.
fn decoded_query(request: &HttpRequest, name: &str) -> String {
    decode(request.query(name).unwrap_or_default())
}

fn decode(text: &str) -> String {
    percent_decode_str(text).decode_utf8_lossy().into_owned()
}

fn refuse_invalid(connection: &Connection, error: &serde_json::Error) -> bool {
    let message = format!("the body is not valid: {error}; see the platform schema");
    keep_alive(connection, |c| c.refuse(400, "invalid_body", &message, ""))
}
