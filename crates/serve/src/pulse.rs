//! Datagrams between instances: who is there, and what each has in work.
//!
//! Every instance tells the others its own attempts at each endpoint, so that all place on nearly
//! the same view. A lost datagram is made up for by the next one.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use agatestair_policy::EndpointKey;
use agatestair_policy::assign::digest;
use agatestair_policy::board::{Load, Part, Telling};
use agatestair_runtime::log_event;
use bincode::{Decode, Encode};
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep, timeout_at};

use crate::dialect::WireFault;
use crate::events::{MEMBER_CHANGED, PULSE_MALFORMED, PULSE_UNSENT};
use crate::front::Front;
use crate::members::{Member, MemberState};

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

/// Greatest size of a datagram in bytes.
const MAX_BYTES: usize = 8 * 1024;

/// Scale of paces in datagrams.
const PACE_SCALE: f64 = 100.0;

/// Version of the datagrams' layout; others are passed over.
const LAYOUT: u8 = 1;

/// What the sender of a datagram knows of one endpoint.
#[derive(Clone, Copy, Debug, Decode, Encode, PartialEq)]
pub struct PulseLoad {
    /// Digest of the endpoint's name.
    pub endpoint: u64,
    /// Attempts of the sender.
    pub attempts: u32,
    /// Prompt tokens that are to be read for them.
    pub unread: u32,
    /// Tokens that they hold in memory.
    pub context: u32,
    /// Tokens that they may still generate.
    pub output: u32,
    /// Pace in hundredths of the usual one, 0 if it is not known.
    pub pace: u16,
    /// Age of the pace in milliseconds.
    pub age_ms: u16,
}

impl From<Telling> for PulseLoad {
    fn from(telling: Telling) -> Self {
        let (pace, age) = telling.pace.unwrap_or_default();
        Self {
            endpoint: telling.endpoint,
            attempts: telling.load.attempts,
            unread: telling.load.unread,
            context: telling.load.context,
            output: telling.load.output,
            pace: (pace * PACE_SCALE).clamp(0.0, f64::from(u16::MAX)) as u16,
            age_ms: u16::try_from(age.as_millis()).unwrap_or(u16::MAX),
        }
    }
}

impl From<PulseLoad> for Telling {
    fn from(load: PulseLoad) -> Self {
        let pace = f64::from(load.pace) / PACE_SCALE;
        let age = Duration::from_millis(load.age_ms.into());
        Self {
            endpoint: load.endpoint,
            load: Load {
                attempts: load.attempts,
                unread: load.unread,
                context: load.context,
                output: load.output,
            },
            pace: (load.pace > 0).then_some((pace, age)),
        }
    }
}

/// One datagram.
#[derive(Clone, Debug, Decode, Encode, PartialEq)]
pub struct Pulse {
    /// Layout of the rest.
    pub layout: u8,
    /// Name of the sender.
    pub name: String,
    /// Failure domain of the sender.
    pub domain: String,
    /// Address of the sender for callers.
    pub callers: SocketAddr,
    /// Address of the sender for datagrams.
    pub peers: SocketAddr,
    /// Start of the sender's process, Unix milliseconds.
    pub born: u64,
    /// Whether the sender takes callers.
    pub ready: bool,
    /// Whether the sender is about to stop.
    pub leaving: bool,
    /// Version of the sender's configuration, 0 if it knows none.
    pub version: u64,
    /// What the sender knows of endpoints.
    pub loads: Vec<PulseLoad>,
    /// Parts of prompts that endpoints got: digest of the endpoint's name, part, its tokens.
    pub reads: Vec<(u64, u64, u32)>,
}

impl Pulse {
    /// The datagram's bytes.
    ///
    /// # Errors
    ///
    /// [`WireFault`] if it is too large.
    pub fn encode(&self) -> Result<Vec<u8>, WireFault> {
        let bytes = bincode::encode_to_vec(self, bincode::config::standard());
        let bytes =
            bytes.map_err(|error| WireFault { field: "datagram", problem: error.to_string() })?;
        if bytes.len() > MAX_BYTES {
            return Err(WireFault { field: "datagram", problem: format!("{} bytes", bytes.len()) });
        }
        Ok(bytes)
    }
}

impl TryFrom<&[u8]> for Pulse {
    type Error = WireFault;

    fn try_from(bytes: &[u8]) -> Result<Self, WireFault> {
        let config = bincode::config::standard().with_limit::<MAX_BYTES>();
        let decoded = bincode::decode_from_slice::<Self, _>(bytes, config);
        let (pulse, _) =
            decoded.map_err(|error| WireFault { field: "datagram", problem: error.to_string() })?;
        if pulse.layout != LAYOUT {
            let problem = format!("layout {} in place of {LAYOUT}", pulse.layout);
            return Err(WireFault { field: "datagram", problem });
        }
        Ok(pulse)
    }
}

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
        for (group, told) in told.iter_mut().enumerate() {
            send_round(&front, &socket, group == 0, told, round).await;
        }
        round += 1;
        let next = Instant::now() + BUSY_INTERVAL;
        // A timeout lets news that are there pass, which must not keep the rounds from going on.
        while Instant::now() < next {
            if let Ok(keys) = timeout_at(next, front.news.next()).await {
                send_news(&front, &socket, &keys, round).await;
            }
        }
    }
}

/// Tells all others of the loads of some endpoints.
async fn send_news(front: &Front, socket: &UdpSocket, keys: &[EndpointKey], round: u64) {
    let keys = keys.to_vec();
    let (pulse, audience) = front.hub.ask(move |node, now| {
        let (own, state) = node.own();
        let groups = [true, false].map(|near| node.members.group(&own.domain, near));
        let audience = groups.iter().flat_map(|group| group.audience(round, now));
        let loads = node.board.tellings_of(&keys, now);
        (compose(&own, state, node.version(), loads, &[]), audience.collect::<Vec<_>>())
    });
    send_one(front, socket, &pulse, &audience).await;
}

/// Sends a group its datagram if it is due and says something new.
async fn send_round(front: &Front, socket: &UdpSocket, near: bool, told: &mut Told, round: u64) {
    let due = front.hub.ask(move |node, now| {
        let (own, state) = node.own();
        let group = node.members.group(&own.domain, near);
        if !round.is_multiple_of(group.period) {
            return None;
        }
        let interval = BUSY_INTERVAL * u32::try_from(group.period).unwrap_or(u32::MAX);
        let reads = node.tell_reads(interval * READ_ROUNDS, now);
        let cleared = (interval * CLEARED_ROUNDS).max(CLEARED_TIME);
        let loads = node.board.tellings(cleared, now);
        let pulse = compose(&own, state, node.version(), loads, &reads);
        Some((pulse, group.audience(round, now), group.period))
    });
    let Some((pulse, audience, period)) = due else { return };
    let quiet = round - told.round >= QUIET_ROUNDS.max(2 * period);
    if quiet || told.pulse.as_ref() != Some(&pulse) {
        send_one(front, socket, &pulse, &audience).await;
        *told = Told { pulse: Some(pulse), round };
    }
}

fn compose(
    own: &Member,
    state: MemberState,
    version: Option<u64>,
    loads: Vec<Telling>,
    reads: &[(u64, Part)],
) -> Pulse {
    Pulse {
        layout: LAYOUT,
        name: own.name.to_string(),
        domain: own.domain.to_string(),
        callers: own.callers,
        peers: own.peers,
        born: own.born,
        ready: state.ready,
        leaving: state.leaving,
        version: version.unwrap_or(0),
        loads: loads.into_iter().map(PulseLoad::from).collect(),
        reads: reads.iter().map(|(endpoint, part)| (*endpoint, part.id, part.tokens)).collect(),
    }
}

async fn send_one(front: &Front, socket: &UdpSocket, pulse: &Pulse, audience: &[SocketAddr]) {
    let bytes = match pulse.encode() {
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
pub async fn receive_pulses(front: Rc<Front>, socket: Rc<UdpSocket>) {
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
        match Pulse::try_from(&bytes[..length]) {
            Ok(pulse) => note_pulse(&front, pulse),
            Err(fault) => log_event!(front.log, PULSE_MALFORMED, "from" => from.to_string(),
                "error" => fault.to_string()),
        }
    }
}

fn note_pulse(front: &Front, pulse: Pulse) {
    let state = MemberState { ready: pulse.ready, leaving: pulse.leaving };
    let member = Member {
        name: pulse.name.into(),
        domain: pulse.domain.into(),
        callers: pulse.callers,
        peers: pulse.peers,
        born: pulse.born,
    };
    let sender = digest(&member.name);
    let name = member.name.clone();
    let loads: Vec<Telling> = pulse.loads.into_iter().map(Telling::from).collect();
    let reads =
        pulse.reads.into_iter().map(|(endpoint, id, tokens)| (endpoint, Part { id, tokens }));
    let reads: Vec<(u64, Part)> = reads.collect();
    let version = pulse.version;
    let (news, behind) = front.hub.ask(move |node, now| {
        node.board.note_peer(sender, &loads, now);
        node.hear_reads(&reads, now);
        let behind = node.version().is_some_and(|own| version > own);
        (node.members.note_heard(member, state, now), behind)
    });
    if news {
        log_event!(front.log, MEMBER_CHANGED, "member" => &*name, "ready" => state.ready,
            "leaving" => state.leaving);
    }
    if behind {
        front.behind.notify_one();
    }
}
