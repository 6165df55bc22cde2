//! HTTP client of the platform.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use agatestair_schema::settings::PlatformSettings;
use serde::Serialize;
use serde::de::DeserializeOwned;
use ureq::http::Response;
use ureq::{Agent, Body, Error};

use crate::error::PlatformError;
use crate::limiter::Limiter;
use crate::purpose::Purpose;
use crate::{InstanceDirectory, ObjectStore, Table, WeightStore};

/// Maximum size of a response, in bytes.
const MAX_RESPONSE_BYTES: u64 = 64 * 1024 * 1024;
/// Maximum number of idle connections.
const IDLE_CONNECTIONS: usize = 4;
/// Age after which an idle connection is not reused.
const MAX_IDLE_AGE: Duration = Duration::from_secs(10);
/// Length to which the body of a refusal is truncated, in characters.
const MAX_BODY_CHARS: usize = 200;
/// Retry delay if a throttled response has no usable `Retry-After`, in milliseconds.
const DEFAULT_RETRY_MS: u64 = 1000;

/// Client of the platform, shared by all threads of a process.
#[derive(Clone)]
pub struct PlatformClient {
    inner: Arc<Inner>,
}

struct Inner {
    base: String,
    timeout: Duration,
    agent: Mutex<Agent>,
    reads: Limiter,
    writes: Limiter,
    run_id: u64,
    attempts: AtomicU64,
}

/// Method and body of a call.
pub(crate) enum Payload<'a> {
    /// Read.
    Get,
    /// Write of raw bytes.
    Put(&'a [u8]),
    /// Write with a JSON body.
    Post(&'a [u8]),
}

impl PlatformClient {
    /// Creates a client; the first call opens a connection.
    pub fn new(settings: &PlatformSettings) -> Self {
        let timeout = Duration::from_millis(settings.timeout_ms);
        let inner = Inner {
            base: format!("http://{}", settings.address),
            timeout,
            agent: Mutex::new(new_agent(timeout)),
            reads: Limiter::new(settings.reads_s),
            writes: Limiter::new(settings.writes_s),
            run_id: rand::random(),
            attempts: AtomicU64::new(0),
        };
        Self { inner: Arc::new(inner) }
    }

    /// Client of the table service.
    pub fn table(&self) -> Table {
        Table::new(self.clone())
    }

    /// Client of the object store.
    pub fn objects(&self) -> ObjectStore {
        ObjectStore::new(self.clone())
    }

    /// Client of the instance list.
    pub fn instances(&self) -> InstanceDirectory {
        InstanceDirectory::new(self.clone())
    }

    /// Client of the weight store.
    pub fn weights(&self) -> WeightStore {
        WeightStore::new(self.clone())
    }

    /// A new attempt identifier, unique across all processes.
    pub fn attempt_id(&self) -> String {
        let count = self.inner.attempts.fetch_add(1, Ordering::Relaxed);
        format!("{:016x}-{count}", self.inner.run_id)
    }

    /// Timeout of each call.
    pub fn timeout(&self) -> Duration {
        self.inner.timeout
    }

    /// Makes one call and returns the response body; `None` for status 404.
    pub(crate) fn call(
        &self,
        purpose: Purpose,
        path: &str,
        payload: &Payload<'_>,
    ) -> Result<Option<Vec<u8>>, PlatformError> {
        let write = !matches!(payload, Payload::Get);
        self.acquire_call(purpose, write)?;
        let url = format!("{}{path}", self.inner.base);
        let agent = self.agent();
        let start = Instant::now();
        let result = match payload {
            Payload::Get => agent.get(&url).call(),
            Payload::Put(body) => agent.put(&url).send(*body),
            Payload::Post(body) => {
                agent.post(&url).header("Content-Type", "application/json").send(*body)
            }
        };
        let result = result.and_then(read_response);
        record_latency(purpose, write, start);
        match result {
            Ok(response) => response.into_result(),
            Err(error) => {
                self.reset_agent();
                metrics::counter!("agatestair_store_failures_total", "purpose" => purpose.label())
                    .increment(1);
                Err(platform_error(&error))
            }
        }
    }

    /// Makes one call and decodes its JSON response.
    pub(crate) fn call_json<T: DeserializeOwned>(
        &self,
        purpose: Purpose,
        path: &str,
        payload: &Payload<'_>,
    ) -> Result<T, PlatformError> {
        let body = self.call(purpose, path, payload)?.ok_or_else(|| PlatformError::Refused {
            status: 404,
            body: format!("no such path {path}"),
        })?;
        decode(path, &body)
    }

    fn acquire_call(&self, purpose: Purpose, write: bool) -> Result<(), PlatformError> {
        let limiter = if write { &self.inner.writes } else { &self.inner.reads };
        if !limiter.acquire(self.inner.timeout) {
            return Err(PlatformError::LocalRateLimit { purpose: purpose.label() });
        }
        let name =
            if write { "agatestair_store_writes_total" } else { "agatestair_store_reads_total" };
        metrics::counter!(name, "purpose" => purpose.label()).increment(1);
        Ok(())
    }

    fn agent(&self) -> Agent {
        self.inner.agent.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Replaces the agent to drop its idle connections, since one of them may never respond again.
    fn reset_agent(&self) {
        let agent = new_agent(self.inner.timeout);
        *self.inner.agent.lock().unwrap_or_else(PoisonError::into_inner) = agent;
    }
}

fn new_agent(timeout: Duration) -> Agent {
    Agent::config_builder()
        .timeout_global(Some(timeout))
        .http_status_as_error(false)
        .max_idle_connections(IDLE_CONNECTIONS)
        .max_idle_connections_per_host(IDLE_CONNECTIONS)
        .max_idle_age(MAX_IDLE_AGE)
        .max_redirects(0)
        .build()
        .into()
}

/// Status, retry delay and body of a response.
struct ResponseParts {
    status: u16,
    retry_ms: u64,
    body: Vec<u8>,
}

impl ResponseParts {
    fn into_result(self) -> Result<Option<Vec<u8>>, PlatformError> {
        match self.status {
            200..=299 => Ok(Some(self.body)),
            404 => Ok(None),
            429 => Err(PlatformError::Throttled { retry_ms: self.retry_ms }),
            503 => Err(PlatformError::Unavailable { cause: "status 503".to_owned() }),
            500.. => Err(PlatformError::Lost { cause: format!("status {}", self.status) }),
            status => {
                let body = String::from_utf8_lossy(&self.body);
                let body = body.chars().take(MAX_BODY_CHARS).collect();
                Err(PlatformError::Refused { status, body })
            }
        }
    }
}

fn read_response(mut response: Response<Body>) -> Result<ResponseParts, Error> {
    let status = response.status().as_u16();
    let retry = response.headers().get("Retry-After").and_then(|value| value.to_str().ok());
    let retry_ms = retry
        .and_then(|text| text.parse::<f64>().ok())
        .and_then(|seconds| Duration::try_from_secs_f64(seconds).ok())
        .map_or(DEFAULT_RETRY_MS, |wait| u64::try_from(wait.as_millis()).unwrap_or(u64::MAX));
    let body = response.body_mut().with_config().limit(MAX_RESPONSE_BYTES).read_to_vec()?;
    Ok(ResponseParts { status, retry_ms, body })
}

/// Classifies a client error: without a connection the call had no effect; otherwise its effect is
/// unknown.
fn platform_error(error: &Error) -> PlatformError {
    let cause = error.to_string();
    let refused = match error {
        Error::Io(error) => error.kind() == std::io::ErrorKind::ConnectionRefused,
        Error::ConnectionFailed | Error::HostNotFound | Error::BadUri(_) => true,
        Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve) => true,
        _ => false,
    };
    if refused { PlatformError::Unavailable { cause } } else { PlatformError::Lost { cause } }
}

fn record_latency(purpose: Purpose, write: bool, start: Instant) {
    let name =
        if write { "agatestair_store_write_seconds" } else { "agatestair_store_read_seconds" };
    metrics::histogram!(name, "purpose" => purpose.label()).record(start.elapsed().as_secs_f64());
}

/// Encodes a request body as JSON.
pub(crate) fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).expect("wire types have text keys")
}

/// Decodes a JSON response; `what` names it in errors.
pub(crate) fn decode<T: DeserializeOwned>(what: &str, body: &[u8]) -> Result<T, PlatformError> {
    serde_json::from_slice(body).map_err(|error| PlatformError::Malformed {
        what: what.to_owned(),
        cause: error.to_string(),
    })
}

/// Percent-encodes a text for use in a path or query.
pub(crate) fn escape(text: &str) -> String {
    text.bytes().map(escape_byte).collect()
}

fn escape_byte(byte: u8) -> String {
    let unreserved = byte.is_ascii_alphanumeric() || b"-._~/".contains(&byte);
    if unreserved { char::from(byte).to_string() } else { format!("%{byte:02X}") }
}
