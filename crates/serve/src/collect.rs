//! Digests: what a collector passes on of the instances of its domain and of other domains.

use std::rc::Rc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep, timeout_at};

use crate::datagram::Datagram;
use crate::front::Front;
use crate::pulse::send_all;

/// Time between two digests of an instance whose weight is at least [`FULL_WEIGHT`].
const INTERVAL: Duration = Duration::from_millis(40);

/// Longest such time, at the smallest instances.
const MAX_INTERVAL: Duration = Duration::from_millis(120);

/// Weight from which on an instance can send digests in every interval, in thousandths of a core.
const FULL_WEIGHT: u32 = 250;

/// Shortest time between two digests.
const MIN_INTERVAL: Duration = Duration::from_millis(15);

/// Time after which a digest is sent although there is nothing to pass on.
const HEARTBEAT: Duration = Duration::from_millis(120);

/// Sends digests while this instance collects.
pub async fn send_digests(front: Rc<Front>, socket: Rc<UdpSocket>) {
    let weight = front.hub.ask(|node, _| node.own().0.weight);
    let interval = interval(weight);
    let mut round = 0;
    let mut told = Instant::now();
    loop {
        let digests = front.hub.ask(move |node, now| node.digests(round, now));
        let quiet = told.elapsed() >= HEARTBEAT;
        for (digest, audience) in digests.into_iter().flatten() {
            let empty =
                digest.pulses.is_empty() && digest.sums.iter().all(|sums| sums.loads.is_empty());
            if quiet || !empty {
                metrics::counter!("agatestair_serve_digests_total").increment(1);
                send_all(&front, &socket, &Datagram::Digest(digest), &audience).await;
                told = Instant::now();
            }
        }
        round += 1;
        let next = Instant::now() + interval;
        sleep(MIN_INTERVAL).await;
        // An end by the time is the usual one.
        drop(timeout_at(next, front.urgent.notified()).await);
    }
}

/// Time between two digests of an instance with a weight.
fn interval(weight: u32) -> Duration {
    let factor = f64::from(FULL_WEIGHT) / f64::from(weight.max(1));
    INTERVAL.mul_f64(factor.max(1.0)).min(MAX_INTERVAL)
}
