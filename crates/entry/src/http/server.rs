//! Accepts callers' connections.
//!
//! `hyper` takes the place of `tiny_http` here, since it bounds heads and times, ends each
//! connection by itself and tells when a caller leaves before its answer.

use std::convert::Infallible;
use std::future::Future;
use std::net::TcpListener as StdListener;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use std::{io, thread};

use agatestair_runtime::{Keepalive, bound_unsent, configure_stream, log_event};
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

/// Longest time in which a head must arrive, and longest idle time of a kept connection.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Greatest size of a head in bytes.
const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Greatest number of headers.
const MAX_HEADERS: usize = 64;
/// Bytes that the kernel keeps for a caller that reads slowly.
const MAX_UNSENT_BYTES: usize = 128 * 1024;
/// Connections allowed beside those with a request in work.
const SPARE_CONNECTIONS: usize = 1000;
/// Pause after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves callers on a thread of its own until `closing`, then finishes what is open.
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
            // The process is ending already if this fails.
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
    // The kernel's defaults stay in force if this fails; silent callers are then found later.
    let _ = configure_stream(&stream, &Keepalive::default())
        .and_then(|()| bound_unsent(&stream, MAX_UNSENT_BYTES));
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

/// Runs `future` on the callers' thread apart from the connection that asked for it.
pub fn spawn_detached(server: &ServerState, future: impl Future<Output = ()> + Send + 'static) {
    server.tracker.spawn(future);
}
