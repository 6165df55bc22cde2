//! The state and the decisions of one instance.

mod gossip;

pub use gossip::Heard;

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use agatestair_policy::assign::digest;
use agatestair_policy::board::{
    Board, BoardSettings, Choice, Denial, Load, Part, Seat, SeatFacts, Stage, Wanted,
};
use agatestair_policy::{EndpointKey, Moment, RetryBudget, RetrySettings};
use stakker::CX;

use crate::allowance::Allowance;
use crate::collection::Collection;
use crate::collectors::Collectors;
use crate::configuration::{Configuration, Limits, Match};
use crate::cursor::Cursor;
use crate::fleet::Fleet;
use crate::members::{Member, MemberState, Members};
use crate::store::Table;
use crate::watchers::{WATCHERS, Watchers};

/// Instances that the retry budget is shared by while fewer are known.
const MIN_SHARERS: usize = 12;

/// Instances beside the known ones that may appear at any time, as a share of these.
const SPARE_SHARE: usize = 3;

/// Work that others place at one endpoint between two of their datagrams: 383 tokens of a short
/// prompt at 93 a millisecond.
const UNSEEN_WORK: Duration = Duration::from_millis(4);

/// Parts of prompts that wait to be told to other instances at most.
const MAX_READS: usize = 256;

/// A part of a prompt that an endpoint got.
#[derive(Clone, Copy, Debug)]
struct Read {
    endpoint: u64,
    part: Part,
    at: Moment,
}

/// What an instance needs to know of itself.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// This instance.
    pub own: Member,
    /// Placement.
    pub board: BoardSettings,
    /// Repeats over all instances; each takes its part of the slack.
    pub retry: RetrySettings,
    /// Number from 0 to 1 drawn for this process, which spreads what instances do by themselves.
    pub draw: f64,
}

/// How this instance follows a table of the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Duty {
    /// It holds calls that wait for changes, each within the bounds on changes.
    Close,
    /// It holds long ones, since others tell it if one misses a change.
    Loose,
    /// It relies on the bulletins of others.
    Rest,
}

/// Something that a task has the actor decide.
pub type Decision = Box<dyn FnOnce(&mut Node)>;

/// Where an attempt goes, with what is needed to send it there.
#[derive(Clone, Debug)]
pub struct Place {
    /// Key of the endpoint.
    pub key: EndpointKey,
    /// Name of the endpoint.
    pub name: Arc<str>,
    /// Its address.
    pub address: SocketAddr,
    /// Work that it gets.
    pub load: Load,
    /// Expected time to the first piece.
    pub expected: Duration,
    /// The same at the endpoint's usual pace.
    pub nominal: Duration,
    /// Whether the endpoint is only to read the prompt.
    pub reads: bool,
    /// Address of the engine that it should fetch parts of the prompt from.
    pub fetch: Option<SocketAddr>,
    /// Attempts of all instances there before this one, for the log.
    pub busy: u32,
    /// Whether the endpoint wants no work, and is tried all the same.
    pub trial: bool,
}

/// An engine with a copy of a run's memory.
#[derive(Clone, Copy, Debug)]
pub struct Backup {
    /// Its key.
    pub key: EndpointKey,
    /// Its address.
    pub address: SocketAddr,
}

/// Which endpoint is looked for.
#[derive(Clone, Copy, Debug)]
pub enum Search {
    /// Any of the service.
    Plain,
    /// One that does a whole run, or one that reads the prompt for another one.
    Run {
        /// Whether the prompt may be read apart.
        split: bool,
    },
    /// One that generates, after the given one has read the prompt.
    Generate(EndpointKey),
    /// The given one, which has a copy of the run's memory.
    Copy(EndpointKey),
}

impl Search {
    /// Name in logs.
    pub fn label(self) -> &'static str {
        match self {
            Self::Plain => "plain",
            Self::Run { split: true } => "run",
            Self::Run { split: false } => "whole run",
            Self::Generate(_) => "generate",
            Self::Copy(_) => "copy",
        }
    }
}

/// The state of one instance.
pub struct Node {
    settings: NodeSettings,
    configuration: Option<Arc<Configuration>>,
    /// Endpoints.
    pub board: Board,
    /// The store's list of endpoints.
    pub fleet: Fleet,
    /// Other instances.
    pub members: Members,
    /// The instances that follow the store for others.
    pub watchers: Watchers,
    /// The instances that collect for this one's domain.
    pub collectors: Collectors,
    /// What of the link is left for rows in bulletins.
    pub allowance: Allowance,
    /// What this instance has collected and not passed on.
    pub collection: Collection,
    /// Digest of this instance's name.
    pub digest: u64,
    /// Digest of the name of its domain.
    pub domain: u64,
    configurations: Cursor,
    endpoints: Cursor,
    budgets: HashMap<Arc<str>, RetryBudget>,
    reads: VecDeque<Read>,
    /// Whether this instance is about to stop.
    pub leaving: bool,
}

impl Node {
    /// Creates the state of an instance that knows nothing yet.
    pub fn init(_: CX![], settings: NodeSettings) -> Option<Self> {
        Some(Self::new(settings))
    }

    /// Decides something on behalf of a task.
    pub fn decide(&mut self, _: CX![], decision: Decision) {
        decision(self);
    }

    /// Creates the state of an instance that knows nothing yet.
    pub fn new(settings: NodeSettings) -> Self {
        Self {
            configuration: None,
            board: Board::new(settings.board),
            fleet: Fleet::default(),
            members: Members::default(),
            watchers: Watchers::default(),
            collectors: Collectors::default(),
            allowance: Allowance::default(),
            collection: Collection::default(),
            digest: digest(&settings.own.name),
            domain: digest(&settings.own.domain),
            configurations: Cursor::default(),
            endpoints: Cursor::default(),
            budgets: HashMap::new(),
            reads: VecDeque::new(),
            leaving: false,
            settings,
        }
    }

    /// Puts a configuration in force unless a newer one is; returns whether it did.
    pub fn adopt(&mut self, configuration: Configuration) -> bool {
        let newer = self.version().is_none_or(|version| configuration.version > version);
        if newer {
            let engine = configuration.services.values().find_map(|service| service.engine);
            if let Some(engine) = engine {
                self.board.settings.costs.memory = engine.memory;
                self.board.settings.costs.stride = engine.stride;
                self.board.token_transfer_ms = engine.transfer_ms();
            }
            self.configuration = Some(Arc::new(configuration));
        }
        newer
    }

    /// Puts other bounds on repeated sends in force.
    pub fn set_retry(&mut self, retry: RetrySettings) {
        self.settings.retry = retry;
    }

    /// Version of the configuration in force.
    pub fn version(&self) -> Option<u64> {
        self.configuration.as_ref().map(|configuration| configuration.version)
    }

    /// Bounds on requests.
    pub fn limits(&self) -> Limits {
        self.configuration.as_ref().map_or_else(Limits::default, |known| known.limits)
    }

    /// Whether this instance may serve callers.
    pub fn is_ready(&self) -> bool {
        !self.leaving && self.is_known()
    }

    /// Whether the first reading of configuration and endpoints is still to come.
    pub fn is_starting(&self) -> bool {
        !(self.is_known() || self.fleet.is_away())
    }

    fn is_known(&self) -> bool {
        self.configuration.is_some() && self.fleet.known
    }

    /// This instance as it tells others of itself.
    pub fn own(&self) -> (Member, MemberState) {
        let state = MemberState { ready: self.is_ready(), leaving: self.leaving };
        (self.settings.own.clone(), state)
    }

    /// Whether this instance looks at the store often on behalf of all.
    pub fn is_reader(&self, now: Moment) -> bool {
        self.members.is_reader(&self.settings.own.name, now)
    }

    /// How far a table of the store has been followed.
    pub fn cursor(&mut self, table: Table) -> &mut Cursor {
        if table == Table::Configuration { &mut self.configurations } else { &mut self.endpoints }
    }

    /// Whether this instance is among the first to follow the store for others.
    pub fn is_first(&self, now: Moment) -> bool {
        let own = self.settings.own.rank();
        self.members.ranks(now).filter(|rank| *rank < own).count() < WATCHERS
    }

    /// Decides how this instance follows a table of the store.
    pub fn duty(&mut self, table: Table, now: Moment) -> Duty {
        if self.members.is_large() {
            let (own, draw) = (self.settings.own.rank(), self.settings.draw);
            let watching = self.watchers.decide(own, self.members.ranks(now), draw, now);
            return if watching { Duty::Close } else { Duty::Rest };
        }
        let waits = table == Table::Configuration && !self.is_reader(now);
        if waits { Duty::Loose } else { Duty::Close }
    }

    /// Addresses for a caller in a failure domain.
    pub fn entries(&self, domain: &str, now: Moment) -> Vec<SocketAddr> {
        let own = &self.settings.own;
        let named = self.is_ready().then_some((&*own.domain, own.callers));
        self.members.entries(domain, named, now)
    }

    /// The route of a request; `draw` is a number from 0 to 1 drawn for it.
    pub fn route(&self, host: &str, path: &str, draw: f64) -> Match {
        let Some(configuration) = &self.configuration else { return Match::Unknown };
        let version = configuration.version;
        let Some(route) = configuration.route(host, path) else {
            return Match::Missing;
        };
        let service = route.target(draw).and_then(|name| configuration.services.get(name));
        match service {
            Some(service) => {
                Match::Found { version, route: route.clone(), service: service.clone() }
            }
            None => Match::Missing,
        }
    }

    /// Chooses the endpoint of an attempt and counts the attempt there.
    ///
    /// # Errors
    ///
    /// [`Denial`] if there is no place.
    pub fn place(
        &mut self,
        wanted: &Wanted,
        search: Search,
        connections: u32,
        now: Moment,
    ) -> Result<Place, Denial> {
        let mut wanted = wanted.clone();
        wanted.domain = self.settings.own.domain.clone();
        wanted.share = self.connection_share(connections, now);
        wanted.unseen = self.unseen();
        let choice = match search {
            Search::Plain => self.board.choose_plain(&wanted, now),
            // Engines without stages are placed like plain services.
            Search::Run { .. } if !self.board.has_stage(&wanted.service, Stage::Decode) => {
                self.board.choose_plain(&wanted, now)
            }
            Search::Run { split } => self.board.choose_run(&wanted, split, now),
            Search::Generate(source) => self.board.choose_decode(&wanted, source, now),
            Search::Copy(at) => self.board.choose_at(&wanted, at, now),
        }?;
        if wanted.prompt >= self.board.settings.costs.notable {
            self.note_read(choice.key, &wanted.parts, now);
        }
        Ok(self.take(choice, now))
    }

    /// The engine that should get a copy of the memory of a run at another one.
    pub fn place_backup(
        &self,
        wanted: &Wanted,
        run: EndpointKey,
        connections: u32,
        now: Moment,
    ) -> Option<Backup> {
        let wanted = Wanted { share: self.connection_share(connections, now), ..wanted.clone() };
        let key = self.board.choose_backup(&wanted, run, now)?;
        Some(Backup { key, address: self.board.seats[key].facts.address })
    }

    /// Work that others may have placed at one endpoint since they were last heard.
    fn unseen(&self) -> Duration {
        UNSEEN_WORK
            * u32::try_from(self.members.rounds(&self.settings.own.domain)).unwrap_or(u32::MAX)
    }

    /// Remembers that an endpoint gets a prompt, and has the other instances told.
    fn note_read(&mut self, key: EndpointKey, parts: &[Part], now: Moment) {
        self.board.note_read(key, parts, now);
        let Some(seat) = self.board.seats.get(key) else { return };
        for part in parts {
            self.reads.push_back(Read { endpoint: seat.digest, part: *part, at: now });
        }
        while self.reads.len() > MAX_READS {
            self.reads.pop_front();
        }
    }

    /// Engines that read prompts and that this instance asks what they keep of earlier ones: all of
    /// them in a small fleet.
    pub fn engines_to_ask(&self, now: Moment) -> Vec<(EndpointKey, SeatFacts)> {
        let large = self.members.is_large();
        let own = &self.settings.own.name;
        let asked = |seat: &Seat| {
            seat.facts.stage == Some(Stage::Prefill)
                && !seat.is_leaving()
                && (!large || self.members.is_asker(own, seat.digest, now))
        };
        let asked = self.board.seats.iter().filter(|(_, seat)| asked(seat));
        asked.map(|(key, seat)| (key, seat.facts.clone())).collect()
    }

    /// An engine has told what it keeps; in a large fleet the others are told.
    pub fn note_kept(&mut self, key: EndpointKey, parts: &[Part], now: Moment) {
        if self.members.is_large() {
            self.note_read(key, parts, now);
        } else {
            self.board.note_read(key, parts, now);
        }
    }

    /// Prompts' parts that endpoints got from this instance within a time.
    fn tell_reads(&mut self, within: Duration, now: Moment) -> Vec<(u64, Part)> {
        self.reads.retain(|read| now.since(read.at) <= within);
        self.reads.iter().map(|read| (read.endpoint, read.part)).collect()
    }

    /// Takes over which prompts' parts endpoints got from another instance.
    fn hear_reads(&mut self, reads: &[(u64, Part)], now: Moment) {
        for (endpoint, part) in reads {
            if let Some(key) = self.board.find_digest(*endpoint) {
                self.board.note_read(key, std::slice::from_ref(part), now);
            }
        }
    }

    fn take(&mut self, choice: Choice, now: Moment) -> Place {
        let trial = self.board.note_trial(choice.key, now);
        let seat = &self.board.seats[choice.key];
        let place = Place {
            key: choice.key,
            name: seat.facts.name.clone(),
            address: seat.facts.address,
            load: choice.load,
            expected: choice.expected,
            nominal: choice.nominal,
            reads: choice.reads,
            fetch: choice.fetch.and_then(|key| self.board.seats.get(key)).map(|s| s.facts.address),
            busy: seat.load(now).attempts,
            trial,
        };
        self.board.start(choice.key, choice.load);
        place
    }

    /// Connections that this instance may have at one endpoint.
    fn connection_share(&self, connections: u32, now: Moment) -> u32 {
        let sharers = u32::try_from(self.sharers(now)).unwrap_or(u32::MAX);
        (connections / sharers).max(1)
    }

    /// Instances that may exist, those included that may still be added.
    fn sharers(&self, now: Moment) -> usize {
        let known = self.members.count(now) + 1;
        (known + known.div_ceil(SPARE_SHARE)).max(MIN_SHARERS)
    }

    /// Notes the first send of a request to a service.
    pub fn note_first(&mut self, service: &Arc<str>, now: Moment) {
        let settings = self.retry(now);
        self.budgets.entry(service.clone()).or_default().note_first(&settings, now);
    }

    /// Takes a repeated send to a service from the budget; returns whether there is one.
    pub fn spend_retry(&mut self, service: &Arc<str>, now: Moment) -> bool {
        let settings = self.retry(now);
        self.budgets.entry(service.clone()).or_default().spend(&settings, now)
    }

    fn retry(&self, now: Moment) -> RetrySettings {
        let slack = self.settings.retry.slack / self.sharers(now) as f64;
        RetrySettings { slack, ..self.settings.retry }
    }

    /// Takes over an endpoint's own word on its pace.
    pub fn hear_pace(&mut self, key: EndpointKey, pace: f64, now: Moment) {
        if let Some(seat) = self.board.seats.get_mut(key) {
            seat.hear_pace(pace, now);
        }
    }

    /// Takes over an entry of the store's list of endpoints.
    pub fn note_endpoint(&mut self, facts: SeatFacts) -> EndpointKey {
        self.fleet.upsert(&mut self.board, facts)
    }

    /// The store no longer lists an endpoint; returns whether it is gone at once.
    pub fn drop_endpoint(&mut self, name: &str, now: Moment) -> bool {
        self.fleet.remove(&mut self.board, name, now)
    }

    /// Removes endpoints that a whole reading of the list does not name; returns their names.
    pub fn retain_endpoints(&mut self, names: &[Arc<str>], now: Moment) -> Vec<Arc<str>> {
        self.fleet.retain(&mut self.board, names, now)
    }

    /// Does what is due with time; returns the endpoints that are gone.
    pub fn tick(&mut self, now: Moment) -> Vec<Arc<str>> {
        self.members.expire(now);
        self.board.expire_leavers(now);
        self.fleet.expire(&mut self.board)
    }
}
