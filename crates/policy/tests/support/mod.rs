//! Endpoints and requests for tests of [`Board`](agatestair_policy::board::Board).

#![allow(dead_code)]

use std::time::Duration;

use agatestair_policy::board::{EndpointFacts, PlacementRequest, Stage};

/// Returns an endpoint in failure domain `a` with four slots.
pub fn endpoint(name: &str, stage: Option<Stage>) -> EndpointFacts {
    EndpointFacts {
        name: name.into(),
        service: "s".into(),
        address: ([127, 0, 0, 1], 80).into(),
        domain: "a".into(),
        slots: 4,
        leaving: false,
        stage,
        born: 1,
        reclaimable: false,
    }
}

/// Returns a request from an instance in failure domain `a`.
pub fn request() -> PlacementRequest {
    PlacementRequest {
        service: "s".into(),
        domain: "a".into(),
        limit: Duration::from_secs(5),
        objective: Duration::from_millis(300),
        max_gap: Duration::from_millis(150),
        max_concurrent: 100,
        ..PlacementRequest::default()
    }
}
