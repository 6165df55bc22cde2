//! Streamed completion responses.

use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::Frame;
use tokio::sync::mpsc;

use crate::core::message::{CompletionEvent, Part};
use crate::http::openai::ResponseFormat;
use crate::http::response::TruncatedError;
use crate::http::state::{OpenPermit, RequestGuard};
use crate::refusal::Refused;

/// Event that marks the end of a complete response.
const DONE: &[u8] = b"data: [DONE]\n\n";
/// Maximum number of available parts that are coalesced into one chunk.
const MAX_COALESCED: usize = 64;

/// Progress of a streamed response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    /// More parts are expected.
    Open,
    /// The complete response was sent, including the end event.
    Complete,
    /// The response will be aborted once the written data has been flushed.
    Aborting,
    /// The response was aborted.
    Aborted,
}

/// Body of a streamed response. An aborted one ends without the final chunk, usually after an error
/// event.
pub struct EventBody {
    first: Option<CompletionEvent>,
    parts: mpsc::Receiver<CompletionEvent>,
    format: ResponseFormat,
    begun: bool,
    tokens: u32,
    stage: Stage,
    _guard: RequestGuard,
    _permit: OpenPermit,
}

impl EventBody {
    /// Streams `first` and then the events from `parts`.
    pub fn new(
        first: CompletionEvent,
        parts: mpsc::Receiver<CompletionEvent>,
        format: ResponseFormat,
        guard: RequestGuard,
        permit: OpenPermit,
    ) -> Self {
        Self {
            first: Some(first),
            parts,
            format,
            begun: false,
            tokens: 0,
            stage: Stage::Open,
            _guard: guard,
            _permit: permit,
        }
    }

    /// Polls for the next chunk, which coalesces the parts that are available.
    pub fn poll_chunk(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedError>>> {
        let mut chunk = Vec::new();
        for _ in 0..MAX_COALESCED {
            if self.stage != Stage::Open {
                break;
            }
            let event = match self.first.take() {
                Some(event) => Some(event),
                None => match self.parts.poll_recv(context) {
                    Poll::Ready(event) => event,
                    Poll::Pending if chunk.is_empty() => return Poll::Pending,
                    Poll::Pending => break,
                },
            };
            match event {
                Some(CompletionEvent::Part(part)) => self.write_part(&mut chunk, &part),
                Some(CompletionEvent::Refused(refused)) => self.write_error(&mut chunk, &refused),
                None => self.stage = Stage::Aborting,
            }
        }
        if !chunk.is_empty() {
            return Poll::Ready(Some(Ok(Frame::data(Bytes::from(chunk)))));
        }
        if self.stage == Stage::Aborting {
            // hyper flushes its write buffer only when the body is pending.
            self.stage = Stage::Aborted;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        Poll::Ready((self.stage == Stage::Aborted).then_some(Err(TruncatedError)))
    }

    fn write_part(&mut self, chunk: &mut Vec<u8>, part: &Part) {
        self.tokens += part.tokens;
        let finish = part.finish.as_deref();
        chunk.extend(self.format.event(&part.text, !self.begun, finish, self.tokens));
        self.begun = true;
        if finish.is_some() {
            chunk.extend_from_slice(DONE);
            self.stage = Stage::Complete;
        }
    }

    fn write_error(&mut self, chunk: &mut Vec<u8>, refused: &Refused) {
        let body = refused.body(&self.format.id);
        let body = serde_json::to_vec(&body).expect("wire types serialize to JSON");
        chunk.extend_from_slice(b"event: error\ndata: ");
        chunk.extend(body);
        chunk.extend_from_slice(b"\n\n");
        self.stage = Stage::Aborting;
    }
}
