//! Serving core of an instance: proxies callers' requests to endpoints and follows the platform's
//! store, on a single thread.
//!
//! Connections are handled by tokio tasks. State and decisions of the instance are in one stakker
//! actor, [`Node`], which tasks access through [`Hub`]. An adapter for a platform provides the wire
//! format as a [`Dialect`] and access to the store as a [`StoreClient`]; both are plain structs of
//! functions.

mod allowance;
mod body;
mod bulletins;
mod call;
mod collect;
mod collection;
mod collectors;
mod configuration;
mod cursor;
mod datagram;
mod dialect;
mod directory;
pub mod events;
mod explain;
mod fleet;
mod front;
mod generate;
mod handle;
mod held;
mod hub;
mod learn;
mod line;
mod listen;
mod members;
mod news;
mod node;
mod plain;
mod pool;
mod pulse;
mod reach;
mod read_limit;
mod relay;
mod reload;
mod response;
mod run;
mod send;
mod store;
mod stream;
mod ticket;
mod watch;
mod watchers;

pub use allowance::Allowance;
pub use collection::Collection;
pub use collectors::{Collectors, REPORT_CLEARED, interval};
pub use configuration::{Configuration, EngineFacts, Kind, Limits, Match, Route, Service, Target};
pub use cursor::{Cursor, TableNews};
pub use datagram::{
    Bulletin, BulletinNews, BulletinTable, Datagram, Digest, DomainSums, Identity, Pulse,
    PulseLoad, TableState,
};
pub use dialect::{
    AnswerFacts, Asker, CallFacts, Dialect, HandleName, Outbound, Paths, Phase, Prompt, WireCall,
    WireFault,
};
pub use explain::explain;
pub use fleet::Fleet;
pub use held::{FREE_BYTES, Held, HeldTotal};
pub use hub::Hub;
pub use line::{Line, LineFault, LineSettings, exchange};
pub use members::{Group, Member, MemberState, Members};
pub use news::News;
pub use node::{Node, NodeSettings};
pub use reload::Reload;
pub use run::{Parts, Process, ServeError};
pub use store::{Changes, LocalFuture, Row, RowKey, StoreClient, StoreFault, Table, Transaction};
pub use stream::EventSplitter;
pub use watchers::{Rank, Watchers};
