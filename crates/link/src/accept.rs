//! Accepting end of links.

use std::sync::Arc;

use http::{Response, StatusCode};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

use crate::error::LinkError;
use crate::node::{Shared, WINDOW_BYTES};
use crate::session::{Session, Side};

/// Maximum number of concurrent streams per connection.
const MAX_STREAMS: u32 = 1;

/// Accepts connections until the node shuts down.
pub async fn accept_all(listener: TcpListener, shared: Arc<Shared>) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = shared.token.cancelled() => return,
        };
        if let Ok((socket, _)) = accepted {
            let shared = shared.clone();
            tokio::spawn(async move {
                if let Err(error) = run_accepted(socket, &shared).await {
                    shared.log_failure("accepted", &error);
                }
            });
        }
    }
}

async fn run_accepted(socket: TcpStream, shared: &Arc<Shared>) -> Result<(), LinkError> {
    socket.set_nodelay(true)?;
    let mut builder = h2::server::Builder::new();
    builder.initial_window_size(WINDOW_BYTES);
    builder.initial_connection_window_size(WINDOW_BYTES);
    builder.max_concurrent_streams(MAX_STREAMS);
    let limit = shared.timeout();
    let mut connection =
        timeout(limit, builder.handshake(socket)).await.map_err(|_| LinkError::TimedOut)??;
    let ping = connection.ping_pong().expect("the ping handle is taken once");
    let accepted = timeout(limit, connection.accept()).await.map_err(|_| LinkError::TimedOut)?;
    let Some(accepted) = accepted else {
        return Err(LinkError::Closed("no stream was opened".to_owned()));
    };
    let (request, mut respond) = accepted?;
    let mut response = Response::new(());
    *response.status_mut() = StatusCode::OK;
    let stream = respond.send_response(response, false)?;
    let session = Session::new(request.into_body(), stream, ping);
    let driver = async move { while connection.accept().await.is_some() {} };
    tokio::select! {
        error = session.run(shared, Side::Accepted) => Err(error),
        () = driver => Err(LinkError::Closed("connection ended".to_owned())),
    }
}
