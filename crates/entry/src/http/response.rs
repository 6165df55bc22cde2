//! HTTP responses to callers.

use std::convert::Infallible;
use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde::Serialize;

use crate::http::stream::EventBody;
use crate::refusal::Refused;

/// Header that carries the request identifier.
pub const REQUEST_HEADER: &str = "x-request-id";

/// Error that aborts an incomplete response: the connection is closed without the final chunk.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TruncatedError;

impl fmt::Display for TruncatedError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("response truncated; the caller may send the request again")
    }
}

impl std::error::Error for TruncatedError {}

impl From<Infallible> for TruncatedError {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

/// Response body.
pub enum ResponseBody {
    /// Complete body.
    Full(Option<Bytes>),
    /// Server-sent events, sent as they arrive.
    Events(Box<EventBody>),
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = TruncatedError;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedError>>> {
        match self.get_mut() {
            Self::Full(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Events(events) => events.poll_chunk(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Events(_) => SizeHint::default(),
        }
    }
}

/// HTTP response to a caller.
pub type HttpResponse = Response<ResponseBody>;

/// Builds a response with the given status, content type and body.
pub fn respond(status: u16, content: &'static str, body: impl Into<Bytes>) -> HttpResponse {
    let mut response = Response::new(ResponseBody::Full(Some(body.into())));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content));
    response
}

/// Builds a response with a JSON body.
pub fn respond_json<T: Serialize>(status: u16, value: &T) -> HttpResponse {
    let body = serde_json::to_vec(value).expect("wire types serialize to JSON");
    respond(status, "application/json", body)
}

/// Builds the response of a refusal.
pub fn respond_refused(refused: &Refused, request: &str) -> HttpResponse {
    let mut response = respond_json(refused.kind.status(), &refused.body(request));
    if let Some(seconds) = refused.retry_seconds() {
        response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}
