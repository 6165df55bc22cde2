//! Sends and receives pulses: datagrams with the liveness, the state and the load of an instance.
//!
//! Every instance sends the others its own attempts at each endpoint, so that all place attempts on
//! nearly the same view: directly in a small fleet, through the collectors of its domain in a large
//! one. The next datagram makes up for a lost one.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use agatestair_policy::EndpointKey;
use agatestair_policy::board::MIN_TRACKED_TOKENS;
use agatestair_runtime::log_event;
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep, timeout_at};

use crate::bulletins::handle_bulletin;
use crate::collectors::REPORT_CLEARED;
use crate::crash::log_changes;
use crate::datagram::{Datagram, MAX_BYTES, Pulse};
use crate::digest::Digest;
use crate::duty::handle_duty;
use crate::events::{
    DATAGRAM_MALFORMED, DATAGRAM_NOT_SENT, ENDPOINT_LEAVING, ENDPOINT_LIMITED, MEMBER_CHANGED,
};
use crate::node::PulseChanges;
use crate::proof::handle_proof;
use crate::shared::Shared;
use crate::store::Table;
use crate::usage::{handle_usage, handle_usage_ack};

/// Time between two datagrams while the load changes; a few requests arrive at one endpoint in it.
const BUSY_INTERVAL: Duration = Duration::from_millis(40);

/// Number of rounds without changes after which a datagram is sent as a heartbeat.
const QUIET_ROUNDS: u64 = 12;

/// Number of rounds in which a prompt part is sent, since datagrams may be lost.
const PART_ROUNDS: u32 = 2;

/// Number of rounds in which an ended load is sent as cleared; without it, other instances count
/// the load for `PEER_LIFETIME`.
const CLEARED_ROUNDS: u32 = 3;

/// Shortest time for which an ended load is sent as cleared: longer than a burst of datagram loss.
const CLEARED_TIME: Duration = Duration::from_millis(600);

/// Last pulse sent to a group of instances, and its round.
#[derive(Default)]
struct LastSent {
    pulse: Option<Pulse>,
    round: u64,
}

/// Sends pulses until the process ends.
pub async fn send_pulses(shared: Rc<Shared>, socket: Rc<UdpSocket>) {
    let mut last_sent = [LastSent::default(), LastSent::default()];
    let mut round = 0;
    loop {
        let large = shared.hub.ask(|node, _| {
            let large = node.members.is_large();
            if !large {
                node.collectors.clear();
            }
            large
        });
        if large {
            report(&shared, &socket, &mut last_sent[0], round).await;
        } else {
            for (group, last_sent) in last_sent.iter_mut().enumerate() {
                send_round(&shared, &socket, group == 0, last_sent, round).await;
            }
        }
        round += 1;
        let next = Instant::now() + BUSY_INTERVAL;
        // `timeout_at` returns pending changes even after the deadline, so the loop checks the time
        // itself; a stream of changes must not delay the rounds.
        while Instant::now() < next {
            let Ok(keys) = timeout_at(next, shared.load_changes.next()).await else { break };
            if large {
                report_loads(&shared, &socket, &keys).await;
            } else {
                send_loads(&shared, &socket, &keys, round).await;
            }
        }
    }
}

/// Reports to the collectors if the pulse has changed or a heartbeat is due.
async fn report(shared: &Shared, socket: &UdpSocket, last_sent: &mut LastSent, round: u64) {
    let pulse =
        shared.hub.ask(|node, now| node.pulse(REPORT_CLEARED, BUSY_INTERVAL * PART_ROUNDS, now));
    if round - last_sent.round >= QUIET_ROUNDS || last_sent.pulse.as_ref() != Some(&pulse) {
        send_report(shared, socket, pulse.clone()).await;
        *last_sent = LastSent { pulse: Some(pulse), round };
    }
}

/// Reports the loads of some endpoints to the collectors at once.
async fn report_loads(shared: &Shared, socket: &UdpSocket, keys: &[EndpointKey]) {
    let keys = keys.to_vec();
    let pulse = shared.hub.ask(move |node, now| node.pulse_of(&keys, now));
    send_report(shared, socket, pulse).await;
}

async fn send_report(shared: &Shared, socket: &UdpSocket, pulse: Pulse) {
    let report = pulse.clone();
    let collectors = shared.hub.ask(move |node, now| node.report(report, now));
    if is_urgent(&pulse) && collectors.is_empty() {
        shared.urgent.notify_one();
    }
    send_all(shared, socket, &Datagram::Report(pulse), &collectors).await;
}

/// Whether collectors forward a pulse without waiting for the next round.
fn is_urgent(pulse: &Pulse) -> bool {
    !pulse.reads.is_empty() || pulse.loads.iter().any(|load| load.unread >= MIN_TRACKED_TOKENS)
}

/// Whether collectors forward a digest without waiting for the next round, since it reports long
/// prompts that are not yet prefilled.
fn is_urgent_digest(digest: &Digest) -> bool {
    let mut loads = digest.sums.iter().flat_map(|sums| &sums.loads);
    loads.any(|load| load.unread >= MIN_TRACKED_TOKENS)
}

/// Announces this instance to all others of a large fleet, before its collectors know it.
pub async fn send_hello(shared: &Shared, socket: &UdpSocket) {
    let composed = shared.hub.ask(|node, now| {
        let pulse = node.pulse_of(&[], now);
        node.members.is_large().then(|| (pulse, node.members.broadcast_audience(0, now)))
    });
    if let Some((pulse, audience)) = composed {
        send_all(shared, socket, &Datagram::Pulse(pulse), &audience).await;
    }
}

/// Sends the loads of some endpoints to all other instances at once.
async fn send_loads(shared: &Shared, socket: &UdpSocket, keys: &[EndpointKey], round: u64) {
    let keys = keys.to_vec();
    let (pulse, audience) = shared.hub.ask(move |node, now| {
        let own = node.own().0;
        let groups = [true, false].map(|local| node.members.group(&own.domain, local));
        let audience = groups.iter().flat_map(|group| group.audience(round, now));
        (node.pulse_of(&keys, now), audience.collect::<Vec<_>>())
    });
    send_all(shared, socket, &Datagram::Pulse(pulse), &audience).await;
}

/// Sends a pulse to a group if its round has come and the pulse has changed or a heartbeat is due.
async fn send_round(
    shared: &Shared,
    socket: &UdpSocket,
    local: bool,
    last_sent: &mut LastSent,
    round: u64,
) {
    let due = shared.hub.ask(move |node, now| {
        let own = node.own().0;
        let group = node.members.group(&own.domain, local);
        if !round.is_multiple_of(group.period) {
            return None;
        }
        let interval = BUSY_INTERVAL * u32::try_from(group.period).unwrap_or(u32::MAX);
        let cleared = (interval * CLEARED_ROUNDS).max(CLEARED_TIME);
        let pulse = node.pulse(cleared, interval * PART_ROUNDS, now);
        Some((pulse, group.audience(round, now), group.period))
    });
    let Some((pulse, audience, period)) = due else { return };
    let heartbeat = round - last_sent.round >= QUIET_ROUNDS.max(2 * period);
    if heartbeat || last_sent.pulse.as_ref() != Some(&pulse) {
        send_all(shared, socket, &Datagram::Pulse(pulse.clone()), &audience).await;
        *last_sent = LastSent { pulse: Some(pulse), round };
    }
}

/// Sends a datagram to the given addresses; failures are logged.
pub async fn send_all(
    shared: &Shared,
    socket: &UdpSocket,
    datagram: &Datagram,
    audience: &[SocketAddr],
) {
    let Some(bytes) = encode(shared, datagram) else { return };
    for address in audience {
        send_bytes(shared, socket, &bytes, *address).await;
    }
}

/// Encodes a datagram; failures are logged.
pub fn encode(shared: &Shared, datagram: &Datagram) -> Option<Vec<u8>> {
    let encoded = datagram.encode().inspect_err(|error| {
        log_event!(shared.log, DATAGRAM_NOT_SENT, "error" => error.to_string());
    });
    encoded.ok()
}

/// Sends an encoded datagram; failures are logged.
pub async fn send_bytes(shared: &Shared, socket: &UdpSocket, bytes: &[u8], address: SocketAddr) {
    if let Err(error) = socket.send_to(bytes, address).await {
        log_event!(shared.log, DATAGRAM_NOT_SENT, "to" => address.to_string(),
            "error" => error.to_string());
    }
}

/// Receives and handles datagrams until the process ends.
pub async fn receive_datagrams(shared: Rc<Shared>, socket: Rc<UdpSocket>) {
    let mut bytes = vec![0; MAX_BYTES];
    loop {
        let (length, from) = match socket.recv_from(&mut bytes).await {
            Ok(received) => received,
            Err(error) => {
                log_event!(shared.log, DATAGRAM_MALFORMED, "error" => error.to_string());
                sleep(BUSY_INTERVAL).await;
                continue;
            }
        };
        match Datagram::try_from(&bytes[..length]) {
            Ok(Datagram::Pulse(pulse)) => {
                let changes = shared.hub.ask(move |node, now| node.receive_pulse(&pulse, now));
                handle_changes(&shared, changes);
            }
            Ok(Datagram::Report(pulse)) => {
                if is_urgent(&pulse) {
                    shared.urgent.notify_one();
                }
                let changes = shared.hub.ask(move |node, now| node.receive_report(pulse, now));
                handle_changes(&shared, changes);
            }
            Ok(Datagram::Digest(digest)) => {
                if is_urgent_digest(&digest) {
                    shared.urgent.notify_one();
                }
                let changes = shared.hub.ask(move |node, now| node.receive_digest(&digest, now));
                changes.into_iter().for_each(|changes| handle_changes(&shared, changes));
            }
            Ok(Datagram::Bulletin(bulletin)) => handle_bulletin(&shared, bulletin),
            Ok(Datagram::Proof(proof)) => handle_proof(&shared, proof),
            Ok(Datagram::Duty(news)) => handle_duty(&shared, news),
            Ok(Datagram::Usage(news)) => handle_usage(&shared, &socket, news, from).await,
            Ok(Datagram::UsageAck(ack)) => handle_usage_ack(&shared, ack),
            Err(error) => log_event!(shared.log, DATAGRAM_MALFORMED, "from" => from.to_string(),
                "error" => error.to_string()),
        }
    }
}

/// Logs the changes that a pulse made, and requests a newer configuration.
fn handle_changes(shared: &Shared, changes: PulseChanges) {
    if let Some((name, state)) = changes.member {
        log_event!(shared.log, MEMBER_CHANGED, "member" => &*name, "ready" => state.ready,
            "leaving" => state.leaving);
    }
    for name in changes.leavers {
        log_event!(shared.log, ENDPOINT_LEAVING, "endpoint" => &*name, "source" => "datagram");
    }
    for limit in changes.limits {
        log_event!(shared.log, ENDPOINT_LIMITED, "endpoint" => &*limit.endpoint,
            "rate" => limit.rate, "source" => "datagram", "member" => changes.sender.as_deref(),
            "age_ms" => limit.age.as_millis() as u64);
    }
    log_changes(shared, &changes.quarantine, changes.sender.as_deref());
    if changes.behind {
        shared.wakeups.notify(Table::Configuration);
    }
}
