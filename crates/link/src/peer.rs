//! Peers and what is told of them.

use std::sync::Arc;

use agatestair_schema::link::{Hello, LinkMessage};

use crate::error::LinkError;

slotmap::new_key_type! {
    /// Key of one open link.
    pub struct LinkKey;
}

/// Process at the other end of a link.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum PeerRole {
    /// An entry process.
    Entry,
    /// A control process.
    Control,
}

impl PeerRole {
    /// Name in the handshake.
    pub fn name(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Control => "control",
        }
    }
}

/// Other end of a link.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peer {
    /// Name of the instance.
    pub instance: Arc<str>,
    /// Failure domain.
    pub domain: Arc<str>,
    /// Identifier of this run of the process.
    pub boot: Arc<str>,
    /// Process.
    pub role: PeerRole,
}

impl TryFrom<&Hello> for Peer {
    type Error = LinkError;

    fn try_from(hello: &Hello) -> Result<Self, LinkError> {
        let role = match hello.role.as_str() {
            "entry" => PeerRole::Entry,
            "control" => PeerRole::Control,
            other => return Err(LinkError::Malformed(format!("unknown role `{other}`"))),
        };
        Ok(Self {
            instance: hello.instance.as_str().into(),
            domain: hello.domain.as_str().into(),
            boot: hello.boot.as_str().into(),
            role,
        })
    }
}

/// What happened on a link.
#[derive(Clone, Debug)]
pub enum LinkEvent {
    /// A link is open.
    Up {
        /// The link.
        link: LinkKey,
        /// The other end.
        peer: Arc<Peer>,
    },
    /// A message arrived.
    Message {
        /// The link.
        link: LinkKey,
        /// The other end.
        peer: Arc<Peer>,
        /// The message.
        message: Box<LinkMessage>,
    },
    /// A link ended; its key is not used again.
    Down {
        /// The link.
        link: LinkKey,
        /// The other end.
        peer: Arc<Peer>,
        /// Why.
        error: LinkError,
    },
}
