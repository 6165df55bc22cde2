//! Endpoints with their load and pace, and the pools that they form.

mod endpoint;
mod health;
mod key_set;
mod open_history;
mod pool;
mod streams;

pub(crate) use endpoint::Endpoint;
pub(crate) use health::{Health, Phase, Streaming};
pub(crate) use key_set::KeySet;
pub(crate) use open_history::OpenHistory;
pub(crate) use pool::{Pool, PoolKey, Route};
pub(crate) use streams::Streams;
