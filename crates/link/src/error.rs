//! Errors of links.

use std::fmt;

/// Reason why a link could not be opened or was closed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LinkError {
    /// The connection failed or was closed.
    Closed(String),
    /// A ping, the handshake, a write or the connection attempt timed out.
    TimedOut,
    /// The peer sent a malformed message or uses an unsupported version.
    Malformed(String),
    /// A message of this size in bytes exceeds the limit.
    TooLarge(usize),
    /// The peer does not hold the deployment's key.
    Unauthenticated,
    /// The node is shutting down.
    Cancelled,
}

impl fmt::Display for LinkError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Closed(cause) => {
                write!(f, "connection closed ({cause}); it will be dialled again")
            }
            Self::TimedOut => f.write_str("connection timed out; it will be dialled again"),
            Self::Malformed(cause) => {
                write!(f, "malformed message ({cause}); check that the peer's version is supported")
            }
            Self::TooLarge(size) => {
                write!(f, "message of {size} bytes exceeds the limit; check the peer's version")
            }
            Self::Unauthenticated => {
                f.write_str("peer does not hold the key; set the same `link.key` on both instances")
            }
            Self::Cancelled => f.write_str("shutting down"),
        }
    }
}

impl std::error::Error for LinkError {}

impl From<h2::Error> for LinkError {
    fn from(error: h2::Error) -> Self {
        Self::Closed(error.to_string())
    }
}

impl From<std::io::Error> for LinkError {
    fn from(error: std::io::Error) -> Self {
        Self::Closed(error.to_string())
    }
}
