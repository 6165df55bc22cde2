//! Starts an instance, runs its tasks and shuts it down.

use std::cell::{Cell, RefCell};
use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use agatestair_policy::Tenures;
use agatestair_policy::board::BoardSettings;
use agatestair_runtime::{LogBuffer, MetricsHandle, log_event, unix_ms};
use agatestair_schema::settings::ServeSettings;
use error_stack::{Report, ResultExt};
use rand::Rng;
use slog::Logger;
use tokio::net::UdpSocket;
use tokio::runtime::Runtime;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::Notify;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::buffer_limit::BufferLimit;
use crate::bulletins::send_bulletins;
use crate::cache_query::query_caches;
use crate::capacity::keep_capacity;
use crate::crash::{log_changes, withdraw_crashes};
use crate::digests::send_digests;
use crate::duty::keep_duties;
use crate::events::{
    MEMBER_CHANGED, ROW_LOST, ROW_MALFORMED, ROW_WRITE_FAILED, STARTED, TASK_FAILED,
};
use crate::hub::Hub;
use crate::listen::listen;
use crate::members::Member;
use crate::memory_budget::MemoryBudget;
use crate::node::NodeSettings;
use crate::open_requests::OpenRequests;
use crate::outbox::{LoadChanges, Outbox};
use crate::pool::Pool;
use crate::proof::{boot_now, keep_proof};
use crate::pulse::{receive_datagrams, send_hello, send_pulses};
use crate::reload::{Reload, hedge_limits, retry_settings, revocation, watch_settings};
use crate::shared::{Listener, Shared, TableWakeups, accept};
use crate::shutdown::{Shutdown, shut_down};
use crate::store::{Reply, StoreClient, StoreError, Table, Transaction};
use crate::usage::{Usage, flush_usage, report_usage, send_usage, windows};
use crate::watch::follow;
use crate::wire::WireFormat;

/// Time between two sweeps of pooled connections.
const SWEEP: Duration = Duration::from_millis(250);

/// Time between two writes of the log to standard output.
const LOG_INTERVAL: Duration = Duration::from_millis(100);

/// First pause after a failed write of the own row, doubled each time.
const ROW_PAUSE: Duration = Duration::from_millis(200);

/// Pause before a failed task is restarted.
const RESTART_PAUSE: Duration = Duration::from_millis(100);

/// Time over which the instances of a new system spread the writes of their rows, since the store
/// accepts about 200 writes per second to one table.
const ROW_SPREAD: Duration = Duration::from_millis(1500);

/// Number of hello datagrams to all others after the start, since datagrams may be lost.
const HELLOS: u32 = 2;

/// Time between two hello datagrams.
const HELLO_PAUSE: Duration = Duration::from_millis(300);

/// Longest pause after a failed write of the own row.
const MAX_ROW_PAUSE: Duration = Duration::from_secs(2);

/// Weights of instances are integers in thousandths of a core.
const WEIGHT_SCALE: f64 = 1000.0;

/// Failure to start an instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ServeError {
    /// A setting is not a valid address.
    Address {
        /// Name of the setting.
        name: &'static str,
        /// Its value.
        value: String,
    },
    /// Binding to an address failed.
    Listen(SocketAddr),
    /// The runtime or a signal handler could not be set up.
    Resources,
}

impl fmt::Display for ServeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Address { name, value } => {
                write!(f, "setting `{name}`: `{value}` is not an address; use the form `IP:port`")
            }
            Self::Listen(address) => write!(
                f,
                "cannot listen on {address}; check that it is a local address and not in use"
            ),
            Self::Resources => write!(f, "cannot set up the process; check its resource limits"),
        }
    }
}

impl std::error::Error for ServeError {}

/// Settings, adapters and logging of an instance.
pub struct Setup {
    /// Settings at the start.
    pub settings: ServeSettings,
    /// Wire format of calls.
    pub wire: WireFormat,
    /// Creates the client of the platform's store.
    pub store: Box<dyn FnOnce() -> StoreClient>,
    /// Reloads the settings.
    pub reload: Reload,
    /// Metrics of the process.
    pub metrics: MetricsHandle,
    /// Log.
    pub log: Logger,
    /// Buffer that the log is written to before standard output.
    pub buffer: LogBuffer,
}

/// The process that an instance runs in.
pub struct Process {
    runtime: Runtime,
    signals: Signals,
}

struct Signals {
    stop: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Process {
    /// Installs the signal handlers. Call this first, since signals terminate the process until the
    /// handlers are installed.
    ///
    /// # Errors
    ///
    /// [`ServeError::Resources`].
    pub fn start() -> Result<Self, Report<ServeError>> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.change_context(ServeError::Resources)?;
        let entered = runtime.enter();
        let handle = |kind| signal(kind).change_context(ServeError::Resources);
        let signals = Signals {
            stop: handle(SignalKind::terminate())?,
            interrupt: handle(SignalKind::interrupt())?,
            hangup: handle(SignalKind::hangup())?,
        };
        drop(entered);
        Ok(Self { runtime, signals })
    }

    /// Runs an instance until it receives a signal to stop and its open requests are complete or
    /// the grace period is over.
    ///
    /// # Errors
    ///
    /// [`ServeError`] if the instance cannot start.
    pub fn run(self, setup: Setup) -> Result<(), Report<ServeError>> {
        let tasks = tokio::task::LocalSet::new();
        tasks.block_on(&self.runtime, serve(setup, self.signals))
    }
}

async fn serve(setup: Setup, signals: Signals) -> Result<(), Report<ServeError>> {
    let Setup { settings, wire, store, reload, metrics, log, buffer } = setup;
    let Signals { mut stop, mut interrupt, hangup } = signals;
    let own = own_member(&settings)?;
    let listen_on = settings.listen.clone();
    let buffer_limit = BufferLimit::new(settings.machine.memory_mb);
    let shared = Rc::new(Shared {
        hub: Hub::new(node_settings(&settings, own.clone())),
        wire,
        store: store(),
        pool: Pool::default(),
        memory: MemoryBudget::new(settings.machine.memory_mb, buffer_limit.clone(), log.clone()),
        buffer_limit,
        settings: RefCell::new(Rc::new(settings)),
        metrics,
        log,
        load_changes: LoadChanges::default(),
        table_updates: Outbox::default(),
        urgent: Notify::new(),
        wakeups: TableWakeups::default(),
        restored: Notify::new(),
        timeline_malformed: Cell::new(false),
        quarantined: Notify::new(),
        leaving: CancellationToken::new(),
        closing: CancellationToken::new(),
        ending: CancellationToken::new(),
        open: OpenRequests::default(),
        shutdown: Shutdown::default(),
        row_unsure: Cell::new(false),
        connections: Cell::new(0),
    });
    let revoke = revocation(&shared.settings());
    let hedge = hedge_limits(&shared.settings());
    let tenures = shared.settings().duties.as_ref().map(|_| {
        let lease = Duration::from_secs_f64(shared.settings().bounds.lease_ms / 1000.0);
        Tenures::new(own.name.clone(), own.born, lease, boot_now())
    });
    let usage = Usage::new(windows(&shared));
    shared.hub.ask(move |node, _| {
        node.set_revoke(revoke);
        node.set_hedge(hedge);
        node.tenures = tenures;
        node.usage = usage;
    });
    let listeners = [
        ("callers", Some(&listen_on.callers), Listener::Callers),
        ("ready", Some(&listen_on.ready), Listener::Ready),
        ("directory", Some(&listen_on.directory), Listener::Directory),
        ("metrics", listen_on.metrics.as_ref(), Listener::Metrics),
    ];
    for (name, address, kind) in listeners {
        let Some(address) = address else { continue };
        let address = parse_address(name, address)?;
        let listener = listen(address).change_context(ServeError::Listen(address))?;
        let listener = Rc::new(listener);
        supervise(&shared, name, move |shared| accept(shared, listener.clone(), kind));
    }
    let socket = UdpSocket::bind(own.peers).await;
    let socket = Rc::new(socket.change_context(ServeError::Listen(own.peers))?);
    let [datagrams, bulletins, pulses, digests, hellos, proofs, duties, usage] =
        std::array::from_fn(|_| socket.clone());
    supervise(&shared, "datagrams", move |shared| receive_datagrams(shared, datagrams.clone()));
    supervise(&shared, "bulletins", move |shared| send_bulletins(shared, bulletins.clone()));
    supervise(&shared, "digests", move |shared| send_digests(shared, digests.clone()));
    supervise(&shared, "pulses", move |shared| send_pulses(shared, pulses.clone()));
    supervise(&shared, "configuration", |shared| follow(shared, Table::Configuration));
    supervise(&shared, "endpoints", |shared| follow(shared, Table::Endpoints));
    let member = own.clone();
    supervise(&shared, "members", move |shared| {
        let (leaving, joining) =
            (shared.leaving.clone(), keep_row(shared, member.clone(), hellos.clone()));
        async move {
            leaving.run_until_cancelled(joining).await;
        }
    });
    supervise(&shared, "proofs", move |shared| keep_proof(shared, proofs.clone()));
    supervise(&shared, "duties", move |shared| keep_duties(shared, duties.clone()));
    supervise(&shared, "usage", move |shared| send_usage(shared, usage.clone()));
    supervise(&shared, "usage reports", report_usage);
    supervise(&shared, "capacity", keep_capacity);
    supervise(&shared, "caches", query_caches);
    supervise(&shared, "sweep", sweep);
    supervise(&shared, "memory", |shared| shared.memory.clone().watch());
    spawn(watch_settings(shared.clone(), reload, hangup));
    spawn(write_log(buffer.clone()));
    log_event!(shared.log, STARTED, "callers" => own.callers.to_string(), "born" => own.born);
    tokio::select! {
        _ = stop.recv() => {}
        _ = interrupt.recv() => {}
    }
    shut_down(&shared, &own).await;
    flush_usage(&shared, &socket).await;
    buffer.flush();
    Ok(())
}

/// Spawns a task, and restarts it if it panics.
fn supervise<T: Future<Output = ()> + 'static>(
    shared: &Rc<Shared>,
    name: &'static str,
    task: impl Fn(Rc<Shared>) -> T + 'static,
) {
    let shared = shared.clone();
    spawn(async move {
        while let Err(error) = tokio::task::spawn_local(task(shared.clone())).await {
            log_event!(shared.log, TASK_FAILED, "task" => name, "error" => error.to_string());
            sleep(RESTART_PAUSE).await;
        }
    });
}

fn spawn(task: impl Future<Output = ()> + 'static) {
    tokio::task::spawn_local(task);
}

fn own_member(settings: &ServeSettings) -> Result<Member, Report<ServeError>> {
    Ok(Member {
        name: settings.instance.name.as_str().into(),
        domain: settings.instance.domain.as_str().into(),
        callers: parse_address("callers", &settings.listen.callers)?,
        peers: parse_address("peers", &settings.listen.peers)?,
        born: unix_ms(),
        weight: (settings.machine.cpu_share * WEIGHT_SCALE) as u32,
    })
}

fn parse_address(name: &'static str, value: &str) -> Result<SocketAddr, Report<ServeError>> {
    let error = ServeError::Address { name, value: value.to_owned() };
    value.parse().change_context(error)
}

fn node_settings(settings: &ServeSettings, own: Member) -> NodeSettings {
    NodeSettings {
        own,
        board: BoardSettings::default(),
        retry: retry_settings(settings),
        draw: rand::rng().random(),
    }
}

/// Joins the other instances, and writes the own row again whenever a restore of the store has lost
/// it.
async fn keep_row(shared: Rc<Shared>, own: Member, socket: Rc<UdpSocket>) {
    let mut known = join(shared.clone(), own.clone(), socket).await;
    loop {
        known = known.or(shared.timeline());
        shared.until_restored(known).await;
        known = shared.timeline();
        sleep(shared.hub.ask(|node, now| node.restart_delay(now))).await;
        let mut pause = ROW_PAUSE;
        while let Err(error) = check_row(&shared, &own).await {
            log_event!(shared.log, ROW_WRITE_FAILED, "error" => error.to_string());
            sleep(pause).await;
            pause = (pause * 2).min(MAX_ROW_PAUSE);
        }
    }
}

/// Writes the own row if the store does not have it.
async fn check_row(shared: &Shared, own: &Member) -> Result<(), StoreError> {
    if read_members(shared, own).await?.written {
        return Ok(());
    }
    log_event!(shared.log, ROW_LOST, "timeline" => shared.timeline());
    register(shared, own).await.map(drop)
}

/// Writes this instance's row to the store, reads the rows of the others and sends them hellos; returns
/// the timeline of the store that has the row.
async fn join(shared: Rc<Shared>, own: Member, socket: Rc<UdpSocket>) -> Option<u64> {
    let mut pause = ROW_PAUSE;
    if shared.settings().bootstrap {
        shared.hub.ask(|node, _| node.note_first_process());
        sleep(ROW_SPREAD.mul_f64(rand::rng().random::<f64>())).await;
    } else if let Ok(found) = read_members(&shared, &own).await {
        if !found.former {
            shared.hub.ask(|node, _| node.note_first_process());
        }
        if found.written {
            // The row of the previous process has the same addresses.
            send_hellos(&shared, &socket).await;
            return found.timeline;
        }
    }
    let timeline = loop {
        match register(&shared, &own).await {
            Ok(timeline) => break timeline,
            Err(error) => log_event!(shared.log, ROW_WRITE_FAILED, "error" => error.to_string()),
        }
        sleep(pause).await;
        pause = (pause * 2).min(MAX_ROW_PAUSE);
    };
    send_hellos(&shared, &socket).await;
    timeline
}

async fn send_hellos(shared: &Shared, socket: &UdpSocket) {
    for _ in 0..HELLOS {
        send_hello(shared, socket).await;
        sleep(HELLO_PAUSE).await;
    }
}

/// Writes the own row, then reads the rows of the others; returns the timeline in which it was written.
async fn register(shared: &Shared, own: &Member) -> Result<Option<u64>, StoreError> {
    let value = serde_json::to_vec(own).expect("names and addresses serialize to JSON");
    let transaction = Transaction {
        table: Table::Instances,
        expected: Vec::new(),
        writes: vec![(own.name.clone(), value)],
        removals: Vec::new(),
    };
    shared.row_unsure.set(true);
    let reply = (shared.store.commit)(transaction).await;
    let timeline = named(&reply);
    shared.settle(reply)?;
    shared.row_unsure.set(false);
    read_members(shared, own).await?;
    Ok(timeline)
}

/// Timeline that a response of the store names.
fn named<T>(reply: &Reply<T>) -> Option<u64> {
    reply.timeline.as_ref().and_then(|named| named.as_ref().ok()).copied()
}

/// What the store has about this instance.
struct OwnRow {
    /// Whether the own row exists and is up to date.
    written: bool,
    /// Whether it was written by a former process.
    former: bool,
    /// Timeline of the store that was read.
    timeline: Option<u64>,
}

/// Reads the rows of all instances.
async fn read_members(shared: &Shared, own: &Member) -> Result<OwnRow, StoreError> {
    let reply = (shared.store.read)(Table::Instances).await;
    let timeline = named(&reply);
    let rows = shared.settle(reply)?;
    let mut found = OwnRow { written: false, former: false, timeline };
    for row in rows.rows {
        let Some(value) = row.value else { continue };
        match serde_json::from_slice::<Member>(&value) {
            Ok(member) if member.name == own.name => {
                found.former = member.born != own.born;
                found.written = Member { born: own.born, ..member } == *own;
            }
            Ok(member) => {
                log_event!(shared.log, MEMBER_CHANGED, "member" => &*member.name,
                    "row" => row.version);
                shared.hub.ask(move |node, now| node.members.note_row(member, now));
            }
            Err(error) => log_event!(shared.log, ROW_MALFORMED, "table" => "instances",
                "row" => &*row.key, "error" => error.to_string()),
        }
    }
    Ok(found)
}

async fn sweep(shared: Rc<Shared>) {
    loop {
        sleep(SWEEP).await;
        shared.sweep_connections();
        let changes = shared.hub.ask(|node, now| node.quarantine.expire(now));
        log_changes(&shared, &changes, None);
        withdraw_crashes(&shared);
        metrics::gauge!("agatestair_serve_open").set(shared.open.len() as f64);
    }
}

async fn write_log(buffer: LogBuffer) {
    loop {
        sleep(LOG_INTERVAL).await;
        buffer.flush();
    }
}
