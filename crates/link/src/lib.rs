//! Links between instances: streams of bincode messages over HTTP/2.
//!
//! A [`LinkNode`] runs one tokio thread that accepts and dials links. Each link is a single h2
//! stream on its own TCP connection. Both ends prove that they hold the deployment's key, then
//! exchange [`agatestair_schema::link::LinkMessage`]s. A link whose peer does not respond to pings
//! in time is closed and dialled again on a new socket, since the old one may never respond again.

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
