//! Helpers shared by several tests.

#![allow(dead_code)]

pub mod simulation;

use agatestair_policy::board::EndpointFacts;

/// Returns the store's facts about an endpoint.
pub fn endpoint_facts(name: &str, leaving: bool) -> EndpointFacts {
    EndpointFacts {
        name: name.into(),
        service: "s".into(),
        address: ([127, 0, 0, 1], 80).into(),
        domain: "a".into(),
        slots: 1,
        leaving,
        stage: None,
        born: 1,
        reclaimable: false,
    }
}
