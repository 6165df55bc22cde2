//! Reads the description of a running deployment.

use std::path::Path;

use agatestair_schema::TESTBED_SCHEMA;
use agatestair_schema::testbed::{CapacityHint, Deployment, PlaceKind};
use agatestair_settings::{Definition, SettingsError, read_file};

/// Microseconds in a second.
const SECOND_US: f64 = 1e6;
/// Microseconds in a millisecond.
const MILLISECOND_US: f64 = 1e3;

/// Reads the deployment file that `agatestair-testbed up` wrote.
///
/// # Errors
///
/// [`SettingsError`] with every fault of the file.
pub fn read_deployment(path: &Path) -> Result<Deployment, SettingsError> {
    let definition = Definition { schema: TESTBED_SCHEMA, name: "Deployment" };
    read_file(path, definition).map(|document| document.value)
}

/// Cost of requests on the engines of one service, in seconds of one engine.
#[derive(Clone, Copy, Debug, Default)]
pub struct CostModel {
    /// Number of engines.
    pub engines: u32,
    /// Seconds for one prompt token.
    pub prompt_s: f64,
    /// Seconds for one output token in a full batch.
    pub output_s: f64,
}

impl CostModel {
    /// The model of the first service with engines; a model of one idle engine if there is none.
    pub fn of(deployment: &Deployment) -> Self {
        deployment.capacity.first().map(Self::from).unwrap_or_default()
    }

    /// Seconds of one engine for a request, with nothing found in the prefix cache.
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

/// Name of the first plain service, if the deployment has one.
pub fn plain_service(deployment: &Deployment) -> Option<&str> {
    let place = deployment.endpoints.iter().find(|place| place.kind == PlaceKind::Service);
    place.map(|place| place.service.as_str())
}
