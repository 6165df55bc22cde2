//! Puts one whole answer together from the pieces of one or several attempts.

use std::collections::BTreeMap;
use std::sync::Arc;

/// Pieces of one attempt that may wait for the ones before them.
const MAX_AHEAD: usize = 32;

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
pub struct Track {
    /// Identifier of the request.
    pub request: Arc<str>,
    /// Identifier of the attempt.
    pub attempt: Arc<str>,
    /// Index of the token that should come next.
    pub next: u32,
    /// Pieces that arrived before the ones that precede them, by offset.
    pub ahead: BTreeMap<u32, Piece>,
}

/// What became of a piece.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It fits; the caller may hold it already from another attempt.
    Taken,
    /// It is kept until the pieces before it arrive.
    Held,
    /// The attempt sent it before.
    Doubled,
    /// It belongs to another request or attempt.
    Foreign,
    /// It does not fit; the attempt cannot go on.
    Broken,
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
    pub fn whole(&self) -> bool {
        self.total == Some(self.delivered)
    }

    /// Whether an attempt whose stream ended may end the answer.
    pub fn ends_here(&self) -> bool {
        self.whole() || !self.checks.end
    }

    /// Takes a piece that the attempt at `track` sent and appends to `out` what the caller is to
    /// be handed: nothing, this piece, or this piece and held ones that follow it.
    pub fn take(&mut self, track: &mut Track, piece: Piece, out: &mut Vec<Piece>) -> Verdict {
        let foreign = piece.request != track.request || piece.attempt != track.attempt;
        if self.checks.attempt && foreign {
            return Verdict::Foreign;
        }
        if !self.checks.offset {
            self.deliver(track, piece, out);
            return Verdict::Taken;
        }
        let verdict = self.take_checked(track, piece, out);
        if verdict != Verdict::Taken {
            return verdict;
        }
        while let Some(held) = track.ahead.remove(&track.next) {
            if self.take_checked(track, held, out) == Verdict::Broken {
                return Verdict::Broken;
            }
        }
        Verdict::Taken
    }

    fn take_checked(&mut self, track: &mut Track, piece: Piece, out: &mut Vec<Piece>) -> Verdict {
        let Some(end) = piece.offset.checked_add(piece.tokens) else {
            return Verdict::Broken;
        };
        let empty_end = piece.tokens == 0 && piece.total.is_some();
        if end <= track.next && !(empty_end && end == track.next) {
            return Verdict::Doubled;
        }
        let total_fits = piece
            .total
            .is_none_or(|total| total == end && self.total.is_none_or(|known| known == total));
        if piece.offset < track.next || end > self.limit || !total_fits {
            return Verdict::Broken;
        }
        if piece.offset > track.next {
            return hold(track, piece);
        }
        track.next = end;
        if piece.offset == self.delivered {
            self.deliver(track, piece, out);
            return Verdict::Taken;
        }
        if end <= self.delivered { Verdict::Taken } else { Verdict::Broken }
    }

    fn deliver(&mut self, track: &mut Track, piece: Piece, out: &mut Vec<Piece>) {
        self.delivered = self.delivered.saturating_add(piece.tokens);
        track.next = track.next.max(self.delivered);
        if piece.total.is_some() {
            let end = self.delivered;
            self.total = if self.checks.offset { piece.total } else { Some(end) };
        }
        out.push(piece);
    }
}

/// Keeps a piece until those before it arrive.
fn hold(track: &mut Track, piece: Piece) -> Verdict {
    if track.ahead.contains_key(&piece.offset) {
        return Verdict::Doubled;
    }
    if track.ahead.len() == MAX_AHEAD {
        return Verdict::Broken;
    }
    track.ahead.insert(piece.offset, piece);
    Verdict::Held
}
