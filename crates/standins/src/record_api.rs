//! HTTP API of the recorder: serves its records and sets the faults of endpoints.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use agatestair_schema::standins::{EndpointFaults, HoldPage, LeavePage, ListsPage, OrderPage};

use crate::faults::FaultInjector;
use crate::http::{Connection, Handler, HttpRequest, ListenerFaults, keep_alive};
use crate::recorder::Recorder;

/// Number of runs per page if the query sets no `limit`.
const DEFAULT_PAGE_RUNS: usize = 20_000;

/// Handles to inject faults into one endpoint.
pub struct FaultTarget {
    /// Active faults of the endpoint.
    pub faults: Arc<FaultInjector>,
    /// Faults of its listener.
    pub listener_faults: Arc<ListenerFaults>,
    /// Crashes the endpoint; it restarts after the given time.
    pub crash: Box<dyn Fn(Duration) + Send + Sync>,
}

/// Returns the handler of the recorder's API.
pub fn record_handler(
    recorder: Arc<Recorder>,
    targets: Arc<BTreeMap<String, FaultTarget>>,
) -> Handler {
    Arc::new(move |request, connection| {
        let api = RecordApi { recorder: &recorder, targets: &targets };
        api.handle(&request, &connection).then_some(connection)
    })
}

struct RecordApi<'a> {
    recorder: &'a Recorder,
    targets: &'a BTreeMap<String, FaultTarget>,
}

impl RecordApi<'_> {
    fn handle(&self, request: &HttpRequest, connection: &Connection) -> bool {
        let after = query_number(request, "after").unwrap_or(0);
        let recorder = self.recorder;
        if let Some(name) = request.path().strip_prefix("/faults/") {
            return self.handle_faults(name, request, connection);
        }
        match (request.method.as_str(), request.path()) {
            ("GET", "/runs") => {
                let limit =
                    query_number(request, "limit").and_then(|limit| usize::try_from(limit).ok());
                let page = recorder.runs(after, limit.unwrap_or(DEFAULT_PAGE_RUNS));
                keep_alive(connection, |c| c.respond_json(200, &page))
            }
            ("GET", "/orders") => {
                let page = OrderPage { orders: recorder.orders(after) };
                keep_alive(connection, |c| c.respond_json(200, &page))
            }
            ("GET", "/leaves") => {
                let page = LeavePage { leaves: recorder.leaves() };
                keep_alive(connection, |c| c.respond_json(200, &page))
            }
            ("GET", "/lists") => {
                let page = ListsPage { lists: recorder.lists() };
                keep_alive(connection, |c| c.respond_json(200, &page))
            }
            ("GET", "/holds") => {
                let page = HoldPage { holds: recorder.holds() };
                keep_alive(connection, |c| c.respond_json(200, &page))
            }
            ("GET", "/summary") => {
                keep_alive(connection, |c| c.respond_json(200, &recorder.summary()))
            }
            ("POST", "/release") => {
                recorder.release_holds();
                keep_alive(connection, |c| c.respond(200, "", b"{}"))
            }
            ("GET", "/healthz") => keep_alive(connection, |c| c.respond(200, "", b"ok\n")),
            _ => keep_alive(connection, |c| {
                c.refuse(404, "no_such_path", "see docs/STANDINS.md", "")
            }),
        }
    }

    fn handle_faults(&self, name: &str, request: &HttpRequest, connection: &Connection) -> bool {
        let Some(target) = self.targets.get(name) else {
            let message = "no such endpoint; `GET /summary` names them";
            return keep_alive(connection, |c| c.refuse(404, "no_such_endpoint", message, ""));
        };
        if request.method == "GET" {
            return keep_alive(connection, |c| c.respond_json(200, &target.faults.get()));
        }
        match serde_json::from_slice::<EndpointFaults>(&request.body) {
            Ok(faults) => {
                apply(target, &faults);
                keep_alive(connection, |c| c.respond(200, "", b"{}"))
            }
            Err(error) => {
                let message = format!("the body is not valid: {error}; see the standins schema");
                keep_alive(connection, |c| c.refuse(400, "invalid_body", &message, ""))
            }
        }
    }
}

/// Activates faults; a crash, freeze or silence takes effect once, immediately.
fn apply(target: &FaultTarget, faults: &EndpointFaults) {
    let duration = |ms| Duration::from_millis(ms);
    if faults.silence {
        target.listener_faults.silence();
    }
    if faults.freeze_ms > 0 {
        target.listener_faults.freeze(duration(faults.freeze_ms));
    }
    let crash_ms = faults.crash_ms;
    target.faults.set(EndpointFaults {
        crash_ms: 0,
        freeze_ms: 0,
        silence: false,
        ..faults.clone()
    });
    if crash_ms > 0 {
        (target.crash)(duration(crash_ms));
    }
}

fn query_number(request: &HttpRequest, name: &str) -> Option<u64> {
    request.query(name)?.parse().ok()
}
