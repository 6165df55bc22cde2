//! Sends the requests of callers over HTTP.

use std::io::{BufRead, BufReader};
use std::time::{Duration, Instant};

use agatestair_schema::caller::{EntryAnswer, ErrorBody, PromptRequest};
use agatestair_schema::endpoint::CompletionRequest;
use agatestair_schema::{answer_text, count_tokens};
use serde::Deserialize;
use ureq::http::Response;
use ureq::{Agent, Body};

use crate::outcome::{Outcome, Refusal, Reply};

/// Longest time of a whole request, beyond every plan's deadline.
const CALL_TIMEOUT: Duration = Duration::from_secs(135);
/// Longest time to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Idle connections kept for reuse.
const IDLE_CONNECTIONS: usize = 2000;
/// Age after which an idle connection is not reused.
const IDLE_AGE: Duration = Duration::from_secs(4);
/// Greatest size of a body that is not streamed, in bytes.
const MAX_BODY: u64 = 4 * 1024 * 1024;
/// Tokens after which an answer is taken as endless.
const MAX_PIECES: usize = 1_000_000;

/// A completion to ask for.
pub struct CompletionAsk<'a> {
    /// Address as `IP:port`.
    pub target: &'a str,
    /// API key; empty to ask an engine directly.
    pub key: &'a str,
    /// Name of the model.
    pub model: &'a str,
    /// Text of the prompt.
    pub prompt: &'a str,
    /// Output tokens.
    pub max_tokens: u32,
    /// Identifier for an engine that is asked directly.
    pub request: &'a str,
}

/// A call of a plain service to make.
pub struct ServiceAsk<'a> {
    /// Address as `IP:port`.
    pub target: &'a str,
    /// API key.
    pub key: &'a str,
    /// Name of the service.
    pub service: &'a str,
    /// Idempotency key; empty for a read.
    pub idempotency: &'a str,
    /// Body of a write.
    pub body: &'a str,
}

/// Connections of all callers.
#[derive(Clone)]
pub struct Client {
    agent: Agent,
    start: Instant,
}

/// Reply with the body of a call.
pub struct ServiceReply {
    /// How the call ended.
    pub reply: Reply,
    /// Body of a whole answer.
    pub body: String,
}

/// One event of a stream, as far as the caller looks at it.
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
    /// Creates the client of a run that starts at `start`.
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

    /// Asks which entries to use; `None` if no answer came.
    pub fn entries(&self, target: &str, key: &str) -> Option<EntryAnswer> {
        let url = format!("http://{target}/v1/entries");
        let mut response =
            self.agent.get(url).header("Authorization", format!("Bearer {key}")).call().ok()?;
        if response.status() != 200 {
            return None;
        }
        response.body_mut().read_json().ok()
    }

    /// Asks for a streamed completion; `None` if the target could not be reached.
    pub fn complete(&self, ask: &CompletionAsk<'_>) -> Option<Reply> {
        let url = format!("http://{}/v1/completions", ask.target);
        let mut post = self.agent.post(url);
        let body = if ask.key.is_empty() { engine_body(ask) } else { entry_body(ask) };
        if !ask.key.is_empty() {
            post = post.header("Authorization", format!("Bearer {}", ask.key));
        }
        let result = post.header("Content-Type", "application/json").send(body);
        match result {
            Ok(response) => Some(self.read_completion(ask, response)),
            Err(error) if unreachable(&error) => None,
            Err(_) => Some(self.failed()),
        }
    }

    /// Calls a plain service; `None` if the target could not be reached.
    pub fn call(&self, ask: &ServiceAsk<'_>) -> Option<ServiceReply> {
        let url = format!("http://{}/v1/services/{}/entries", ask.target, ask.service);
        let bearer = format!("Bearer {}", ask.key);
        let result = if ask.idempotency.is_empty() {
            self.agent.get(url).header("Authorization", bearer).call()
        } else {
            let post = self.agent.post(url).header("Authorization", bearer);
            let post = post.header("Idempotency-Key", ask.idempotency);
            post.header("Content-Type", "application/json").send(ask.body)
        };
        match result {
            Ok(response) => Some(self.read_call(response)),
            Err(error) if unreachable(&error) => None,
            Err(_) => Some(ServiceReply { reply: self.failed(), body: String::new() }),
        }
    }

    fn read_completion(&self, ask: &CompletionAsk<'_>, mut response: Response<Body>) -> Reply {
        let request = header(&response, "X-Request-Id");
        if response.status() != 200 {
            let outcome = Outcome::Refused(read_refusal(&mut response));
            return Reply { outcome, request, first: None, end: self.now(), tokens: 0 };
        }
        let mut text = String::new();
        let mut first = None;
        let ended = self.read_events(response, &mut text, &mut first);
        let tokens = count_answer(&text);
        let outcome = match ended {
            false => Outcome::Cut,
            true if text == answer_text(ask.model, ask.prompt, ask.max_tokens) => Outcome::Whole,
            true => Outcome::Wrong,
        };
        Reply { outcome, request, first, end: self.now(), tokens }
    }

    /// Reads events up to `[DONE]`; false if the stream ended otherwise.
    fn read_events(
        &self,
        response: Response<Body>,
        text: &mut String,
        first: &mut Option<Duration>,
    ) -> bool {
        let reader = BufReader::new(response.into_body().into_reader());
        for line in reader.lines().take(MAX_PIECES) {
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

    fn read_call(&self, mut response: Response<Body>) -> ServiceReply {
        let request = header(&response, "X-Request-Id");
        let success = response.status().is_success();
        if !success {
            let outcome = Outcome::Refused(read_refusal(&mut response));
            let reply = Reply { outcome, request, first: None, end: self.now(), tokens: 0 };
            return ServiceReply { reply, body: String::new() };
        }
        let body = response.body_mut().with_config().limit(MAX_BODY).read_to_string();
        let end = self.now();
        let outcome = if body.is_ok() { Outcome::Whole } else { Outcome::Cut };
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

fn entry_body(ask: &CompletionAsk<'_>) -> String {
    let request = PromptRequest {
        model: ask.model.to_owned(),
        prompt: ask.prompt.to_owned(),
        max_tokens: ask.max_tokens,
        stream: true,
    };
    serde_json::to_string(&request).unwrap_or_default()
}

fn engine_body(ask: &CompletionAsk<'_>) -> String {
    let request = CompletionRequest {
        model: ask.model.to_owned(),
        prompt: ask.prompt.to_owned(),
        max_tokens: ask.max_tokens,
        stream: true,
        priority: 0,
        request: ask.request.to_owned(),
        attempt: ask.request.to_owned(),
        resume_offset: 0,
        kv_handle: None,
    };
    serde_json::to_string(&request).unwrap_or_default()
}

/// Tokens of an answer, each of which starts with a space.
fn count_answer(text: &str) -> u32 {
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
            retry: body.error.retry_ms.map(Duration::from_millis).or(after),
        },
        Err(_) => Refusal { status, code: String::new(), ran: None, retry: after },
    }
}

/// Whether nothing of the request can have been received.
fn unreachable(error: &ureq::Error) -> bool {
    match error {
        ureq::Error::Io(error) => error.kind() == std::io::ErrorKind::ConnectionRefused,
        ureq::Error::ConnectionFailed => true,
        ureq::Error::Timeout(timeout) => matches!(timeout, ureq::Timeout::Connect),
        _ => false,
    }
}
