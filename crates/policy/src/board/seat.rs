//! One endpoint on the board.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::board::cache::CacheModel;
use crate::board::load::{Load, PeerLoads};
use crate::board::standing::Standing;
use crate::board::trust::Trust;
use crate::moment::Moment;

/// Age at which an endpoint's own word on its load is no longer used.
const REPORT_LIFETIME: Duration = Duration::from_millis(300);

/// What an engine does in a split run.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Stage {
    /// Reads prompts.
    Prefill,
    /// Generates tokens.
    Decode,
}

/// What the platform says of an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct SeatFacts {
    /// Name, unique among all endpoints.
    pub name: Arc<str>,
    /// Service that it serves.
    pub service: Arc<str>,
    /// Address of its connections.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Attempts that it runs at once.
    pub slots: u32,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Its stage, if it is an engine of a split fleet.
    pub stage: Option<Stage>,
    /// Start of its process, Unix milliseconds; 0 if unknown.
    pub born: u64,
}

/// One endpoint with what this instance observed of it.
#[derive(Clone, Debug)]
pub struct Seat {
    /// What the platform says.
    pub facts: SeatFacts,
    /// Digest of the name, which stands for it in messages.
    pub digest: u64,
    /// This instance's own attempts.
    pub own: Load,
    /// Attempts of other instances.
    pub peers: PeerLoads,
    /// When the last own attempt ended; others are told of it for a while.
    pub cleared: Option<Moment>,
    /// Failures and pace.
    pub trust: Trust,
    /// Whether no connection to it succeeds.
    pub dark: bool,
    /// What the endpoint itself has said of further work.
    pub standing: Standing,
    /// Last word of the endpoint on its pace, to this instance.
    pub heard: Option<(f64, Moment)>,
    /// Last such word to any instance.
    pub paced: Option<(f64, Moment)>,
    /// What it probably keeps of earlier prompts.
    pub cache: CacheModel,
}

impl Seat {
    pub(crate) fn new(facts: SeatFacts, digest: u64) -> Self {
        Self {
            facts,
            digest,
            own: Load::default(),
            peers: PeerLoads::default(),
            cleared: None,
            trust: Trust::default(),
            dark: false,
            standing: Standing::default(),
            heard: None,
            paced: None,
            cache: CacheModel::default(),
        }
    }

    /// Whether it takes no new work, by the platform's word or its own.
    pub fn is_leaving(&self) -> bool {
        self.facts.leaving || self.standing.leaving
    }

    /// Whether it gets no work as long as there are others: it failed too often, or cannot be
    /// reached.
    pub fn is_avoided(&self, now: Moment) -> bool {
        self.dark || self.trust.is_ejected(now)
    }

    /// Work of all instances.
    pub fn load(&self, now: Moment) -> Load {
        self.own + self.peers.sum(now)
    }

    /// Takes over the endpoint's own word on its pace: how long work takes, 1 is usual.
    pub fn hear_pace(&mut self, pace: f64, now: Moment) {
        if pace > 0.0 {
            self.heard = Some((pace, now));
            self.note_pace(pace, now);
        }
    }

    /// Takes over a word on the pace that is from a moment.
    pub fn note_pace(&mut self, pace: f64, at: Moment) {
        if self.paced.is_none_or(|(_, known)| known < at) {
            self.paced = Some((pace, at));
        }
    }

    /// How long work takes now against what is usual, from the last report or from own observation.
    pub fn pace(&self, now: Moment) -> f64 {
        match self.paced {
            Some((pace, at)) if now.since(at) < REPORT_LIFETIME => pace,
            _ => self.trust.pace(now),
        }
    }
}
