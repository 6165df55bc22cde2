//! Endpoints and requests for tests of the board.

#![allow(dead_code)]

use std::time::Duration;

use agatestair_policy::board::{SeatFacts, Stage, Wanted};

/// An endpoint in domain `a` with four slots.
pub fn seat(name: &str, stage: Option<Stage>) -> SeatFacts {
    SeatFacts {
        name: name.into(),
        service: "s".into(),
        address: ([127, 0, 0, 1], 80).into(),
        domain: "a".into(),
        slots: 4,
        leaving: false,
        stage,
        born: 1,
    }
}

/// What a request of a caller in that domain needs.
pub fn ask() -> Wanted {
    Wanted {
        service: "s".into(),
        domain: "a".into(),
        limit: Duration::from_secs(5),
        aim: Duration::from_millis(300),
        pause: Duration::from_millis(150),
        share: 100,
        ..Wanted::default()
    }
}
