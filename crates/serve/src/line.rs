//! One HTTP/1.1 connection of this instance to another process.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout};

use crate::dialect::WireCall;
use crate::listen::configure;
use crate::meter::{ByteBound, Metered};

/// Greatest size of an answer's head in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Bytes that may come until the head of an answer is whole: the head, answers that are only
/// provisional, and what is read of the body together with the head's end.
const MAX_PRELUDE_BYTES: usize = 3 * MAX_HEAD_BYTES;

/// Share of the other end's idle time for which a connection is used again, so that it is not
/// closed there while a request is on its way.
const IDLE_SHARE: f64 = 0.5;

/// How connections are made and kept.
#[derive(Clone, Copy, Debug)]
pub struct LineSettings {
    /// Time to connect.
    pub connect: Duration,
    /// Idle time after which a connection is not used again, if the other end tells none.
    pub idle: Duration,
}

impl Default for LineSettings {
    fn default() -> Self {
        // A lost opening packet is sent again after a second; a new connection is then faster.
        Self { connect: Duration::from_millis(400), idle: Duration::from_millis(2000) }
    }
}

/// Ends a task when it is dropped.
#[derive(Debug)]
struct TaskGuard(JoinHandle<()>);

impl Drop for TaskGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// One connection; it is closed when it is dropped.
#[derive(Debug)]
pub struct Line {
    sender: SendRequest<Full<Bytes>>,
    bound: ByteBound,
    _task: TaskGuard,
    idle_limit: Duration,
    used: Instant,
}

/// Why a request got no answer.
#[derive(Debug)]
pub enum LineFault {
    /// Nothing of the request was sent; it is handed back.
    Unsent(Box<Request<Full<Bytes>>>),
    /// The request may have arrived.
    Unknown(hyper::Error),
}

impl Line {
    /// Connects to an address.
    ///
    /// # Errors
    ///
    /// The operating system's error, or a timeout.
    pub async fn open(address: SocketAddr, settings: &LineSettings) -> io::Result<Self> {
        let connecting = timeout(settings.connect, TcpStream::connect(address)).await;
        let stream = connecting.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        configure(&stream)?;
        let builder = {
            let mut builder = http1::Builder::new();
            builder.max_buf_size(MAX_HEAD_BYTES);
            builder
        };
        let bound = ByteBound::default();
        let stream = Metered::new(stream, bound.clone());
        let handshake = builder.handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(io::Error::other)?;
        let task = tokio::task::spawn_local(async move {
            // The error reaches the request in work; an idle connection is only closed by it.
            drop(connection.await);
        });
        let idle_limit = settings.idle;
        Ok(Self { sender, bound, _task: TaskGuard(task), idle_limit, used: Instant::now() })
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// [`LineFault`], which tells whether the request may have arrived.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, LineFault> {
        self.used = Instant::now();
        self.bound.set(MAX_PRELUDE_BYTES);
        let answer = self.sender.try_send_request(request).await;
        self.bound.lift();
        answer.map_err(|mut fault| match fault.take_message() {
            Some(request) => LineFault::Unsent(Box::new(request)),
            None => LineFault::Unknown(fault.into_error()),
        })
    }

    /// Notes for how long the other end keeps the connection while it is idle.
    pub fn note_idle(&mut self, told: Option<Duration>) {
        if let Some(told) = told {
            self.idle_limit = told.mul_f64(IDLE_SHARE);
        }
        self.used = Instant::now();
    }

    /// Whether the next request can go on this connection.
    pub fn is_usable(&self) -> bool {
        self.sender.is_ready() && self.used.elapsed() < self.idle_limit
    }
}

/// Sends a request on a kept connection or a new one, and reads the whole answer.
///
/// The connection is kept in `line` if it can be used again; it is given up if the answer does not
/// come in time, since an old connection may be silent for good.
///
/// # Errors
///
/// What went wrong, in words.
pub async fn exchange(
    line: &mut Option<Line>,
    address: SocketAddr,
    settings: &LineSettings,
    request: Request<Full<Bytes>>,
    limit: Duration,
    max_bytes: usize,
) -> Result<Response<Bytes>, String> {
    let mut kept = line.take().filter(Line::is_usable);
    let work = async {
        let mut request = request;
        loop {
            let fresh = kept.is_none();
            let mut open = match kept.take() {
                Some(open) => open,
                None => Line::open(address, settings).await.map_err(|error| error.to_string())?,
            };
            let answer = match open.send(request).await {
                Ok(answer) => answer,
                Err(LineFault::Unsent(back)) if !fresh => {
                    request = *back;
                    continue;
                }
                Err(LineFault::Unsent(_)) => return Err("connection closed".to_owned()),
                Err(LineFault::Unknown(error)) => return Err(error.to_string()),
            };
            let (head, body) = answer.into_parts();
            let body = Limited::new(body, max_bytes).collect().await;
            let body = body.map_err(|error| error.to_string())?.to_bytes();
            open.note_idle(None);
            return Ok((open, Response::from_parts(head, body)));
        }
    };
    let (open, answer) =
        timeout(limit, work).await.map_err(|_| "no answer in time".to_owned())??;
    *line = Some(open);
    Ok(answer)
}

/// Sends one call of an adapter on a connection of its own, and reads the whole answer.
///
/// # Errors
///
/// What went wrong, in words.
pub async fn ask_once(
    call: WireCall,
    address: SocketAddr,
    limit: Duration,
    max_bytes: usize,
) -> Result<Response<Bytes>, String> {
    let mut request = Request::new(Full::new(Bytes::from(call.body)));
    *request.method_mut() = call.method;
    *request.headers_mut() = call.headers;
    *request.uri_mut() = call.path.parse().map_err(|_| format!("malformed path {}", call.path))?;
    exchange(&mut None, address, &LineSettings::default(), request, limit, max_bytes).await
}
