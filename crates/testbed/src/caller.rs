//! HTTP client that calls a deployment and records the outcome of each request.

use std::io::{BufRead, BufReader};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use agatestair_schema::answer_text;
use agatestair_schema::caller::{ErrorBody, RunState};
use agatestair_schema::standins::{Ledger, LedgerEntry};
use serde_json::{Value, json};
use ureq::http::Response;
use ureq::{Agent, Body};

use crate::checker::{CallKind, CallerRecord, Outcome};

/// Response header with the identifier of the request.
const REQUEST_HEADER: &str = "x-request-id";

/// An entry instance that requests are sent to.
#[derive(Clone, Debug)]
pub struct Target {
    /// Name of the instance.
    pub entry: String,
    /// Address as `IP:port`.
    pub address: String,
}

/// Parameters of a completion request.
#[derive(Clone, Debug)]
pub struct CompletionRequest {
    /// Name of the model.
    pub model: String,
    /// Prompt.
    pub prompt: String,
    /// Maximum number of output tokens.
    pub max_tokens: u32,
}

/// A call to a plain service.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// Kind of the call: keyed, unkeyed or read.
    pub kind: CallKind,
    /// Name of the service.
    pub service: String,
    /// Path within the service, with its leading slash.
    pub path: String,
    /// Idempotency key; empty for none.
    pub key: String,
    /// Body of a write; empty for a read.
    pub body: String,
}

/// A caller with its API key. Each request opens a new connection.
#[derive(Clone)]
pub struct Caller {
    agent: Agent,
    bearer: String,
}

impl Caller {
    /// Creates a caller whose requests time out after `timeout`, including the response body.
    pub fn new(key: &str, timeout: Duration) -> Self {
        let config = Agent::config_builder()
            .timeout_global(Some(timeout))
            .http_status_as_error(false)
            .max_idle_connections(0)
            .build();
        Self { agent: config.into(), bearer: format!("Bearer {key}") }
    }

    /// Requests a streamed completion and compares its text with the expected one.
    pub fn complete(&self, target: &Target, request: &CompletionRequest) -> CallerRecord {
        let mut record = new_record(CallKind::Completion, target);
        let body = json!({
            "model": request.model,
            "prompt": request.prompt,
            "max_tokens": request.max_tokens,
            "stream": true
        });
        let sent = self
            .agent
            .post(format!("http://{}/v1/completions", target.address))
            .header("Authorization", &self.bearer)
            .send_json(body);
        record.outcome = match sent {
            Ok(response) => self.read_stream(&mut record, response, request),
            Err(_) => Outcome::Lost,
        };
        record.ended_ms = now_ms();
        record
    }

    fn read_stream(
        &self,
        record: &mut CallerRecord,
        response: Response<Body>,
        request: &CompletionRequest,
    ) -> Outcome {
        record.request = request_id(&response);
        if response.status() != 200 {
            return read_refusal(record, response);
        }
        let mut text = String::new();
        for line in BufReader::new(response.into_body().into_reader()).lines() {
            let Ok(line) = line else {
                return Outcome::Truncated;
            };
            if line == "data: [DONE]" {
                let expected = answer_text(&request.model, &request.prompt, request.max_tokens);
                return if text == expected { Outcome::Complete } else { Outcome::Wrong };
            }
            if line.starts_with("event: error") {
                return Outcome::Truncated;
            }
            if let Some(data) = line.strip_prefix("data: ") {
                text.push_str(&piece_text(data));
            }
        }
        Outcome::Truncated
    }

    /// Calls a plain service and checks the response.
    pub fn call(&self, target: &Target, call: &ServiceCall) -> CallerRecord {
        let mut record = new_record(call.kind, target);
        record.key.clone_from(&call.key);
        record.body.clone_from(&call.body);
        let url = format!("http://{}/v1/services/{}{}", target.address, call.service, call.path);
        let sent = if call.kind == CallKind::Read {
            self.agent.get(url).header("Authorization", &self.bearer).call()
        } else {
            let mut request = self.agent.post(url).header("Authorization", &self.bearer);
            if !call.key.is_empty() {
                request = request.header("Idempotency-Key", &call.key);
            }
            request.send(call.body.as_str())
        };
        record.outcome = match sent {
            Ok(response) => read_response(&mut record, response, call),
            Err(_) => Outcome::Lost,
        };
        record.ended_ms = now_ms();
        record
    }
}

fn new_record(kind: CallKind, target: &Target) -> CallerRecord {
    CallerRecord {
        kind,
        entry: target.entry.clone(),
        request: String::new(),
        key: String::new(),
        body: String::new(),
        outcome: Outcome::Lost,
        code: String::new(),
        sent_ms: now_ms(),
        ended_ms: 0,
    }
}

fn request_id(response: &Response<Body>) -> String {
    let header = response.headers().get(REQUEST_HEADER);
    header.and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned()
}

fn read_refusal(record: &mut CallerRecord, mut response: Response<Body>) -> Outcome {
    let body = response.body_mut().read_to_string().unwrap_or_default();
    match serde_json::from_str::<ErrorBody>(&body) {
        Ok(body) => {
            record.code = body.error.code;
            Outcome::Refused(body.error.ran)
        }
        Err(_) => {
            record.code = format!("status {}", response.status());
            Outcome::Refused(RunState::Unknown)
        }
    }
}

fn read_response(
    record: &mut CallerRecord,
    mut response: Response<Body>,
    call: &ServiceCall,
) -> Outcome {
    record.request = request_id(&response);
    if response.status() != 200 {
        return read_refusal(record, response);
    }
    let Ok(body) = response.body_mut().read_to_string() else {
        return Outcome::Lost;
    };
    let matches = if call.kind == CallKind::Read {
        serde_json::from_str::<Ledger>(&body).is_ok_and(|ledger| ledger.table == call.path)
    } else {
        serde_json::from_str::<LedgerEntry>(&body)
            .is_ok_and(|entry| entry.body == call.body && entry.key == call.key)
    };
    if matches { Outcome::Complete } else { Outcome::Wrong }
}

fn piece_text(data: &str) -> String {
    let value: Value = serde_json::from_str(data).unwrap_or_default();
    let text = value.pointer("/choices/0/text").and_then(Value::as_str);
    text.unwrap_or_default().to_owned()
}

/// Milliseconds since the Unix epoch.
pub fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
