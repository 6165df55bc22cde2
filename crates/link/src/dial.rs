//! Dialling end of links; redials with backoff.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::Request;
use rand::Rng;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

use crate::error::LinkError;
use crate::node::{Shared, WINDOW_BYTES};
use crate::session::{Session, Side};

/// Initial delay before a redial.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// Longest delay before a redial.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Keeps a link to `address` open until `token` is cancelled.
pub async fn keep_connected(address: SocketAddr, shared: Arc<Shared>, token: CancellationToken) {
    let mut backoff = MIN_BACKOFF;
    loop {
        let ended = tokio::select! {
            ended = run_dialled(address, &shared) => ended,
            () = token.cancelled() => return,
        };
        if ended.established {
            backoff = MIN_BACKOFF;
        }
        shared.log_failure("dialled", &ended.error);
        let wait = backoff.mul_f64(rand::rng().random_range(0.5..1.0));
        backoff = (backoff * 2).min(MAX_BACKOFF);
        tokio::select! {
            () = sleep(wait) => {}
            () = token.cancelled() => return,
        }
    }
}

/// How a dialled link ended.
struct DialEnd {
    established: bool,
    error: LinkError,
}

async fn run_dialled(address: SocketAddr, shared: &Arc<Shared>) -> DialEnd {
    match timeout(shared.timeout(), connect(address)).await {
        Ok(Ok(socket)) => {
            let error = run_connection(socket, address, shared).await.err();
            let error = error.unwrap_or(LinkError::Cancelled);
            DialEnd { established: error != LinkError::Unauthenticated, error }
        }
        Ok(Err(error)) => DialEnd { established: false, error },
        Err(_) => DialEnd { established: false, error: LinkError::TimedOut },
    }
}

async fn connect(address: SocketAddr) -> Result<TcpStream, LinkError> {
    let socket = TcpStream::connect(address).await?;
    socket.set_nodelay(true)?;
    Ok(socket)
}

async fn run_connection(
    socket: TcpStream,
    address: SocketAddr,
    shared: &Arc<Shared>,
) -> Result<(), LinkError> {
    let mut builder = h2::client::Builder::new();
    builder.initial_window_size(WINDOW_BYTES);
    builder.initial_connection_window_size(WINDOW_BYTES);
    let handshake = timeout(shared.timeout(), builder.handshake(socket)).await;
    let (client, mut connection) = handshake.map_err(|_| LinkError::TimedOut)??;
    let ping = connection.ping_pong().expect("the ping handle is taken once");
    let session = async move {
        let mut client = client.ready().await?;
        let request = Request::post(format!("http://{address}/link")).body(());
        let request = request.map_err(|error| LinkError::Malformed(error.to_string()))?;
        let (response, stream) = client.send_request(request, false)?;
        let response = timeout(shared.timeout(), response).await;
        let body = response.map_err(|_| LinkError::TimedOut)??.into_body();
        Err(Session::new(body, stream, ping).run(shared, Side::Dialled).await)
    };
    tokio::select! {
        ended = session => ended,
        ended = connection => Err(match ended {
            Ok(()) => LinkError::Closed("connection ended".to_owned()),
            Err(error) => error.into(),
        }),
    }
}
