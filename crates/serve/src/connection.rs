//! Outgoing HTTP/1.1 connections.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout, timeout_at};

use crate::listen::configure_peer;
use crate::progress::Progress;
use crate::read_limit::{LimitedStream, ReadLimit};
use crate::wire::WireCall;

/// Maximum size of a response head in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Maximum number of bytes read until a response head is complete: the head itself, interim (1xx)
/// responses, and the part of the body that is read together with the end of the head.
const MAX_HEAD_READ_BYTES: usize = 3 * MAX_HEAD_BYTES;

/// Fraction of the peer's idle timeout during which a connection is reused, so that the peer does
/// not close it while a request is in transit.
const IDLE_SHARE: f64 = 0.5;

/// Lowest rate at which the body of a response may arrive, in bytes per second.
const MIN_RATE: f64 = 64.0 * 1024.0;

/// Longest pause in the body of a response. A long poll may wait longer for its head.
const MAX_PAUSE: Duration = Duration::from_millis(900);

/// Error if the head of a response has not arrived in time.
const NO_HEAD: &str = "no response in time";

/// Timeouts of outgoing connections.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionSettings {
    /// Timeout for connecting.
    pub connect: Duration,
    /// Idle time after which a connection is not reused, unless the peer gives its own.
    pub idle: Duration,
    /// Whether the connection is reset when it is closed, so that nothing that is still to be sent is
    /// delivered later.
    pub reset: bool,
}

impl Default for ConnectionSettings {
    fn default() -> Self {
        // A lost SYN is retransmitted only after a second; opening a new connection is faster.
        Self {
            connect: Duration::from_millis(400),
            idle: Duration::from_millis(2000),
            reset: false,
        }
    }
}

/// Aborts a task on drop.
#[derive(Debug)]
struct TaskGuard(JoinHandle<()>);

impl Drop for TaskGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// An outgoing connection, closed on drop.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    limit: ReadLimit,
    progress: Progress,
    /// Local port, by which logs name the connection.
    port: u16,
    task: TaskGuard,
    idle_limit: Duration,
    last_used: Instant,
    retired: bool,
    /// Number of responses that it has carried.
    carried: u32,
}

/// Why a request got no response.
#[derive(Debug)]
pub enum SendError {
    /// Nothing was sent; contains the request.
    NotSent(Box<Request<Full<Bytes>>>),
    /// The request may have reached the peer.
    Unknown(hyper::Error),
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(_) => write!(f, "connection closed"),
            Self::Unknown(error) => write!(f, "{error}"),
        }
    }
}

impl Connection {
    /// Connects to an address.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error, or [`io::ErrorKind::TimedOut`].
    pub async fn open(address: SocketAddr, settings: &ConnectionSettings) -> io::Result<Self> {
        let connecting = timeout(settings.connect, TcpStream::connect(address)).await;
        let stream = connecting.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        configure_peer(&stream)?;
        if settings.reset {
            stream.set_zero_linger()?;
        }
        let port = stream.local_addr()?.port();
        let builder = {
            let mut builder = http1::Builder::new();
            builder.max_buf_size(MAX_HEAD_BYTES);
            builder
        };
        let limit = ReadLimit::default();
        let progress = Progress::default();
        let stream = LimitedStream::new(stream, limit.clone(), progress.clone());
        let handshake = builder.handshake(TokioIo::new(stream)).await;
        let (sender, driver) = handshake.map_err(io::Error::other)?;
        let task = tokio::task::spawn_local(async move {
            // A pending request receives the error itself; an idle connection just closes.
            drop(driver.await);
        });
        let idle_limit = settings.idle;
        Ok(Self {
            sender,
            limit,
            progress,
            port,
            task: TaskGuard(task),
            idle_limit,
            last_used: Instant::now(),
            retired: false,
            carried: 0,
        })
    }

    /// Sends a request and waits for the response head.
    ///
    /// # Errors
    ///
    /// Returns a [`SendError`], which states whether the request may have reached the peer.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        self.last_used = Instant::now();
        self.limit.set(MAX_HEAD_READ_BYTES);
        let response = self.sender.try_send_request(request).await;
        self.limit.clear();
        self.carried += u32::from(response.is_ok());
        response.map_err(|mut error| match error.take_message() {
            Some(request) => SendError::NotSent(Box::new(request)),
            None => SendError::Unknown(error.into_error()),
        })
    }

    /// Restarts the idle time and sets the idle limit from the timeout that the peer advertises.
    pub fn note_idle(&mut self, advertised: Option<Duration>) {
        if let Some(advertised) = advertised {
            self.idle_limit = advertised.mul_f64(IDLE_SHARE);
        }
        self.last_used = Instant::now();
    }

    /// Local port of the connection.
    pub fn port(&self) -> u16 {
        self.port
    }

    /// Number of responses that the connection has carried; further bytes may be left of them.
    pub fn carried(&self) -> u32 {
        self.carried
    }

    /// What its reads and writes tell about the peer.
    pub fn progress(&self) -> &Progress {
        &self.progress
    }

    /// Excludes the connection from further use, since a later response could not be told from one
    /// of those before.
    pub fn retire(&mut self) {
        self.retired = true;
    }

    /// Closes the connection, which ends the request on it.
    pub fn close(&mut self) {
        self.retired = true;
        self.task.0.abort();
    }

    /// Whether the connection can be used for another request.
    pub fn is_usable(&self) -> bool {
        !self.retired && self.sender.is_ready() && self.last_used.elapsed() < self.idle_limit
    }
}

/// Sends a request on an existing connection or a new one, and reads the whole response.
///
/// On success the connection is stored in `connection` for reuse. It is closed on errors and if the
/// response does not arrive in time, since a connection that has gone silent may never recover: the
/// head within `limit`, the body at 64 KiB/s or more without pauses longer than 0.9 s or `limit`.
///
/// # Errors
///
/// Returns a description of the error.
pub async fn exchange(
    connection: &mut Option<Connection>,
    address: SocketAddr,
    settings: &ConnectionSettings,
    request: Request<Full<Bytes>>,
    limit: Duration,
    max_bytes: usize,
) -> Result<Response<Bytes>, String> {
    let mut reusable = connection.take().filter(Connection::is_usable);
    let head = async {
        let mut request = request;
        loop {
            let fresh = reusable.is_none();
            let mut open = match reusable.take() {
                Some(open) => open,
                None => {
                    Connection::open(address, settings).await.map_err(|error| error.to_string())?
                }
            };
            match open.send(request).await {
                Ok(response) => return Ok((open, response)),
                Err(SendError::NotSent(returned)) if !fresh => request = *returned,
                Err(error) => return Err(error.to_string()),
            }
        }
    };
    let (mut open, response) = timeout(limit, head).await.map_err(|_| NO_HEAD.to_owned())??;
    let (head, body) = response.into_parts();
    let body = collect(body, limit.min(MAX_PAUSE), max_bytes).await?;
    open.note_idle(None);
    *connection = Some(open);
    Ok(Response::from_parts(head, body))
}

/// Sends a request on an open connection, reads the whole response and closes the connection. The
/// time limits are those of [`exchange`].
///
/// # Errors
///
/// Returns a description of the error.
pub async fn exchange_on(
    mut open: Connection,
    request: Request<Full<Bytes>>,
    limit: Duration,
    max_bytes: usize,
) -> Result<Response<Bytes>, String> {
    let response = timeout(limit, open.send(request)).await.map_err(|_| NO_HEAD.to_owned())?;
    let (head, body) = response.map_err(|error| error.to_string())?.into_parts();
    let body = collect(body, limit.min(MAX_PAUSE), max_bytes).await?;
    Ok(Response::from_parts(head, body))
}

/// Reads a whole body. It may take any time as long as it arrives at [`MIN_RATE`] or more, without
/// pauses longer than `pause`: a large body takes long on a narrow link, and would take no less if
/// it were requested again.
async fn collect(body: Incoming, pause: Duration, max_bytes: usize) -> Result<Bytes, String> {
    let mut body = Limited::new(body, max_bytes);
    let mut bytes = BytesMut::new();
    let begun = Instant::now();
    loop {
        let behind = begun + pause + Duration::from_secs_f64(bytes.len() as f64 / MIN_RATE);
        let until = behind.min(Instant::now() + pause);
        let Ok(frame) = timeout_at(until, body.frame()).await else {
            return Err(format!("response incomplete after {} bytes", bytes.len()));
        };
        let Some(frame) = frame else { return Ok(bytes.freeze()) };
        if let Ok(data) = frame.map_err(|error| error.to_string())?.into_data() {
            bytes.extend_from_slice(&data);
        }
    }
}

/// Sends a request of an adapter on a new connection, and reads the whole response.
///
/// # Errors
///
/// Returns a description of the error.
pub async fn request_once(
    call: WireCall,
    address: SocketAddr,
    limit: Duration,
    max_bytes: usize,
) -> Result<Response<Bytes>, String> {
    let mut request = Request::new(Full::new(Bytes::from(call.body)));
    *request.method_mut() = call.method;
    *request.headers_mut() = call.headers;
    *request.uri_mut() = call.path.parse().map_err(|_| format!("malformed path {}", call.path))?;
    exchange(&mut None, address, &ConnectionSettings::default(), request, limit, max_bytes).await
}
