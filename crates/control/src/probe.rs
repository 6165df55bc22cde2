//! HTTP client of the endpoints.

use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use agatestair_schema::endpoint::{CacheEvents, EngineState, LoadReport, Order, OrderReply};
use serde::de::DeserializeOwned;
use ureq::{Agent, Error};

/// Greatest size of an answer in bytes.
const MAX_ANSWER: u64 = 1024 * 1024;
/// Idle connections kept for reuse.
const IDLE_CONNECTIONS: usize = 64;

/// Why an endpoint gave no usable answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ProbeError {
    /// The connection was refused; nothing arrived.
    Refused(String),
    /// No whole answer; a request may have arrived.
    Lost(String),
    /// The answer was not of the expected shape.
    Malformed(String),
}

impl fmt::Display for ProbeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(cause) => {
                write!(f, "cannot connect: {cause}; check that the endpoint runs")
            }
            Self::Lost(cause) => {
                write!(f, "no answer: {cause}; check the endpoint and the network to it")
            }
            Self::Malformed(cause) => write!(
                f,
                "answer not understood: {cause}; check that the endpoint speaks the interface of \
                 ARCHITECTURE.md"
            ),
        }
    }
}

impl std::error::Error for ProbeError {}

/// Client of all endpoints, shared by the I/O threads.
#[derive(Clone)]
pub struct Probe {
    timeout: Duration,
    agent: Arc<Mutex<Agent>>,
}

impl Probe {
    /// Creates a client whose calls end within `timeout`.
    pub fn new(timeout: Duration) -> Self {
        Self { timeout, agent: Arc::new(Mutex::new(new_agent(timeout))) }
    }

    /// Asks for the load of the endpoint at `address`.
    ///
    /// # Errors
    ///
    /// [`ProbeError`] if it gave no usable answer.
    pub fn load(&self, address: &str) -> Result<LoadReport, ProbeError> {
        self.get(&format!("http://{address}/agatestair/load"))
    }

    /// Asks for the prefix cache's events after number `after`.
    ///
    /// # Errors
    ///
    /// [`ProbeError`] if it gave no usable answer.
    pub fn cache_events(&self, address: &str, after: u64) -> Result<CacheEvents, ProbeError> {
        self.get(&format!("http://{address}/agatestair/cache-events?after={after}"))
    }

    /// Asks for the state of the engine at `address`.
    ///
    /// # Errors
    ///
    /// [`ProbeError`] if it gave no usable answer.
    pub fn state(&self, address: &str) -> Result<EngineState, ProbeError> {
        self.get(&format!("http://{address}/agatestair/state"))
    }

    /// Gives an order to the engine at `address`.
    ///
    /// # Errors
    ///
    /// [`ProbeError`]; unless it is [`ProbeError::Refused`] the order may have arrived.
    pub fn order(&self, address: &str, order: &Order) -> Result<OrderReply, ProbeError> {
        let url = format!("http://{address}/agatestair/order");
        let result = self.agent().post(&url).send_json(order);
        self.read(result)
    }

    fn get<T: DeserializeOwned>(&self, url: &str) -> Result<T, ProbeError> {
        let result = self.agent().get(url).call();
        self.read(result)
    }

    fn read<T: DeserializeOwned>(
        &self,
        result: Result<ureq::http::Response<ureq::Body>, Error>,
    ) -> Result<T, ProbeError> {
        let body = result.and_then(|mut response| {
            response.body_mut().with_config().limit(MAX_ANSWER).read_to_vec()
        });
        match body {
            Ok(body) => serde_json::from_slice(&body)
                .map_err(|error| ProbeError::Malformed(error.to_string())),
            Err(error) => {
                self.renew_agent();
                Err(failure_of(&error))
            }
        }
    }

    fn agent(&self) -> Agent {
        self.agent.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Drops the kept connections, one of which may be silent for good.
    fn renew_agent(&self) {
        let agent = new_agent(self.timeout);
        *self.agent.lock().unwrap_or_else(PoisonError::into_inner) = agent;
    }
}

fn new_agent(timeout: Duration) -> Agent {
    Agent::config_builder()
        .timeout_global(Some(timeout))
        .http_status_as_error(false)
        .max_idle_connections(IDLE_CONNECTIONS)
        .max_idle_connections_per_host(1)
        .max_redirects(0)
        .build()
        .into()
}

fn failure_of(error: &Error) -> ProbeError {
    let cause = error.to_string();
    match error {
        Error::Io(io) if io.kind() == std::io::ErrorKind::ConnectionRefused => {
            ProbeError::Refused(cause)
        }
        Error::ConnectionFailed | Error::Timeout(ureq::Timeout::Connect) => {
            ProbeError::Refused(cause)
        }
        _ => ProbeError::Lost(cause),
    }
}
