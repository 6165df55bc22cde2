//! Pure decisions on admission, queueing, shares, placement, hedging and roles.
//!
//! Nothing here does input or output, reads a clock or draws from an unseeded generator. The entry
//! process feeds a [`Scheduler`] with requests, fleet views and progress, and carries out the
//! [`Action`]s that it returns.

mod action;
pub mod assign;
mod keys;
mod moment;
mod request;
mod roles;
mod scheduler;
mod shares;

pub use action::{Action, AttemptEnd, Purpose, Refusal, RefusalCode};
pub use keys::{AttemptKey, EndpointKey, RequestKey};
pub use moment::Moment;
pub use request::{Call, Completion, RequestFacts, Work};
pub use roles::{RoleChange, RolePlanner, RoleSettings};
pub use scheduler::{Scheduler, SchedulerSettings};
pub use shares::{ShareAllocator, ShareSettings};
