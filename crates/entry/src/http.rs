//! The callers' interface.

pub mod answer;
pub mod body;
mod calls;
mod completions;
mod entries;
mod events;
pub mod front;
mod keyed;
mod routes;
pub mod server;
pub mod shapes;
