//! Serving core of an instance: one thread between callers, endpoints and the platform's store.
//!
//! Connections are tokio tasks on one thread. What the instance believes and decides lives in one
//! stakker actor, [`Node`], which tasks ask through [`Hub`]. How calls are spelled on the wire
//! comes as a [`Dialect`], and the store as a [`StoreClient`]: plain structs of functions that an
//! adapter fills in.

mod allowance;
mod answer;
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
mod handle;
mod held;
mod hub;
mod learn;
mod line;
mod listen;
mod members;
mod meter;
mod news;
mod node;
mod plain;
mod pool;
mod pulse;
mod reach;
mod relay;
mod reload;
mod run;
mod send;
mod split;
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
