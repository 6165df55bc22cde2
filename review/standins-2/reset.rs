//! Connections that end with a reset.

use std::net::TcpStream;
use std::os::fd::AsRawFd;

/// Ends a connection with a reset: a disconnect as `connect` with no address does it.
pub fn reset(stream: &TcpStream) {
    unsafe extern "C" {
        fn connect(socket: i32, address: *const u8, length: u32) -> i32;
    }
    const UNSPECIFIED: [u8; 16] = [0; 16];
    // SAFETY: the address is as long as it is said to be, and the socket is open.
    unsafe { connect(stream.as_raw_fd(), UNSPECIFIED.as_ptr(), 16) };
}
