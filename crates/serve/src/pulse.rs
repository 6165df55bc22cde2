//! What each instance tells others: that it is there, and what it has in work.
//!
//! Every instance tells the others its own attempts at each endpoint, so that all place on nearly
//! the same view: by itself in a small fleet, through the collectors of its domain in a large one.
//! A lost datagram is made up for by the next one.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use agatestair_policy::EndpointKey;
use agatestair_policy::board::NOTABLE_TOKENS;
use agatestair_runtime::log_event;
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep, timeout_at};

use crate::bulletins::note_bulletin;
use crate::collectors::REPORT_CLEARED;
use crate::datagram::{Datagram, Digest, MAX_BYTES, Pulse};
use crate::events::{ENDPOINT_LEAVING, MEMBER_CHANGED, PULSE_MALFORMED, PULSE_UNSENT};
use crate::front::Front;
use crate::node::Heard;
use crate::store::Table;

/// Time between two datagrams while there is work: a few arrivals at one endpoint.
const BUSY_INTERVAL: Duration = Duration::from_millis(40);

/// Datagram rounds without news after which one is sent all the same.
const QUIET_ROUNDS: u64 = 12;

/// Datagrams that tell of a part of a prompt, since some are lost.
const READ_ROUNDS: u32 = 2;

/// Datagrams that tell that a load is gone; without them others count it for `PEER_LIFETIME`.
const CLEARED_ROUNDS: u32 = 3;

/// Shortest time for which that is told: longer than a burst in which all datagrams are lost.
const CLEARED_TIME: Duration = Duration::from_millis(600);

/// What was last sent to a group of instances.
#[derive(Default)]
struct Told {
    pulse: Option<Pulse>,
    round: u64,
}

/// Sends datagrams until the process ends.
pub async fn send_pulses(front: Rc<Front>, socket: Rc<UdpSocket>) {
    let mut told = [Told::default(), Told::default()];
    let mut round = 0;
    loop {
        let large = front.hub.ask(|node, _| {
            let large = node.members.is_large();
            if !large {
                node.collectors.dismiss();
            }
            large
        });
        if large {
            report(&front, &socket, &mut told[0], round).await;
        } else {
            for (group, told) in told.iter_mut().enumerate() {
                send_round(&front, &socket, group == 0, told, round).await;
            }
        }
        round += 1;
        let next = Instant::now() + BUSY_INTERVAL;
        // A timeout lets news that are there pass, which must not keep the rounds from going on.
        while Instant::now() < next {
            let Ok(keys) = timeout_at(next, front.news.next()).await else { break };
            if large {
                report_news(&front, &socket, &keys).await;
            } else {
                send_news(&front, &socket, &keys, round).await;
            }
        }
    }
}

/// Reports to the collectors if there is something new.
async fn report(front: &Front, socket: &UdpSocket, told: &mut Told, round: u64) {
    let pulse =
        front.hub.ask(|node, now| node.pulse(REPORT_CLEARED, BUSY_INTERVAL * READ_ROUNDS, now));
    if round - told.round >= QUIET_ROUNDS || told.pulse.as_ref() != Some(&pulse) {
        send_report(front, socket, pulse.clone()).await;
        *told = Told { pulse: Some(pulse), round };
    }
}

/// Reports the loads of some endpoints at once.
async fn report_news(front: &Front, socket: &UdpSocket, keys: &[EndpointKey]) {
    let keys = keys.to_vec();
    let pulse = front.hub.ask(move |node, now| node.pulse_of(&keys, now));
    send_report(front, socket, pulse).await;
}

async fn send_report(front: &Front, socket: &UdpSocket, pulse: Pulse) {
    let report = pulse.clone();
    let collectors = front.hub.ask(move |node, now| node.report(report, now));
    if is_urgent(&pulse) && collectors.is_empty() {
        front.urgent.notify_one();
    }
    send_all(front, socket, &Datagram::Report(pulse), &collectors).await;
}

/// Whether a pulse is passed on without waiting for the next round.
fn is_urgent(pulse: &Pulse) -> bool {
    !pulse.reads.is_empty() || pulse.loads.iter().any(|load| load.unread >= NOTABLE_TOKENS)
}

/// Whether a digest tells of long prompts that are yet to be read.
fn is_notable(digest: &Digest) -> bool {
    let mut loads = digest.sums.iter().flat_map(|sums| &sums.loads);
    loads.any(|load| load.unread >= NOTABLE_TOKENS)
}

/// Tells all others that this instance is there, before collectors know of it.
pub async fn greet(front: &Front, socket: &UdpSocket) {
    let composed = front.hub.ask(|node, now| {
        let pulse = node.pulse_of(&[], now);
        node.members.is_large().then(|| (pulse, node.members.everyone(0, now)))
    });
    if let Some((pulse, audience)) = composed {
        send_all(front, socket, &Datagram::Pulse(pulse), &audience).await;
    }
}

/// Tells all others of the loads of some endpoints.
async fn send_news(front: &Front, socket: &UdpSocket, keys: &[EndpointKey], round: u64) {
    let keys = keys.to_vec();
    let (pulse, audience) = front.hub.ask(move |node, now| {
        let own = node.own().0;
        let groups = [true, false].map(|near| node.members.group(&own.domain, near));
        let audience = groups.iter().flat_map(|group| group.audience(round, now));
        (node.pulse_of(&keys, now), audience.collect::<Vec<_>>())
    });
    send_all(front, socket, &Datagram::Pulse(pulse), &audience).await;
}

/// Sends a group its datagram if it is due and says something new.
async fn send_round(front: &Front, socket: &UdpSocket, near: bool, told: &mut Told, round: u64) {
    let due = front.hub.ask(move |node, now| {
        let own = node.own().0;
        let group = node.members.group(&own.domain, near);
        if !round.is_multiple_of(group.period) {
            return None;
        }
        let interval = BUSY_INTERVAL * u32::try_from(group.period).unwrap_or(u32::MAX);
        let cleared = (interval * CLEARED_ROUNDS).max(CLEARED_TIME);
        let pulse = node.pulse(cleared, interval * READ_ROUNDS, now);
        Some((pulse, group.audience(round, now), group.period))
    });
    let Some((pulse, audience, period)) = due else { return };
    let quiet = round - told.round >= QUIET_ROUNDS.max(2 * period);
    if quiet || told.pulse.as_ref() != Some(&pulse) {
        send_all(front, socket, &Datagram::Pulse(pulse.clone()), &audience).await;
        *told = Told { pulse: Some(pulse), round };
    }
}

/// Sends a datagram to some instances.
pub async fn send_all(
    front: &Front,
    socket: &UdpSocket,
    datagram: &Datagram,
    audience: &[SocketAddr],
) {
    let bytes = match datagram.encode() {
        Ok(bytes) => bytes,
        Err(fault) => return log_event!(front.log, PULSE_UNSENT, "error" => fault.to_string()),
    };
    for address in audience {
        if let Err(error) = socket.send_to(&bytes, address).await {
            log_event!(front.log, PULSE_UNSENT, "to" => address.to_string(),
                "error" => error.to_string());
        }
    }
}

/// Takes in datagrams until the process ends.
pub async fn receive_datagrams(front: Rc<Front>, socket: Rc<UdpSocket>) {
    let mut bytes = vec![0; MAX_BYTES];
    loop {
        let (length, from) = match socket.recv_from(&mut bytes).await {
            Ok(received) => received,
            Err(error) => {
                log_event!(front.log, PULSE_MALFORMED, "error" => error.to_string());
                sleep(BUSY_INTERVAL).await;
                continue;
            }
        };
        match Datagram::try_from(&bytes[..length]) {
            Ok(Datagram::Pulse(pulse)) => {
                let heard = front.hub.ask(move |node, now| node.hear_pulse(&pulse, now));
                note_heard(&front, heard);
            }
            Ok(Datagram::Report(pulse)) => {
                if is_urgent(&pulse) {
                    front.urgent.notify_one();
                }
                let heard = front.hub.ask(move |node, now| node.hear_report(pulse, now));
                note_heard(&front, heard);
            }
            Ok(Datagram::Digest(digest)) => {
                if is_notable(&digest) {
                    front.urgent.notify_one();
                }
                let heard = front.hub.ask(move |node, now| node.hear_digest(&digest, now));
                heard.into_iter().for_each(|heard| note_heard(&front, heard));
            }
            Ok(Datagram::Bulletin(bulletin)) => note_bulletin(&front, bulletin),
            Err(fault) => log_event!(front.log, PULSE_MALFORMED, "from" => from.to_string(),
                "error" => fault.to_string()),
        }
    }
}

fn note_heard(front: &Front, heard: Heard) {
    if let Some((name, state)) = heard.news {
        log_event!(front.log, MEMBER_CHANGED, "member" => &*name, "ready" => state.ready,
            "leaving" => state.leaving);
    }
    for name in heard.leavers {
        log_event!(front.log, ENDPOINT_LEAVING, "endpoint" => &*name, "source" => "datagram");
    }
    if heard.behind {
        front.behind.notify(Table::Configuration);
    }
}
