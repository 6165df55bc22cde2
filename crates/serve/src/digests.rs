//! Sends digests, in which a collector forwards the reports of its own domain and of other domains.

use std::rc::Rc;
use std::time::Duration;

use agatestair_runtime::log_event;
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep, timeout_at};

use crate::collectors::interval;
use crate::datagram::Datagram;
use crate::events::COLLECTING;
use crate::pulse::send_all;
use crate::shared::Shared;

/// Fraction of the interval between two digests after which an urgent one may be sent.
const URGENT_SHARE: f64 = 0.4;

/// Time after which a digest is sent even if it is empty.
const HEARTBEAT: Duration = Duration::from_millis(120);

/// Sends digests while this instance is a collector.
pub async fn send_digests(shared: Rc<Shared>, socket: Rc<UdpSocket>) {
    let weight = shared.hub.ask(|node, _| node.own().0.weight);
    let interval = interval(weight);
    let mut round = 0;
    let mut last_sent = Instant::now();
    let mut collecting = false;
    loop {
        let link = shared.settings().machine.link_mbps;
        let digests = shared.hub.ask(move |node, now| node.digests(round, link, now));
        if digests.is_some() != collecting {
            collecting = digests.is_some();
            let members = digests.as_ref().map(|[(_, local), _]| local.len());
            log_event!(shared.log, COLLECTING, "collecting" => collecting, "members" => members);
        }
        let heartbeat = last_sent.elapsed() >= HEARTBEAT;
        for (digest, audience) in digests.into_iter().flatten() {
            let empty = digest.pulses.is_empty()
                && digest.sums.iter().all(|sums| sums.loads.is_empty())
                && digest.news.is_empty();
            if heartbeat || !empty {
                metrics::counter!("agatestair_serve_digests_total").increment(1);
                send_all(&shared, &socket, &Datagram::Digest(digest), &audience).await;
                last_sent = Instant::now();
            }
        }
        round += 1;
        let next = Instant::now() + interval;
        sleep(interval.mul_f64(URGENT_SHARE)).await;
        // Running into the timeout is the normal case.
        drop(timeout_at(next, shared.urgent.notified()).await);
    }
}
