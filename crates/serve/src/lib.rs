//! Serving core of an instance: proxies callers' requests to endpoints and follows the platform's
//! store, on a single thread.
//!
//! Connections are handled by tokio tasks. State and decisions of the instance are in one stakker
//! actor, [`Node`], which tasks access through [`Hub`]. An adapter for a platform provides a
//! [`WireFormat`] and a [`StoreClient`] for access to the store; both are plain structs of
//! functions.

mod activity;
mod attempt_guard;
mod awaited;
mod body;
mod body_end;
mod buffer_limit;
mod bulletins;
mod cache_query;
mod call;
mod capacity;
mod collection;
mod collectors;
mod configuration;
mod connection;
mod crash;
mod cursor;
mod customers;
mod datagram;
mod digest;
mod digests;
mod directory;
mod dispatches;
mod duty;
mod endpoint_list;
pub mod events;
mod explain;
mod framing;
mod generate;
mod handle;
mod hedge;
mod hub;
mod listen;
mod members;
mod memory_budget;
mod news;
mod node;
mod open_requests;
mod outbox;
mod pacer;
mod panics;
mod plain;
mod pool;
mod progress;
mod proof;
mod pulse;
mod pulse_crashes;
mod reach;
mod read_limit;
mod relay;
mod reload;
mod request_body;
mod response;
mod room;
mod run;
mod run_meter;
mod send;
mod shared;
mod sharing;
mod shutdown;
mod store;
mod stream;
mod timeline;
mod token_bucket;
mod usage;
mod watch;
mod watchers;
mod wire;

pub use buffer_limit::{BufferGuard, BufferLimit, UNCOUNTED_BYTES};
pub use collection::Collection;
pub use collectors::{Collectors, REPORT_CLEARED, interval};
pub use configuration::{
    Configuration, EngineFacts, Limits, Route, RouteKind, RouteMatch, Scaling, Service, Target,
};
pub use connection::{Connection, ConnectionSettings, SendError, exchange};
pub use cursor::{Cursor, TableUpdate};
pub use customers::{Access, Credential, Customer, Customers, KeyHash};
pub use datagram::{
    Bulletin, BulletinTable, BulletinUpdate, Datagram, Identity, Pulse, PulseLimit, PulseLimits,
    PulseLoad, PulseProof, TableState,
};
pub use digest::{Digest, DigestNews, DomainSums};
pub use endpoint_list::EndpointList;
pub use explain::explain;
pub use hub::Hub;
pub use members::{Group, Member, MemberState, Members};
pub use node::{LimitChange, Node, NodeSettings, ProofPlan, Search};
pub use outbox::LoadChanges;
pub use pacer::Pacer;
pub use panics::catch_panic;
pub use pulse_crashes::{PulseCrash, PulseCrashes, PulseSurvival, PulseVerdict};
pub use reload::Reload;
pub use run::{Process, ServeError, Setup};
pub use sharing::Sharing;
pub use store::{
    Changes, Committed, LocalFuture, Reply, Row, RowKey, StoreClient, StoreError, Table,
    Transaction,
};
pub use stream::{EventSplitter, StreamError};
pub use timeline::{Timeline, TimelineNews};
pub use token_bucket::{LinkShare, TokenBucket};
pub use watchers::{Rank, Watchers};
pub use wire::{
    CallFacts, DirectoryQuery, HandleName, Outbound, Paths, Phase, Prompt, ResponseFacts, WireCall,
    WireError, WireFormat,
};
