//! Accepts callers' connections.
//!
//! Uses `hyper` instead of `tiny_http`, because it limits the size and arrival time of request
//! heads, closes connections individually and detects callers that disconnect before the response.

use std::convert::Infallible;
use std::future::Future;
use std::net::TcpListener as StdListener;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use std::{io, thread};

use agatestair_runtime::{Keepalive, configure_stream, log_event, set_send_buffer};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;

use crate::core::message::EntryMessage;
use crate::events::{ACCEPT_FAILED, CONNECTION_FAILED};
use crate::http::routes::handle;
use crate::http::state::ServerState;

/// Time within which a request head must arrive; also the idle timeout of keep-alive connections.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum size of a request head in bytes.
const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Maximum number of request headers.
const MAX_HEADERS: usize = 64;
/// Size of the send buffer of a connection (`SO_SNDBUF`), in bytes.
const SEND_BUFFER_BYTES: usize = 128 * 1024;
/// Connections allowed in addition to the maximum number of open requests.
const SPARE_CONNECTIONS: usize = 1000;
/// Delay after a failed `accept`.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves callers on a dedicated thread until `closing` is cancelled, then drains open connections.
///
/// # Errors
///
/// The operating system's error if no thread can be started.
pub fn start_server(
    listener: StdListener,
    server: Arc<ServerState>,
    closing: CancellationToken,
) -> io::Result<()> {
    listener.set_nonblocking(true)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    thread::Builder::new().name("callers".to_owned()).spawn(move || {
        runtime.block_on(async {
            match TcpListener::from_std(listener) {
                Ok(listener) => serve(listener, server.clone(), closing).await,
                Err(error) => log_event!(server.log, ACCEPT_FAILED, "error" => error.to_string()),
            }
            // Fails only if the process is already exiting.
            server.channel.send(EntryMessage::Drained);
        });
    })?;
    Ok(())
}

async fn serve(listener: TcpListener, server: Arc<ServerState>, closing: CancellationToken) {
    let permits = Arc::new(Semaphore::new(server.settings.max_open as usize + SPARE_CONNECTIONS));
    loop {
        let permit = tokio::select! {
            permit = permits.clone().acquire_owned() => permit,
            () = closing.cancelled() => break,
        };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = closing.cancelled() => break,
        };
        match accepted {
            Ok((stream, _)) => {
                let connection = serve_connection(stream, server.clone(), closing.clone());
                server.tracker.spawn(async move {
                    connection.await;
                    drop(permit);
                });
            }
            Err(error) => {
                log_event!(server.log, ACCEPT_FAILED, "error" => error.to_string());
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    drop(listener);
    server.tracker.close();
    server.tracker.wait().await;
}

async fn serve_connection(stream: TcpStream, server: Arc<ServerState>, closing: CancellationToken) {
    // If this fails, the kernel's defaults apply and dead connections are detected later.
    let _ = configure_stream(&stream, &Keepalive::default())
        .and_then(|()| set_send_buffer(&stream, SEND_BUFFER_BYTES));
    let handler = server.clone();
    let service = service_fn(move |request| {
        let server = handler.clone();
        async move { Ok::<_, Infallible>(handle(server, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES)
        .max_headers(MAX_HEADERS)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = closing.cancelled() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        metrics::counter!("agatestair_connection_failures_total").increment(1);
        log_event!(server.log, CONNECTION_FAILED, "error" => error.to_string());
    }
}

/// Runs `future` on the server's thread, independent of the connection that started it.
pub fn spawn_detached(server: &ServerState, future: impl Future<Output = ()> + Send + 'static) {
    server.tracker.spawn(future);
}
