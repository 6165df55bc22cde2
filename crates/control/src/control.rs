//! The actor that owns the state of a control process.

mod collect;
mod leases;
mod links;
mod orders;
mod platform;
mod push;
mod report;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use agatestair_policy::{Moment, RolePlanner, ShareAllocator, ShareSettings};
use agatestair_runtime::{BootClock, log_event};
use agatestair_schema::link::{DemandReport, Presence};
use agatestair_schema::settings::ControlSettings;
use agatestair_store::PlatformClient;
use slog::Logger;
use stakker::sync::{Channel, ChannelGuard};
use stakker::{CX, after, fwd_to};

use crate::endpoint_client::EndpointClient;
use crate::entry::EntryState;
use crate::event::Event;
use crate::events::{PROTECTION_DISABLED, SHUTDOWN_STARTED, STARTED, STOPPED};
use crate::fleet::Fleet;
use crate::lease::{LeaseBook, LeaseSettings};
use crate::lists::CurrentLists;
use crate::members::Members;
use crate::orders::OrderBook;
use crate::peers::Peers;
use crate::schedule::Periodic;
use crate::settings::Protections;
use crate::worker::Worker;

/// Interval of the actor's timer tick.
const TICK: Duration = Duration::from_millis(50);
/// Shortest interval between reads of the platform's instance list.
const INSTANCES_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which row `lists` is read even if the history shows no newer revision.
const FULL_LISTS_INTERVAL: Duration = Duration::from_secs(60);
/// Interval between heartbeats to peers.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which the directory, shares and freshness are pushed to the entry again.
const REFRESH_INTERVAL: Duration = Duration::from_secs(2);
/// Interval at which orders are started and advanced.
const ORDERS_INTERVAL: Duration = Duration::from_millis(100);
/// Renewal rounds per lease duration.
const LEASE_ROUNDS: u64 = 4;
/// Threads that poll endpoints.
const POLL_WORKERS: usize = 4;
/// Timeout of each call to an endpoint.
const ENDPOINT_TIMEOUT: Duration = Duration::from_millis(800);

/// Parts that the process hands to the actor at startup.
pub struct ControlParts {
    /// Settings.
    pub settings: ControlSettings,
    /// Identifier of this run; later runs sort after earlier ones.
    pub boot: Arc<str>,
    /// Links to peers and the entry.
    pub peers: Peers,
    /// Log.
    pub log: Logger,
}

/// Worker threads for blocking calls, by purpose.
struct Workers {
    instances: Worker,
    leases: Worker,
    lists: Worker,
    orders: Worker,
    sends: Worker,
    wishes: Worker,
    polls: Vec<Worker>,
}

/// Schedules of the periodic tasks.
struct Timers {
    heartbeat: Periodic,
    instances: Periodic,
    leases: Periodic,
    lists: Periodic,
    orders: Periodic,
    poll: Periodic,
    push: Periodic,
    refresh: Periodic,
    register: Periodic,
    broadcast: Periodic,
    full_lists: Periodic,
    wishes: Periodic,
}

/// The actor of a control process.
pub struct Control {
    settings: ControlSettings,
    own: Arc<str>,
    boot: Arc<str>,
    log: Logger,
    clock: BootClock,
    platform: PlatformClient,
    client: EndpointClient,
    workers: Workers,
    timers: Timers,
    peers: Peers,
    members: Members,
    fleet: Fleet,
    lists: CurrentLists,
    entry: EntryState,
    leases: LeaseBook,
    leases_read: Option<Moment>,
    lease_writes: usize,
    loading_orders: bool,
    orders: OrderBook,
    order_client: EndpointClient,
    planners: BTreeMap<Arc<str>, RolePlanner>,
    protections: Protections,
    shares: ShareAllocator,
    demand: Option<DemandReport>,
    shutdown_started: Option<Moment>,
    to_broadcast: BTreeSet<Arc<str>>,
    platform_responded: Option<Moment>,
    platform_down: bool,
    registered: Option<Presence>,
    registered_at: Option<Moment>,
    fresh: bool,
    _guard: ChannelGuard,
}

impl Control {
    /// Starts the worker threads. `start` opens the links and the admin interface, which send their
    /// events to the channel that it is given.
    pub fn init(
        cx: CX![],
        start: impl FnOnce(Channel<Event>) -> std::io::Result<ControlParts>,
    ) -> Option<Self> {
        let forward = fwd_to!([cx], on_event() as (Event));
        let (events, guard) = Channel::new(cx, forward);
        let parts = match start(events.clone()) {
            Ok(parts) => parts,
            Err(error) => {
                stakker::fail!(cx, error);
                return None;
            }
        };
        let workers = match start_workers(&events) {
            Ok(workers) => workers,
            Err(error) => {
                stakker::fail!(cx, error);
                return None;
            }
        };
        after!(TICK, [cx], tick());
        Some(Self::new(parts, workers, guard))
    }

    fn new(parts: ControlParts, workers: Workers, guard: ChannelGuard) -> Self {
        let ControlParts { settings, boot, peers, log } = parts;
        let clock = BootClock;
        let protections = Protections::from(&settings);
        for name in &settings.disabled {
            log_event!(log, PROTECTION_DISABLED, "protection" => name);
        }
        log_event!(log, STARTED, "listen" => &settings.listen, "boot" => &*boot);
        let own: Arc<str> = settings.instance.name.as_str().into();
        Self {
            boot: boot.clone(),
            log,
            clock,
            platform: PlatformClient::new(&settings.platform),
            client: EndpointClient::new(ENDPOINT_TIMEOUT),
            workers,
            timers: new_timers(&settings),
            peers,
            members: Members::new(own.clone(), boot.clone()),
            fleet: Fleet::default(),
            lists: CurrentLists::new(protections.revision_guard),
            entry: EntryState::default(),
            leases: LeaseBook::new(lease_settings(&settings), own.clone(), boot.clone()),
            leases_read: None,
            lease_writes: 0,
            loading_orders: false,
            orders: OrderBook::default(),
            order_client: EndpointClient::new(ENDPOINT_TIMEOUT),
            planners: BTreeMap::new(),
            protections,
            shares: ShareAllocator::new(ShareSettings::default()),
            demand: None,
            shutdown_started: None,
            to_broadcast: BTreeSet::new(),
            platform_responded: None,
            platform_down: false,
            registered: None,
            registered_at: None,
            fresh: false,
            own,
            settings,
            _guard: guard,
        }
    }

    fn on_event(&mut self, _cx: CX![], event: Event) {
        let now = self.clock.now();
        match event {
            Event::Link(event) => self.on_link(now, event),
            Event::Instances(result) => self.on_instances(now, result),
            Event::Registered(result) => self.on_registered(now, &result),
            Event::Lists(result) => self.on_lists(now, result),
            Event::Wishes(result) => self.on_wishes(now, result),
            Event::Polled(polled) => self.on_polled(now, polled),
            Event::Leases(result) => self.on_leases(now, result),
            Event::LeaseWritten(write) => self.on_lease_written(now, write),
            Event::Orders(epochs, result) => self.on_orders(now, &epochs, result),
            Event::OrderWritten(write) => self.on_order_written(now, write),
            Event::OrderReplied(name, reply) => self.on_order_reply(now, &name, reply),
            Event::EngineStateRead(name, state) => self.on_engine_state(now, &name, &state),
            Event::Status(reply) => {
                // Fails only if the operator's request has timed out.
                let _ = reply.send(self.status(now));
            }
            Event::Shutdown => self.on_shutdown(now),
        }
    }

    fn tick(&mut self, cx: CX![]) {
        after!(TICK, [cx], tick());
        let now = self.clock.now();
        self.read_platform(now);
        self.poll_endpoints(now);
        self.run_leases(now);
        self.run_orders(now);
        self.push_all(now);
        if self.shutdown_started.is_some_and(|since| self.can_exit(now, since)) {
            log_event!(self.log, STOPPED);
            stakker::stop!(cx);
        }
    }

    fn on_shutdown(&mut self, now: Moment) {
        if self.shutdown_started.is_none() {
            log_event!(self.log, SHUTDOWN_STARTED);
            self.shutdown_started = Some(now);
            self.timers.heartbeat.make_due();
            self.timers.leases.make_due();
        }
    }

    /// Whether a process that is shutting down since `since` can exit now.
    fn can_exit(&self, now: Moment, since: Moment) -> bool {
        let timeout = Duration::from_millis(self.settings.patience_ms);
        let entry_leaving = self.entry.link.is_some() && !self.entry.is_live();
        let wait = if entry_leaving { timeout } else { 2 * HEARTBEAT_INTERVAL };
        let elapsed = now.since(since);
        elapsed >= timeout || (elapsed >= wait && !self.leases.holds_any(now))
    }

    /// Presence that this instance announces to its peers and the platform.
    fn presence(&self) -> Presence {
        if self.shutdown_started.is_none() && self.entry.is_live() && self.fresh {
            return Presence::Live;
        }
        Presence::Leaving
    }
}

fn lease_settings(settings: &ControlSettings) -> LeaseSettings {
    let margin = Protections::from(settings).lease_margin;
    LeaseSettings {
        duration: Duration::from_millis(settings.lease_ms),
        margin: margin.then(|| Duration::from_millis(settings.margin_ms)),
        shards: settings.shards,
    }
}

fn start_workers(events: &Channel<Event>) -> std::io::Result<Workers> {
    let polls: Result<Vec<Worker>, _> = (0..POLL_WORKERS)
        .map(|index| Worker::start(&format!("poll-{index}"), events.clone()))
        .collect();
    Ok(Workers {
        instances: Worker::start("instances", events.clone())?,
        leases: Worker::start("leases", events.clone())?,
        lists: Worker::start("lists", events.clone())?,
        orders: Worker::start("orders", events.clone())?,
        sends: Worker::start("sends", events.clone())?,
        wishes: Worker::start("wishes", events.clone())?,
        polls: polls?,
    })
}

fn new_timers(settings: &ControlSettings) -> Timers {
    let poll = Duration::from_millis(settings.poll_ms);
    let lists = Duration::from_millis(settings.lists_ms);
    Timers {
        heartbeat: Periodic::new(HEARTBEAT_INTERVAL),
        instances: Periodic::new(INSTANCES_INTERVAL),
        leases: Periodic::new(Duration::from_millis(settings.lease_ms / LEASE_ROUNDS)),
        lists: Periodic::new(lists),
        orders: Periodic::new(ORDERS_INTERVAL),
        poll: Periodic::new(poll),
        push: Periodic::new(poll),
        refresh: Periodic::new(REFRESH_INTERVAL),
        register: Periodic::new(INSTANCES_INTERVAL),
        broadcast: Periodic::new(poll),
        full_lists: Periodic::new(FULL_LISTS_INTERVAL),
        wishes: Periodic::new(lists),
    }
}
