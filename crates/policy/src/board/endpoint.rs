//! State of one endpoint on the board.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::board::availability::Availability;
use crate::board::cache::CacheModel;
use crate::board::health::EndpointHealth;
use crate::board::load::{Load, PeerLoads};
use crate::board::rate_limit::RateLimit;
use crate::moment::Moment;

/// Age at which an endpoint's reported pace expires.
const REPORT_LIFETIME: Duration = Duration::from_millis(300);

/// Largest pace that an endpoint may report; work takes a hundred times the usual time.
const MAX_PACE: f64 = 100.0;

/// The part of a split run that an engine executes.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Stage {
    /// Processes prompts.
    Prefill,
    /// Generates tokens.
    Decode,
}

/// An endpoint as listed by the platform.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointFacts {
    /// Name, unique among all endpoints.
    pub name: Arc<str>,
    /// Service that it belongs to.
    pub service: Arc<str>,
    /// Address to connect to.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Number of attempts that it runs concurrently.
    pub slots: u32,
    /// Whether it is shutting down and accepts no new work.
    pub leaving: bool,
    /// Its stage, if it is an engine of a split fleet.
    pub stage: Option<Stage>,
    /// Start time of its process in Unix milliseconds; 0 if unknown.
    pub born: u64,
    /// Whether the platform may take it away at short notice.
    pub reclaimable: bool,
}

/// One endpoint with the state that this instance keeps of it.
#[derive(Clone, Debug)]
pub struct BoardEndpoint {
    /// Its entry in the platform's list.
    pub facts: EndpointFacts,
    /// Hash of the name, which identifies it in messages.
    pub name_hash: u64,
    /// Load of this instance's own attempts.
    pub own: Load,
    /// Load of other instances' attempts.
    pub peers: PeerLoads,
    /// When the own load dropped to zero, which is still reported to others for a while; `None`
    /// while there are own attempts.
    pub idle_since: Option<Moment>,
    /// Failures and pace.
    pub health: EndpointHealth,
    /// Whether connections to it fail.
    pub unreachable: bool,
    /// Pauses and shutdown announced by the endpoint itself.
    pub availability: Availability,
    /// Limit on its requests that the endpoint itself named.
    pub limit: RateLimit,
    /// Latest pace that the endpoint reported to this instance, and when.
    pub direct_pace: Option<(f64, Moment)>,
    /// Latest pace that the endpoint reported to any instance, and when.
    pub latest_pace: Option<(f64, Moment)>,
    /// Estimated content of its prefix cache.
    pub cache: CacheModel,
}

impl BoardEndpoint {
    pub(crate) fn new(facts: EndpointFacts, name_hash: u64) -> Self {
        Self {
            facts,
            name_hash,
            own: Load::default(),
            peers: PeerLoads::default(),
            idle_since: None,
            health: EndpointHealth::default(),
            unreachable: false,
            availability: Availability::default(),
            limit: RateLimit::default(),
            direct_pace: None,
            latest_pace: None,
            cache: CacheModel::default(),
        }
    }

    /// Whether it is shutting down, according to the platform or to the endpoint itself.
    pub fn is_leaving(&self) -> bool {
        self.facts.leaving || self.availability.leaving
    }

    /// Whether it gets no work as long as there are others, because it is ejected or unreachable.
    pub fn is_avoided(&self, now: Moment) -> bool {
        self.unreachable || self.health.is_ejected(now)
    }

    /// Load of all instances.
    pub fn load(&self, now: Moment) -> Load {
        self.own + self.peers.sum(now)
    }

    /// Records the pace that the endpoint reported to this instance: the time that work takes
    /// relative to the usual time. Returns `false` and ignores values that no endpoint may report.
    pub fn note_direct_pace(&mut self, pace: f64, now: Moment) -> bool {
        if is_valid(pace) {
            self.direct_pace = Some((pace, now));
            self.note_pace(pace, now);
        }
        is_valid(pace)
    }

    /// Records a pace that the endpoint reported to any instance at the moment `at`. Values that no
    /// endpoint may report are ignored.
    pub fn note_pace(&mut self, pace: f64, at: Moment) {
        if is_valid(pace) && self.latest_pace.is_none_or(|(_, known)| known < at) {
            self.latest_pace = Some((pace, at));
        }
    }

    /// Time that work takes now relative to the usual time: the endpoint's own report while that is
    /// recent, or this instance's observation.
    pub fn pace(&self, now: Moment) -> f64 {
        match self.latest_pace {
            Some((pace, at)) if now.since(at) < REPORT_LIFETIME => pace,
            _ => self.health.pace(now),
        }
    }
}

/// Whether an endpoint may report this pace, which durations are multiplied by.
fn is_valid(pace: f64) -> bool {
    pace > 0.0 && pace <= MAX_PACE
}
