//! Datagrams between instances, as they go on the wire.

use std::net::SocketAddr;
use std::time::Duration;

use agatestair_policy::board::{Load, Telling};
use bincode::{Decode, Encode};

use crate::cursor::TableNews;
use crate::dialect::WireFault;
use crate::members::Member;
use crate::store::{Row, Table};

/// Greatest size of a datagram in bytes: what UDP carries, less headers.
pub const MAX_BYTES: usize = 60 * 1024;

/// Scale of paces in datagrams.
const PACE_SCALE: f64 = 100.0;

/// Version of the datagrams' layout, their first byte; others are passed over.
const LAYOUT: u8 = 3;

/// One datagram.
#[derive(Clone, Debug, Decode, Encode, PartialEq)]
pub enum Datagram {
    /// What an instance is and has in work.
    Pulse(Pulse),
    /// The same, to a collector that passes it on.
    Report(Pulse),
    /// What a collector passes on.
    Digest(Digest),
    /// What an instance learned from the store.
    Bulletin(Bulletin),
}

impl Datagram {
    /// The datagram's bytes.
    ///
    /// # Errors
    ///
    /// [`WireFault`] if it is too large.
    pub fn encode(&self) -> Result<Vec<u8>, WireFault> {
        let bytes = bincode::encode_to_vec((LAYOUT, self), bincode::config::standard());
        let bytes = bytes.map_err(|error| fault(error.to_string()))?;
        if bytes.len() > MAX_BYTES {
            return Err(fault(format!("{} bytes", bytes.len())));
        }
        Ok(bytes)
    }
}

impl TryFrom<&[u8]> for Datagram {
    type Error = WireFault;

    fn try_from(bytes: &[u8]) -> Result<Self, WireFault> {
        let layout = bytes.first().copied().unwrap_or_default();
        if layout != LAYOUT {
            return Err(fault(format!("layout {layout} in place of {LAYOUT}")));
        }
        let config = bincode::config::standard().with_limit::<MAX_BYTES>();
        let decoded = bincode::decode_from_slice::<Self, _>(&bytes[1..], config);
        decoded.map(|(datagram, _)| datagram).map_err(|error| fault(error.to_string()))
    }
}

fn fault(problem: String) -> WireFault {
    WireFault { field: "datagram", problem }
}

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

/// Who an instance is.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct Identity {
    /// Its name.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
    /// Its address for callers.
    pub callers: SocketAddr,
    /// Its address for datagrams.
    pub peers: SocketAddr,
    /// Start of its process, Unix milliseconds.
    pub born: u64,
    /// Weight of its machine.
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

/// What an instance is and has in work.
#[derive(Clone, Debug, Decode, Encode, PartialEq)]
pub struct Pulse {
    /// Digest of its name.
    pub sender: u64,
    /// Who it is; left out where the receiver has probably been told.
    pub identity: Option<Identity>,
    /// Whether it takes callers.
    pub ready: bool,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// Version of its configuration, 0 if it knows none.
    pub version: u64,
    /// What it knows of endpoints.
    pub loads: Vec<PulseLoad>,
    /// Parts of prompts that endpoints got: digest of the endpoint's name, part, its tokens.
    pub reads: Vec<(u64, u64, u32)>,
    /// Endpoints that announced their leaving to it: digest of the name, start in Unix milliseconds.
    pub leavers: Vec<(u64, u64)>,
}

/// What a collector passes on to its own domain and to the collectors of others.
#[derive(Clone, Debug, Decode, Encode, PartialEq)]
pub struct Digest {
    /// Digest of the collector's name.
    pub sender: u64,
    /// Weight of its machine.
    pub weight: u32,
    /// Digest of the name of its failure domain.
    pub domain: u64,
    /// Pulses of single instances.
    pub pulses: Vec<Pulse>,
    /// Sums over all instances of a domain.
    pub sums: Vec<DomainSums>,
}

/// Work of all instances of a failure domain, at the endpoints where it has changed lately.
#[derive(Clone, Debug, Decode, Encode, PartialEq)]
pub struct DomainSums {
    /// Digest of the domain's name.
    pub domain: u64,
    /// The sums.
    pub loads: Vec<PulseLoad>,
}

/// What an instance that follows the store learned from it.
#[derive(Clone, Debug, Decode, Encode, PartialEq)]
pub struct Bulletin {
    /// Digest of the sender's name.
    pub sender: u64,
    /// Weight of the sender's machine.
    pub weight: u32,
    /// Milliseconds since the store last answered the sender.
    pub answered_ms: u32,
    /// Milliseconds since the store's return after an absence, if the sender noticed one.
    pub returned_ms: Option<u32>,
    /// How far the sender knows the tables.
    pub tables: Vec<TableState>,
    /// Changes.
    pub news: Option<BulletinNews>,
}

impl Bulletin {
    /// Bytes of its rows.
    pub fn row_bytes(&self) -> usize {
        let rows = self.news.iter().flat_map(|news| &news.rows);
        rows.map(|(key, _, value)| key.len() + value.as_ref().map_or(0, Vec::len)).sum()
    }
}

/// How far the sender of a bulletin knows a table.
#[derive(Clone, Copy, Debug, Decode, Encode, PartialEq)]
pub struct TableState {
    /// The table.
    pub table: BulletinTable,
    /// Version of the latest change that it has seen.
    pub tip: u64,
    /// Version after which it knows of no change, up to `known`.
    pub base: u64,
    /// Version up to which it knows all changes.
    pub known: u64,
}

/// Tables that instances learn of from each other.
#[derive(Clone, Copy, Debug, Decode, Encode, Eq, PartialEq)]
pub enum BulletinTable {
    /// The operators' configuration.
    Configuration,
    /// Endpoints.
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
            Table::Instances => Err(table),
        }
    }
}

/// Changes of one table, see [`TableNews`].
#[derive(Clone, Debug, Decode, Encode, PartialEq)]
pub struct BulletinNews {
    /// The table.
    pub table: BulletinTable,
    /// Version after which all changes are among the rows.
    pub since: u64,
    /// Version up to which all changes are among them.
    pub upto: u64,
    /// Keys, versions and values, `None` for a row that was removed.
    pub rows: Vec<(String, u64, Option<Vec<u8>>)>,
}

impl BulletinNews {
    /// News of a table.
    pub fn new(table: BulletinTable, news: TableNews) -> Self {
        let rows = news.rows.into_iter();
        let rows = rows.map(|row| (row.key.to_string(), row.version, row.value)).collect();
        Self { table, since: news.since, upto: news.upto, rows }
    }
}

impl From<BulletinNews> for TableNews {
    fn from(news: BulletinNews) -> Self {
        let rows = news.rows.into_iter();
        let rows = rows.map(|(key, version, value)| Row { key: key.into(), version, value });
        Self { since: news.since, upto: news.upto, rows: rows.collect() }
    }
}
