//! Stand-in of a client.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::http::{read_response, Response};

/// Sends requests to one address, each on a new connection.
#[derive(Clone, Debug)]
pub struct Client {
    pub address: SocketAddr,
    pub deadline: Duration,
    /// Time over which a body is sent.
    pub upload: Duration,
    /// Further header lines.
    pub extra: String,
}

impl Default for Client {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            deadline: Duration::from_secs(2),
            upload: Duration::ZERO,
            extra: String::new(),
        }
    }
}

/// Number of pieces in which a body is sent if that takes time.
const PIECES: u32 = 40;

impl Client {
    /// A client of this address that waits for `deadline`.
    pub fn new(address: SocketAddr, deadline: Duration) -> Self {
        Self { address, deadline, ..Self::default() }
    }

    /// Gets a path without the headers of a client.
    pub fn get(&self, path: &str) -> io::Result<Response> {
        self.exchange(format!("GET {path} HTTP/1.1\r\nHost: platform\r\n\r\n").as_bytes(), &[])
    }

    /// Sends a request with an identifier.
    pub fn send(&self, method: &str, path: &str, id: &str, body: &[u8]) -> io::Result<Response> {
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nX-Agatestair-Request-Id: {id}\r\n\
             X-Agatestair-Deadline-Ms: {}\r\n{}Content-Length: {}\r\n\r\n",
            self.deadline.as_millis(),
            self.extra,
            body.len()
        );
        self.exchange(head.as_bytes(), body)
    }

    fn exchange(&self, head: &[u8], body: &[u8]) -> io::Result<Response> {
        let mut stream = TcpStream::connect_timeout(&self.address, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(self.deadline + self.upload))?;
        stream.set_write_timeout(Some(self.deadline + self.upload))?;
        stream.write_all(head)?;
        if self.upload.is_zero() {
            stream.write_all(body)?;
        } else {
            let (begun, size) = (Instant::now(), body.len().div_ceil(PIECES as usize).max(1));
            for (index, piece) in (1..).zip(body.chunks(size)) {
                stream.write_all(piece)?;
                sleep((self.upload * index / PIECES).saturating_sub(begun.elapsed()));
            }
        }
        read_response(&mut BufReader::new(stream))
    }
}
