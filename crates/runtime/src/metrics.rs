//! Metrics of a process in the Prometheus text format.

use metrics_exporter_prometheus::{BuildError, PrometheusBuilder, PrometheusHandle};

/// Bucket bounds of the latency histograms in seconds.
const LATENCY_BOUNDS_S: [f64; 14] =
    [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.42, 1.0, 2.5, 5.0, 10.0, 30.0];

/// Renders the metrics of this process.
#[derive(Clone)]
pub struct MetricsHandle {
    handle: PrometheusHandle,
}

impl MetricsHandle {
    /// Current metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        self.handle.run_upkeep();
        self.handle.render()
    }
}

/// Installs the recorder behind the `metrics` macros.
///
/// # Errors
///
/// [`BuildError`] if a recorder is already installed.
pub fn install_metrics() -> Result<MetricsHandle, BuildError> {
    let handle = PrometheusBuilder::new().set_buckets(&LATENCY_BOUNDS_S)?.install_recorder()?;
    Ok(MetricsHandle { handle })
}
