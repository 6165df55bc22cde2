//! How the end of a response's body is marked.

use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, Method, StatusCode};

/// How the end of a response's body is marked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Framing {
    /// There is no body.
    Empty,
    /// By its length.
    Length,
    /// By a last chunk.
    Chunks,
    /// By the end of the connection.
    Connection,
}

impl Framing {
    /// Framing of the response to a request with the given method.
    pub fn of(method: &Method, status: StatusCode, headers: &HeaderMap) -> Self {
        let bodiless = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED];
        if *method == Method::HEAD || bodiless.contains(&status) {
            Self::Empty
        } else if headers.contains_key(TRANSFER_ENCODING) {
            Self::Chunks
        } else if headers.contains_key(CONTENT_LENGTH) {
            Self::Length
        } else {
            Self::Connection
        }
    }

    /// Label in logs.
    pub fn label(self) -> &'static str {
        match self {
            Self::Empty => "empty",
            Self::Length => "length",
            Self::Chunks => "chunks",
            Self::Connection => "connection",
        }
    }
}
