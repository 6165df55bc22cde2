//! Assembles one complete response from the pieces of one or more attempts.

use std::collections::BTreeMap;
use std::sync::Arc;

/// Maximum number of out-of-order pieces buffered per attempt.
const MAX_BUFFERED: usize = 32;

/// Checks of pieces, which fault-injection tests can disable.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PieceChecks {
    /// Whether pieces of other requests or attempts are dropped.
    pub attempt: bool,
    /// Whether offsets are checked.
    pub offset: bool,
    /// Whether the last piece must give the total number of tokens.
    pub end: bool,
}

impl Default for PieceChecks {
    fn default() -> Self {
        Self { attempt: true, offset: true, end: true }
    }
}

/// One piece as an engine sent it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Piece {
    /// Identifier of its request.
    pub request: Arc<str>,
    /// Identifier of its attempt.
    pub attempt: Arc<str>,
    /// Index of its first token.
    pub offset: u32,
    /// Number of its tokens.
    pub tokens: u32,
    /// Tokens of the whole response, on the last piece.
    pub total: Option<u32>,
    /// Text.
    pub text: String,
    /// Finish reason, on the last piece.
    pub finish: Option<Arc<str>>,
}

/// Position of one attempt in the response.
#[derive(Clone, Debug, Default)]
pub struct AttemptCursor {
    /// Identifier of the request.
    pub request: Arc<str>,
    /// Identifier of the attempt.
    pub attempt: Arc<str>,
    /// Index of the next expected token.
    pub next: u32,
    /// Out-of-order pieces that wait for earlier ones, by offset.
    pub buffered: BTreeMap<u32, Piece>,
}

/// Result of checking a piece.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It is in sequence; the caller may already have it from another attempt.
    Accepted,
    /// It arrived early and is buffered until the pieces before it arrive.
    Buffered,
    /// It is a duplicate from the same attempt.
    Doubled,
    /// It belongs to another request or attempt.
    Foreign,
    /// It contradicts earlier pieces or a limit; the attempt cannot continue.
    Invalid,
}

/// Progress of one response as delivered to the caller.
#[derive(Clone, Debug)]
pub struct Assembly {
    checks: PieceChecks,
    limit: u32,
    delivered: u32,
    total: Option<u32>,
}

impl Assembly {
    /// Starts a response of at most `limit` tokens.
    pub fn new(checks: PieceChecks, limit: u32) -> Self {
        Self { checks, limit, delivered: 0, total: None }
    }

    /// Tokens delivered to the caller.
    pub fn delivered(&self) -> u32 {
        self.delivered
    }

    /// Whether the caller has the complete response.
    pub fn is_complete(&self) -> bool {
        self.total == Some(self.delivered)
    }

    /// Whether the end of an attempt's stream may end the response.
    pub fn may_end(&self) -> bool {
        self.is_complete() || !self.checks.end
    }

    /// Checks a piece from the attempt at `cursor` and appends to `out` what to deliver to the
    /// caller: nothing, this piece, or this piece and buffered ones that follow it.
    pub fn accept(
        &mut self,
        cursor: &mut AttemptCursor,
        piece: Piece,
        out: &mut Vec<Piece>,
    ) -> Verdict {
        let foreign = piece.request != cursor.request || piece.attempt != cursor.attempt;
        if self.checks.attempt && foreign {
            return Verdict::Foreign;
        }
        if !self.checks.offset {
            self.deliver(cursor, piece, out);
            return Verdict::Accepted;
        }
        let verdict = self.accept_checked(cursor, piece, out);
        if verdict != Verdict::Accepted {
            return verdict;
        }
        while let Some(pending) = cursor.buffered.remove(&cursor.next) {
            if self.accept_checked(cursor, pending, out) == Verdict::Invalid {
                return Verdict::Invalid;
            }
        }
        Verdict::Accepted
    }

    fn accept_checked(
        &mut self,
        cursor: &mut AttemptCursor,
        piece: Piece,
        out: &mut Vec<Piece>,
    ) -> Verdict {
        let Some(end) = piece.offset.checked_add(piece.tokens) else {
            return Verdict::Invalid;
        };
        let empty_end = piece.tokens == 0 && piece.total.is_some();
        if end <= cursor.next && !(empty_end && end == cursor.next) {
            return Verdict::Doubled;
        }
        let total_fits = piece
            .total
            .is_none_or(|total| total == end && self.total.is_none_or(|known| known == total));
        if piece.offset < cursor.next || end > self.limit || !total_fits {
            return Verdict::Invalid;
        }
        if piece.offset > cursor.next {
            return buffer_piece(cursor, piece);
        }
        cursor.next = end;
        if piece.offset == self.delivered {
            self.deliver(cursor, piece, out);
            return Verdict::Accepted;
        }
        if end <= self.delivered { Verdict::Accepted } else { Verdict::Invalid }
    }

    fn deliver(&mut self, cursor: &mut AttemptCursor, piece: Piece, out: &mut Vec<Piece>) {
        self.delivered = self.delivered.saturating_add(piece.tokens);
        cursor.next = cursor.next.max(self.delivered);
        if piece.total.is_some() {
            let end = self.delivered;
            self.total = if self.checks.offset { piece.total } else { Some(end) };
        }
        out.push(piece);
    }
}

/// Buffers a piece until the ones before it arrive.
fn buffer_piece(cursor: &mut AttemptCursor, piece: Piece) -> Verdict {
    if cursor.buffered.contains_key(&piece.offset) {
        return Verdict::Doubled;
    }
    if cursor.buffered.len() == MAX_BUFFERED {
        return Verdict::Invalid;
    }
    cursor.buffered.insert(piece.offset, piece);
    Verdict::Buffered
}
