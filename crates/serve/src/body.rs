//! Bodies of the answers that callers get.

use std::convert::Infallible;
use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

use crate::held::Held;

/// Pieces that wait for a caller who reads slowly; the endpoint is not read any further then.
pub const QUEUED_PIECES: usize = 16;

/// One piece of a streamed answer.
#[derive(Debug)]
pub enum Piece {
    /// Bytes.
    Data(Bytes),
    /// The answer is complete.
    End,
}

/// The answer was cut; the connection ends without its last chunk.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Cut;

impl fmt::Display for Cut {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the answer was cut; the caller may repeat what may be repeated")
    }
}

impl std::error::Error for Cut {}

/// Body of an answer.
#[derive(Debug)]
pub enum AnswerBody {
    /// All of it.
    Whole {
        /// The bytes.
        body: Full<Bytes>,
        /// What they take of the memory for answers.
        _held: Option<Held>,
    },
    /// Pieces as they come; ends as cut unless [`Piece::End`] comes last.
    Pieces(mpsc::Receiver<Piece>),
}

impl AnswerBody {
    /// A body that is at hand.
    pub fn whole(bytes: Bytes) -> Self {
        Self::Whole { body: Full::new(bytes), _held: None }
    }

    /// An endpoint's body that is at hand.
    pub fn held(bytes: Bytes, held: Held) -> Self {
        Self::Whole { body: Full::new(bytes), _held: Some(held) }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        match self.get_mut() {
            Self::Whole { body, .. } => {
                let frame = ready!(Pin::new(body).poll_frame(cx));
                Poll::Ready(frame.map(|frame| frame.map_err(|never: Infallible| match never {})))
            }
            Self::Pieces(pieces) => Poll::Ready(match ready!(pieces.poll_recv(cx)) {
                Some(Piece::Data(bytes)) => Some(Ok(Frame::data(bytes))),
                Some(Piece::End) => None,
                None => Some(Err(Cut)),
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole { body, .. } => body.is_end_stream(),
            Self::Pieces(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole { body, .. } => body.size_hint(),
            Self::Pieces(_) => SizeHint::default(),
        }
    }
}
