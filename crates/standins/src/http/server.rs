//! Accepts connections and passes their requests to a handler.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;

use socket2::{Domain, Protocol, Socket, Type};

use super::connection::Connection;
use super::listener_faults::ListenerFaults;
use super::request::HttpRequest;

/// Stack size of the accept thread and of each connection thread, in bytes.
const STACK_BYTES: usize = 256 * 1024;
/// Maximum number of connections waiting to be accepted.
const BACKLOG: i32 = 1024;

/// Handles one request.
///
/// Returns the connection to serve its next request, or `None` if the handler keeps or closes it.
pub type Handler = Arc<dyn Fn(HttpRequest, Connection) -> Option<Connection> + Send + Sync>;

/// Listens on `address` and serves each connection on its own thread.
///
/// # Errors
///
/// The operating system's error, for instance if the address is in use or not local.
pub fn serve(
    address: SocketAddr,
    listener_faults: Arc<ListenerFaults>,
    handler: Handler,
) -> io::Result<()> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    let listener: TcpListener = socket.into();
    let accept = move || {
        for stream in listener.incoming().flatten() {
            start_connection(stream, &listener_faults, &handler);
        }
    };
    thread::Builder::new()
        .name(format!("accept {}", address.port()))
        .stack_size(STACK_BYTES)
        .spawn(accept)?;
    Ok(())
}

fn start_connection(stream: TcpStream, listener_faults: &Arc<ListenerFaults>, handler: &Handler) {
    if listener_faults.is_down() || stream.set_nodelay(true).is_err() {
        return;
    }
    let connection = Connection::new(stream, listener_faults);
    let listener_faults = listener_faults.clone();
    let handler = handler.clone();
    let thread = thread::Builder::new()
        .name("connection".to_owned())
        .stack_size(STACK_BYTES)
        .spawn(move || serve_connection(connection, &listener_faults, &handler));
    // If no thread can be started, the connection closes, as on an overloaded endpoint.
    drop(thread);
}

fn serve_connection(
    mut connection: Connection,
    listener_faults: &ListenerFaults,
    handler: &Handler,
) {
    while let Ok(Some(request)) = HttpRequest::read(&mut connection.reader) {
        if connection.is_silent() {
            continue;
        }
        listener_faults.wait_unfrozen();
        let close = request.wants_close();
        let Some(next) = handler(request, connection) else {
            return;
        };
        if close {
            return;
        }
        connection = next;
    }
}
