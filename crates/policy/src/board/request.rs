//! Placement requests and their results.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use crate::board::load::Load;
use crate::keys::EndpointKey;

/// One part of a prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// Hash that identifies the text.
    pub id: u64,
    /// Number of tokens.
    pub tokens: u32,
}

/// Requirements of an attempt that is to be placed.
#[derive(Clone, Debug, Default)]
pub struct PlacementRequest {
    /// Route that the request matched.
    pub route: Arc<str>,
    /// Requested service.
    pub service: Arc<str>,
    /// Failure domain of the instance that places it.
    pub domain: Arc<str>,
    /// Parts of the prompt, in order; the last belongs to this request alone.
    pub parts: Vec<PromptPart>,
    /// Number of tokens of the whole prompt.
    pub prompt: u32,
    /// Expected number of output tokens.
    pub output: u32,
    /// Greatest number of output tokens.
    pub max_output: u32,
    /// Time until the request times out.
    pub left: Duration,
    /// Time since its first attempt was placed, if this attempt continues that work.
    pub elapsed: Duration,
    /// Whether an attempt of the request was placed before.
    pub begun: bool,
    /// Time within which the response must start; an attempt that would start later is refused.
    pub limit: Duration,
    /// Time within which the response should start.
    pub objective: Duration,
    /// Longest wait for other requests with which a start later than `objective` is accepted.
    pub max_wait: Duration,
    /// Longest gap between two stream events that still counts as on time.
    pub max_gap: Duration,
    /// Endpoints that have been tried and must not be used again.
    pub tried: Vec<EndpointKey>,
    /// Greatest number of attempts that this instance may have at one endpoint.
    pub max_concurrent: u32,
    /// Endpoints that this instance uses, `None` if it uses all.
    pub subset: Option<HashSet<EndpointKey>>,
    /// Work that other instances may have placed since their last reports, as time at one endpoint.
    pub unseen: Duration,
    /// Priority among the requests of a service; 0 is the most urgent.
    pub rank: u8,
    /// Random number from 0 to 1 that selects among nearly equal endpoints.
    pub draw: f64,
}

/// Placement of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// Key of the endpoint.
    pub key: EndpointKey,
    /// Load that the attempt adds there.
    pub load: Load,
    /// Expected time to the first event.
    pub expected: Duration,
    /// Expected time to the first event at the usual pace.
    pub nominal: Duration,
    /// Expected time to the end of the run if it generates the greatest number of output tokens;
    /// `None` for plain services, whose work is not known.
    pub duration: Option<Duration>,
    /// Whether the endpoint only processes the prompt (prefill).
    pub prefill_only: bool,
    /// Engine from which the endpoint should fetch cached parts of the prompt.
    pub fetch: Option<EndpointKey>,
}

/// Why an attempt cannot be placed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DenialCause {
    /// The service has no endpoint that accepts work.
    NoEndpoint,
    /// No endpoint can take the work in time.
    TooLate,
    /// All endpoints have asked for no new work for a while.
    Paused,
    /// The endpoints' rate limits allow no request now.
    Limited,
    /// A part of the prompt is quarantined.
    Quarantined,
    /// The instance is shutting down, and the work may not end before it exits.
    Stopping,
    /// The caller's API key was withdrawn.
    Withdrawn,
    /// A withdrawal of the caller's API key may be unknown to the instance.
    Unproven,
}

/// An attempt cannot be placed now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Denial {
    /// The cause.
    pub cause: DenialCause,
    /// Time after which a retry may succeed.
    pub retry_after: Duration,
}
