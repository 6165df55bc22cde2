//! Accepts connections and hands their requests to a handler.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;

use socket2::{Domain, Protocol, Socket, Type};

use super::connection::Connection;
use super::gate::Gate;
use super::request::HttpRequest;

/// Stack of a thread that serves one connection, in bytes.
const STACK_BYTES: usize = 256 * 1024;
/// Connections waiting to be accepted.
const BACKLOG: i32 = 1024;

/// Answers one request.
///
/// Returns the connection to serve its next request, or `None` when it took the connection over.
pub type Handler = Arc<dyn Fn(HttpRequest, Connection) -> Option<Connection> + Send + Sync>;

/// Listens on `address` and serves each connection in a thread of its own.
///
/// # Errors
///
/// The operating system's error if the address is in use or not of this machine.
pub fn serve(address: SocketAddr, gate: Arc<Gate>, handler: Handler) -> io::Result<()> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    let listener: TcpListener = socket.into();
    let accept = move || {
        for stream in listener.incoming().flatten() {
            accept_one(stream, &gate, &handler);
        }
    };
    thread::Builder::new()
        .name(format!("accept {}", address.port()))
        .stack_size(STACK_BYTES)
        .spawn(accept)?;
    Ok(())
}

fn accept_one(stream: TcpStream, gate: &Arc<Gate>, handler: &Handler) {
    if gate.is_down() || stream.set_nodelay(true).is_err() {
        return;
    }
    let connection = Connection::new(stream, gate);
    let gate = gate.clone();
    let handler = handler.clone();
    let served = thread::Builder::new()
        .name("connection".to_owned())
        .stack_size(STACK_BYTES)
        .spawn(move || serve_one(connection, &gate, &handler));
    // Without a thread the connection is closed, as an overloaded endpoint would do.
    drop(served);
}

fn serve_one(mut connection: Connection, gate: &Gate, handler: &Handler) {
    while let Ok(Some(request)) = HttpRequest::read(&mut connection.reader) {
        if connection.is_silent() {
            continue;
        }
        gate.wait_thaw();
        let close = request.wants_close();
        let Some(kept) = handler(request, connection) else {
            return;
        };
        if close {
            return;
        }
        connection = kept;
    }
}
