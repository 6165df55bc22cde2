//! Endpoints, what is known of their load and pace, and the pools that they make up.

mod endpoint;
mod health;
mod key_set;
mod pool;
mod sent;
mod streams;

pub(crate) use endpoint::Endpoint;
pub(crate) use health::{Health, Phase, Streaming};
pub(crate) use key_set::KeySet;
pub(crate) use pool::{Pool, PoolKey, Route};
pub(crate) use sent::SentHistory;
pub(crate) use streams::Streams;
