//! Callers' connections.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use agatestair_runtime::{MetricsHandle, bound_unsent, log_event};
use agatestair_schema::settings::ServeSettings;
use http::header::CONNECTION;
use http::{HeaderValue, Response, StatusCode};
use hyper::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use slog::Logger;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::body::AnswerBody;
use crate::datagram::BulletinNews;
use crate::dialect::Dialect;
use crate::events::{ACCEPT_FAILED, CONNECTION_FAILED};
use crate::held::HeldTotal;
use crate::hub::Hub;
use crate::listen::configure;
use crate::news::{News, Outbox};
use crate::pool::Pool;
use crate::store::{StoreClient, Table};

/// Pause after a connection could not be accepted, until descriptors may be free again.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Bytes that the kernel keeps for a caller that reads slowly.
const MAX_UNSENT_BYTES: usize = 128 * 1024;

/// Greatest number of headers.
const MAX_HEADERS: usize = 128;

/// Share of the descriptors that callers' connections may take; the rest is for endpoints and
/// the store.
const CALLER_SHARE: f64 = 0.6;

/// What the tasks of an instance share.
pub struct Front {
    /// The actor with the instance's state.
    pub hub: Hub,
    /// Spelling of calls.
    pub dialect: Dialect,
    /// The platform's store.
    pub store: StoreClient,
    /// Kept connections to endpoints.
    pub pool: Pool,
    /// Settings in force.
    pub settings: RefCell<Rc<ServeSettings>>,
    /// Metrics of the process.
    pub metrics: MetricsHandle,
    /// Log.
    pub log: Logger,
    /// Loads that others are told of at once.
    pub news: News,
    /// Changes of the store that others are told of.
    pub changes: Outbox<BulletinNews>,
    /// Something that collectors pass on without waiting for the next round.
    pub urgent: Notify,
    /// Another instance knows of a later change of a table.
    pub behind: Behind,
    /// Cancelled when the instance is about to stop.
    pub leaving: CancellationToken,
    /// Cancelled when idle callers' connections are to be closed.
    pub closing: CancellationToken,
    /// Requests in work.
    pub open: Cell<usize>,
    /// Callers' connections.
    pub connections: Cell<usize>,
    /// Bytes of requests' bodies in memory.
    pub body_bytes: Cell<usize>,
    /// Parts of answers in memory.
    pub held: HeldTotal,
}

/// Wakes the tasks that follow the store's tables.
#[derive(Debug, Default)]
pub struct Behind {
    configuration: Notify,
    endpoints: Notify,
}

impl Behind {
    /// Wakes the task that follows a table, which may be waiting for something else at the moment.
    pub fn notify(&self, table: Table) {
        self.of(table).notify_one();
    }

    /// Waits for the next such call.
    pub async fn notified(&self, table: Table) {
        self.of(table).notified().await;
    }

    fn of(&self, table: Table) -> &Notify {
        if table == Table::Configuration { &self.configuration } else { &self.endpoints }
    }
}

impl Front {
    /// The settings in force.
    pub fn settings(&self) -> Rc<ServeSettings> {
        self.settings.borrow().clone()
    }

    /// Requests in work and callers' connections that are not closed yet.
    pub fn open_work(&self) -> usize {
        self.open.get() + self.connections.get()
    }
}

/// Counts a unit until it is dropped.
pub struct Counted<F: Fn(&Front) -> &Cell<usize>> {
    front: Rc<Front>,
    count: F,
    amount: usize,
}

impl<F: Fn(&Front) -> &Cell<usize>> Counted<F> {
    /// Adds an amount to a count of the instance.
    pub fn new(front: Rc<Front>, count: F, amount: usize) -> Self {
        let cell = count(&front);
        cell.set(cell.get() + amount);
        Self { front, count, amount }
    }
}

impl<F: Fn(&Front) -> &Cell<usize>> Drop for Counted<F> {
    fn drop(&mut self) {
        let cell = (self.count)(&self.front);
        cell.set(cell.get().saturating_sub(self.amount));
    }
}

/// Which requests a listener takes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Listener {
    /// Callers' requests.
    Callers,
    /// Questions whether the instance is ready.
    Ready,
    /// Questions for addresses to connect to.
    Directory,
    /// Metrics.
    Metrics,
}

/// Accepts connections until the process ends.
pub async fn accept(front: Rc<Front>, listener: Rc<TcpListener>, kind: Listener) {
    loop {
        let most = (front.settings().machine.max_files * CALLER_SHARE) as usize;
        match listener.accept().await {
            Ok((stream, _)) if front.connections.get() < most => {
                tokio::task::spawn_local(serve(front.clone(), stream, kind));
            }
            // Closing at once tells the caller to try another instance.
            Ok(_) => log_event!(front.log, ACCEPT_FAILED, "error" => "too many connections"),
            Err(error) => {
                log_event!(front.log, ACCEPT_FAILED, "error" => error.to_string());
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(front: Rc<Front>, stream: TcpStream, kind: Listener) {
    let _counted = Counted::new(front.clone(), |front| &front.connections, 1);
    if let Err(error) = configure(&stream).and_then(|()| bound_unsent(&stream, MAX_UNSENT_BYTES)) {
        log_event!(front.log, CONNECTION_FAILED, "error" => error.to_string());
        return;
    }
    let limits = front.hub.ask(|node, _| node.limits());
    let handler = front.clone();
    let service = service_fn(move |request| {
        let front = handler.clone();
        async move { Ok::<_, Infallible>(answer(front, request, kind).await) }
    });
    // The head's time also runs on an idle connection, so the longer of both bounds holds.
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_time.max(limits.head_time))
        .max_buf_size(limits.head_bytes.max(8192) * 2)
        .max_headers(MAX_HEADERS)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = front.closing.cancelled() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log_event!(front.log, CONNECTION_FAILED, "error" => error.to_string());
    }
}

async fn answer(
    front: Rc<Front>,
    request: Request<Incoming>,
    kind: Listener,
) -> Response<AnswerBody> {
    let mut answer = match kind {
        Listener::Callers => crate::handle::handle(front.clone(), request).await,
        Listener::Ready => crate::directory::ready(&front, &request),
        Listener::Directory => crate::directory::entries(&front, &request),
        Listener::Metrics => crate::directory::metrics(&front),
    };
    if front.leaving.is_cancelled() {
        answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    answer
}

/// An answer with a status and a body.
pub fn plain(status: StatusCode, body: Vec<u8>) -> Response<AnswerBody> {
    let mut answer = Response::new(AnswerBody::whole(body.into()));
    *answer.status_mut() = status;
    answer
}
