//! Server side of one HTTP connection.

use std::io::{self, BufReader, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use agatestair_schema::caller::{ErrorBody, ErrorDetail, RunState};
use serde::Serialize;

use super::listener_faults::ListenerFaults;

/// Reader of a stream that other threads may shut down.
pub(super) struct SharedStream(Arc<TcpStream>);

impl Read for SharedStream {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        (&*self.0).read(buffer)
    }
}

/// One accepted connection; dropping it closes it.
pub struct Connection {
    pub(super) reader: BufReader<SharedStream>,
    stream: Arc<TcpStream>,
    silent: Arc<AtomicBool>,
    listener_faults: Arc<ListenerFaults>,
    id: u64,
    close: bool,
}

impl Connection {
    /// Registers an accepted stream.
    pub(super) fn new(stream: TcpStream, listener_faults: &Arc<ListenerFaults>) -> Self {
        let stream = Arc::new(stream);
        let (id, silent) = listener_faults.register(&stream);
        let reader = BufReader::new(SharedStream(stream.clone()));
        Self { reader, stream, silent, listener_faults: listener_faults.clone(), id, close: false }
    }

    /// Whether output on the connection is discarded.
    pub fn is_silent(&self) -> bool {
        self.silent.load(Ordering::Relaxed)
    }

    /// Permanently discards all further output, without closing the connection.
    pub fn silence(&self) {
        self.silent.store(true, Ordering::Relaxed);
    }

    /// Closes the connection immediately, in both directions.
    pub fn close(&self) {
        // Fails if the peer has already closed the connection.
        let _ = self.stream.shutdown(Shutdown::Both);
    }

    /// Sends `Connection: close` with the next response.
    pub fn set_close(&mut self) {
        self.close = true;
    }

    /// Whether the peer has closed its side.
    pub fn peer_closed(&self) -> bool {
        let mut byte = [0];
        if self.stream.set_nonblocking(true).is_err() {
            return true;
        }
        let peeked = self.stream.peek(&mut byte);
        let restored = self.stream.set_nonblocking(false);
        restored.is_err() || matches!(peeked, Ok(0)) || peeked.is_err_and(|error| is_fatal(&error))
    }

    fn write(&self, bytes: &[u8]) -> io::Result<()> {
        if self.is_silent() {
            return Ok(());
        }
        (&*self.stream).write_all(bytes)
    }

    /// Sends a response; `headers` holds complete lines, each with its line ending.
    ///
    /// # Errors
    ///
    /// The I/O error of the write.
    pub fn respond(&self, status: u16, headers: &str, body: &[u8]) -> io::Result<()> {
        let close = if self.close { "Connection: close\r\n" } else { "" };
        let length = body.len();
        let head =
            format!("HTTP/1.1 {status} \r\nContent-Length: {length}\r\n{close}{headers}\r\n");
        let mut response = head.into_bytes();
        response.extend_from_slice(body);
        self.write(&response)
    }

    /// Sends a response with a JSON body.
    ///
    /// # Errors
    ///
    /// The I/O error of the write.
    pub fn respond_json<T: Serialize>(&self, status: u16, value: &T) -> io::Result<()> {
        let body = serde_json::to_vec(value).map_err(io::Error::other)?;
        self.respond(status, "Content-Type: application/json\r\n", &body)
    }

    /// Sends an error response that marks the request as not run.
    ///
    /// # Errors
    ///
    /// The I/O error of the write.
    pub fn refuse(&self, status: u16, code: &str, message: &str, request: &str) -> io::Result<()> {
        let error = ErrorDetail {
            code: code.to_owned(),
            message: message.to_owned(),
            ran: RunState::NotRun,
            request: request.to_owned(),
            retry_ms: None,
        };
        self.respond_json(status, &ErrorBody { error })
    }

    /// Sends the head of a chunked response.
    ///
    /// # Errors
    ///
    /// The I/O error of the write.
    pub fn start_stream(&self) -> io::Result<()> {
        self.write(
            b"HTTP/1.1 200 \r\nContent-Type: text/event-stream\r\nCache-Control: no-cache\r\n\
              Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n",
        )
    }

    /// Sends one chunk.
    ///
    /// # Errors
    ///
    /// The I/O error of the write, for instance when the peer has disconnected.
    pub fn write_chunk(&self, data: &[u8]) -> io::Result<()> {
        let mut chunk = Vec::with_capacity(data.len() + 16);
        write!(chunk, "{:x}\r\n", data.len())?;
        chunk.extend_from_slice(data);
        chunk.extend_from_slice(b"\r\n");
        self.write(&chunk)
    }

    /// Sends the last, empty chunk of a chunked response.
    ///
    /// # Errors
    ///
    /// The I/O error of the write, for instance when the peer has disconnected.
    pub fn end_stream(&self) -> io::Result<()> {
        self.write(b"0\r\n\r\n")
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.listener_faults.unregister(self.id);
    }
}

fn is_fatal(error: &io::Error) -> bool {
    error.kind() != io::ErrorKind::WouldBlock && error.kind() != io::ErrorKind::Interrupted
}

/// Sends a response with `respond`; returns whether the connection may serve another request.
pub fn keep_alive(
    connection: &Connection,
    respond: impl FnOnce(&Connection) -> io::Result<()>,
) -> bool {
    respond(connection).is_ok()
}
