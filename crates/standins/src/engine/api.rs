//! HTTP interface of an engine.

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
use crate::faults::FaultBox;
use crate::http::{Connection, Gate, Handler, HttpRequest, keep};
use crate::recorder::Recorder;

/// What the interface and the worker of an engine share.
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
    /// Faults in force.
    pub faults: Arc<FaultBox>,
    /// Its connections.
    pub gate: Arc<Gate>,
    /// Records.
    pub recorder: Arc<Recorder>,
    /// Exported KV caches.
    pub kv_store: Arc<KvStore>,
}

/// Handler of an engine's requests; work goes to the worker through `commands`.
pub fn engine_handler(shared: Arc<EngineShared>, commands: Sender<Command>) -> Handler {
    Arc::new(move |request, connection| {
        let call = Call { shared: &shared, commands: &commands, request };
        call.answer(connection)
    })
}

struct Call<'a> {
    shared: &'a EngineShared,
    commands: &'a Sender<Command>,
    request: HttpRequest,
}

impl Call<'_> {
    fn answer(&self, connection: Connection) -> Option<Connection> {
        let path = self.request.path();
        match (self.request.method.as_str(), path) {
            ("POST", "/v1/completions") => self.complete(connection),
            ("POST", "/agatestair/kv/export") => self.export(connection),
            ("POST", "/agatestair/cancel") => self.cancel(connection),
            ("POST", "/agatestair/order") => self.order(connection),
            ("GET", "/agatestair/state") => self.state(connection),
            ("GET", "/agatestair/load") => {
                let repeat = self.shared.faults.get().stale_reports;
                keep(&connection, |c| c.respond_json(200, &self.shared.reports.latest(repeat)))
                    .then_some(connection)
            }
            ("GET", "/agatestair/cache-events") => {
                let after = self.request.query("after").and_then(|after| after.parse().ok());
                let events = self.shared.reports.events(&self.shared.name, after.unwrap_or(0));
                keep(&connection, |c| c.respond_json(200, &events)).then_some(connection)
            }
            ("GET", "/healthz") => {
                keep(&connection, |c| c.respond(200, "", b"ok\n")).then_some(connection)
            }
            _ => keep(&connection, |c| c.refuse(404, "no_such_path", "see docs/STANDINS.md", ""))
                .then_some(connection),
        }
    }

    fn parse<T: DeserializeOwned>(&self, connection: &Connection) -> Option<T> {
        match serde_json::from_slice(&self.request.body) {
            Ok(value) => Some(value),
            Err(error) => {
                let message = format!("the body is not valid: {error}; see the endpoint schema");
                // The peer learns of a failed write by the closed connection.
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

    fn submit(
        &self,
        request: CompletionRequest,
        export: bool,
        mut connection: Connection,
    ) -> Option<Connection> {
        let shared = self.shared;
        let prompt_tokens = count_tokens(&request.prompt);
        let run = shared.recorder.begin_run(self.record(&request, export, prompt_tokens));
        if shared.faults.take(|faults| &mut faults.hang) {
            shared.recorder.end_run(run, RunOutcome::Hung);
            connection.silence();
            return Some(connection);
        }
        if shared.faults.take(|faults| &mut faults.refuse) {
            shared.recorder.end_run(run, RunOutcome::Refused);
            let message = "refused by a fault that was set; try another endpoint";
            return keep(&connection, |c| c.refuse(503, "overloaded", message, &request.request))
                .then_some(connection);
        }
        if shared.faults.take(|faults| &mut faults.hold_before) {
            shared.recorder.hold(&shared.name, "before", &request.request);
        }
        let blocks = prefix_blocks(&request.model, &request.prompt, shared.block_tokens);
        connection.set_last();
        let job = Job { request, export, connection, run, blocks, prompt_tokens };
        // A stopped worker closes the connection by dropping the job.
        let _ = self.commands.send(Command::Submit(Box::new(job)));
        None
    }

    fn record(&self, request: &CompletionRequest, export: bool, prompt_tokens: u32) -> RunRecord {
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
        let (reply, answer) = channel();
        // A stopped worker has nothing left to cancel.
        let _ = self.commands.send(Command::Cancel(cancel.attempt, reply));
        let found = answer.recv().unwrap_or(false);
        let status = if found { 200 } else { 404 };
        keep(&connection, |c| c.respond(status, "Content-Type: application/json\r\n", b"{}"))
            .then_some(connection)
    }

    fn order(&self, connection: Connection) -> Option<Connection> {
        let order: Order = self.parse(&connection)?;
        if self.shared.faults.take(|faults| &mut faults.hold_orders) {
            self.shared.recorder.hold(&self.shared.name, "order", &order.id);
        }
        let (reply, answer) = channel();
        self.commands.send(Command::Order(Box::new(order), reply)).ok()?;
        let reply = answer.recv().ok()?;
        keep(&connection, |c| c.respond_json(200, &reply)).then_some(connection)
    }

    fn state(&self, connection: Connection) -> Option<Connection> {
        let (reply, answer) = channel();
        self.commands.send(Command::State(reply)).ok()?;
        let state = answer.recv().ok()?;
        keep(&connection, |c| c.respond_json(200, &state)).then_some(connection)
    }
}
