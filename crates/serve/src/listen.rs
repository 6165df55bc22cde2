//! Socket options that detect silent peers, and listening sockets.

use std::io;
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::time::Duration;

use agatestair_runtime::{Keepalive, bind, configure_stream};
use tokio::net::TcpListener;

/// Keepalive probes at the shortest interval that the operating system supports. The limit for
/// unacknowledged data allows the retransmission of one lost packet, but is shorter than the time
/// that callers wait.
const KEEPALIVE: Keepalive = Keepalive {
    idle: Duration::from_secs(1),
    interval: Duration::from_secs(1),
    retries: 2,
    user_timeout: Duration::from_millis(1800),
};

/// Sets keepalive options so that the kernel closes connections to silent peers, and disables
/// send delays.
///
/// # Errors
///
/// Returns the operating system's error.
pub fn configure<S: AsFd>(stream: &S) -> io::Result<()> {
    configure_stream(stream, &KEEPALIVE)
}

/// Opens a listening socket on an address.
///
/// # Errors
///
/// Returns the operating system's error, e.g. if the address is in use or not a local one.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = bind(address)?;
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}
