//! Stand-in of a model engine: continuous batching in a token-time model, a prefix cache, roles,
//! orders with fencing numbers, and streams that can be cut, crossed or silenced.
//!
//! Each engine has one worker thread. It alone owns the batch, the cache and the role; requests
//! reach it as [`Command`]s. Steps take as long as [`TokenTimes`] says.

mod api;
mod kv_store;
mod order_state;
mod prefix_cache;
mod reports;
mod sequence;
mod stream_out;
mod token_times;
mod worker;
mod worker_admission;
mod worker_orders;

pub use api::{EngineShared, engine_handler};
pub use kv_store::KvStore;
pub use reports::{Reports, first_report};
pub use token_times::TokenTimes;
pub use worker::{Command, Worker, WorkerSettings};
