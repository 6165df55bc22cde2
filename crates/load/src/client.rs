//! HTTP client of the simulated callers.

use std::io::{BufRead, BufReader};
use std::time::{Duration, Instant};

use agatestair_schema::caller::{EntryAnswer, ErrorBody, PromptRequest};
use agatestair_schema::endpoint::CompletionRequest;
use agatestair_schema::{answer_text, count_tokens};
use serde::Deserialize;
use ureq::http::Response;
use ureq::{Agent, Body};

use crate::outcome::{Outcome, Refusal, Reply};

/// Timeout of a whole request, longer than the deadline of every plan.
const CALL_TIMEOUT: Duration = Duration::from_secs(135);
/// Connect timeout.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of idle connections in the pool, in total and per host.
const IDLE_CONNECTIONS: usize = 2000;
/// Maximum age of an idle connection.
const IDLE_AGE: Duration = Duration::from_secs(4);
/// Maximum size of a non-streamed body in bytes.
const MAX_BODY: u64 = 4 * 1024 * 1024;
/// Maximum number of lines read from a stream; a longer response counts as truncated.
const MAX_STREAM_LINES: usize = 1_000_000;

/// Parameters of a completion request.
pub struct CompletionParams<'a> {
    /// Address as `IP:port`.
    pub target: &'a str,
    /// API key; empty for a direct request to an engine.
    pub key: &'a str,
    /// Name of the model.
    pub model: &'a str,
    /// Text of the prompt.
    pub prompt: &'a str,
    /// Maximum number of output tokens.
    pub max_tokens: u32,
    /// Request identifier, used only in direct requests to an engine.
    pub request: &'a str,
}

/// Parameters of a call to a plain HTTP service.
pub struct ServiceParams<'a> {
    /// Address as `IP:port`.
    pub target: &'a str,
    /// API key.
    pub key: &'a str,
    /// Name of the service.
    pub service: &'a str,
    /// Idempotency key; empty for a read.
    pub idempotency_key: &'a str,
    /// Body of a write.
    pub body: &'a str,
}

/// HTTP client with a connection pool shared by all callers.
#[derive(Clone)]
pub struct Client {
    agent: Agent,
    start: Instant,
}

/// Reply to a service call, with its body.
pub struct ServiceReply {
    /// Outcome and times of the call.
    pub reply: Reply,
    /// Body of a complete response; empty otherwise.
    pub body: String,
}

/// Server-sent event of a completion stream; only the fields that are checked.
#[derive(Deserialize)]
struct Event {
    #[serde(default)]
    choices: Vec<EventChoice>,
    error: Option<serde::de::IgnoredAny>,
}

#[derive(Deserialize)]
struct EventChoice {
    #[serde(default)]
    text: String,
}

impl Client {
    /// Creates a client whose times count from `start`.
    pub fn new(start: Instant) -> Self {
        let agent = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(CALL_TIMEOUT))
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .max_idle_connections(IDLE_CONNECTIONS)
            .max_idle_connections_per_host(IDLE_CONNECTIONS)
            .max_idle_age(IDLE_AGE)
            .max_redirects(0)
            .build()
            .into();
        Self { agent, start }
    }

    /// Fetches the list of entries; `None` on any error.
    pub fn fetch_entries(&self, target: &str, key: &str) -> Option<EntryAnswer> {
        let url = format!("http://{target}/v1/entries");
        let mut response =
            self.agent.get(url).header("Authorization", format!("Bearer {key}")).call().ok()?;
        if response.status() != 200 {
            return None;
        }
        response.body_mut().read_json().ok()
    }

    /// Requests a streamed completion; `None` if the target could not be reached.
    pub fn complete(&self, params: &CompletionParams<'_>) -> Option<Reply> {
        let url = format!("http://{}/v1/completions", params.target);
        let mut post = self.agent.post(url);
        let body = if params.key.is_empty() { engine_body(params) } else { entry_body(params) };
        if !params.key.is_empty() {
            post = post.header("Authorization", format!("Bearer {}", params.key));
        }
        let result = post.header("Content-Type", "application/json").send(body);
        match result {
            Ok(response) => Some(self.read_completion(params, response)),
            Err(error) if unreachable(&error) => None,
            Err(_) => Some(self.failed()),
        }
    }

    /// Calls a plain service; `None` if the target could not be reached.
    pub fn call(&self, params: &ServiceParams<'_>) -> Option<ServiceReply> {
        let url = format!("http://{}/v1/services/{}/entries", params.target, params.service);
        let bearer = format!("Bearer {}", params.key);
        let result = if params.idempotency_key.is_empty() {
            self.agent.get(url).header("Authorization", bearer).call()
        } else {
            let post = self.agent.post(url).header("Authorization", bearer);
            let post = post.header("Idempotency-Key", params.idempotency_key);
            post.header("Content-Type", "application/json").send(params.body)
        };
        match result {
            Ok(response) => Some(self.read_service_reply(response)),
            Err(error) if unreachable(&error) => None,
            Err(_) => Some(ServiceReply { reply: self.failed(), body: String::new() }),
        }
    }

    fn read_completion(
        &self,
        params: &CompletionParams<'_>,
        mut response: Response<Body>,
    ) -> Reply {
        let request = header(&response, "X-Request-Id");
        if response.status() != 200 {
            let outcome = Outcome::Refused(read_refusal(&mut response));
            return Reply { outcome, request, first: None, end: self.now(), tokens: 0 };
        }
        let mut text = String::new();
        let mut first = None;
        let ended = self.read_events(response, &mut text, &mut first);
        let tokens = response_tokens(&text);
        let outcome = match ended {
            false => Outcome::Truncated,
            true if text == answer_text(params.model, params.prompt, params.max_tokens) => {
                Outcome::Success
            }
            true => Outcome::Wrong,
        };
        Reply { outcome, request, first, end: self.now(), tokens }
    }

    /// Reads events up to `[DONE]`; returns false on an error or if the stream ends without it.
    fn read_events(
        &self,
        response: Response<Body>,
        text: &mut String,
        first: &mut Option<Duration>,
    ) -> bool {
        let reader = BufReader::new(response.into_body().into_reader());
        for line in reader.lines().take(MAX_STREAM_LINES) {
            let Ok(line) = line else { return false };
            let Some(data) = line.strip_prefix("data:") else { continue };
            let data = data.trim_start();
            if data == "[DONE]" {
                return true;
            }
            let Ok(event) = serde_json::from_str::<Event>(data) else { return false };
            if event.error.is_some() {
                return false;
            }
            for choice in event.choices {
                if first.is_none() && !choice.text.is_empty() {
                    *first = Some(self.now());
                }
                text.push_str(&choice.text);
            }
        }
        false
    }

    fn read_service_reply(&self, mut response: Response<Body>) -> ServiceReply {
        let request = header(&response, "X-Request-Id");
        let success = response.status().is_success();
        if !success {
            let outcome = Outcome::Refused(read_refusal(&mut response));
            let reply = Reply { outcome, request, first: None, end: self.now(), tokens: 0 };
            return ServiceReply { reply, body: String::new() };
        }
        let body = response.body_mut().with_config().limit(MAX_BODY).read_to_string();
        let end = self.now();
        let outcome = if body.is_ok() { Outcome::Success } else { Outcome::Truncated };
        let reply = Reply { outcome, request, first: Some(end), end, tokens: 0 };
        ServiceReply { reply, body: body.unwrap_or_default() }
    }

    fn failed(&self) -> Reply {
        let outcome = Outcome::Failed;
        Reply { outcome, request: String::new(), first: None, end: self.now(), tokens: 0 }
    }

    /// Time since the start of the run.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }
}

fn entry_body(params: &CompletionParams<'_>) -> String {
    let request = PromptRequest {
        model: params.model.to_owned(),
        prompt: params.prompt.to_owned(),
        max_tokens: params.max_tokens,
        stream: true,
    };
    serde_json::to_string(&request).unwrap_or_default()
}

fn engine_body(params: &CompletionParams<'_>) -> String {
    let request = CompletionRequest {
        model: params.model.to_owned(),
        prompt: params.prompt.to_owned(),
        max_tokens: params.max_tokens,
        stream: true,
        priority: 0,
        request: params.request.to_owned(),
        attempt: params.request.to_owned(),
        resume_offset: 0,
        kv_handle: None,
    };
    serde_json::to_string(&request).unwrap_or_default()
}

/// Counts the tokens of a response, each of which starts with a space.
fn response_tokens(text: &str) -> u32 {
    let spaces = text.bytes().filter(|byte| *byte == b' ').count();
    u32::try_from(spaces).unwrap_or_else(|_| count_tokens(text))
}

fn header(response: &Response<Body>, name: &str) -> String {
    let value = response.headers().get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

fn read_refusal(response: &mut Response<Body>) -> Refusal {
    let status = response.status().as_u16();
    let after = header(response, "Retry-After").parse::<f64>().ok();
    let after = after.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
    let body = response.body_mut().with_config().limit(MAX_BODY).read_json::<ErrorBody>();
    match body {
        Ok(body) => Refusal {
            status,
            code: body.error.code,
            ran: Some(body.error.ran),
            retry_after: body.error.retry_ms.map(Duration::from_millis).or(after),
        },
        Err(_) => Refusal { status, code: String::new(), ran: None, retry_after: after },
    }
}

/// Whether the connection failed before any part of the request could be received.
fn unreachable(error: &ureq::Error) -> bool {
    match error {
        ureq::Error::Io(error) => error.kind() == std::io::ErrorKind::ConnectionRefused,
        ureq::Error::ConnectionFailed => true,
        ureq::Error::Timeout(timeout) => matches!(timeout, ureq::Timeout::Connect),
        _ => false,
    }
}
