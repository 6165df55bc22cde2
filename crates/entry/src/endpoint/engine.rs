//! Attempts at engines, each on its own thread.

use std::io::BufReader;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use agatestair_policy::AttemptKey;
use agatestair_schema::endpoint::{CompletionRequest, KvExport};
use stakker::sync::Channel;
use tokio_util::sync::CancellationToken;
use ureq::{Agent, Body};

use crate::core::message::{AttemptEvent, AttemptFailure, EntryMessage};
use crate::endpoint::adapter::{EngineAdapter, EngineEvent, EnginePost};
use crate::endpoint::client::{Timeouts, failure_of, open_client, send_post};
use crate::endpoint::sse::SseReader;

/// Stack size of an attempt's thread in bytes.
pub const STACK_BYTES: usize = 256 * 1024;
/// Maximum size of a response that is not a stream, in bytes.
const MAX_RESPONSE_BYTES: u64 = 64 * 1024;
/// Buffer size of a stream reader in bytes.
const READ_BYTES: usize = 4 * 1024;
/// HTTP status with which an engine rejects an unknown KV cache.
const CONFLICT: u16 = 409;
/// Maximum number of cancel requests for one attempt.
const MAX_CANCEL_REQUESTS: u32 = 3;
/// Timeouts of one cancel request.
const CANCEL_TIMEOUTS: Timeouts =
    Timeouts { total: Duration::from_millis(500), idle: Duration::from_millis(500) };

/// Work for an engine.
#[derive(Clone, Debug)]
pub enum EngineWork {
    /// A completion.
    Completion(CompletionRequest),
    /// Prefill of a prompt and export of its KV cache.
    Export(KvExport),
}

/// One attempt at an engine.
pub struct EngineAttempt {
    /// Key of the attempt.
    pub attempt: AttemptKey,
    /// Address of the engine.
    pub address: Arc<str>,
    /// Work to do.
    pub work: EngineWork,
    /// Protocol of the engine.
    pub adapter: EngineAdapter,
    /// Timeouts.
    pub timeouts: Timeouts,
    /// Cancelled when the result is no longer needed.
    pub token: CancellationToken,
    /// Receives the events.
    pub channel: Channel<EntryMessage>,
}

impl EngineAttempt {
    /// Starts the attempt's thread. If that fails, an [`AttemptEvent::Failed`] is sent.
    pub fn start(self) {
        let attempt = self.attempt;
        let channel = self.channel.clone();
        let thread = thread::Builder::new().name("engine".to_owned()).stack_size(STACK_BYTES);
        if let Err(error) = thread.spawn(move || self.run()) {
            let failure = AttemptFailure {
                may_have_run: false,
                too_large: false,
                cache_lost: false,
                cause: format!("cannot start a thread: {error}"),
            };
            channel.send(EntryMessage::Attempt { attempt, event: AttemptEvent::Failed(failure) });
        }
    }

    fn run(self) {
        let agent = open_client(self.timeouts);
        let result = match &self.work {
            EngineWork::Completion(request) => self.stream(&agent, request),
            EngineWork::Export(request) => self.export(&agent, request),
        };
        self.send(match result {
            Ok(event) => event,
            Err(failure) => AttemptEvent::Failed(failure),
        });
    }

    fn send(&self, event: AttemptEvent) {
        // The actor lives as long as the process, so this fails only at exit.
        self.channel.send(EntryMessage::Attempt { attempt: self.attempt, event });
    }

    fn stream(
        &self,
        agent: &Agent,
        request: &CompletionRequest,
    ) -> Result<AttemptEvent, AttemptFailure> {
        let body = self.post(agent, &(self.adapter.completion)(request))?;
        let source = BufReader::with_capacity(READ_BYTES, body.into_reader());
        let mut reader = SseReader::new(source);
        while !self.token.is_cancelled() {
            let data = reader
                .next_event()
                .map_err(|error| AttemptFailure::maybe_ran(error.to_string()))?;
            let Some(data) = data else {
                return Ok(AttemptEvent::Ended);
            };
            match (self.adapter.decode)(&data)
                .map_err(|error| AttemptFailure::maybe_ran(error.to_string()))?
            {
                EngineEvent::Piece(piece) => self.send(AttemptEvent::Piece(piece)),
                EngineEvent::Done => return Ok(AttemptEvent::Ended),
            }
        }
        Err(AttemptFailure::maybe_ran("cancelled"))
    }

    fn export(&self, agent: &Agent, request: &KvExport) -> Result<AttemptEvent, AttemptFailure> {
        let mut body = self.post(agent, &(self.adapter.export)(request))?;
        let body = body.with_config().limit(MAX_RESPONSE_BYTES).read_to_vec();
        let body = body.map_err(|error| failure_of(&error))?;
        let handle = (self.adapter.handle)(&body)
            .map_err(|error| AttemptFailure::maybe_ran(error.to_string()))?;
        Ok(AttemptEvent::Prefilled(handle))
    }

    /// Sends a `POST`; any status other than 200 is a failure.
    fn post(&self, agent: &Agent, post: &EnginePost) -> Result<Body, AttemptFailure> {
        let response = send_post(agent, &self.address, post).map_err(|error| failure_of(&error))?;
        let status = response.status().as_u16();
        if status == 200 {
            return Ok(response.into_body());
        }
        Err(AttemptFailure {
            may_have_run: status >= 500 && status != 503,
            too_large: false,
            cache_lost: status == CONFLICT,
            cause: format!("the engine answered with status {status}"),
        })
    }
}

/// Cancels an attempt at its engine, on a separate thread.
pub fn cancel_attempt(adapter: EngineAdapter, address: Arc<str>, attempt: Arc<str>) {
    let thread = thread::Builder::new().name("cancel".to_owned()).stack_size(STACK_BYTES);
    // If no thread can be started, the engine runs the attempt to completion and its pieces are
    // dropped.
    let _ = thread.spawn(move || {
        let post = (adapter.cancel)(&attempt);
        for _ in 0..MAX_CANCEL_REQUESTS {
            let response = send_post(&open_client(CANCEL_TIMEOUTS), &address, &post);
            if response.is_ok_and(|response| response.status().as_u16() < 500) {
                return;
            }
        }
        metrics::counter!("agatestair_cancel_failures_total").increment(1);
    });
}
