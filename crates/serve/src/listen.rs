//! Socket options that detect silent peers, and listening sockets.

use std::io;
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::time::Duration;

use agatestair_runtime::{Keepalive, bind, configure_stream};
use tokio::net::TcpListener;

/// Keepalive probes, at the shortest interval that the operating system supports. The machine of a
/// peer may stand still for up to two seconds; data that it has missed is retransmitted 3 s after it
/// was sent at the latest. A caller that reads nothing for a while is as silent.
const KEEPALIVE: Keepalive = Keepalive {
    idle: Duration::from_secs(1),
    interval: Duration::from_secs(1),
    retries: 2,
    user_timeout: Duration::from_millis(3500),
};

/// Sets keepalive options so that the kernel closes connections to silent peers, and disables send
/// delays.
///
/// # Errors
///
/// Returns the operating system's error.
pub fn configure_peer<S: AsFd>(stream: &S) -> io::Result<()> {
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
