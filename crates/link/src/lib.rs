//! Streams between the instances over h2 with bincode messages.
//!
//! A [`LinkNode`] runs one tokio thread that accepts and dials links. Each link is one h2 stream in
//! one TCP connection. Both ends prove that they hold the deployment's key, then exchange
//! [`agatestair_schema::link::LinkMessage`]s. A link whose peer does not answer pings in time is
//! dropped and dialled again on a new socket, since the old one may stay silent for good.

mod accept;
mod codec;
mod dial;
mod error;
pub mod events;
mod frame;
mod handshake;
mod node;
mod peer;
mod session;

pub use codec::{MAX_MESSAGE_BYTES, decode, encode};
pub use error::LinkError;
pub use node::{LinkNode, NodeSettings};
pub use peer::{LinkEvent, LinkKey, Peer, PeerRole};
