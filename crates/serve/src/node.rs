//! State of one instance and the decisions that depend on it.

mod access;
mod budgets;
mod crashes;
mod engines;
mod gossip;
mod hedging;
mod limits;
mod stopping;

pub use access::ProofPlan;
pub use engines::Engines;
pub use gossip::PulseChanges;
pub use limits::LimitChange;
pub use stopping::BegunKey;
use stopping::Stop;

use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use agatestair_policy::assign::name_hash;
use agatestair_policy::board::{
    Board, BoardEndpoint, BoardSettings, Choice, Denial, DenialCause, EndpointFacts, Load,
    PlacementRequest, PromptPart, Stage,
};
use agatestair_policy::{
    Durations, EndpointKey, Freshness, HedgeLimits, Hedges, Moment, ProcessKey, Quarantine,
    RetryBudget, RetrySettings, Tenures,
};
use slotmap::SlotMap;
use stakker::CX;

use crate::collection::Collection;
use crate::collectors::Collectors;
use crate::configuration::{Configuration, Limits, RouteMatch};
use crate::cursor::Cursor;
use crate::endpoint_list::{EndpointList, Restored};
use crate::members::{Member, MemberState, Members};
use crate::pacer::Pacer;
use crate::sharing::Sharing;
use crate::store::Table;
use crate::timeline::{Timeline, TimelineNews};
use crate::token_bucket::TokenBucket;
use crate::usage::Usage;
use crate::watchers::{WATCHERS, Watchers};

/// Work that other instances place on one endpoint between two of their datagrams: a short prompt
/// of 383 tokens, prefilled at 93 tokens per millisecond.
const UNSEEN_WORK: Duration = Duration::from_millis(4);

/// Time per known instance over which a large fleet spreads the readings of the store after a restore.
const READ_SPREAD: Duration = Duration::from_millis(5);

/// Largest number of prompt parts that are queued for other instances.
const MAX_SENT_PARTS: usize = 256;

/// A part of a prompt that was sent to an endpoint.
#[derive(Clone, Copy, Debug)]
struct SentPart {
    endpoint: u64,
    part: PromptPart,
    at: Moment,
}

/// Settings of a [`Node`].
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// This instance.
    pub own: Member,
    /// Placement of attempts.
    pub board: BoardSettings,
    /// Retry budget of all instances together; each one uses its share of the slack.
    pub retry: RetrySettings,
    /// Random number from 0 to 1, drawn once per process, that staggers the actions of instances.
    pub draw: f64,
}

/// How this instance follows a table of the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FollowMode {
    /// Long polls, each short enough to keep the bounds on the delay of changes.
    Active,
    /// Longer polls, since other instances report a change that a poll missed.
    Relaxed,
    /// No polls; the instance relies on the bulletins of others.
    Passive,
}

/// A closure that a task runs on the actor.
pub type Command = Box<dyn FnOnce(&mut Node)>;

/// The endpoint that was chosen for an attempt, with what is needed to send the attempt there.
#[derive(Clone, Debug)]
pub struct Placement {
    /// Key of the endpoint.
    pub key: EndpointKey,
    /// Name of the endpoint.
    pub name: Arc<str>,
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Process of the endpoint.
    pub process: ProcessKey,
    /// Load that the attempt adds to the endpoint.
    pub load: Load,
    /// Expected time to the first event.
    pub expected: Duration,
    /// The same at the endpoint's usual pace.
    pub nominal: Duration,
    /// Expected time to the end of the run, if there is a model of it.
    pub duration: Option<Duration>,
    /// Time that the attempt must have until the process exits, if the instance is shutting down.
    pub bound: Option<Duration>,
    /// Whether the endpoint only prefills the prompt.
    pub prefill_only: bool,
    /// Address of the engine from which the endpoint should fetch the KV cache of prompt parts.
    pub fetch: Option<SocketAddr>,
    /// Attempts of all instances at the endpoint before this one, for the log.
    pub busy: u32,
    /// Whether this is a probe of an endpoint that has asked for no work.
    pub probe: bool,
    /// This instance's share of the endpoint's rate limit, if the endpoint names one.
    pub share: Option<f64>,
    /// Whether this is a second attempt beside a late one.
    pub hedge: bool,
}

/// An engine that receives a copy of a run's KV cache.
#[derive(Clone, Copy, Debug)]
pub struct Backup {
    /// Key of the engine.
    pub key: EndpointKey,
    /// Address of the engine.
    pub address: SocketAddr,
}

/// Kind of endpoint to choose for an attempt.
#[derive(Clone, Copy, Debug)]
pub enum Search {
    /// Any endpoint of the service.
    Plain,
    /// An engine for a whole run, or one that prefills the prompt for another engine.
    Run {
        /// Whether prefill and decode may run on different engines.
        split: bool,
    },
    /// An engine that decodes after the given engine has prefilled the prompt.
    Decode(EndpointKey),
    /// The given engine, which has a copy of the run's KV cache.
    Copy(EndpointKey),
}

impl Search {
    /// Name in logs.
    pub fn label(self) -> &'static str {
        match self {
            Self::Plain => "plain",
            Self::Run { split: true } => "run",
            Self::Run { split: false } => "whole run",
            Self::Decode(_) => "generate",
            Self::Copy(_) => "copy",
        }
    }
}

/// Names of a route and of the service that handles a request of it.
type RouteService = (Arc<str>, Arc<str>);

/// The state of one instance.
pub struct Node {
    settings: NodeSettings,
    configuration: Option<Arc<Configuration>>,
    /// Load and health of the endpoints.
    pub board: Board,
    /// The store's list of endpoints.
    pub endpoint_list: EndpointList,
    /// Other instances.
    pub members: Members,
    /// The instances that follow the store for others.
    pub watchers: Watchers,
    /// The instances that collect load reports for this instance's failure domain.
    pub collectors: Collectors,
    /// Bandwidth that is left for rows in bulletins.
    pub bulletin_bucket: TokenBucket,
    digest_bucket: TokenBucket,
    /// Spreads bulletins with rows over time.
    pub bulletin_pacer: Pacer,
    /// Prompt parts that crash endpoints.
    pub quarantine: Quarantine,
    /// Reports that this instance has collected and not yet forwarded.
    pub collection: Collection,
    /// Hash of this instance's name.
    pub name_hash: u64,
    /// Hash of the name of its failure domain.
    pub domain: u64,
    /// The timeline of the store to which the positions in its tables belong.
    pub timeline: Timeline,
    /// How long the configuration is known to be current.
    pub freshness: Freshness,
    /// Time after which a withdrawn API key must not be used at any instance, if there is a bound.
    revoke: Option<Duration>,
    /// Whether a withdrawal of API keys may be unknown here for longer than the bound.
    lapsed: bool,
    /// The duties, if the settings assign any.
    pub tenures: Option<Tenures>,
    /// When the platform's API accepts the next call of this instance.
    pub next_call: Option<Moment>,
    /// Hash of the name of the instance that last announced itself as the holder of the duties, and
    /// its fencing token.
    pub holder: Option<(u64, u64)>,
    /// Requests of customers, for the usage reports.
    pub usage: Usage,
    configurations: Cursor,
    endpoints: Cursor,
    budgets: HashMap<Arc<str>, RetryBudget>,
    /// Whether no former process of this instance has spent retries.
    first_process: bool,
    sharing: Sharing,
    /// Bounds on second attempts, if the settings allow any.
    hedge: Option<HedgeLimits>,
    hedges: Hedges,
    /// When this instance starts, or last started, to report what holds for long.
    standing_from: Moment,
    sent_parts: VecDeque<SentPart>,
    /// The shutdown, if this instance is shutting down.
    stop: Option<Stop>,
    /// Requests with a placed attempt, and when the first one was placed.
    begun: SlotMap<BegunKey, (RouteService, Moment)>,
    /// Durations of requests, by route and service.
    durations: HashMap<RouteService, Durations>,
}

impl Node {
    /// Creates the actor with an empty state.
    pub fn init(_: CX![], settings: NodeSettings) -> Option<Self> {
        Some(Self::new(settings))
    }

    /// Runs a command of a task.
    pub fn execute(&mut self, _: CX![], command: Command) {
        command(self);
    }

    /// Creates an empty state.
    pub fn new(settings: NodeSettings) -> Self {
        Self {
            configuration: None,
            board: Board::new(settings.board),
            endpoint_list: EndpointList::default(),
            members: Members::default(),
            watchers: Watchers::default(),
            collectors: Collectors::default(),
            bulletin_bucket: TokenBucket::default(),
            digest_bucket: TokenBucket::new(gossip::DIGESTS),
            bulletin_pacer: Pacer::default(),
            quarantine: Quarantine::default(),
            collection: Collection::default(),
            name_hash: name_hash(&settings.own.name),
            domain: name_hash(&settings.own.domain),
            timeline: Timeline::default(),
            freshness: Freshness::default(),
            revoke: None,
            lapsed: false,
            tenures: None,
            holder: None,
            next_call: None,
            usage: Usage::default(),
            configurations: Cursor::default(),
            endpoints: Cursor::default(),
            budgets: HashMap::new(),
            first_process: false,
            sharing: Sharing::default(),
            hedge: None,
            hedges: Hedges::default(),
            standing_from: Moment(0),
            sent_parts: VecDeque::new(),
            stop: None,
            begun: SlotMap::with_key(),
            durations: HashMap::new(),
            settings,
        }
    }

    /// Applies a configuration if it is newer than the current one; returns whether it is.
    pub fn adopt(&mut self, configuration: Configuration) -> bool {
        let newer = self.version().is_none_or(|version| configuration.version > version);
        if newer {
            let engine = configuration.services.values().find_map(|service| service.engine);
            if let Some(engine) = engine {
                self.board.settings.costs.kv_tokens = engine.kv_tokens;
                self.board.settings.costs.stride = engine.stride;
                self.board.token_transfer_ms = engine.transfer_ms();
            }
            let routes: HashSet<&str> = configuration.routes().map(|route| &*route.name).collect();
            self.durations.retain(|(route, _), _| routes.contains(&**route));
            let checks = configuration.customers.is_some() && self.revoke.is_some();
            self.lapsed = checks && (self.lapsed || !self.freshness.is_proven());
            self.configuration = Some(Arc::new(configuration));
        }
        newer
    }

    /// Applies new settings of the retry budget.
    pub fn set_retry(&mut self, retry: RetrySettings) {
        self.settings.retry = retry;
    }

    /// Version of the current configuration.
    pub fn version(&self) -> Option<u64> {
        self.configuration.as_ref().map(|configuration| configuration.version)
    }

    /// Limits on requests.
    pub fn limits(&self) -> Limits {
        self.configuration.as_ref().map_or_else(Limits::default, |known| known.limits)
    }

    /// Whether this instance can serve callers.
    pub fn is_ready(&self) -> bool {
        !self.is_leaving() && self.is_loaded() && !self.lapsed
    }

    /// Whether configuration and endpoints are not loaded yet although the store is reachable.
    pub fn is_starting(&self) -> bool {
        let is_proven = !self.lapsed || self.freshness.is_proven();
        !(self.is_loaded() && is_proven || self.endpoint_list.is_store_down())
    }

    fn is_loaded(&self) -> bool {
        self.configuration.is_some() && self.endpoint_list.known
    }

    /// Identity and state of this instance, as announced to others.
    pub fn own(&self) -> (Member, MemberState) {
        let state = MemberState { ready: self.is_ready(), leaving: self.is_leaving() };
        (self.settings.own.clone(), state)
    }

    /// Whether this instance is one of the few that follow the configuration by short polls.
    pub fn is_active_follower(&self, now: Moment) -> bool {
        self.members.is_active_follower(&self.settings.own.name, now)
    }

    /// Position of this instance in the changes of a table.
    pub fn cursor(&mut self, table: Table) -> &mut Cursor {
        if table == Table::Configuration { &mut self.configurations } else { &mut self.endpoints }
    }

    /// Records the timeline that a response of the store names. If the store was restored, all
    /// positions in its tables start anew, and what is known stays until the tables are read.
    pub fn note_timeline(&mut self, named: Option<u64>, now: Moment) -> TimelineNews {
        let news = self.timeline.note_response(named, now);
        self.follow_timeline(news, now)
    }

    /// Like [`Node::note_timeline`] for the timeline that another instance follows.
    pub fn note_peer_timeline(&mut self, named: Option<u64>, now: Moment) -> TimelineNews {
        let news = self.timeline.note_peer(named);
        self.follow_timeline(news, now)
    }

    fn follow_timeline(&mut self, news: TimelineNews, now: Moment) -> TimelineNews {
        let TimelineNews::Began { former } = news else { return news };
        let is_known = self.configurations.known.is_some() || self.endpoints.known.is_some();
        if former.is_none() && !is_known {
            return TimelineNews::Current;
        }
        let due = now + self.restart_delay(now);
        self.configurations.restart(due);
        self.endpoints.restart(due);
        self.endpoint_list.note_restored(now);
        news
    }

    /// Time after which this instance reads the store again after a restore. In a large fleet those
    /// that follow the store for others go first.
    pub fn restart_delay(&self, now: Moment) -> Duration {
        if !self.members.is_large() || self.is_preferred(now) {
            return Duration::ZERO;
        }
        let members = u32::try_from(self.members.count(now)).unwrap_or(u32::MAX);
        READ_SPREAD.saturating_mul(members).mul_f64(self.settings.draw)
    }

    /// Whether this instance is one of those preferred to follow the store for others.
    pub fn is_preferred(&self, now: Moment) -> bool {
        self.rank_position(now) < WATCHERS
    }

    /// Number of better ranked instances that may be alive.
    pub fn rank_position(&self, now: Moment) -> usize {
        let own = self.settings.own.rank();
        self.members.ranks(now).filter(|rank| *rank < own).count()
    }

    /// Decides how this instance follows a table of the store.
    pub fn follow_mode(&mut self, table: Table, now: Moment) -> FollowMode {
        if self.members.is_large() {
            let (own, draw) = (self.settings.own.rank(), self.settings.draw);
            let watching = self.watchers.decide(own, self.members.ranks(now), draw, now);
            return if watching { FollowMode::Active } else { FollowMode::Passive };
        }
        let relaxed = table == Table::Configuration && !self.is_active_follower(now);
        if relaxed { FollowMode::Relaxed } else { FollowMode::Active }
    }

    /// Addresses of instances for a caller in a failure domain.
    pub fn addresses(&self, domain: &str, now: Moment) -> Vec<SocketAddr> {
        let own = &self.settings.own;
        let entry = self.is_ready().then_some((&*own.domain, own.callers));
        self.members.addresses(domain, entry, now)
    }

    /// Route and service of a request; `draw` is a random number from 0 to 1 that selects among
    /// weighted targets.
    pub fn route(&self, host: &str, path: &str, draw: f64) -> RouteMatch {
        let Some(configuration) = &self.configuration else { return RouteMatch::Unknown };
        let version = configuration.version;
        let Some(route) = configuration.route(host, path) else {
            return RouteMatch::Missing;
        };
        let service = route.target(draw).and_then(|name| configuration.services.get(name));
        match service {
            Some(service) => {
                RouteMatch::Found { version, route: route.clone(), service: service.clone() }
            }
            None => RouteMatch::Missing,
        }
    }

    /// Chooses the endpoint of an attempt and adds the attempt to the endpoint's load. `connections`
    /// is the number that an endpoint accepts from all instances together, if the service names one.
    ///
    /// # Errors
    ///
    /// [`Denial`] if no endpoint can take the attempt.
    pub fn place(
        &mut self,
        request: &PlacementRequest,
        search: Search,
        connections: impl Into<Option<u32>>,
        now: Moment,
    ) -> Result<Placement, Denial> {
        self.place_beside(request, search, connections.into(), &[], now)
    }

    /// Like [`Node::place`], but not at the `excluded` endpoints. Unlike those that were tried, they
    /// are not replaced by others in this instance's part of the connections.
    fn place_beside(
        &mut self,
        request: &PlacementRequest,
        search: Search,
        connections: Option<u32>,
        excluded: &[EndpointKey],
        now: Moment,
    ) -> Result<Placement, Denial> {
        let mut request = request.clone();
        request.domain = self.settings.own.domain.clone();
        request.unseen = self.unseen();
        let share = self.earn_limits(&request.service, now);
        self.share_connections(&mut request, connections, now);
        request.tried.extend(excluded);
        if let (Search::Copy(at), Some(subset)) = (search, &mut request.subset) {
            // The engine was in the subset when it received the copy.
            subset.insert(at);
        }
        let choice = match search {
            Search::Plain => self.board.choose_plain(&request, now),
            // Engines that do not separate prefill and decode are chosen like plain services.
            Search::Run { .. } if !self.board.has_stage(&request.service, Stage::Decode) => {
                self.board.choose_plain(&request, now)
            }
            Search::Run { split } => self.board.choose_run(&request, split, now),
            Search::Decode(source) => self.board.choose_decode(&request, source, now),
            Search::Copy(at) => self.board.choose_at(&request, at, now),
        };
        let choice = choice.inspect_err(|denial| {
            if denial.cause == DenialCause::Limited {
                self.board.note_limited(&request, now);
            }
        })?;
        let bound = self.check_shutdown(&request, choice.duration, now)?;
        if request.prompt >= self.board.settings.costs.min_tracked {
            self.note_prompt(choice.key, &request.parts, now);
        }
        Ok(Placement { bound, ..self.start_attempt(choice, share, now) })
    }

    /// Chooses the engine that gets a copy of the KV cache of a run at another engine.
    pub fn place_backup(
        &self,
        request: &PlacementRequest,
        run: EndpointKey,
        connections: Option<u32>,
        now: Moment,
    ) -> Option<Backup> {
        let mut request = request.clone();
        self.share_connections(&mut request, connections, now);
        let key = self.board.choose_backup(&request, run, now)?;
        Some(Backup { key, address: self.board.endpoints[key].facts.address })
    }

    /// Work that other instances may have placed on one endpoint since their last datagram.
    fn unseen(&self) -> Duration {
        UNSEEN_WORK
            * u32::try_from(self.members.rounds(&self.settings.own.domain)).unwrap_or(u32::MAX)
    }

    /// Records that an endpoint gets a prompt, and queues this for the other instances.
    fn note_prompt(&mut self, key: EndpointKey, parts: &[PromptPart], now: Moment) {
        self.board.note_prompt(key, parts, now);
        let Some(endpoint) = self.board.endpoints.get(key) else { return };
        for part in parts {
            self.sent_parts.push_back(SentPart {
                endpoint: endpoint.name_hash,
                part: *part,
                at: now,
            });
        }
        while self.sent_parts.len() > MAX_SENT_PARTS {
            self.sent_parts.pop_front();
        }
    }

    /// Prefill engines whose prompt cache this instance queries: all of them in a small fleet, a
    /// subset in a large one.
    pub fn engines_to_query(&self, now: Moment) -> Vec<(EndpointKey, EndpointFacts)> {
        let large = self.members.is_large();
        let own = &self.settings.own.name;
        let asked = |endpoint: &BoardEndpoint| {
            endpoint.facts.stage == Some(Stage::Prefill)
                && !endpoint.is_leaving()
                && (!large || self.members.should_query(own, endpoint.name_hash, now))
        };
        let asked = self.board.endpoints.iter().filter(|(_, endpoint)| asked(endpoint));
        asked.map(|(key, endpoint)| (key, endpoint.facts.clone())).collect()
    }

    /// Records the prompt parts that an engine has in its cache. In a large fleet they are also
    /// sent to the other instances, which do not query this engine themselves.
    pub fn note_cached(&mut self, key: EndpointKey, parts: &[PromptPart], now: Moment) {
        if self.members.is_large() {
            self.note_prompt(key, parts, now);
        } else {
            self.board.note_prompt(key, parts, now);
        }
    }

    /// Prompt parts that this instance sent to endpoints within the last `within`.
    fn recent_parts(&mut self, within: Duration, now: Moment) -> Vec<(u64, PromptPart)> {
        self.sent_parts.retain(|sent| now.since(sent.at) <= within);
        self.sent_parts.iter().map(|sent| (sent.endpoint, sent.part)).collect()
    }

    /// Records the prompt parts that another instance sent to endpoints.
    fn note_peer_parts(&mut self, parts: &[(u64, PromptPart)], now: Moment) {
        for (endpoint, part) in parts {
            if let Some(key) = self.board.find_hash(*endpoint) {
                self.board.note_prompt(key, std::slice::from_ref(part), now);
            }
        }
    }

    fn start_attempt(&mut self, choice: Choice, share: Option<f64>, now: Moment) -> Placement {
        let probe = self.board.note_attempt(choice.key, now);
        self.board.spend_limit(choice.key);
        let endpoint = &self.board.endpoints[choice.key];
        let placement = Placement {
            key: choice.key,
            name: endpoint.facts.name.clone(),
            address: endpoint.facts.address,
            process: ProcessKey { endpoint: endpoint.name_hash, born: endpoint.facts.born },
            load: choice.load,
            expected: choice.expected,
            nominal: choice.nominal,
            duration: choice.duration,
            bound: None,
            prefill_only: choice.prefill_only,
            fetch: choice
                .fetch
                .and_then(|key| self.board.endpoints.get(key))
                .map(|s| s.facts.address),
            busy: endpoint.load(now).attempts,
            probe,
            share: share.filter(|_| endpoint.limit.rate().is_some()),
            hedge: false,
        };
        self.board.start(choice.key, choice.load);
        placement
    }

    /// Records the pace that an endpoint reports of itself; returns whether it is valid.
    pub fn note_direct_pace(&mut self, key: EndpointKey, pace: f64, now: Moment) -> bool {
        let endpoint = self.board.endpoints.get_mut(key);
        endpoint.is_none_or(|endpoint| endpoint.note_direct_pace(pace, now))
    }

    /// Adds or updates an endpoint that the store lists.
    pub fn note_endpoint(&mut self, facts: EndpointFacts) -> EndpointKey {
        self.endpoint_list.upsert(&mut self.board, facts)
    }

    /// Adds or updates an endpoint from a row that a reading of a restored store shows, unless more
    /// is known of it.
    pub fn note_restored_endpoint(
        &mut self,
        facts: EndpointFacts,
        version: u64,
        now: Moment,
    ) -> Restored {
        self.endpoint_list.upsert_restored(&mut self.board, facts, version, now)
    }

    /// Handles the removal of an endpoint from the store's list; returns whether the endpoint was
    /// removed at once.
    pub fn drop_endpoint(&mut self, name: &str, now: Moment) -> bool {
        self.endpoint_list.remove(&mut self.board, name, now)
    }

    /// Removes the endpoints that are not in a full read of the list; returns their names.
    pub fn retain_endpoints(&mut self, names: &[Arc<str>], now: Moment) -> Vec<Arc<str>> {
        self.endpoint_list.retain(&mut self.board, names, now)
    }

    /// Expires instances and endpoints; returns the names of the removed endpoints.
    pub fn tick(&mut self, now: Moment) -> Vec<Arc<str>> {
        self.members.expire(now);
        self.board.expire_leavers(now);
        self.sharing.expire(now);
        self.endpoint_list.expire(&mut self.board)
    }

    /// Adds the endpoints whose entries in a restored store were held back; returns their names.
    pub fn release_endpoints(&mut self, now: Moment) -> Vec<Arc<str>> {
        self.endpoint_list.release(&mut self.board, now)
    }
}
