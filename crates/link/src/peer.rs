//! Peers and link events.

use std::sync::Arc;

use agatestair_schema::link::{Hello, LinkMessage};

use crate::error::LinkError;

slotmap::new_key_type! {
    /// Key of one open link.
    pub struct LinkKey;
}

/// Type of the process at the other end of a link.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum PeerRole {
    /// An entry process.
    Entry,
    /// A control process.
    Control,
}

impl PeerRole {
    /// Name used in the handshake.
    pub fn name(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Control => "control",
        }
    }
}

/// Identity of the process at the other end of a link.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peer {
    /// Name of the instance.
    pub instance: Arc<str>,
    /// Failure domain.
    pub domain: Arc<str>,
    /// Identifier of this run of the process.
    pub boot: Arc<str>,
    /// Type of process.
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

/// Event on a link.
#[derive(Clone, Debug)]
pub enum LinkEvent {
    /// A link was opened.
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
    /// A link was closed; its key is not reused.
    Down {
        /// The link.
        link: LinkKey,
        /// The other end.
        peer: Arc<Peer>,
        /// Reason.
        error: LinkError,
    },
}
