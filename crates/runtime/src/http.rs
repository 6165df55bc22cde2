//! HTTP listening and answering over `tiny_http`.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::os::fd::AsFd;
use std::time::Duration;

use chunked_transfer::Encoder;
use serde::Serialize;
use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};
use tiny_http::{Header, Request, Response, Server};

/// Connections waiting to be accepted.
const BACKLOG: i32 = 1024;
/// Idle time before the first keepalive probe.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(5);
/// Time between keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Unanswered keepalive probes that end a connection.
const KEEPALIVE_RETRIES: u32 = 3;
/// Time that sent data may stay unacknowledged before the connection ends.
const USER_TIMEOUT: Duration = Duration::from_secs(10);

/// Listens on `address` with `tiny_http`; accepted connections that go silent are ended by the
/// kernel.
///
/// # Errors
///
/// The operating system's error if the address is in use or not of this machine.
pub fn listen(address: SocketAddr) -> io::Result<Server> {
    Server::from_listener(bind(address)?, None).map_err(io::Error::other)
}

/// Binds a listener to `address`; accepted connections inherit [`configure_stream`]'s options.
///
/// # Errors
///
/// The operating system's error if the address is in use or not of this machine.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    configure_stream(&socket)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// Has the kernel end a connection whose other end has gone silent, and send without delay.
///
/// # Errors
///
/// The operating system's error.
pub fn configure_stream<S: AsFd>(stream: &S) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    socket.set_tcp_nodelay(true)
}

/// Bounds what the kernel keeps of data that the other end of a connection has not read, in bytes.
///
/// # Errors
///
/// The operating system's error.
pub fn bound_unsent<S: AsFd>(stream: &S, bytes: usize) -> io::Result<()> {
    SockRef::from(stream).set_send_buffer_size(bytes)
}

/// Reads the body of a request, up to `limit` bytes.
///
/// # Errors
///
/// [`io::ErrorKind::FileTooLarge`] above the limit, else the connection's error.
pub fn read_body(request: &mut Request, limit: u64) -> io::Result<Vec<u8>> {
    if request.body_length().is_some_and(|length| length as u64 > limit) {
        return Err(io::ErrorKind::FileTooLarge.into());
    }
    let mut body = Vec::new();
    request.as_reader().take(limit + 1).read_to_end(&mut body)?;
    if body.len() as u64 > limit {
        return Err(io::ErrorKind::FileTooLarge.into());
    }
    Ok(body)
}

/// Answers with a body of the given content type.
///
/// # Errors
///
/// The connection's error.
pub fn respond(request: Request, status: u16, content: &str, body: Vec<u8>) -> io::Result<()> {
    let header = header("Content-Type", content);
    request.respond(Response::from_data(body).with_status_code(status).with_header(header))
}

/// Answers with a JSON body.
///
/// # Errors
///
/// The connection's error.
pub fn respond_json<T: Serialize>(request: Request, status: u16, value: &T) -> io::Result<()> {
    let body = serde_json::to_vec(value).map_err(io::Error::other)?;
    respond(request, status, "application/json", body)
}

fn header(name: &str, value: &str) -> Header {
    Header::from_bytes(name, value).expect("names and values of headers are ASCII")
}

/// Writes a chunked answer piece by piece, flushing after each.
pub struct StreamWriter {
    encoder: Option<Encoder<Box<dyn Write + Send>>>,
}

impl StreamWriter {
    /// Sends the head of the answer and takes over the connection.
    ///
    /// # Errors
    ///
    /// The connection's error.
    pub fn start(request: Request, status: u16, headers: &[(&str, &str)]) -> io::Result<Self> {
        let mut writer = request.into_writer();
        write!(
            writer,
            "HTTP/1.1 {status} \r\nTransfer-Encoding: chunked\r\nConnection: close\r\n"
        )?;
        for (name, value) in headers {
            write!(writer, "{name}: {value}\r\n")?;
        }
        writer.write_all(b"\r\n")?;
        writer.flush()?;
        Ok(Self { encoder: Some(Encoder::with_flush_after_write(writer)) })
    }

    /// Sends one piece as one chunk.
    ///
    /// # Errors
    ///
    /// The connection's error; the caller has gone.
    pub fn write_piece(&mut self, piece: &[u8]) -> io::Result<()> {
        match &mut self.encoder {
            Some(encoder) => {
                encoder.write_all(piece)?;
                encoder.flush()
            }
            None => Err(io::ErrorKind::NotConnected.into()),
        }
    }

    /// Sends the end mark. A writer that is dropped without it leaves the answer visibly cut.
    ///
    /// # Errors
    ///
    /// The connection's error.
    pub fn finish(mut self) -> io::Result<()> {
        drop(self.encoder.take());
        Ok(())
    }
}
