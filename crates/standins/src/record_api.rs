//! HTTP interface of the recorder: records, and the faults of the endpoints.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use agatestair_schema::standins::{EndpointFaults, HoldPage, LeavePage, ListsPage, OrderPage};

use crate::faults::FaultBox;
use crate::http::{Connection, Gate, Handler, HttpRequest, keep};
use crate::recorder::Recorder;

/// Runs in one answer unless `limit` asks for fewer.
const PAGE_RUNS: usize = 20_000;

/// What faults of one endpoint act on.
pub struct FaultTarget {
    /// Faults in force.
    pub faults: Arc<FaultBox>,
    /// Its connections.
    pub gate: Arc<Gate>,
    /// Crashes the endpoint for the given time.
    pub crash: Box<dyn Fn(Duration) + Send + Sync>,
}

/// Handler of the recorder's requests.
pub fn record_handler(
    recorder: Arc<Recorder>,
    targets: Arc<BTreeMap<String, FaultTarget>>,
) -> Handler {
    Arc::new(move |request, connection| {
        let api = RecordApi { recorder: &recorder, targets: &targets };
        api.answer(&request, &connection).then_some(connection)
    })
}

struct RecordApi<'a> {
    recorder: &'a Recorder,
    targets: &'a BTreeMap<String, FaultTarget>,
}

impl RecordApi<'_> {
    fn answer(&self, request: &HttpRequest, connection: &Connection) -> bool {
        let after = number(request, "after").unwrap_or(0);
        let recorder = self.recorder;
        if let Some(name) = request.path().strip_prefix("/faults/") {
            return self.faults(name, request, connection);
        }
        match (request.method.as_str(), request.path()) {
            ("GET", "/runs") => {
                let limit = number(request, "limit").and_then(|limit| usize::try_from(limit).ok());
                let page = recorder.runs(after, limit.unwrap_or(PAGE_RUNS));
                keep(connection, |c| c.respond_json(200, &page))
            }
            ("GET", "/orders") => {
                let page = OrderPage { orders: recorder.orders(after) };
                keep(connection, |c| c.respond_json(200, &page))
            }
            ("GET", "/leaves") => {
                let page = LeavePage { leaves: recorder.leaves() };
                keep(connection, |c| c.respond_json(200, &page))
            }
            ("GET", "/lists") => {
                let page = ListsPage { lists: recorder.lists() };
                keep(connection, |c| c.respond_json(200, &page))
            }
            ("GET", "/holds") => {
                let page = HoldPage { holds: recorder.holds() };
                keep(connection, |c| c.respond_json(200, &page))
            }
            ("GET", "/summary") => keep(connection, |c| c.respond_json(200, &recorder.summary())),
            ("POST", "/release") => {
                recorder.release();
                keep(connection, |c| c.respond(200, "", b"{}"))
            }
            ("GET", "/healthz") => keep(connection, |c| c.respond(200, "", b"ok\n")),
            _ => keep(connection, |c| c.refuse(404, "no_such_path", "see docs/STANDINS.md", "")),
        }
    }

    fn faults(&self, name: &str, request: &HttpRequest, connection: &Connection) -> bool {
        let Some(target) = self.targets.get(name) else {
            let message = "no such endpoint; `GET /summary` names them";
            return keep(connection, |c| c.refuse(404, "no_such_endpoint", message, ""));
        };
        if request.method == "GET" {
            return keep(connection, |c| c.respond_json(200, &target.faults.get()));
        }
        match serde_json::from_slice::<EndpointFaults>(&request.body) {
            Ok(faults) => {
                apply(target, &faults);
                keep(connection, |c| c.respond(200, "", b"{}"))
            }
            Err(error) => {
                let message = format!("the body is not valid: {error}; see the standins schema");
                keep(connection, |c| c.refuse(400, "invalid_body", &message, ""))
            }
        }
    }
}

/// Puts faults in force and carries out those that act at once.
fn apply(target: &FaultTarget, faults: &EndpointFaults) {
    let time = |ms| Duration::from_millis(ms);
    if faults.silence {
        target.gate.silence();
    }
    if faults.freeze_ms > 0 {
        target.gate.freeze(time(faults.freeze_ms));
    }
    let crash_ms = faults.crash_ms;
    target.faults.set(EndpointFaults {
        crash_ms: 0,
        freeze_ms: 0,
        silence: false,
        ..faults.clone()
    });
    if crash_ms > 0 {
        (target.crash)(time(crash_ms));
    }
}

fn number(request: &HttpRequest, name: &str) -> Option<u64> {
    request.query(name)?.parse().ok()
}
