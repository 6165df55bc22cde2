//! The answering side of one connection.

use std::io::{self, BufReader, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use agatestair_schema::caller::{ErrorBody, ErrorDetail, RunState};
use serde::Serialize;

use super::gate::Gate;

/// Reads from a stream that others may close.
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
    gate: Arc<Gate>,
    id: u64,
    last: bool,
}

impl Connection {
    /// Takes over an accepted stream.
    pub(super) fn new(stream: TcpStream, gate: &Arc<Gate>) -> Self {
        let stream = Arc::new(stream);
        let (id, silent) = gate.register(&stream);
        let reader = BufReader::new(SharedStream(stream.clone()));
        Self { reader, stream, silent, gate: gate.clone(), id, last: false }
    }

    /// Whether the connection has gone silent.
    pub fn is_silent(&self) -> bool {
        self.silent.load(Ordering::Relaxed)
    }

    /// Makes the connection silent for good.
    pub fn silence(&self) {
        self.silent.store(true, Ordering::Relaxed);
    }

    /// Closes the connection at once.
    pub fn close(&self) {
        // A connection that the peer has closed already needs nothing more.
        let _ = self.stream.shutdown(Shutdown::Both);
    }

    /// Announces that the connection is closed after the coming answer.
    pub fn set_last(&mut self) {
        self.last = true;
    }

    /// Whether the peer has closed its side.
    pub fn is_gone(&self) -> bool {
        let mut byte = [0];
        if self.stream.set_nonblocking(true).is_err() {
            return true;
        }
        let seen = self.stream.peek(&mut byte);
        let restored = self.stream.set_nonblocking(false);
        restored.is_err() || matches!(seen, Ok(0)) || seen.is_err_and(|error| is_final(&error))
    }

    fn write(&self, bytes: &[u8]) -> io::Result<()> {
        if self.is_silent() {
            return Ok(());
        }
        (&*self.stream).write_all(bytes)
    }

    /// Answers with a body.
    ///
    /// # Errors
    ///
    /// The connection's error.
    pub fn respond(&self, status: u16, headers: &str, body: &[u8]) -> io::Result<()> {
        let last = if self.last { "Connection: close\r\n" } else { "" };
        let length = body.len();
        let head = format!("HTTP/1.1 {status} \r\nContent-Length: {length}\r\n{last}{headers}\r\n");
        let mut answer = head.into_bytes();
        answer.extend_from_slice(body);
        self.write(&answer)
    }

    /// Answers with a JSON body.
    ///
    /// # Errors
    ///
    /// The connection's error.
    pub fn respond_json<T: Serialize>(&self, status: u16, value: &T) -> io::Result<()> {
        let body = serde_json::to_vec(value).map_err(io::Error::other)?;
        self.respond(status, "Content-Type: application/json\r\n", &body)
    }

    /// Answers with a refusal that had no effect.
    ///
    /// # Errors
    ///
    /// The connection's error.
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

    /// Sends the head of a chunked answer.
    ///
    /// # Errors
    ///
    /// The connection's error.
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
    /// The connection's error; the peer has gone.
    pub fn write_chunk(&self, data: &[u8]) -> io::Result<()> {
        let mut chunk = Vec::with_capacity(data.len() + 16);
        write!(chunk, "{:x}\r\n", data.len())?;
        chunk.extend_from_slice(data);
        chunk.extend_from_slice(b"\r\n");
        self.write(&chunk)
    }

    /// Sends the end mark of a chunked answer.
    ///
    /// # Errors
    ///
    /// The connection's error; the peer has gone.
    pub fn end_stream(&self) -> io::Result<()> {
        self.write(b"0\r\n\r\n")
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.gate.forget(self.id);
    }
}

fn is_final(error: &io::Error) -> bool {
    error.kind() != io::ErrorKind::WouldBlock && error.kind() != io::ErrorKind::Interrupted
}

/// Whether the connection may serve another request after `answer`.
pub fn keep(connection: &Connection, answer: impl FnOnce(&Connection) -> io::Result<()>) -> bool {
    answer(connection).is_ok()
}
