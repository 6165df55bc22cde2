//! Detects silent endpoints that are unreachable.
//!
//! A machine that lost power or is behind a network partition sends nothing, and its connections
//! hang until the kernel times them out. A new connection attempt detects this within a fraction of
//! a second.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use agatestair_policy::EndpointKey;
use agatestair_runtime::log_event;
use rand::Rng;
use tokio::time::{Instant, sleep};

use crate::connection::{Connection, ConnectionSettings};
use crate::events::{ENDPOINT_REACHABLE, ENDPOINT_UNREACHABLE};
use crate::node::Placement;
use crate::shared::Shared;

/// First pause between attempts to connect to an unreachable endpoint.
const FIRST_PAUSE: Duration = Duration::from_millis(200);

/// Longest pause between these attempts.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// Waits until an endpoint proves unreachable: opens a new connection after each `quiet` time
/// without a response.
pub async fn until_unreachable(shared: &Rc<Shared>, placement: &Placement, quiet: Duration) {
    loop {
        sleep(quiet).await;
        let key = placement.key;
        if shared.hub.ask(move |node, _| node.board.is_unreachable(key)) {
            return;
        }
        match Connection::open(placement.address, &ConnectionSettings::default()).await {
            Ok(connection) => shared.keep_connection(key, connection),
            Err(error) if is_remote_failure(&error) => {
                return note_unreachable(shared, placement, &error);
            }
            Err(_) => {}
        }
    }
}

/// Waits until one of these unreachable endpoints can be reached again.
pub async fn until_reachable(shared: &Shared, keys: &[EndpointKey]) {
    loop {
        let reached = shared.reached.notified();
        let keys = keys.to_vec();
        let waits =
            shared.hub.ask(move |node, _| keys.iter().all(|key| node.board.is_unreachable(*key)));
        if !waits {
            return;
        }
        reached.await;
    }
}

/// Whether a connection error is caused by the remote end or the network, not by this process.
fn is_remote_failure(error: &io::Error) -> bool {
    use io::ErrorKind::{
        ConnectionRefused, ConnectionReset, HostUnreachable, NetworkUnreachable, TimedOut,
    };
    matches!(
        error.kind(),
        ConnectionRefused | ConnectionReset | HostUnreachable | NetworkUnreachable | TimedOut
    )
}

/// Stops using an endpoint until a connection to it succeeds, if `error` shows that the endpoint is
/// unreachable.
pub fn note_unreachable(shared: &Rc<Shared>, placement: &Placement, error: &io::Error) {
    let key = placement.key;
    if !is_remote_failure(error) || !shared.hub.ask(move |node, _| node.board.note_unreachable(key))
    {
        return;
    }
    metrics::counter!("agatestair_serve_dark_total").increment(1);
    log_event!(shared.log, ENDPOINT_UNREACHABLE, "endpoint" => &*placement.name,
        "cause" => error.to_string());
    let (shared, placement) = (shared.clone(), placement.clone());
    tokio::task::spawn_local(async move { reconnect(&shared, key, placement.address).await });
}

/// Tries to connect until a connection succeeds or the endpoint is removed.
async fn reconnect(shared: &Shared, key: EndpointKey, address: SocketAddr) {
    let begun = Instant::now();
    let mut pause = FIRST_PAUSE;
    while shared.hub.ask(move |node, _| node.board.is_unreachable(key)) {
        // Jitter, since all instances usually lose an endpoint at the same time.
        sleep(pause.mul_f64(0.5 + rand::rng().random::<f64>())).await;
        pause = (pause * 2).min(MAX_PAUSE);
        if let Ok(connection) = Connection::open(address, &ConnectionSettings::default()).await {
            shared.keep_connection(key, connection);
            shared.hub.ask(move |node, _| node.board.note_reachable(key));
            shared.reached.notify_waiters();
            let name = shared.hub.ask(move |node, _| node.board.name(key));
            log_event!(shared.log, ENDPOINT_REACHABLE, "endpoint" => name.as_deref(),
                "ms" => begun.elapsed().as_millis() as u64);
        }
    }
}
