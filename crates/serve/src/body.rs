//! Bodies of the responses sent to callers.

use std::convert::Infallible;
use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

use crate::activity::BusyGuard;
use crate::buffer_limit::BufferGuard;
use crate::memory_budget::MemoryHold;
use crate::open_requests::RequestGuard;

/// Chunks that are queued for a caller that reads slowly; a full queue stops reading from the
/// endpoint.
pub const QUEUED_CHUNKS: usize = 16;

/// One chunk of a streamed response.
#[derive(Debug)]
pub enum Chunk {
    /// Bytes of the body.
    Data(Bytes),
    /// The response is complete.
    End,
}

/// The response was truncated; the connection closes without the final HTTP chunk.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TruncatedBody;

impl fmt::Display for TruncatedBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "response truncated; the caller may retry if the request is idempotent")
    }
}

impl std::error::Error for TruncatedBody {}

/// Body of a response.
#[derive(Debug)]
pub struct ResponseBody {
    content: Content,
    /// The request, which stays open until the body is sent or dropped.
    request: Option<RequestGuard>,
    /// Its connection, which is busy until then.
    connection: Option<BusyGuard>,
    /// The request's body, which may be sent again until the response is complete.
    memory: Option<MemoryHold>,
}

#[derive(Debug)]
enum Content {
    /// A body that is completely in memory.
    Whole {
        /// Bytes of the body.
        body: Full<Bytes>,
        /// Their share of the memory for responses.
        buffer: Option<BufferGuard>,
    },
    /// Chunks as they arrive; the body is truncated unless [`Chunk::End`] comes last.
    Chunks(mpsc::Receiver<Chunk>),
}

impl ResponseBody {
    /// Creates a body from bytes in memory.
    pub fn whole(bytes: Bytes) -> Self {
        Self::new(Content::Whole { body: Full::new(bytes), buffer: None })
    }

    /// Creates a body from an endpoint's buffered response, which counts towards the memory limit.
    pub fn buffered(bytes: Bytes, buffer: BufferGuard) -> Self {
        Self::new(Content::Whole { body: Full::new(bytes), buffer: Some(buffer) })
    }

    /// Creates a body from chunks as they arrive.
    pub fn chunks(chunks: mpsc::Receiver<Chunk>) -> Self {
        Self::new(Content::Chunks(chunks))
    }

    fn new(content: Content) -> Self {
        Self { content, request: None, connection: None, memory: None }
    }

    /// Keeps the request open as long as the body.
    pub fn hold(&mut self, request: RequestGuard) {
        self.request = Some(request);
    }

    /// Counts the request's body as long as the response is relayed.
    pub fn hold_memory(&mut self, memory: MemoryHold) {
        if matches!(self.content, Content::Chunks(_)) {
            self.memory = Some(memory);
        }
    }

    /// Keeps the caller's connection busy as long as the body.
    pub fn hold_connection(&mut self, connection: BusyGuard) {
        connection.note_request(self.request.as_ref().and_then(RequestGuard::id));
        self.connection = Some(connection);
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = TruncatedBody;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedBody>>> {
        let body = self.get_mut();
        let frame = match &mut body.content {
            Content::Whole { body, .. } => {
                let frame = ready!(Pin::new(body).poll_frame(cx));
                frame.map(|frame| frame.map_err(|never: Infallible| match never {}))
            }
            Content::Chunks(chunks) => match ready!(chunks.poll_recv(cx)) {
                Some(Chunk::Data(bytes)) => Some(Ok(Frame::data(bytes))),
                Some(Chunk::End) => None,
                None => Some(Err(TruncatedBody)),
            },
        };
        let data = frame.as_ref().and_then(|frame| frame.as_ref().ok()?.data_ref());
        if let (Some(connection), Some(data)) = (&body.connection, data) {
            connection.note_taken(data.len());
            if let Content::Whole { buffer, .. } = &mut body.content {
                buffer.take().into_iter().for_each(|buffer| connection.keep_buffer(buffer));
            }
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        match &self.content {
            Content::Whole { body, .. } => body.is_end_stream(),
            Content::Chunks(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Whole { body, .. } => body.size_hint(),
            Content::Chunks(_) => SizeHint::default(),
        }
    }
}
