//! Sends the answer of one request, with the faults set for its pieces.

use std::collections::VecDeque;
use std::io;
use std::time::Instant;

use agatestair_schema::endpoint::{Choice, CompletionPiece, CompletionRequest, PieceMeta};

use crate::faults::PieceFault;
use crate::http::Connection;

/// Bytes of one answer token.
const TOKEN_BYTES: usize = 6;

struct LatePiece {
    due: Instant,
    event: Vec<u8>,
}

/// The answering side of a completion.
pub struct StreamOut {
    /// Connection of the request.
    pub connection: Connection,
    /// Request that is answered.
    pub request: CompletionRequest,
    /// Pieces of this attempt so far.
    pub pieces: u32,
    text: String,
    started: bool,
    swapped: Option<Vec<u8>>,
    late: VecDeque<LatePiece>,
}

impl StreamOut {
    /// Creates it; `text` is the whole answer.
    pub fn new(connection: Connection, request: CompletionRequest, text: String) -> Self {
        Self {
            connection,
            request,
            pieces: 0,
            text,
            started: false,
            swapped: None,
            late: VecDeque::new(),
        }
    }

    /// Sends the head before the first piece.
    fn ensure_started(&mut self) -> io::Result<()> {
        if self.started {
            return Ok(());
        }
        self.started = true;
        self.connection.start_stream()
    }

    /// The event that carries the token at `offset`, or only the end if there is none.
    pub fn event(&self, offset: u32, tokens: u32) -> Vec<u8> {
        let piece = self.piece(offset, tokens);
        let json = serde_json::to_string(&piece).expect("a piece is representable in JSON");
        format!("data: {json}\n\n").into_bytes()
    }

    fn piece(&self, offset: u32, tokens: u32) -> CompletionPiece {
        let start = offset as usize * TOKEN_BYTES;
        let end = start + tokens as usize * TOKEN_BYTES;
        let last = offset + tokens >= self.request.max_tokens;
        CompletionPiece {
            id: format!("cmpl-{}", self.request.attempt),
            object: "text_completion".to_owned(),
            model: self.request.model.clone(),
            choices: vec![Choice {
                index: 0,
                text: self.text.get(start..end).unwrap_or_default().to_owned(),
                finish_reason: last.then(|| "length".to_owned()),
            }],
            agatestair: PieceMeta {
                request: self.request.request.clone(),
                attempt: self.request.attempt.clone(),
                offset,
                tokens,
                total: last.then_some(self.request.max_tokens),
            },
        }
    }

    /// Sends an event with its fault.
    pub fn send(&mut self, event: Vec<u8>, fault: PieceFault) -> io::Result<()> {
        self.ensure_started()?;
        self.pieces += 1;
        self.send_due()?;
        if fault.omit {
            return Ok(());
        }
        if !fault.late.is_zero() {
            self.late.push_back(LatePiece { due: Instant::now() + fault.late, event });
            return Ok(());
        }
        if fault.swap && self.swapped.is_none() {
            self.swapped = Some(event);
            return Ok(());
        }
        self.connection.write_chunk(&event)?;
        if fault.double {
            self.connection.write_chunk(&event)?;
        }
        match self.swapped.take() {
            Some(swapped) => self.connection.write_chunk(&swapped),
            None => Ok(()),
        }
    }

    /// Sends an event that belongs to another request.
    pub fn send_foreign(&mut self, event: &[u8]) -> io::Result<()> {
        self.ensure_started()?;
        self.connection.write_chunk(event)
    }

    fn send_due(&mut self) -> io::Result<()> {
        let now = Instant::now();
        while self.late.front().is_some_and(|late| late.due <= now) {
            if let Some(late) = self.late.pop_front() {
                self.connection.write_chunk(&late.event)?;
            }
        }
        Ok(())
    }

    /// Sends what is left and the end of the stream.
    pub fn finish(&mut self) -> io::Result<()> {
        self.ensure_started()?;
        if let Some(swapped) = self.swapped.take() {
            self.connection.write_chunk(&swapped)?;
        }
        while let Some(late) = self.late.pop_front() {
            self.connection.write_chunk(&late.event)?;
        }
        self.connection.write_chunk(b"data: [DONE]\n\n")?;
        self.connection.end_stream()
    }

    /// Sends the whole answer at once, for a request without a stream.
    pub fn send_whole(&self) -> io::Result<()> {
        let offset = self.request.resume_offset.min(self.request.max_tokens);
        let piece = self.piece(offset, self.request.max_tokens - offset);
        self.connection.respond_json(200, &piece)
    }
}
