//! HTTP API of an engine.

use std::sync::Arc;
use std::sync::mpsc::{Sender, channel};

use agatestair_schema::endpoint::{CancelRequest, CompletionRequest, KvExport, Order};
use agatestair_schema::standins::{RunKind, RunOutcome, RunRecord};
use agatestair_schema::{count_tokens, prefix_blocks};
use serde::de::DeserializeOwned;

use super::kv_store::KvStore;
use super::reports::Reports;
use super::sequence::{Job, export_request};
use super::worker::Command;
use crate::faults::FaultInjector;
use crate::http::{Connection, Handler, HttpRequest, ListenerFaults, keep_alive};
use crate::recorder::Recorder;

/// State shared by the HTTP handler and the worker of an engine.
pub struct EngineShared {
    /// Name of the engine.
    pub name: String,
    /// Service that it belongs to.
    pub service: String,
    /// Address as `IP:port`.
    pub address: String,
    /// Size of a block of the prefix cache in tokens.
    pub block_tokens: u32,
    /// Load reports and cache events.
    pub reports: Reports,
    /// Active faults of the engine.
    pub faults: Arc<FaultInjector>,
    /// Faults of its listener.
    pub listener_faults: Arc<ListenerFaults>,
    /// Recorder of its requests and orders.
    pub recorder: Arc<Recorder>,
    /// Exported KV caches of all engines.
    pub kv_store: Arc<KvStore>,
}

/// Returns the handler of an engine's requests; it sends work to the worker through `commands`.
pub fn engine_handler(shared: Arc<EngineShared>, commands: Sender<Command>) -> Handler {
    Arc::new(move |request, connection| {
        let call = Call { shared: &shared, commands: &commands, request };
        call.handle(connection)
    })
}

/// One request to an engine.
struct Call<'a> {
    shared: &'a EngineShared,
    commands: &'a Sender<Command>,
    request: HttpRequest,
}

impl Call<'_> {
    fn handle(&self, connection: Connection) -> Option<Connection> {
        let path = self.request.path();
        match (self.request.method.as_str(), path) {
            ("POST", "/v1/completions") => self.complete(connection),
            ("POST", "/agatestair/kv/export") => self.export(connection),
            ("POST", "/agatestair/cancel") => self.cancel(connection),
            ("POST", "/agatestair/order") => self.order(connection),
            ("GET", "/agatestair/state") => self.state(connection),
            ("GET", "/agatestair/load") => {
                let stale = self.shared.faults.get().stale_reports;
                keep_alive(&connection, |c| c.respond_json(200, &self.shared.reports.latest(stale)))
                    .then_some(connection)
            }
            ("GET", "/agatestair/cache-events") => {
                let after = self.request.query("after").and_then(|after| after.parse().ok());
                let events = self.shared.reports.events(&self.shared.name, after.unwrap_or(0));
                keep_alive(&connection, |c| c.respond_json(200, &events)).then_some(connection)
            }
            ("GET", "/healthz") => {
                keep_alive(&connection, |c| c.respond(200, "", b"ok\n")).then_some(connection)
            }
            _ => keep_alive(&connection, |c| {
                c.refuse(404, "no_such_path", "see docs/STANDINS.md", "")
            })
            .then_some(connection),
        }
    }

    /// Parses the JSON body; on failure, refuses the request.
    fn parse<T: DeserializeOwned>(&self, connection: &Connection) -> Option<T> {
        match serde_json::from_slice(&self.request.body) {
            Ok(value) => Some(value),
            Err(error) => {
                let message = format!("the body is not valid: {error}; see the endpoint schema");
                // A failed write needs no handling: the connection is closed either way.
                let _ = connection.refuse(400, "invalid_body", &message, "");
                None
            }
        }
    }

    fn complete(&self, connection: Connection) -> Option<Connection> {
        let request: CompletionRequest = self.parse(&connection)?;
        self.submit(request, false, connection)
    }

    fn export(&self, connection: Connection) -> Option<Connection> {
        let export: KvExport = self.parse(&connection)?;
        self.submit(export_request(export), true, connection)
    }

    /// Records a request, applies the faults for new requests, and passes it to the worker.
    fn submit(
        &self,
        request: CompletionRequest,
        export: bool,
        mut connection: Connection,
    ) -> Option<Connection> {
        let shared = self.shared;
        let prompt_tokens = count_tokens(&request.prompt);
        let run = shared.recorder.begin_run(self.run_record(&request, export, prompt_tokens));
        if shared.faults.consume(|faults| &mut faults.hang) {
            shared.recorder.end_run(run, RunOutcome::Hung);
            connection.silence();
            return Some(connection);
        }
        if shared.faults.consume(|faults| &mut faults.refuse) {
            shared.recorder.end_run(run, RunOutcome::Refused);
            let message = "refused by a fault that was set; try another endpoint";
            return keep_alive(&connection, |c| {
                c.refuse(503, "overloaded", message, &request.request)
            })
            .then_some(connection);
        }
        if shared.faults.consume(|faults| &mut faults.hold_before) {
            shared.recorder.hold(&shared.name, "before", &request.request);
        }
        let blocks = prefix_blocks(&request.model, &request.prompt, shared.block_tokens);
        connection.set_close();
        let job = Job { request, export, connection, run, blocks, prompt_tokens };
        // If the worker has stopped, dropping the job closes the connection.
        let _ = self.commands.send(Command::Submit(Box::new(job)));
        None
    }

    fn run_record(
        &self,
        request: &CompletionRequest,
        export: bool,
        prompt_tokens: u32,
    ) -> RunRecord {
        RunRecord {
            id: 0,
            endpoint: self.shared.name.clone(),
            service: self.shared.service.clone(),
            boot: String::new(),
            kind: if export { RunKind::Export } else { RunKind::Completion },
            request: request.request.clone(),
            attempt: request.attempt.clone(),
            key: self.request.header("Idempotency-Key").to_owned(),
            method: self.request.method.clone(),
            path: self.request.target.clone(),
            body: String::new(),
            received_ms: 0,
            started_ms: 0,
            ended_ms: 0,
            outcome: RunOutcome::Queued,
            prompt_tokens,
            cached_tokens: 0,
            first_token: request.resume_offset,
            tokens: 0,
            pieces: 0,
            altered: 0,
        }
    }

    fn cancel(&self, connection: Connection) -> Option<Connection> {
        let cancel: CancelRequest = self.parse(&connection)?;
        let (reply, receiver) = channel();
        // If the worker has stopped, there is nothing to cancel.
        let _ = self.commands.send(Command::Cancel(cancel.attempt, reply));
        let found = receiver.recv().unwrap_or(false);
        let status = if found { 200 } else { 404 };
        keep_alive(&connection, |c| c.respond(status, "Content-Type: application/json\r\n", b"{}"))
            .then_some(connection)
    }

    fn order(&self, connection: Connection) -> Option<Connection> {
        let order: Order = self.parse(&connection)?;
        if self.shared.faults.consume(|faults| &mut faults.hold_orders) {
            self.shared.recorder.hold(&self.shared.name, "order", &order.id);
        }
        let (reply, receiver) = channel();
        self.commands.send(Command::Order(Box::new(order), reply)).ok()?;
        let reply = receiver.recv().ok()?;
        keep_alive(&connection, |c| c.respond_json(200, &reply)).then_some(connection)
    }

    fn state(&self, connection: Connection) -> Option<Connection> {
        let (reply, receiver) = channel();
        self.commands.send(Command::State(reply)).ok()?;
        let state = receiver.recv().ok()?;
        keep_alive(&connection, |c| c.respond_json(200, &state)).then_some(connection)
    }
}
