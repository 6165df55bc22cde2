//! Puts one whole answer together from the pieces of one or several attempts.

use std::collections::BTreeMap;
use std::sync::Arc;

/// Pieces of one attempt that may wait for the ones before them.
const MAX_BUFFERED: usize = 32;

/// Checks that tests of the checker can switch off.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PieceChecks {
    /// Whether pieces of other requests or attempts are dropped.
    pub attempt: bool,
    /// Whether offsets are checked.
    pub offset: bool,
    /// Whether the end must be marked with the total.
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
    /// Identifier of the request that the piece names.
    pub request: Arc<str>,
    /// Identifier of the attempt that the piece names.
    pub attempt: Arc<str>,
    /// Index of its first token.
    pub offset: u32,
    /// Number of its tokens.
    pub tokens: u32,
    /// Tokens of the whole answer, on the last piece.
    pub total: Option<u32>,
    /// Text.
    pub text: String,
    /// Why the answer ends, on the last piece.
    pub finish: Option<Arc<str>>,
}

/// Position of one attempt in the answer.
#[derive(Clone, Debug, Default)]
pub struct AttemptCursor {
    /// Identifier of the request.
    pub request: Arc<str>,
    /// Identifier of the attempt.
    pub attempt: Arc<str>,
    /// Index of the token that should come next.
    pub next: u32,
    /// Pieces that arrived before the ones that precede them, by offset.
    pub buffered: BTreeMap<u32, Piece>,
}

/// What became of a piece.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It fits; the caller may hold it already from another attempt.
    Accepted,
    /// It is kept until the pieces before it arrive.
    Buffered,
    /// The attempt sent it before.
    Doubled,
    /// It belongs to another request or attempt.
    Foreign,
    /// It does not fit; the attempt cannot go on.
    Invalid,
}

/// How much of one answer has been handed to the caller.
#[derive(Clone, Debug)]
pub struct Assembly {
    checks: PieceChecks,
    limit: u32,
    delivered: u32,
    total: Option<u32>,
}

impl Assembly {
    /// Starts an answer of at most `limit` tokens.
    pub fn new(checks: PieceChecks, limit: u32) -> Self {
        Self { checks, limit, delivered: 0, total: None }
    }

    /// Tokens handed to the caller.
    pub fn delivered(&self) -> u32 {
        self.delivered
    }

    /// Whether the caller holds the whole answer.
    pub fn is_complete(&self) -> bool {
        self.total == Some(self.delivered)
    }

    /// Whether an attempt whose stream ended may end the answer.
    pub fn may_end(&self) -> bool {
        self.is_complete() || !self.checks.end
    }

    /// Takes a piece that the attempt at `cursor` sent and appends to `out` what the caller is to
    /// be handed: nothing, this piece, or this piece and held ones that follow it.
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

/// Keeps a piece until those before it arrive.
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
