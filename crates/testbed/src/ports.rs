//! Reserves blocks of ports, one for each deployment.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};

use socket2::{Domain, Protocol, Socket, Type};

use crate::error::TestbedError;

/// First port of the first block. All blocks lie below the ephemeral port range, so that no
/// outgoing connection uses a reserved port.
const FIRST_PORT: u16 = 10_000;
/// Ports in a block.
const BLOCK_PORTS: u16 = 200;
/// Number of blocks.
const BLOCKS: u16 = 110;

static NEXT_BLOCK: AtomicU32 = AtomicU32::new(0);

/// Ports reserved for one deployment.
///
/// A listener on the first port serves as the lock of the block. Owners of the other ports must
/// listen with `SO_REUSEADDR`, as listeners of the standard library do.
pub struct PortBlock {
    _lock: TcpListener,
    next: u16,
    end: u16,
}

impl PortBlock {
    /// Reserves a block in which every port is free.
    ///
    /// # Errors
    ///
    /// [`TestbedError::NoPorts`] if every block is in use.
    pub fn reserve() -> Result<Self, TestbedError> {
        let start = std::process::id()
            .wrapping_mul(7)
            .wrapping_add(NEXT_BLOCK.fetch_add(1, Ordering::Relaxed));
        for attempt in 0..u32::from(BLOCKS) {
            let block = u16::try_from(start.wrapping_add(attempt) % u32::from(BLOCKS)).unwrap_or(0);
            let first = FIRST_PORT + block * BLOCK_PORTS;
            if let Some(lock) = lock_block(first) {
                return Ok(Self { _lock: lock, next: first + 1, end: first + BLOCK_PORTS });
            }
        }
        Err(TestbedError::NoPorts)
    }

    /// Allocates the next `count` ports; returns the first.
    ///
    /// # Errors
    ///
    /// [`TestbedError::NoPorts`] if the block is exhausted.
    pub fn allocate(&mut self, count: u16) -> Result<u16, TestbedError> {
        let first = self.next;
        let next = first.checked_add(count).filter(|next| *next <= self.end);
        self.next = next.ok_or(TestbedError::NoPorts)?;
        Ok(first)
    }

    /// Allocates the next port; returns its loopback address.
    ///
    /// # Errors
    ///
    /// [`TestbedError::NoPorts`] if the block is exhausted.
    pub fn allocate_address(&mut self) -> Result<String, TestbedError> {
        Ok(address(self.allocate(1)?))
    }
}

/// Loopback address of a port.
pub fn address(port: u16) -> String {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port)).to_string()
}

fn lock_block(first: u16) -> Option<TcpListener> {
    let lock = TcpListener::bind((Ipv4Addr::LOCALHOST, first)).ok()?;
    (first + 1..first + BLOCK_PORTS).all(is_free).then_some(lock)
}

/// Whether nothing listens on a port.
///
/// The probe does not listen itself: a child that another thread is starting holds a copy of the
/// socket until it executes its program, and only a listening socket keeps others from the port.
fn is_free(port: u16) -> bool {
    let probe = || {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
        socket.set_reuse_address(true)?;
        socket.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, port)).into())
    };
    probe().is_ok()
}
