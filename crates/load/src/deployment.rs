//! Description of a running deployment and the cost model of its engines.

use std::path::Path;

use agatestair_schema::TESTBED_SCHEMA;
use agatestair_schema::testbed::{CapacityHint, Deployment, PlaceKind};
use agatestair_settings::{Definition, SettingsError, read_file};

/// Microseconds in a second.
const SECOND_US: f64 = 1e6;
/// Microseconds in a millisecond.
const MILLISECOND_US: f64 = 1e3;

/// Reads a deployment file written by `agatestair-testbed up`.
///
/// # Errors
///
/// Returns a [`SettingsError`] that lists all errors in the file.
pub fn read_deployment(path: &Path) -> Result<Deployment, SettingsError> {
    let definition = Definition { schema: TESTBED_SCHEMA, name: "Deployment" };
    read_file(path, definition).map(|document| document.value)
}

/// Cost model of requests to the engines of one service, in seconds of one engine.
#[derive(Clone, Copy, Debug, Default)]
pub struct CostModel {
    /// Number of engines.
    pub engines: u32,
    /// Seconds per prompt token.
    pub prompt_s: f64,
    /// Seconds per output token in a full batch.
    pub output_s: f64,
}

impl CostModel {
    /// The model of the first service with engines; all zeros if there is none.
    pub fn of(deployment: &Deployment) -> Self {
        deployment.capacity.first().map(Self::from).unwrap_or_default()
    }

    /// Engine time of a request in seconds, without prefix cache hits.
    pub fn request_s(&self, prompt_tokens: f64, output_tokens: f64) -> f64 {
        prompt_tokens * self.prompt_s + output_tokens * self.output_s
    }
}

impl From<&CapacityHint> for CostModel {
    fn from(hint: &CapacityHint) -> Self {
        let batch = f64::from(hint.max_batch.max(1));
        let output_us = hint.step_ms * MILLISECOND_US / batch + hint.sequence_us;
        Self {
            engines: hint.engines,
            prompt_s: hint.prefill_us / SECOND_US,
            output_s: output_us / SECOND_US,
        }
    }
}

/// Returns the name of the deployment's first plain HTTP service, if it has one.
pub fn plain_service(deployment: &Deployment) -> Option<&str> {
    let place = deployment.endpoints.iter().find(|place| place.kind == PlaceKind::Service);
    place.map(|place| place.service.as_str())
}
