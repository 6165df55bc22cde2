//! Wire format of requests and responses, as functions that an adapter provides.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use agatestair_policy::board::{EndpointFacts, PromptPart};
use agatestair_policy::{EngineKind, UsageCounts};
use http::{HeaderMap, Method};

use crate::configuration::Configuration;
use crate::customers::Credential;

/// A message on the wire that cannot be parsed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WireError {
    /// Invalid field or header.
    pub field: &'static str,
    /// What is wrong with it.
    pub problem: String,
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "`{}`: {}; check the versions of both ends", self.field, self.problem)
    }
}

impl std::error::Error for WireError {}

/// A prompt as described by the caller.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Prompt {
    /// Tokens of the prompt.
    pub input: u32,
    /// Maximum number of output tokens.
    pub output: u32,
    /// Parts of the prompt, in order.
    pub parts: Vec<PromptPart>,
}

/// Values parsed from the headers of a caller's request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CallFacts {
    /// Identifier of this attempt of the caller.
    pub id: Option<Arc<str>>,
    /// Time that the caller waits for the response.
    pub deadline: Option<Duration>,
    /// The prompt, if the request is for text generation.
    pub prompt: Option<Prompt>,
    /// Number of output tokens that the caller expects.
    pub expected: Option<u32>,
}

/// Identifier of a KV cache that an engine keeps for another engine to fetch.
pub type HandleName = Arc<str>;

/// Part of a run that an endpoint is asked to execute.
#[derive(Clone, Copy, Debug)]
pub enum Phase<'a> {
    /// The whole run: prefill and decode.
    Whole,
    /// Only prefill: processing the prompt.
    Prefill,
    /// Only decode, from the KV cache that another engine keeps, either of a prefilled prompt or
    /// of an interrupted run.
    Decode {
        /// Address of that engine.
        source: SocketAddr,
        /// Identifier of the KV cache there.
        handle: &'a HandleName,
    },
}

/// Values that the instance writes into the headers of a request to an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Outbound<'a> {
    /// Time until the request times out.
    pub deadline: Duration,
    /// Name of the intended endpoint.
    pub endpoint: &'a str,
    /// Priority among the requests of a service; 0 is the most urgent.
    pub rank: u8,
    /// Part of the run to execute.
    pub phase: Phase<'a>,
    /// Engine from which to fetch cached parts of the prompt.
    pub fetch: Option<SocketAddr>,
    /// Engine that receives a copy of the run's KV cache as it grows.
    pub backup: Option<SocketAddr>,
    /// Identifier of the last event that the caller received, if a stream is resumed.
    pub resume: Option<&'a str>,
    /// Name of the customer on whose behalf the request is sent, if it is known.
    pub customer: Option<&'a str>,
}

/// Values parsed from the headers of an endpoint's response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseFacts {
    /// Identifier of the request that the response belongs to, if given.
    pub echo: Option<Arc<str>>,
    /// Whether the endpoint states that it has not executed the request.
    pub not_run: bool,
    /// Whether the endpoint has signed the response.
    pub signed: bool,
    /// Time that work takes as reported by the endpoint, relative to its usual time (1.0).
    pub pace: Option<f64>,
    /// Time for which the endpoint keeps an idle connection open, if given.
    pub idle: Option<Duration>,
    /// Whether the endpoint announces that it is shutting down.
    pub leaving: bool,
    /// Delay after which a refused request may be retried, if given.
    pub retry: Option<Result<Duration, WireError>>,
    /// Requests per second that the endpoint accepts from all instances together, if given.
    pub limit: Option<Result<f64, WireError>>,
}

/// Sender of a directory request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct DirectoryQuery {
    /// Failure domain of the sender, empty if not given.
    pub domain: Arc<str>,
}

/// A request as sent on the wire.
#[derive(Clone, Debug)]
pub struct WireCall {
    /// Method.
    pub method: Method,
    /// Path.
    pub path: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Vec<u8>,
}

/// Paths that an instance handles itself.
#[derive(Clone, Copy, Debug)]
pub struct Paths {
    /// Path of the readiness check.
    pub ready: &'static str,
    /// Path of the directory, which lists addresses for callers to connect to.
    pub directory: &'static str,
}

/// Wire format of all requests and responses.
#[derive(Clone, Copy)]
pub struct WireFormat {
    /// Paths that an instance handles itself.
    pub paths: Paths,
    /// Parses the headers of a caller's request.
    pub read_call: fn(&HeaderMap) -> Result<CallFacts, WireError>,
    /// Reads the API key in the headers of a caller's request.
    pub read_credential: fn(&HeaderMap) -> Credential,
    /// Sets the system's own headers on a request to an endpoint, replacing existing ones.
    pub write_call: fn(&Outbound<'_>, &mut HeaderMap),
    /// Sets the headers of a call to the platform's API: the holder of the duties and its fencing
    /// token.
    pub write_tenure: fn(&str, u64, &mut HeaderMap),
    /// Encodes the usage of all customers in a window.
    pub write_usage: fn(u64, &UsageCounts) -> Vec<u8>,
    /// Builds the call to the platform's API that orders a number of engines of a service in a failure
    /// domain.
    pub order_engines: fn(&str, &str, EngineKind, u32) -> WireCall,
    /// Builds the call to the platform's API that sends an encoded usage report.
    pub report_usage: fn(&[u8]) -> WireCall,
    /// Parses the headers of an endpoint's response.
    pub read_response: fn(&HeaderMap) -> ResponseFacts,
    /// Parses the body of the response to a prefill request.
    pub read_handle: fn(&[u8]) -> Result<HandleName, WireError>,
    /// Builds the request that frees an unused prefilled prompt.
    pub free_handle: fn(&HandleName) -> WireCall,
    /// Builds the request that lists the parts of earlier prompts in an engine's cache.
    pub list_cache: fn() -> WireCall,
    /// Parses the body of the response to [`Self::list_cache`].
    pub read_cache: fn(&[u8]) -> Result<Vec<PromptPart>, WireError>,
    /// Parses the operators' configuration.
    pub read_configuration: fn(&[u8]) -> Result<Configuration, WireError>,
    /// Parses the platform's entry for the endpoint with the given name.
    pub read_endpoint: fn(&str, &[u8]) -> Result<EndpointFacts, WireError>,
    /// Parses the query string of a directory request.
    pub read_query: fn(&str) -> DirectoryQuery,
    /// Builds the body of a directory response from addresses and their time to live.
    pub write_addresses: fn(&[SocketAddr], Duration) -> Vec<u8>,
}
