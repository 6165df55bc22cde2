//! What an adapter tells the core about the spelling of calls on the wire.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use agatestair_policy::board::{Part, SeatFacts};
use http::{HeaderMap, Method};

use crate::configuration::Configuration;

/// Something on the wire that cannot be understood.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WireFault {
    /// Field or header at fault.
    pub field: &'static str,
    /// What is wrong with it.
    pub problem: String,
}

impl fmt::Display for WireFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "`{}`: {}; check the versions of both ends", self.field, self.problem)
    }
}

impl std::error::Error for WireFault {}

/// A prompt as the caller describes it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Prompt {
    /// Tokens of the prompt.
    pub input: u32,
    /// Greatest number of output tokens.
    pub output: u32,
    /// Parts of the prompt, in order.
    pub parts: Vec<Part>,
}

/// What the head of a caller's request says beside method, path and host.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CallFacts {
    /// Identifier of this attempt of the caller.
    pub id: Option<Arc<str>>,
    /// How long the caller waits.
    pub deadline: Option<Duration>,
    /// The prompt, if the request generates.
    pub prompt: Option<Prompt>,
    /// Output tokens that the caller expects.
    pub expected: Option<u32>,
}

/// Name of memory that an engine keeps for another one.
pub type HandleName = Arc<str>;

/// Which part of a run an endpoint is asked for.
#[derive(Clone, Copy, Debug)]
pub enum Phase<'a> {
    /// The whole run.
    Whole,
    /// Only reading the prompt.
    Read,
    /// Generating from memory that an engine keeps: of a prompt that it has read, or of a run.
    Generate {
        /// Address of that engine.
        source: SocketAddr,
        /// Name of the memory there.
        handle: &'a HandleName,
    },
}

/// What the system itself says in the head of a request to an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Outbound<'a> {
    /// Time left.
    pub deadline: Duration,
    /// Name of the endpoint that is meant.
    pub endpoint: &'a str,
    /// Urgency among the requests of a service, 0 is the most urgent.
    pub rank: u8,
    /// Part of the run.
    pub phase: Phase<'a>,
    /// Engine that parts of the prompt should be fetched from.
    pub fetch: Option<SocketAddr>,
    /// Engine that gets a copy of the run's memory as it grows.
    pub backup: Option<SocketAddr>,
    /// Last event that the caller has, when a stream is resumed.
    pub resume: Option<&'a str>,
}

/// What the head of an endpoint's answer says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerFacts {
    /// Identifier of the request that is answered, if it is told.
    pub echo: Option<Arc<str>>,
    /// Whether the endpoint says that it has not run the request.
    pub not_run: bool,
    /// Whether the endpoint has signed the answer.
    pub signed: bool,
    /// The endpoint's word on its pace: how long work takes, 1 is usual.
    pub pace: Option<f64>,
    /// Time for which the endpoint keeps an idle connection, if it is told.
    pub idle: Option<Duration>,
    /// Whether the endpoint announces that it will end.
    pub leaving: bool,
    /// Time after which a request that the endpoint turned away may come back, if it is told.
    pub retry: Option<Result<Duration, WireFault>>,
}

/// Who asks the directory.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Asker {
    /// Failure domain, empty if it is not told.
    pub domain: Arc<str>,
}

/// A call as it goes on the wire.
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

/// Paths that an instance itself answers.
#[derive(Clone, Copy, Debug)]
pub struct Paths {
    /// Whether the instance is ready.
    pub ready: &'static str,
    /// Where callers should connect.
    pub directory: &'static str,
}

/// Spelling of all calls.
#[derive(Clone, Copy)]
pub struct Dialect {
    /// Paths that an instance itself answers.
    pub paths: Paths,
    /// Reads the head of a caller's request.
    pub read_call: fn(&HeaderMap) -> Result<CallFacts, WireFault>,
    /// Replaces the headers that are the system's to set.
    pub write_call: fn(&Outbound<'_>, &mut HeaderMap),
    /// Reads the head of an endpoint's answer.
    pub read_answer: fn(&HeaderMap) -> AnswerFacts,
    /// Reads the answer to a request whose prompt was read.
    pub read_handle: fn(&[u8]) -> Result<HandleName, WireFault>,
    /// The call that frees a prompt that was read and is not needed.
    pub free_handle: fn(&HandleName) -> WireCall,
    /// The call that asks an engine what it keeps of earlier prompts.
    pub list_cache: fn() -> WireCall,
    /// Reads its answer.
    pub read_cache: fn(&[u8]) -> Result<Vec<Part>, WireFault>,
    /// Reads the operators' configuration.
    pub read_configuration: fn(&[u8]) -> Result<Configuration, WireFault>,
    /// Reads what the platform says of the endpoint with a name.
    pub read_endpoint: fn(&str, &[u8]) -> Result<SeatFacts, WireFault>,
    /// Reads the query of a question to the directory.
    pub read_asker: fn(&str) -> Asker,
    /// Writes the directory's answer: addresses and their lifetime.
    pub write_entries: fn(&[SocketAddr], Duration) -> Vec<u8>,
}
