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

use crate::events::{ENDPOINT_DARK, ENDPOINT_REACHED};
use crate::front::Front;
use crate::line::{Line, LineSettings};
use crate::node::Place;

/// First pause between attempts to connect to an unreachable endpoint.
const FIRST_PAUSE: Duration = Duration::from_millis(200);

/// Longest pause between these attempts.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// Waits until an endpoint proves unreachable: opens a new connection after each `quiet` time
/// without an answer.
pub async fn lost(front: &Rc<Front>, place: &Place, quiet: Duration) {
    loop {
        sleep(quiet).await;
        let key = place.key;
        if front.hub.ask(move |node, _| node.board.is_unreachable(key)) {
            return;
        }
        match Line::open(place.address, &LineSettings::default()).await {
            Ok(line) => front.pool.put(key, line),
            Err(error) if is_unreachable(&error) => return note_unreachable(front, place, &error),
            Err(_) => {}
        }
    }
}

/// Whether a connection error is caused by the remote end or the network, not by this process.
fn is_unreachable(error: &io::Error) -> bool {
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
pub fn note_unreachable(front: &Rc<Front>, place: &Place, error: &io::Error) {
    let key = place.key;
    if !is_unreachable(error) || !front.hub.ask(move |node, _| node.board.note_unreachable(key)) {
        return;
    }
    metrics::counter!("agatestair_serve_dark_total").increment(1);
    log_event!(front.log, ENDPOINT_DARK, "endpoint" => &*place.name, "cause" => error.to_string());
    let (front, place) = (front.clone(), place.clone());
    tokio::task::spawn_local(async move { reconnect(&front, key, place.address).await });
}

/// Tries to connect until a connection succeeds or the endpoint is removed.
async fn reconnect(front: &Front, key: EndpointKey, address: SocketAddr) {
    let begun = Instant::now();
    let mut pause = FIRST_PAUSE;
    while front.hub.ask(move |node, _| node.board.is_unreachable(key)) {
        // Jitter, since all instances usually lose an endpoint at the same time.
        sleep(pause.mul_f64(0.5 + rand::rng().random::<f64>())).await;
        pause = (pause * 2).min(MAX_PAUSE);
        if let Ok(line) = Line::open(address, &LineSettings::default()).await {
            front.pool.put(key, line);
            front.hub.ask(move |node, _| node.board.note_reachable(key));
            let name = front.hub.ask(move |node, _| node.board.name(key));
            log_event!(front.log, ENDPOINT_REACHED, "endpoint" => name.as_deref(),
                "ms" => begun.elapsed().as_millis() as u64);
        }
    }
}
