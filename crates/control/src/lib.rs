//! The control process beside each entry.
//!
//! All control processes have the same role; none leads the others. Each one reads the platform's
//! instance list and the two lists (plans and allowances), polls the load of its share of the
//! endpoints, exchanges state with its peers and pushes the result to its entry. An order is sent
//! to an engine only under a lease kept in the table service.
//!
//! [`run`] starts the I/O threads and runs one stakker actor, [`Control`], which owns all state.

mod admin;
mod control;
mod endpoint_client;
mod entry;
mod event;
pub mod events;
mod fleet;
mod lease;
mod lists;
mod members;
mod orders;
mod peers;
mod process;
mod runs;
mod schedule;
mod settings;
mod status;
mod store;
mod worker;

pub use control::Control;
pub use fleet::Fleet;
pub use lease::{
    HeldLease, LeaseBook, LeaseOp, LeaseOpKind, LeaseSettings, PlanInput, ShardLease, shard_of,
};
pub use lists::{CurrentLists, OfferResult};
pub use members::{Members, PeerState};
pub use orders::{ActiveOrder, Intent, OrderBook, Progress, Stage};
pub use peers::dial_targets;
pub use process::{ControlError, run};
pub use runs::Runs;
pub use settings::{Protections, check_settings};
