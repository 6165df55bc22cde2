//! What an attempt needs, and what it gets.

use std::sync::Arc;
use std::time::Duration;

use crate::board::load::Load;
use crate::keys::EndpointKey;

/// One part of a prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Part {
    /// Identity of the part's text.
    pub id: u64,
    /// Its tokens.
    pub tokens: u32,
}

/// What an attempt needs.
#[derive(Clone, Debug, Default)]
pub struct Wanted {
    /// Service that runs it.
    pub service: Arc<str>,
    /// Failure domain of the instance that asks.
    pub domain: Arc<str>,
    /// Parts of the prompt, in order; the last belongs to this request alone.
    pub parts: Vec<Part>,
    /// Tokens of the whole prompt.
    pub prompt: u32,
    /// Tokens that the answer may have.
    pub output: u32,
    /// Time within which the answer must begin to be of use at all.
    pub limit: Duration,
    /// Time within which it should begin.
    pub aim: Duration,
    /// Wait for other requests that is borne where the request's own work takes longer than that.
    pub slack: Duration,
    /// Longest pause between two events that is on time.
    pub pause: Duration,
    /// Endpoints that are not to be used again.
    pub tried: Vec<EndpointKey>,
    /// Attempts that this instance may have at one endpoint.
    pub share: u32,
    /// Work that others may have placed since they were last heard, as time at one endpoint.
    pub unseen: Duration,
    /// Number from 0 to 1 drawn for the request, which decides between nearly equal endpoints.
    pub draw: f64,
}

/// Where an attempt goes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// The endpoint.
    pub key: EndpointKey,
    /// Work that it gets by this.
    pub load: Load,
    /// Expected time to the first piece.
    pub expected: Duration,
    /// The same at the usual pace of the endpoint.
    pub nominal: Duration,
    /// Whether the endpoint is only to read the prompt.
    pub reads: bool,
    /// Engine that the endpoint should fetch parts of the prompt from.
    pub fetch: Option<EndpointKey>,
}

/// Why there is no place.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DenialCause {
    /// The service has no endpoint that takes work.
    NoEndpoint,
    /// No endpoint can answer within the limit.
    TooLate,
    /// All endpoints have said that they want no work for a while.
    Paused,
}

/// There is no place now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Denial {
    /// Why.
    pub cause: DenialCause,
    /// Time after which there may be one.
    pub back: Duration,
}
