//! HTTP server on `tiny_http` and TCP socket options.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::AsFd;
use std::time::Duration;

use serde::Serialize;
use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};
use tiny_http::{Header, Request, Response, Server};

/// Greatest number of connections waiting to be accepted.
const BACKLOG: i32 = 1024;

/// TCP keepalive settings, after which the kernel closes a connection to an unresponsive peer.
#[derive(Clone, Copy, Debug)]
pub struct Keepalive {
    /// Idle time before the first probe.
    pub idle: Duration,
    /// Interval between probes.
    pub interval: Duration,
    /// Number of unanswered probes after which the connection is closed.
    pub retries: u32,
    /// Longest time that sent data may stay unacknowledged (`TCP_USER_TIMEOUT`).
    pub user_timeout: Duration,
}

impl Default for Keepalive {
    fn default() -> Self {
        Self {
            idle: Duration::from_secs(5),
            interval: Duration::from_secs(2),
            retries: 3,
            user_timeout: Duration::from_secs(10),
        }
    }
}

/// Starts a `tiny_http` server on `address`; the kernel closes connections to unresponsive peers.
///
/// # Errors
///
/// The operating system's error if the address is in use or not local.
pub fn listen(address: SocketAddr) -> io::Result<Server> {
    Server::from_listener(bind(address)?, None).map_err(io::Error::other)
}

/// Binds a listener to `address`; accepted connections inherit [`configure_stream`]'s options.
///
/// # Errors
///
/// The operating system's error if the address is in use or not local.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    configure_stream(&socket, &Keepalive::default())?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// Sets keepalive and the user timeout, and disables Nagle's algorithm (`TCP_NODELAY`).
///
/// # Errors
///
/// The operating system's error if an option cannot be set.
pub fn configure_stream<S: AsFd>(stream: &S, keepalive: &Keepalive) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(keepalive.idle)
        .with_interval(keepalive.interval)
        .with_retries(keepalive.retries);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(keepalive.user_timeout))?;
    socket.set_tcp_nodelay(true)
}

/// Sets the size of the send buffer (`SO_SNDBUF`), which holds unacknowledged data, in bytes.
///
/// # Errors
///
/// The operating system's error if an option cannot be set.
pub fn set_send_buffer<S: AsFd>(stream: &S, bytes: usize) -> io::Result<()> {
    SockRef::from(stream).set_send_buffer_size(bytes)
}

/// Responds with a body of the content type `content`.
///
/// # Errors
///
/// The connection's I/O error.
pub fn respond(request: Request, status: u16, content: &str, body: Vec<u8>) -> io::Result<()> {
    let header = header("Content-Type", content);
    request.respond(Response::from_data(body).with_status_code(status).with_header(header))
}

/// Responds with `value` as JSON.
///
/// # Errors
///
/// The connection's I/O error.
pub fn respond_json<T: Serialize>(request: Request, status: u16, value: &T) -> io::Result<()> {
    let body = serde_json::to_vec(value).map_err(io::Error::other)?;
    respond(request, status, "application/json", body)
}

fn header(name: &str, value: &str) -> Header {
    Header::from_bytes(name, value).expect("header names and values are ASCII")
}
