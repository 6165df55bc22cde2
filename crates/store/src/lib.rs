//! Clients of the platform's services: table, object store, instance list and weight store.
//!
//! [`PlatformClient`] holds the connections, the rate limits of reads and writes, and the counters.
//! [`Table`], [`ObjectStore`], [`InstanceDirectory`] and [`WeightStore`] are clients that share it.
//! All calls block, so they are made from I/O threads, and each ends within a bounded time.

mod client;
mod error;
mod instances;
mod limiter;
mod objects;
mod purpose;
mod table;
mod weights;

pub use client::PlatformClient;
pub use error::PlatformError;
pub use instances::InstanceDirectory;
pub use objects::ObjectStore;
pub use purpose::Purpose;
pub use table::{Outcome, Table, delete_row, put_row, put_row_ttl, require};
pub use weights::WeightStore;
