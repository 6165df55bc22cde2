//! Stand-in for a model engine: continuous batching with processing times computed from token
//! counts, a prefix cache, roles, orders with fencing numbers, and fault injection into streams.
//!
//! Each engine has one worker thread that exclusively owns the batch, the cache and the role.
//! Requests reach it as [`Command`]s. [`TokenTimes`] gives the duration of each step.

mod api;
mod completion_writer;
mod kv_store;
mod order_state;
mod prefix_cache;
mod reports;
mod sequence;
mod token_times;
mod worker;
mod worker_admission;
mod worker_orders;

pub use api::{EngineShared, engine_handler};
pub use kv_store::KvStore;
pub use reports::{Reports, first_report};
pub use token_times::TokenTimes;
pub use worker::{Command, Worker, WorkerSettings};
