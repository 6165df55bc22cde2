//! A caller of a deployment: sends requests and notes what came back.

use std::io::{BufRead, BufReader};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use agatestair_schema::answer_text;
use agatestair_schema::caller::{ErrorBody, RunState};
use agatestair_schema::standins::{Ledger, LedgerEntry};
use serde_json::{Value, json};
use ureq::http::Response;
use ureq::{Agent, Body};

use crate::checker::{CallKind, CallerRecord, Seen};

/// Header that carries the identifier of a request.
const REQUEST_HEADER: &str = "x-request-id";

/// An entry instance as callers see it.
#[derive(Clone, Debug)]
pub struct Target {
    /// Name of the instance.
    pub entry: String,
    /// Address as `IP:port`.
    pub address: String,
}

/// A completion to ask for.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Model.
    pub model: String,
    /// Prompt.
    pub prompt: String,
    /// Greatest number of output tokens.
    pub max_tokens: u32,
}

/// A call of a plain service.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// Kind: keyed, unkeyed or read.
    pub kind: CallKind,
    /// Service.
    pub service: String,
    /// Path within the service, from its first slash on.
    pub path: String,
    /// Idempotency key; empty for none.
    pub key: String,
    /// Body of a write.
    pub body: String,
}

/// A caller with its API key. Each request has a connection of its own.
#[derive(Clone)]
pub struct Caller {
    agent: Agent,
    bearer: String,
}

impl Caller {
    /// Creates a caller that waits at most `time` for a whole answer.
    pub fn new(key: &str, time: Duration) -> Self {
        let config = Agent::config_builder()
            .timeout_global(Some(time))
            .http_status_as_error(false)
            .max_idle_connections(0)
            .build();
        Self { agent: config.into(), bearer: format!("Bearer {key}") }
    }

    /// Asks for a streamed completion.
    pub fn complete(&self, target: &Target, ask: &Ask) -> CallerRecord {
        let mut record = begin(CallKind::Completion, target);
        let body = json!({
            "model": ask.model, "prompt": ask.prompt, "max_tokens": ask.max_tokens, "stream": true
        });
        let sent = self
            .agent
            .post(format!("http://{}/v1/completions", target.address))
            .header("Authorization", &self.bearer)
            .send_json(body);
        record.seen = match sent {
            Ok(answer) => self.read_stream(&mut record, answer, ask),
            Err(_) => Seen::Lost,
        };
        record.ended_ms = now_ms();
        record
    }

    fn read_stream(&self, record: &mut CallerRecord, answer: Response<Body>, ask: &Ask) -> Seen {
        record.request = request_of(&answer);
        if answer.status() != 200 {
            return read_refusal(record, answer);
        }
        let mut text = String::new();
        for line in BufReader::new(answer.into_body().into_reader()).lines() {
            let Ok(line) = line else {
                return Seen::Cut;
            };
            if line == "data: [DONE]" {
                let expected = answer_text(&ask.model, &ask.prompt, ask.max_tokens);
                return if text == expected { Seen::Whole } else { Seen::Wrong };
            }
            if line.starts_with("event: error") {
                return Seen::Cut;
            }
            if let Some(data) = line.strip_prefix("data: ") {
                text.push_str(&text_of(data));
            }
        }
        Seen::Cut
    }

    /// Calls a plain service.
    pub fn call(&self, target: &Target, call: &ServiceCall) -> CallerRecord {
        let mut record = begin(call.kind, target);
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
        record.seen = match sent {
            Ok(answer) => read_answer(&mut record, answer, call),
            Err(_) => Seen::Lost,
        };
        record.ended_ms = now_ms();
        record
    }
}

fn begin(kind: CallKind, target: &Target) -> CallerRecord {
    CallerRecord {
        kind,
        entry: target.entry.clone(),
        request: String::new(),
        key: String::new(),
        body: String::new(),
        seen: Seen::Lost,
        code: String::new(),
        sent_ms: now_ms(),
        ended_ms: 0,
    }
}

fn request_of(answer: &Response<Body>) -> String {
    let header = answer.headers().get(REQUEST_HEADER);
    header.and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned()
}

fn read_refusal(record: &mut CallerRecord, mut answer: Response<Body>) -> Seen {
    let body = answer.body_mut().read_to_string().unwrap_or_default();
    match serde_json::from_str::<ErrorBody>(&body) {
        Ok(body) => {
            record.code = body.error.code;
            Seen::Refused(body.error.ran)
        }
        Err(_) => {
            record.code = format!("status {}", answer.status());
            Seen::Refused(RunState::Unknown)
        }
    }
}

fn read_answer(record: &mut CallerRecord, mut answer: Response<Body>, call: &ServiceCall) -> Seen {
    record.request = request_of(&answer);
    if answer.status() != 200 {
        return read_refusal(record, answer);
    }
    let Ok(body) = answer.body_mut().read_to_string() else {
        return Seen::Lost;
    };
    let right = if call.kind == CallKind::Read {
        serde_json::from_str::<Ledger>(&body).is_ok_and(|ledger| ledger.table == call.path)
    } else {
        serde_json::from_str::<LedgerEntry>(&body)
            .is_ok_and(|entry| entry.body == call.body && entry.key == call.key)
    };
    if right { Seen::Whole } else { Seen::Wrong }
}

fn text_of(data: &str) -> String {
    let value: Value = serde_json::from_str(data).unwrap_or_default();
    let text = value.pointer("/choices/0/text").and_then(Value::as_str);
    text.unwrap_or_default().to_owned()
}

/// Milliseconds since the Unix epoch.
pub fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
