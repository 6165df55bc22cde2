//! Wire format of the datagrams between instances.

use std::net::SocketAddr;
use std::time::Duration;

use agatestair_policy::Proof;
use agatestair_policy::board::{EndpointReport, LimitReport, Load};
use bincode::de::Decoder;
use bincode::enc::Encoder;
use bincode::error::{DecodeError, EncodeError};
use bincode::{Decode, Encode};

use crate::cursor::TableUpdate;
use crate::digest::Digest;
use crate::members::Member;
use crate::pulse_crashes::PulseCrashes;
use crate::store::{Row, Table};
use crate::wire::WireError;

/// Largest size of a datagram in bytes: the UDP limit less headers.
pub const MAX_BYTES: usize = 60 * 1024;

/// Largest size in bytes of the lists of a decoded datagram, whose elements take more memory than
/// bytes of a datagram.
const MAX_DECODED: usize = 32 * MAX_BYTES;

/// Paces are sent as integers in units of one hundredth.
const PACE_SCALE: f64 = 100.0;

/// Rate limits are sent as integers in units of one thousandth.
const RATE_SCALE: f64 = 1000.0;

/// Version of the layout, the first byte of a datagram; datagrams with another one are rejected.
const LAYOUT: u8 = 7;

/// One datagram.
#[derive(Clone, Debug, Decode, Encode, PartialEq)]
pub enum Datagram {
    /// State and load of an instance.
    Pulse(Pulse),
    /// State and load of an instance, sent to a collector that forwards it.
    Report(Pulse),
    /// Pulses and sums that a collector forwards.
    Digest(Digest),
    /// Changes and versions of the store's tables, sent by a watcher.
    Bulletin(Bulletin),
    /// Proof that a version of the configuration was the newest.
    Proof(PulseProof),
    /// Announcement of the holder of the duties.
    Duty(PulseDuty),
    /// Requests that endpoints began to run for the sender, for the holder of the duties.
    Usage(PulseUsage),
    /// Acknowledgement of the holder.
    UsageAck(PulseUsageAck),
}

impl Datagram {
    /// Encodes the datagram.
    ///
    /// # Errors
    ///
    /// [`WireError`] if the datagram is larger than `MAX_BYTES`.
    pub fn encode(&self) -> Result<Vec<u8>, WireError> {
        let bytes = bincode::encode_to_vec((LAYOUT, self), bincode::config::standard());
        let bytes = bytes.map_err(|error| wire_error(error.to_string()))?;
        if bytes.len() > MAX_BYTES {
            return Err(wire_error(format!(
                "{} bytes exceed the limit of {MAX_BYTES}",
                bytes.len()
            )));
        }
        Ok(bytes)
    }
}

impl TryFrom<&[u8]> for Datagram {
    type Error = WireError;

    fn try_from(bytes: &[u8]) -> Result<Self, WireError> {
        let layout = bytes.first().copied().unwrap_or_default();
        if layout != LAYOUT {
            return Err(wire_error(format!("layout version {layout}, expected {LAYOUT}")));
        }
        let config = bincode::config::standard().with_limit::<MAX_DECODED>();
        let decoded = bincode::decode_from_slice::<Self, _>(&bytes[1..], config);
        decoded.map(|(datagram, _)| datagram).map_err(|error| wire_error(error.to_string()))
    }
}

fn wire_error(problem: String) -> WireError {
    WireError { field: "datagram", problem }
}

/// Load that the sender of a datagram puts on one endpoint, and the endpoint's pace.
#[derive(Clone, Copy, Debug, Decode, Encode, PartialEq)]
pub struct PulseLoad {
    /// Hash of the endpoint's name.
    pub endpoint: u64,
    /// Number of attempts of the sender.
    pub attempts: u32,
    /// Prompt tokens of the attempts that are not yet prefilled.
    pub unread: u32,
    /// Tokens of the attempts in the KV cache.
    pub context: u32,
    /// Tokens that the attempts are expected to generate still.
    pub output: u32,
    /// Pace in hundredths of the usual one, 0 if unknown.
    pub pace: u16,
    /// Age of the pace in milliseconds.
    pub age_ms: u16,
}

impl From<EndpointReport> for PulseLoad {
    fn from(report: EndpointReport) -> Self {
        let (pace, age) = report.pace.unwrap_or_default();
        Self {
            endpoint: report.endpoint,
            attempts: report.load.attempts,
            unread: report.load.unread,
            context: report.load.context,
            output: report.load.output,
            pace: (pace * PACE_SCALE).clamp(0.0, f64::from(u16::MAX)) as u16,
            age_ms: u16::try_from(age.as_millis()).unwrap_or(u16::MAX),
        }
    }
}

impl From<PulseLoad> for EndpointReport {
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

/// Identity of an instance, see [`Member`].
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct Identity {
    /// Name.
    pub name: String,
    /// Failure domain.
    pub domain: String,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for datagrams of other instances.
    pub peers: SocketAddr,
    /// Start time of the process in Unix milliseconds.
    pub born: u64,
    /// CPU share of the instance in thousandths of a core.
    pub weight: u32,
}

impl From<&Member> for Identity {
    fn from(member: &Member) -> Self {
        Self {
            name: member.name.to_string(),
            domain: member.domain.to_string(),
            callers: member.callers,
            peers: member.peers,
            born: member.born,
            weight: member.weight,
        }
    }
}

impl From<Identity> for Member {
    fn from(identity: Identity) -> Self {
        Self {
            name: identity.name.into(),
            domain: identity.domain.into(),
            callers: identity.callers,
            peers: identity.peers,
            born: identity.born,
            weight: identity.weight,
        }
    }
}

/// State and load of an instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Pulse {
    /// Hash of the instance's name.
    pub sender: u64,
    /// Identity of the instance; omitted if the receiver has probably received it before.
    pub identity: Option<Identity>,
    /// Whether the instance can serve callers.
    pub ready: bool,
    /// Whether the instance is shutting down.
    pub leaving: bool,
    /// Version of the instance's configuration, 0 if it has none.
    pub version: u64,
    /// Loads of endpoints.
    pub loads: Vec<PulseLoad>,
    /// Prompt parts sent to endpoints: hash of the endpoint's name, id of the part, its tokens.
    pub reads: Vec<(u64, u64, u32)>,
    /// Endpoints that announced their shutdown: hash of the name, start time in Unix milliseconds.
    pub leavers: Vec<(u64, u64)>,
    /// Rate limits of endpoints; omitted if there is nothing to report.
    pub limits: Option<PulseLimits>,
    /// Crashes of endpoints; omitted if there is nothing to report.
    pub crashes: Option<PulseCrashes>,
}

/// Bits of the byte that tells which parts of a pulse follow.
mod part {
    pub const READY: u8 = 1;
    pub const LEAVING: u8 = 2;
    pub const LIMITS: u8 = 4;
    pub const CRASHES: u8 = 8;
}

impl Encode for Pulse {
    fn encode<E: Encoder>(&self, encoder: &mut E) -> Result<(), EncodeError> {
        let bits = [
            (self.ready, part::READY),
            (self.leaving, part::LEAVING),
            (self.limits.is_some(), part::LIMITS),
            (self.crashes.is_some(), part::CRASHES),
        ];
        let flags = bits.iter().filter(|(set, _)| *set).fold(0, |flags, (_, bit)| flags | bit);
        (flags, self.sender, &self.identity, self.version).encode(encoder)?;
        (&self.loads, &self.reads, &self.leavers).encode(encoder)?;
        self.limits.as_ref().map_or(Ok(()), |limits| limits.encode(encoder))?;
        self.crashes.as_ref().map_or(Ok(()), |crashes| crashes.encode(encoder))
    }
}

impl<Context> Decode<Context> for Pulse {
    fn decode<D: Decoder<Context = Context>>(decoder: &mut D) -> Result<Self, DecodeError> {
        let (flags, sender, identity, version) =
            <(u8, u64, Option<Identity>, u64)>::decode(decoder)?;
        let loads = Vec::decode(decoder)?;
        let reads = Vec::decode(decoder)?;
        let leavers = Vec::decode(decoder)?;
        let limits = (flags & part::LIMITS != 0).then(|| PulseLimits::decode(decoder));
        let limits = limits.transpose()?;
        let crashes = (flags & part::CRASHES != 0).then(|| PulseCrashes::decode(decoder));
        Ok(Self {
            sender,
            identity,
            ready: flags & part::READY != 0,
            leaving: flags & part::LEAVING != 0,
            version,
            loads,
            reads,
            leavers,
            limits,
            crashes: crashes.transpose()?,
        })
    }
}

bincode::impl_borrow_decode!(Pulse);

/// What a pulse reports about rate limits of endpoints.
#[derive(Clone, Debug, Decode, Default, Encode, PartialEq)]
pub struct PulseLimits {
    /// Limits that changed.
    pub changes: Vec<PulseLimit>,
    /// Weights of the sender in the limits of services: key of the service, tenths of a request per
    /// second.
    pub weights: Vec<(u32, u32)>,
}

impl PulseLimits {
    /// Whether there is nothing to report.
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty() && self.weights.is_empty()
    }

    /// Adds a later report of the same instance.
    pub fn merge(&mut self, later: Self) {
        let Self { changes, weights } = later;
        self.changes.retain(|old| changes.iter().all(|change| change.endpoint != old.endpoint));
        self.changes.extend(changes);
        if !weights.is_empty() {
            self.weights = weights;
        }
    }
}

/// A rate limit that an endpoint named, changed or lifted, see [`LimitReport`].
#[derive(Clone, Copy, Debug, Decode, Encode, PartialEq)]
pub struct PulseLimit {
    /// Hash of the endpoint's name.
    pub endpoint: u64,
    /// Start time of the endpoint's process in Unix milliseconds.
    pub born: u64,
    /// Thousandths of a request per second, `None` if the limit was lifted.
    pub rate: Option<u64>,
    /// Age of the observation in milliseconds.
    pub age_ms: u32,
}

impl From<LimitReport> for PulseLimit {
    fn from(report: LimitReport) -> Self {
        Self {
            endpoint: report.endpoint,
            born: report.born,
            rate: report.rate.map(|rate| (rate * RATE_SCALE) as u64),
            age_ms: u32::try_from(report.age.as_millis()).unwrap_or(u32::MAX),
        }
    }
}

impl From<PulseLimit> for LimitReport {
    fn from(limit: PulseLimit) -> Self {
        Self {
            endpoint: limit.endpoint,
            born: limit.born,
            rate: limit.rate.map(|rate| rate as f64 / RATE_SCALE),
            age: Duration::from_millis(limit.age_ms.into()),
        }
    }
}

/// Whole milliseconds, saturating.
pub fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

/// Announcement of the holder of the duties.
#[derive(Clone, Copy, Debug, Decode, Encode, Eq, PartialEq)]
pub struct PulseDuty {
    /// Hash of the holder's name.
    pub sender: u64,
    /// Fencing token of its tenure.
    pub fencing: u64,
    /// Last window whose usage report is settled, if there is one.
    pub settled: Option<u64>,
}

/// Requests in a window that endpoints began to run for an instance.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct PulseUsage {
    /// Hash of the instance's name.
    pub sender: u64,
    /// Start time of its process in Unix milliseconds.
    pub born: u64,
    /// Number of the window.
    pub window: u64,
    /// Number of requests in all, some of which may be in other datagrams.
    pub total: u64,
    /// Whether no more are expected.
    pub closed: bool,
    /// Names of customers and their requests so far.
    pub counts: Vec<(String, u32)>,
}

/// Acknowledgement of the requests of an instance in a window.
#[derive(Clone, Copy, Debug, Decode, Encode, Eq, PartialEq)]
pub struct PulseUsageAck {
    /// Number of the window.
    pub window: u64,
    /// Number of requests that the holder knows.
    pub total: u64,
    /// Fencing token of the holder.
    pub fencing: u64,
    /// Whether no more are expected.
    pub closed: bool,
}

/// A version of the configuration's row that was the newest, see [`Proof`].
#[derive(Clone, Copy, Debug, Decode, Encode, Eq, PartialEq)]
pub struct PulseProof {
    /// Version of the row.
    pub row: u64,
    /// Timeline of the store to which the version belongs, if it names one.
    pub timeline: Option<u64>,
    /// Time of the store's clock in milliseconds.
    pub at_ms: u64,
}

impl From<Proof> for PulseProof {
    fn from(proof: Proof) -> Self {
        Self { row: proof.row, timeline: proof.timeline, at_ms: proof.at_ms }
    }
}

impl From<PulseProof> for Proof {
    fn from(proof: PulseProof) -> Self {
        Self { row: proof.row, timeline: proof.timeline, at_ms: proof.at_ms }
    }
}

/// Changes and versions of the store's tables, sent by a watcher.
#[derive(Clone, Debug, Decode, Encode, PartialEq)]
pub struct Bulletin {
    /// Hash of the sender's name.
    pub sender: u64,
    /// CPU share of the sender in thousandths of a core.
    pub weight: u32,
    /// Milliseconds since the store last answered the sender.
    pub answered_ms: u32,
    /// Milliseconds since the end of the last outage of the store, if the sender noticed one.
    pub returned_ms: Option<u32>,
    /// Timeline of the store to which all versions belong, if it names one.
    pub timeline: Option<u64>,
    /// Versions of the tables at the sender.
    pub tables: Vec<TableState>,
    /// Changed rows of one table.
    pub news: Option<BulletinUpdate>,
}

impl Bulletin {
    /// Size of the keys and values of its rows in bytes.
    pub fn row_bytes(&self) -> usize {
        let rows = self.news.iter().flat_map(|news| &news.rows);
        rows.map(|(key, _, value)| key.len() + value.as_ref().map_or(0, Vec::len)).sum()
    }
}

/// Position of a bulletin's sender in the changes of a table, see [`Cursor`](crate::Cursor).
#[derive(Clone, Copy, Debug, Decode, Encode, PartialEq)]
pub struct TableState {
    /// The table.
    pub table: BulletinTable,
    /// Version of the latest change that the sender has seen.
    pub tip: u64,
    /// There are no changes after this version up to `known`.
    pub base: u64,
    /// Version up to which the sender knows all changes.
    pub known: u64,
}

/// Tables whose changes are sent in bulletins.
#[derive(Clone, Copy, Debug, Decode, Encode, Eq, PartialEq)]
pub enum BulletinTable {
    /// The operators' configuration.
    Configuration,
    /// The endpoints of all services.
    Endpoints,
}

impl From<BulletinTable> for Table {
    fn from(table: BulletinTable) -> Self {
        match table {
            BulletinTable::Configuration => Self::Configuration,
            BulletinTable::Endpoints => Self::Endpoints,
        }
    }
}

impl TryFrom<Table> for BulletinTable {
    type Error = Table;

    fn try_from(table: Table) -> Result<Self, Table> {
        match table {
            Table::Configuration => Ok(Self::Configuration),
            Table::Endpoints => Ok(Self::Endpoints),
            Table::Instances | Table::Duties => Err(table),
        }
    }
}

/// Changes of one table, see [`TableUpdate`].
#[derive(Clone, Debug, Decode, Encode, PartialEq)]
pub struct BulletinUpdate {
    /// The table.
    pub table: BulletinTable,
    /// Exclusive start of the range of versions that the rows cover completely.
    pub since: u64,
    /// Inclusive end of this range.
    pub upto: u64,
    /// Keys, versions and values of the rows; the value is `None` if the row was removed.
    pub rows: Vec<(String, u64, Option<Vec<u8>>)>,
}

impl BulletinUpdate {
    /// Creates the wire form of changes of a table.
    pub fn new(table: BulletinTable, update: TableUpdate) -> Self {
        let rows = update.rows.into_iter();
        let rows = rows.map(|row| (row.key.to_string(), row.version, row.value)).collect();
        Self { table, since: update.since, upto: update.upto, rows }
    }
}

impl From<BulletinUpdate> for TableUpdate {
    fn from(update: BulletinUpdate) -> Self {
        let rows = update.rows.into_iter();
        let rows = rows.map(|(key, version, value)| Row { key: key.into(), version, value });
        Self { since: update.since, upto: update.upto, rows: rows.collect() }
    }
}
