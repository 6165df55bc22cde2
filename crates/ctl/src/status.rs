//! Queries control processes for the status of a deployment.

use std::thread;
use std::time::{Duration, Instant};

use agatestair_schema::settings::CtlSettings;
use agatestair_schema::status::StatusReport;
use ureq::Agent;

use crate::error::CtlError;

/// Timeout of one status request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Polling interval while waiting.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Condition that a command waits for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WaitCondition {
    /// All live or leaving instances have applied this revision or a newer one.
    Revision(u64),
    /// An endpoint has reached a state.
    State {
        /// Name of the endpoint.
        endpoint: String,
        /// Name of the state as in the status report.
        state: String,
    },
}

impl WaitCondition {
    /// Names of the instances or endpoints that do not meet it; empty if it is met.
    pub fn pending(&self, report: &StatusReport) -> Vec<String> {
        match self {
            Self::Revision(revision) => report
                .instances
                .iter()
                .filter(|instance| ["live", "leaving"].contains(&instance.presence.as_str()))
                .filter(|instance| instance.revision < *revision)
                .map(|instance| instance.name.clone())
                .collect(),
            Self::State { endpoint, state } => {
                let found = report.endpoints.iter().find(|candidate| candidate.name == *endpoint);
                match found {
                    Some(found) if found.state == *state => Vec::new(),
                    Some(found) if state == "withdrawn" && found.state == "gone" => Vec::new(),
                    Some(found) => {
                        vec![format!("{endpoint} ({}, {} active)", found.state, found.active)]
                    }
                    None if state == "withdrawn" => Vec::new(),
                    None => vec![format!("{endpoint} (not listed)")],
                }
            }
        }
    }

    fn describe(&self) -> String {
        match self {
            Self::Revision(revision) => format!("revision {revision}"),
            Self::State { endpoint, state } => format!("state {state} of {endpoint}"),
        }
    }
}

/// Queries the configured control processes in order until one responds.
pub struct StatusClient {
    agent: Agent,
    instances: Vec<String>,
}

impl StatusClient {
    /// Creates the client without connecting.
    pub fn new(settings: &CtlSettings) -> Self {
        let agent = Agent::config_builder().timeout_global(Some(REQUEST_TIMEOUT)).build().into();
        Self { agent, instances: settings.instances.clone() }
    }

    /// Requests the status report.
    ///
    /// # Errors
    ///
    /// [`CtlError::NoInstance`] if no control process responded.
    pub fn status(&self) -> Result<StatusReport, CtlError> {
        let mut cause = "no addresses configured".to_owned();
        for address in &self.instances {
            match self.request_status(address) {
                Ok(report) => return Ok(report),
                Err(error) => cause = format!("{address}: {error}"),
            }
        }
        Err(CtlError::NoInstance { cause })
    }

    fn request_status(&self, address: &str) -> Result<StatusReport, ureq::Error> {
        let url = format!("http://{address}/v1/status");
        self.agent.get(&url).call()?.body_mut().read_json()
    }

    /// Waits until `condition` is met; calls `progress` whenever the set of pending names changes.
    ///
    /// # Errors
    ///
    /// [`CtlError::Timeout`] after `timeout`; unreachable control processes are retried until then.
    pub fn wait(
        &self,
        condition: &WaitCondition,
        timeout: Duration,
        mut progress: impl FnMut(&StatusReport, &[String]),
    ) -> Result<StatusReport, CtlError> {
        let start = Instant::now();
        let mut reported = None;
        loop {
            let pending = match self.status() {
                Ok(report) => {
                    let pending = condition.pending(&report);
                    if pending.is_empty() {
                        return Ok(report);
                    }
                    if reported.as_ref() != Some(&pending) {
                        progress(&report, &pending);
                        reported = Some(pending.clone());
                    }
                    pending
                }
                Err(error) => vec![error.to_string()],
            };
            if start.elapsed() >= timeout {
                return Err(CtlError::Timeout { what: condition.describe(), pending });
            }
            thread::sleep(POLL_INTERVAL);
        }
    }
}
