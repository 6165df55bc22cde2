//! HTTP client for endpoints.

use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use agatestair_schema::endpoint::{CacheEvents, EngineState, LoadReport, Order, OrderReply};
use serde::de::DeserializeOwned;
use ureq::{Agent, Error};

/// Maximum size of a response, in bytes.
const MAX_RESPONSE_BYTES: u64 = 1024 * 1024;
/// Maximum number of idle connections.
const IDLE_CONNECTIONS: usize = 64;

/// Failure of a call to an endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EndpointError {
    /// The connection could not be opened; the endpoint received nothing.
    Refused(String),
    /// No complete response; the endpoint may have received the request.
    Lost(String),
    /// The response could not be parsed.
    Malformed(String),
}

impl fmt::Display for EndpointError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(cause) => {
                write!(f, "cannot connect: {cause}; check that the endpoint runs")
            }
            Self::Lost(cause) => {
                write!(f, "no response: {cause}; check the endpoint and the network to it")
            }
            Self::Malformed(cause) => write!(
                f,
                "malformed response: {cause}; check that the endpoint implements the interface in \
                 ARCHITECTURE.md"
            ),
        }
    }
}

impl std::error::Error for EndpointError {}

/// Client for all endpoints, shared by the worker threads.
#[derive(Clone)]
pub struct EndpointClient {
    timeout: Duration,
    agent: Arc<Mutex<Agent>>,
}

impl EndpointClient {
    /// Creates a client with a total `timeout` for each call.
    pub fn new(timeout: Duration) -> Self {
        Self { timeout, agent: Arc::new(Mutex::new(new_agent(timeout))) }
    }

    /// Gets the load report of the endpoint at `address`.
    ///
    /// # Errors
    ///
    /// [`EndpointError`] if there is no usable response.
    pub fn load(&self, address: &str) -> Result<LoadReport, EndpointError> {
        self.get(&format!("http://{address}/agatestair/load"))
    }

    /// Gets the prefix cache events after number `after`.
    ///
    /// # Errors
    ///
    /// [`EndpointError`] if there is no usable response.
    pub fn cache_events(&self, address: &str, after: u64) -> Result<CacheEvents, EndpointError> {
        self.get(&format!("http://{address}/agatestair/cache-events?after={after}"))
    }

    /// Gets the state of the engine at `address`.
    ///
    /// # Errors
    ///
    /// [`EndpointError`] if there is no usable response.
    pub fn state(&self, address: &str) -> Result<EngineState, EndpointError> {
        self.get(&format!("http://{address}/agatestair/state"))
    }

    /// Sends an order to the engine at `address`.
    ///
    /// # Errors
    ///
    /// [`EndpointError`]; unless it is [`EndpointError::Refused`], the engine may have received the
    /// order.
    pub fn order(&self, address: &str, order: &Order) -> Result<OrderReply, EndpointError> {
        let url = format!("http://{address}/agatestair/order");
        let result = self.agent().post(&url).send_json(order);
        self.read_response(result)
    }

    fn get<T: DeserializeOwned>(&self, url: &str) -> Result<T, EndpointError> {
        let result = self.agent().get(url).call();
        self.read_response(result)
    }

    fn read_response<T: DeserializeOwned>(
        &self,
        result: Result<ureq::http::Response<ureq::Body>, Error>,
    ) -> Result<T, EndpointError> {
        let body = result.and_then(|mut response| {
            response.body_mut().with_config().limit(MAX_RESPONSE_BYTES).read_to_vec()
        });
        match body {
            Ok(body) => serde_json::from_slice(&body)
                .map_err(|error| EndpointError::Malformed(error.to_string())),
            Err(error) => {
                self.reset_agent();
                Err(endpoint_error(&error))
            }
        }
    }

    fn agent(&self) -> Agent {
        self.agent.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Replaces the agent to drop its idle connections, since one of them may never respond again.
    fn reset_agent(&self) {
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

fn endpoint_error(error: &Error) -> EndpointError {
    let cause = error.to_string();
    match error {
        Error::Io(io) if io.kind() == std::io::ErrorKind::ConnectionRefused => {
            EndpointError::Refused(cause)
        }
        Error::ConnectionFailed | Error::Timeout(ureq::Timeout::Connect) => {
            EndpointError::Refused(cause)
        }
        _ => EndpointError::Lost(cause),
    }
}
