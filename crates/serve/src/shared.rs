//! State that the tasks of an instance share, and the loop that accepts connections.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::error::Error;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use agatestair_policy::EndpointKey;
use agatestair_runtime::{MetricsHandle, log_event, set_send_buffer};
use agatestair_schema::settings::ServeSettings;
use http::header::CONNECTION;
use http::{HeaderValue, Response, StatusCode, Version};
use hyper::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use slog::Logger;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::activity::{Activity, BusyGuard, CallerStream, Phase};
use crate::body::ResponseBody;
use crate::buffer_limit::BufferLimit;
use crate::bulletins::TimedUpdate;
use crate::connection::Connection;
use crate::events::{
    ACCEPT_FAILED, CALLER_TOO_SLOW, CONNECTION_FAILED, STORE_RESTORED, TIMELINE_MALFORMED,
};
use crate::hub::Hub;
use crate::listen::configure_peer;
use crate::memory_budget::{MemoryBudget, MemoryKind};
use crate::open_requests::OpenRequests;
use crate::outbox::{LoadChanges, Outbox};
use crate::pool::Pool;
use crate::shutdown::Shutdown;
use crate::store::{Reply, StoreClient, StoreError, Table};
use crate::timeline::TimelineNews;
use crate::wire::WireFormat;

/// Delay after a failed accept, so that file descriptors can be freed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Bytes that the kernel buffers for a caller that reads slowly.
const SEND_BUFFER_BYTES: usize = 128 * 1024;

/// Smallest limit for the buffer of a connection, which is fixed when the connection is accepted.
/// Heads up to this size are compared with the newest limit.
const HEAD_BUFFER_BYTES: usize = 128 * 1024;

/// Maximum number of headers in a request.
const MAX_HEADERS: usize = 128;

/// Fraction of the file descriptors that callers' connections may use; the rest is reserved for
/// endpoints and the store.
const CALLER_SHARE: f64 = 0.6;

/// State shared by the tasks of an instance.
pub struct Shared {
    /// Access to the actor that holds the instance's state.
    pub hub: Hub,
    /// Wire format of requests and responses.
    pub wire: WireFormat,
    /// Client of the platform's store.
    pub store: StoreClient,
    /// Idle connections to endpoints.
    pub pool: Pool,
    /// Current settings.
    pub settings: RefCell<Rc<ServeSettings>>,
    /// Metrics of the process.
    pub metrics: MetricsHandle,
    /// Logger of the process.
    pub log: Logger,
    /// Load changes to send to other instances immediately.
    pub load_changes: LoadChanges,
    /// Store changes to send to other instances.
    pub table_updates: Outbox<TimedUpdate>,
    /// Wakes the collector to forward a change before its next round.
    pub urgent: Notify,
    /// Signals that another instance has a newer version of a table.
    pub wakeups: TableWakeups,
    /// Wakes calls in progress when the store was restored.
    pub restored: Notify,
    /// Whether a malformed timeline of the store was logged.
    pub timeline_malformed: Cell<bool>,
    /// Wakes requests in progress when a prompt part is quarantined.
    pub quarantined: Notify,
    /// Cancelled when the instance starts to shut down.
    pub leaving: CancellationToken,
    /// Cancelled to close callers' connections once they are idle, and to accept no more.
    pub closing: CancellationToken,
    /// Cancelled when requests without a response must be answered, since the process exits.
    pub ending: CancellationToken,
    /// Requests in flight.
    pub open: OpenRequests,
    /// Progress of the shutdown.
    pub shutdown: Shutdown,
    /// Whether a write of the instance's row has an unknown outcome: it may be applied late.
    pub row_unsure: Cell<bool>,
    /// Number of open callers' connections.
    pub connections: Cell<usize>,
    /// All memory that callers make the instance hold.
    pub memory: MemoryBudget,
    /// Memory used by buffered responses.
    pub buffer_limit: BufferLimit,
}

/// Wakes the tasks that follow the store's tables when a table is out of date.
#[derive(Debug, Default)]
pub struct TableWakeups {
    configuration: Notify,
    endpoints: Notify,
}

impl TableWakeups {
    /// Wakes the task that follows a table; if it is not waiting, its next wait returns at once.
    pub fn notify(&self, table: Table) {
        self.of(table).notify_one();
    }

    /// Waits for the next notification for a table.
    pub async fn notified(&self, table: Table) {
        self.of(table).notified().await;
    }

    fn of(&self, table: Table) -> &Notify {
        if table == Table::Configuration { &self.configuration } else { &self.endpoints }
    }
}

impl Shared {
    /// The current settings.
    pub fn settings(&self) -> Rc<ServeSettings> {
        self.settings.borrow().clone()
    }

    /// Pools the connection of an attempt that is still counted, or closes it if this instance may
    /// not keep it.
    pub fn return_connection(&self, key: EndpointKey, connection: Connection) {
        let most = self.hub.ask(move |node, now| node.idle_share(key, 1, now));
        self.pool.put(key, connection, most);
    }

    /// Pools a connection that no attempt uses, or closes it if this instance may not keep it.
    pub fn keep_connection(&self, key: EndpointKey, connection: Connection) {
        let most = self.hub.ask(move |node, now| node.idle_share(key, 0, now));
        self.pool.put(key, connection, most);
    }

    /// Closes idle connections that are unusable or that this instance may no longer keep.
    pub fn sweep_connections(&self) {
        let keys = self.pool.keys();
        let most = self.hub.ask(move |node, now| {
            keys.into_iter().map(|key| (key, node.idle_share(key, 0, now))).collect()
        });
        self.pool.sweep(&most);
    }

    /// Timeline of the store that is followed, if the store names one.
    pub fn timeline(&self) -> Option<u64> {
        self.hub.ask(|node, _| node.timeline.current())
    }

    /// Records the timeline that a response of the store names.
    pub fn note_timeline<T>(&self, reply: &Reply<T>) -> TimelineNews {
        let named = match &reply.timeline {
            Some(Err(error)) => {
                if !self.timeline_malformed.replace(true) {
                    log_event!(self.log, TIMELINE_MALFORMED, "error" => error.to_string());
                }
                None
            }
            Some(Ok(named)) => Some(*named),
            None => None,
        };
        let news = self.hub.ask(move |node, now| node.note_timeline(named, now));
        self.announce_restore(news, "store", None, Duration::ZERO);
        news
    }

    /// Records the timeline that the instance `member` follows, to which the store responded `age`
    /// ago.
    pub fn note_peer_timeline(
        &self,
        named: Option<u64>,
        member: Option<&str>,
        age: Duration,
    ) -> TimelineNews {
        let news = self.hub.ask(move |node, now| node.note_peer_timeline(named, now));
        self.announce_restore(news, "bulletin", member, age);
        news
    }

    fn announce_restore(
        &self,
        news: TimelineNews,
        source: &'static str,
        member: Option<&str>,
        age: Duration,
    ) {
        let TimelineNews::Began { former } = news else { return };
        let delay = self.hub.ask(|node, now| node.restart_delay(now));
        metrics::counter!("agatestair_serve_store_restores_total").increment(1);
        log_event!(self.log, STORE_RESTORED, "timeline" => self.timeline(), "former" => former,
            "source" => source, "member" => member,
            "age_ms" => age.as_millis() as u64, "read_ms" => delay.as_millis() as u64);
        self.restored.notify_waiters();
    }

    /// Waits until the store's timeline is another one than `known`, or than the first one that it
    /// names.
    pub async fn until_restored(&self, mut known: Option<u64>) {
        loop {
            let restored = self.restored.notified();
            let current = self.timeline();
            if known.is_some() && current != known {
                return;
            }
            known = current;
            restored.await;
        }
    }

    /// Outcome of a call of the store, whose timeline is recorded.
    pub fn settle<T>(&self, reply: Reply<T>) -> Result<T, StoreError> {
        self.note_timeline(&reply);
        reply.outcome
    }

    /// Number of requests in flight plus callers' open connections.
    pub fn open_work(&self) -> usize {
        self.open.len() + self.connections.get()
    }
}

/// Adds an amount to a counter of the instance until it is dropped.
pub struct CountGuard<F: Fn(&Shared) -> &Cell<usize>> {
    shared: Rc<Shared>,
    count: F,
    amount: usize,
}

impl<F: Fn(&Shared) -> &Cell<usize>> CountGuard<F> {
    /// Adds `amount` to the counter that `count` selects.
    pub fn new(shared: Rc<Shared>, count: F, amount: usize) -> Self {
        let cell = count(&shared);
        cell.set(cell.get() + amount);
        Self { shared, count, amount }
    }
}

impl<F: Fn(&Shared) -> &Cell<usize>> Drop for CountGuard<F> {
    fn drop(&mut self) {
        let cell = (self.count)(&self.shared);
        cell.set(cell.get().saturating_sub(self.amount));
    }
}

/// Kind of requests that a listener serves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Listener {
    /// Callers' requests.
    Callers,
    /// Readiness checks.
    Ready,
    /// Directory lookups of addresses to connect to.
    Directory,
    /// Metrics scrapes.
    Metrics,
}

/// Accepts connections until the process ends; those of callers until they have moved on to other
/// instances.
pub async fn accept(shared: Rc<Shared>, listener: Rc<TcpListener>, kind: Listener) {
    if kind != Listener::Callers {
        return accept_all(shared, listener, kind).await;
    }
    let closing = shared.closing.clone();
    closing.run_until_cancelled(accept_all(shared, listener, kind)).await;
}

async fn accept_all(shared: Rc<Shared>, listener: Rc<TcpListener>, kind: Listener) {
    loop {
        let max_connections = (shared.settings().machine.max_files * CALLER_SHARE) as usize;
        match listener.accept().await {
            Ok((stream, _))
                if shared.connections.get() < max_connections || shared.memory.drop_idle() =>
            {
                tokio::task::spawn_local(serve(shared.clone(), stream, kind));
            }
            // Closing the connection at once makes the caller try another instance.
            Ok(_) => log_event!(shared.log, ACCEPT_FAILED, "error" => "too many connections"),
            Err(error) => {
                log_event!(shared.log, ACCEPT_FAILED, "error" => error.to_string());
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(shared: Rc<Shared>, stream: TcpStream, kind: Listener) {
    let _count_guard = CountGuard::new(shared.clone(), |shared| &shared.connections, 1);
    if let Err(error) =
        configure_peer(&stream).and_then(|()| set_send_buffer(&stream, SEND_BUFFER_BYTES))
    {
        log_event!(shared.log, CONNECTION_FAILED, "error" => error.to_string());
        return;
    }
    let limits = shared.hub.ask(|node, _| node.limits());
    let hold = shared.memory.hold(MemoryKind::Connection, None);
    let activity = Activity::new(&limits, hold);
    let handler = shared.clone();
    let version = Rc::new(Cell::new(Version::HTTP_11));
    let (latest, busy) = (version.clone(), activity.clone());
    let service = service_fn(move |request: Request<Incoming>| {
        let (shared, guard) = (handler.clone(), busy.begin());
        latest.set(request.version());
        async move { Ok::<_, Infallible>(dispatch(shared, request, kind, guard).await) }
    });
    let mut connection = http1::Builder::new()
        .max_buf_size(limits.longest_head().max(HEAD_BUFFER_BYTES))
        .max_headers(MAX_HEADERS)
        .serve_connection(TokioIo::new(CallerStream::new(stream, activity.clone())), service);
    let (mut closing, mut spared) = (false, false);
    let ended = loop {
        tokio::select! {
            // A request that has arrived is read before the connection is closed.
            biased;
            ended = &mut connection => break ended,
            () = shared.closing.cancelled(), if !closing => {}
            () = activity.dropped(), if !spared => {
                if !activity.is_serving() {
                    return;
                }
                // The connection was chosen while it was idle; a request has begun since.
                spared = true;
            }
            () = activity.expired(&shared) => {
                let (phase, time) = activity.current();
                if closing || phase == Phase::Head {
                    let phase = format!("{phase:?}");
                    log_event!(shared.log, CALLER_TOO_SLOW, "phase" => phase,
                        "request" => activity.request().as_deref(),
                        "ms" => time.as_millis() as u64);
                    return;
                }
                activity.restart();
            }
        }
        closing = true;
        Pin::new(&mut connection).graceful_shutdown();
    };
    let Err(error) = ended else { return };
    let (phase, time) = activity.current();
    log_event!(shared.log, CONNECTION_FAILED, "error" => describe(&error),
        "phase" => format!("{phase:?}"), "request" => activity.request().as_deref(),
        "ms" => time.as_millis() as u64);
    if error.is_user() && version.get() < Version::HTTP_11 {
        // Such a caller takes a connection that is closed in good order for the end of its response.
        let stream = connection.into_parts().io.into_inner().into_inner();
        if let Err(error) = stream.set_zero_linger() {
            log_event!(shared.log, CONNECTION_FAILED, "error" => error.to_string());
        }
    }
}

/// An error with its cause, which tells a caller that closed from one that fell silent.
fn describe(error: &hyper::Error) -> String {
    match error.source() {
        Some(source) => format!("{error}: {source}"),
        None => error.to_string(),
    }
}

async fn dispatch(
    shared: Rc<Shared>,
    request: Request<Incoming>,
    kind: Listener,
    guard: BusyGuard,
) -> Response<ResponseBody> {
    let mut response = match kind {
        Listener::Callers => crate::handle::handle(shared.clone(), request).await,
        Listener::Ready => crate::directory::ready(&shared, &request),
        Listener::Directory => crate::directory::addresses(&shared, &request),
        Listener::Metrics => crate::directory::metrics(&shared),
    };
    if shared.leaving.is_cancelled() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    guard.note_limits(&shared.hub.ask(|node, _| node.limits()));
    response.body_mut().hold_connection(guard);
    response
}

/// Builds a response from a status and a body.
pub fn plain(status: StatusCode, body: Vec<u8>) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::whole(body.into()));
    *response.status_mut() = status;
    response
}
