//! The scheduler's state of requests and attempts.

use crate::action::Purpose;
use crate::fleet::{PoolKey, Route};
use crate::keys::{AttemptKey, EndpointKey, RequestKey};
use crate::moment::Moment;
use crate::queue::Ticket;
use crate::request::{RequestFacts, Work};

/// Stage in the life of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Stage {
    /// It waits for an endpoint.
    Queued,
    /// Its prompt was processed; it waits for a decode engine.
    Handoff,
    /// Attempts are running.
    Running,
}

/// One request.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) facts: RequestFacts,
    pub(crate) plan: usize,
    pub(crate) pool: PoolKey,
    pub(crate) route: Route,
    pub(crate) ticket: Ticket,
    pub(crate) stage: Stage,
    /// When it is refused if it is still waiting.
    pub(crate) expiry: Moment,
    /// Attempts started since the last failed one that made progress, without hedged ones.
    pub(crate) attempts: u32,
    pub(crate) live: Vec<AttemptKey>,
    /// Output tokens of the response that have arrived, over all attempts.
    pub(crate) tokens: u32,
    pub(crate) first: Option<Moment>,
    pub(crate) started: Moment,
    /// Position in its cohort.
    pub(crate) position: Option<u64>,
    /// Whether too many later requests overtook it, or its endpoint became slow.
    pub(crate) straggler: bool,
    pub(crate) hedges: u32,
    /// Endpoints at which attempts failed; they are used again only if no other has room.
    pub(crate) failed: Vec<EndpointKey>,
}

impl Request {
    /// Prompt tokens; 0 for calls.
    pub(crate) fn prompt(&self) -> u32 {
        match &self.facts.work {
            Work::Completion(work) => work.prompt_tokens,
            Work::Call(_) => 0,
        }
    }

    /// Greatest number of output tokens; 0 for calls.
    pub(crate) fn output(&self) -> u32 {
        match &self.facts.work {
            Work::Completion(work) => work.max_tokens,
            Work::Call(_) => 0,
        }
    }

    /// Hashes of the prompt's blocks.
    pub(crate) fn blocks(&self) -> &[u64] {
        match &self.facts.work {
            Work::Completion(work) => &work.blocks,
            Work::Call(_) => &[],
        }
    }

    /// Whether it may be executed more than once.
    pub(crate) fn idempotent(&self) -> bool {
        match self.facts.work {
            Work::Completion(_) => true,
            Work::Call(call) => call.idempotent,
        }
    }
}

/// One attempt of a request at an endpoint.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) request: RequestKey,
    pub(crate) endpoint: EndpointKey,
    pub(crate) purpose: Purpose,
    pub(crate) started: Moment,
    /// Output tokens of the response that had arrived before it started.
    pub(crate) offset: u32,
    pub(crate) tokens: u32,
    /// Prompt tokens that it contributes to the endpoint's backlog.
    pub(crate) prefill: u32,
    /// Prompt tokens that it has to process.
    pub(crate) prompt: u32,
    pub(crate) first: Option<Moment>,
    /// Nominal time to the first token or the call's response, in seconds.
    pub(crate) expected: f64,
    pub(crate) cancelled: bool,
    /// Whether it has been silent for too long since its last tokens.
    pub(crate) silent: bool,
    /// When its last tokens arrived, while it counts as streaming.
    pub(crate) streaming: Option<Moment>,
    /// Hedge budget spent on its output and not refunded, in seconds of engine time.
    pub(crate) charge: f64,
}

impl Attempt {
    /// Position in the response that it has reached, in output tokens.
    pub(crate) fn reached(&self) -> u32 {
        self.offset + self.tokens
    }
}
