//! What several tests need.

use agatestair_policy::board::SeatFacts;

/// What the platform says of an endpoint.
pub fn record(name: &str, leaving: bool) -> SeatFacts {
    SeatFacts {
        name: name.into(),
        service: "s".into(),
        address: ([127, 0, 0, 1], 80).into(),
        domain: "a".into(),
        slots: 1,
        leaving,
        stage: None,
        born: 1,
    }
}
