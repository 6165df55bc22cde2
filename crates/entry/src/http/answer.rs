//! Answers to callers.

use std::convert::Infallible;
use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde::Serialize;

use crate::http::events::EventBody;
use crate::refusal::Refused;

/// Header that carries the identifier of the request.
pub const REQUEST_HEADER: &str = "x-request-id";

/// An answer that ended before it was whole. The connection is closed without the end mark.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CutError;

impl fmt::Display for CutError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer was cut; the caller can send the request again")
    }
}

impl std::error::Error for CutError {}

impl From<Infallible> for CutError {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

/// Body of an answer.
pub enum AnswerBody {
    /// Sent at once.
    Full(Option<Bytes>),
    /// Sent as server-sent events while they arrive.
    Events(Box<EventBody>),
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = CutError;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, CutError>>> {
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

/// An answer to a caller.
pub type Answer = Response<AnswerBody>;

/// Answer with a body of the given content type.
pub fn answer(status: u16, content: &'static str, body: impl Into<Bytes>) -> Answer {
    let mut answer = Response::new(AnswerBody::Full(Some(body.into())));
    *answer.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content));
    answer
}

/// Answer with a JSON body.
pub fn answer_json<T: Serialize>(status: u16, value: &T) -> Answer {
    let body = serde_json::to_vec(value).expect("wire types have text keys");
    answer(status, "application/json", body)
}

/// Answer that tells of a refusal.
pub fn answer_refused(refused: &Refused, request: &str) -> Answer {
    let mut answer = answer_json(refused.kind.status(), &refused.body(request));
    if let Some(seconds) = refused.retry_seconds() {
        answer.headers_mut().insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    answer
}
