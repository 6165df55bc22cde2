//! Writes the response of one completion, with faults applied to its stream pieces.

use std::collections::VecDeque;
use std::io;
use std::time::Instant;

use agatestair_schema::endpoint::{Choice, CompletionPiece, CompletionRequest, PieceMeta};

use crate::faults::PieceFault;
use crate::http::Connection;

/// Length of one output token in bytes.
const TOKEN_BYTES: usize = 6;

/// Event held back by the `late` fault.
struct LatePiece {
    due: Instant,
    event: Vec<u8>,
}

/// Writer of a completion's response.
pub struct CompletionWriter {
    /// Connection of the request.
    pub connection: Connection,
    /// Request that the response belongs to.
    pub request: CompletionRequest,
    /// Number of pieces of this attempt so far.
    pub pieces: u32,
    text: String,
    started: bool,
    /// Event held back by the `swap` fault until the next one is sent.
    swapped: Option<Vec<u8>>,
    late: VecDeque<LatePiece>,
}

impl CompletionWriter {
    /// Creates a writer; `text` is the full output, including tokens before the resume offset.
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

    /// Sends the response head unless it has been sent.
    fn ensure_started(&mut self) -> io::Result<()> {
        if self.started {
            return Ok(());
        }
        self.started = true;
        self.connection.start_stream()
    }

    /// Returns the event with `tokens` tokens from `offset`; zero tokens make a last piece without
    /// text.
    pub fn event(&self, offset: u32, tokens: u32) -> Vec<u8> {
        let piece = self.piece(offset, tokens);
        let json = serde_json::to_string(&piece).expect("a piece serializes to JSON");
        format!("data: {json}\n\n").into_bytes()
    }

    /// Returns the piece with `tokens` tokens from `offset`; the last piece has a finish reason.
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

    /// Sends an event with its faults applied.
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

    /// Sends an event of another request, for the `cross` fault.
    pub fn send_crossed(&mut self, event: &[u8]) -> io::Result<()> {
        self.ensure_started()?;
        self.connection.write_chunk(event)
    }

    /// Sends the late events that are due.
    fn send_due(&mut self) -> io::Result<()> {
        let now = Instant::now();
        while self.late.front().is_some_and(|late| late.due <= now) {
            if let Some(late) = self.late.pop_front() {
                self.connection.write_chunk(&late.event)?;
            }
        }
        Ok(())
    }

    /// Sends the events held back and ends the stream.
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

    /// Sends the completion in a single response, for a request without streaming.
    pub fn send_full(&self) -> io::Result<()> {
        let offset = self.request.resume_offset.min(self.request.max_tokens);
        let piece = self.piece(offset, self.request.max_tokens - offset);
        self.connection.respond_json(200, &piece)
    }
}
