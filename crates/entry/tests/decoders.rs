//! Decoders accept arbitrary bytes without panics, bound their memory and decode valid input.

use std::io::BufReader;
use std::sync::Arc;

use agatestair_entry::core::assembly::{Assembly, AttemptCursor, Piece, PieceChecks, Verdict};
use agatestair_entry::endpoint::adapter::standard;
use agatestair_entry::endpoint::sse::{MAX_EVENT_BYTES, SseError, SseReader};
use googletest::prelude::*;
use proptest::prelude::*;

fn read_all(bytes: &[u8], buffer: usize) -> (Vec<String>, Option<SseError>) {
    let mut reader = SseReader::new(BufReader::with_capacity(buffer, bytes));
    let mut events = Vec::new();
    loop {
        match reader.next_event() {
            Ok(Some(event)) => events.push(event),
            Ok(None) => return (events, None),
            Err(error) => return (events, Some(error)),
        }
    }
}

struct EventCase {
    name: &'static str,
    bytes: &'static str,
    events: &'static [&'static str],
}

const EVENT_CASES: [EventCase; 7] = [
    EventCase { name: "one event", bytes: "data: a\n\n", events: &["a"] },
    EventCase { name: "no space", bytes: "data:a\n\n", events: &["a"] },
    EventCase { name: "carriage returns", bytes: "data: a\r\n\r\n", events: &["a"] },
    EventCase { name: "two lines", bytes: "data: a\ndata: b\n\n", events: &["a\nb"] },
    EventCase {
        name: "other fields and comments",
        bytes: ": c\nevent: x\ndata: a\nid: 1\n\n",
        events: &["a"],
    },
    EventCase { name: "incomplete event", bytes: "data: a\n\ndata: b\n", events: &["a"] },
    EventCase { name: "incomplete line", bytes: "data: a\n\ndata: b", events: &["a"] },
];

#[gtest]
fn events_are_parsed_as_specified() -> Result<()> {
    for case in &EVENT_CASES {
        for buffer in [1, 3, 4096] {
            let (events, error) = read_all(case.bytes.as_bytes(), buffer);
            expect_that!(events, eq(&case.events.to_vec()), "{}", case.name);
            expect_true!(error.is_none());
        }
    }
    Ok(())
}

#[gtest]
fn oversized_events_are_rejected() -> Result<()> {
    let line = vec![b'x'; MAX_EVENT_BYTES + 10];
    let many = "data: 0123456789\n".repeat(MAX_EVENT_BYTES / 10);
    for bytes in [line.as_slice(), many.as_bytes()] {
        let (events, error) = read_all(bytes, 4096);
        expect_that!(events.len(), eq(0));
        expect_true!(matches!(error, Some(SseError::TooLarge)));
    }
    Ok(())
}

const REQUEST: &str = "r";
const ATTEMPT: &str = "r.1";
const TOTAL: u32 = 12;

fn piece(offset: u32, attempt: &str) -> Piece {
    Piece {
        request: REQUEST.into(),
        attempt: attempt.into(),
        offset,
        tokens: 1,
        total: (offset + 1 == TOTAL).then_some(TOTAL),
        text: format!("{offset} "),
        finish: None,
    }
}

fn cursor(attempt: &str, next: u32) -> AttemptCursor {
    AttemptCursor {
        request: REQUEST.into(),
        attempt: attempt.into(),
        next,
        ..AttemptCursor::default()
    }
}

fn full_text() -> String {
    (0..TOTAL).map(|offset| format!("{offset} ")).collect()
}

proptest! {
    #[test]
    fn arbitrary_bytes_are_decoded_without_panic(bytes in proptest::collection::vec(any::<u8>(), 0..600)) {
        let (events, _) = read_all(&bytes, 7);
        let adapter = standard();
        for event in events {
            let _ = (adapter.decode)(&event);
        }
        let _ = (adapter.handle)(&bytes);
    }

    #[test]
    fn events_are_parsed_with_any_buffer_size(
        texts in proptest::collection::vec("[a-z {}\":]{0,40}", 0..20),
        buffer in 1_usize..100,
    ) {
        let bytes: String = texts.iter().map(|text| format!("data: {text}\n\n")).collect();
        let (events, error) = read_all(bytes.as_bytes(), buffer);
        prop_assert!(error.is_none());
        prop_assert_eq!(events, texts);
    }

    #[test]
    fn delivered_text_is_a_prefix_of_the_response(
        arrivals in proptest::collection::vec((0_usize..2, 0_u32..TOTAL, any::<bool>()), 0..120),
    ) {
        let attempts: [Arc<str>; 2] = [ATTEMPT.into(), "r.2".into()];
        let mut cursors = [cursor(&attempts[0], 0), cursor(&attempts[1], 0)];
        let mut broken = [false; 2];
        let mut assembly = Assembly::new(PieceChecks::default(), TOTAL);
        let mut text = String::new();
        for (index, offset, foreign) in arrivals {
            let sender = if foreign { 1 - index } else { index };
            if broken[index] {
                continue;
            }
            let mut out = Vec::new();
            let sent = piece(offset, &attempts[sender]);
            let verdict = assembly.accept(&mut cursors[index], sent, &mut out);
            prop_assert_eq!(foreign, verdict == Verdict::Foreign);
            broken[index] = verdict == Verdict::Invalid;
            text.extend(out.into_iter().map(|piece| piece.text));
        }
        prop_assert!(full_text().starts_with(&text));
        prop_assert_eq!(assembly.is_complete(), text == full_text());
        prop_assert!(cursors.iter().all(|cursor| cursor.buffered.len() <= TOTAL as usize));
    }

    #[test]
    fn shuffled_pieces_are_reordered(order in Just((0..TOTAL).collect::<Vec<_>>()).prop_shuffle()) {
        let mut cursor = cursor(ATTEMPT, 0);
        let mut assembly = Assembly::new(PieceChecks::default(), TOTAL);
        let mut text = String::new();
        for offset in order {
            let mut out = Vec::new();
            assembly.accept(&mut cursor, piece(offset, ATTEMPT), &mut out);
            text.extend(out.into_iter().map(|piece| piece.text));
        }
        prop_assert_eq!(text, full_text());
        prop_assert!(assembly.is_complete());
    }
}

struct PieceCase {
    name: &'static str,
    next: u32,
    piece: fn() -> Piece,
    verdict: Verdict,
}

const PIECE_CASES: [PieceCase; 8] = [
    PieceCase {
        name: "in sequence",
        next: 0,
        piece: || piece(0, ATTEMPT),
        verdict: Verdict::Accepted,
    },
    PieceCase { name: "early", next: 0, piece: || piece(3, ATTEMPT), verdict: Verdict::Buffered },
    PieceCase { name: "foreign", next: 0, piece: || piece(0, "r.2"), verdict: Verdict::Foreign },
    PieceCase {
        name: "no tokens and no total",
        next: 0,
        piece: || Piece { tokens: 0, ..piece(0, ATTEMPT) },
        verdict: Verdict::Doubled,
    },
    PieceCase {
        name: "empty last piece",
        next: 0,
        piece: || Piece { tokens: 0, total: Some(0), ..piece(0, ATTEMPT) },
        verdict: Verdict::Accepted,
    },
    PieceCase {
        name: "wrong total",
        next: 0,
        piece: || Piece { total: Some(9), ..piece(0, ATTEMPT) },
        verdict: Verdict::Invalid,
    },
    PieceCase {
        name: "over the limit",
        next: 0,
        piece: || Piece { tokens: TOTAL + 1, ..piece(0, ATTEMPT) },
        verdict: Verdict::Invalid,
    },
    PieceCase {
        name: "offset that overflows",
        next: 0,
        piece: || Piece { tokens: 5, ..piece(u32::MAX - 2, ATTEMPT) },
        verdict: Verdict::Invalid,
    },
];

#[gtest]
fn pieces_get_the_expected_verdict() -> Result<()> {
    for case in &PIECE_CASES {
        let mut assembly = Assembly::new(PieceChecks::default(), TOTAL);
        let mut out = Vec::new();
        let verdict = assembly.accept(&mut cursor(ATTEMPT, case.next), (case.piece)(), &mut out);
        expect_that!(verdict, eq(case.verdict), "{}", case.name);
    }
    Ok(())
}
