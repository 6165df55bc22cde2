//! Errors of links.

use std::fmt;

/// Why a link could not be opened or ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LinkError {
    /// The connection failed or was closed.
    Closed(String),
    /// No answer to a ping, the handshake or the connection attempt in time.
    TimedOut,
    /// The peer sent something that is no message of the spoken version.
    Malformed(String),
    /// A message is larger than the limit, in bytes.
    TooLarge(usize),
    /// The peer does not hold the deployment's key.
    NotAuthentic,
    /// The node is shutting down.
    Cancelled,
}

impl fmt::Display for LinkError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Closed(cause) => write!(f, "connection closed ({cause}); it is dialled again"),
            Self::TimedOut => f.write_str("no answer in time; it is dialled again"),
            Self::Malformed(cause) => {
                write!(f, "malformed message ({cause}); check that the peer's version is supported")
            }
            Self::TooLarge(size) => {
                write!(f, "message of {size} bytes is over the limit; check the peer's version")
            }
            Self::NotAuthentic => {
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
