//! HTTP interface for callers.

pub mod body;
mod calls;
mod completions;
mod entries;
mod keyed;
pub mod openai;
pub mod response;
mod routes;
pub mod server;
pub mod state;
mod stream;
