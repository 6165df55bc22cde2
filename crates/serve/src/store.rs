//! Interface to the platform's store.

use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use crate::wire::WireError;

/// A boxed future that runs on the serving thread.
pub type LocalFuture<T> = Pin<Box<dyn Future<Output = T>>>;

/// Tables of the store that the serving core uses.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Table {
    /// The operators' configuration.
    Configuration,
    /// The endpoints of all services.
    Endpoints,
    /// The running instances.
    Instances,
    /// The holder of the duties, and what it has decided.
    Duties,
}

impl Table {
    /// Name in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Endpoints => "endpoints",
            Self::Instances => "instances",
            Self::Duties => "duties",
        }
    }
}

/// Failure of a call to the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreError {
    /// The store is unreachable or did not answer in time; a write may have been applied.
    Unreachable(String),
    /// The store rejected the call with an HTTP status; nothing was applied.
    Refused(u16),
    /// The store no longer has the requested changes.
    HistoryLost,
    /// The store was restored from a copy while the table was read.
    Restored,
    /// A precondition of a transaction did not hold.
    Conflict,
    /// The response cannot be parsed.
    Malformed(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(cause) => {
                write!(f, "store unreachable ({cause}); check the platform and the network")
            }
            Self::Refused(status) => {
                write!(f, "store rejected the call with status {status}; reduce the call rate")
            }
            Self::HistoryLost => {
                write!(f, "requested changes are no longer available; read the full table")
            }
            Self::Restored => {
                write!(f, "the store was restored during the reading; read the full table")
            }
            Self::Conflict => write!(f, "a row has changed since it was read; read it again"),
            Self::Malformed(cause) => {
                write!(f, "malformed response from the store ({cause}); check its version")
            }
        }
    }
}

impl std::error::Error for StoreError {}

/// Key of a row within a table.
pub type RowKey = Arc<str>;

/// A row, or a tombstone of a removed row.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Row {
    /// Key of the row.
    pub key: RowKey,
    /// Version of the store after the transaction that last changed the row.
    pub version: u64,
    /// Value, `None` if the row was removed.
    pub value: Option<Vec<u8>>,
}

/// Rows of a table and the version of the store at which they were read.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Changes {
    /// Rows, ordered by key after a full read, else by version.
    pub rows: Vec<Row>,
    /// Version of the store at the time of the read.
    pub version: u64,
}

/// Atomic writes to one table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Transaction {
    /// Table that is written.
    pub table: Table,
    /// Versions that rows must have before the transaction; 0 if a row must not exist.
    pub expected: Vec<(RowKey, u64)>,
    /// Keys and values of the rows to write.
    pub writes: Vec<(RowKey, Vec<u8>)>,
    /// Keys of the rows to remove.
    pub removals: Vec<RowKey>,
}

/// Effect of a transaction.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Committed {
    /// Version of the store after it.
    pub version: u64,
    /// Time of the store's steady clock in milliseconds, if the response names it.
    pub clock_ms: Option<u64>,
}

/// Response of the store to a call, or why there is none.
#[derive(Clone, Debug)]
pub struct Reply<T> {
    /// Timeline of the store, which any response may name; see [`Timeline`](crate::Timeline).
    pub timeline: Option<Result<u64, WireError>>,
    /// Outcome of the call.
    pub outcome: Result<T, StoreError>,
}

impl<T> Reply<T> {
    /// Converts the value of a successful call.
    pub fn and_then<U>(self, convert: impl FnOnce(T) -> Result<U, StoreError>) -> Reply<U> {
        Reply { timeline: self.timeline, outcome: self.outcome.and_then(convert) }
    }
}

/// A long poll for the changes of a table after a version.
pub type FollowCall = dyn Fn(Table, u64, Duration) -> LocalFuture<Reply<Changes>>;

/// Client of the platform's store; each call ends within a bounded time.
pub struct StoreClient {
    /// Reads a full table.
    pub read: Box<dyn Fn(Table) -> LocalFuture<Reply<Changes>>>,
    /// Waits up to the given time for changes after a version.
    pub follow: Box<FollowCall>,
    /// Commits a transaction.
    pub commit: Box<dyn Fn(Transaction) -> LocalFuture<Reply<Committed>>>,
}
