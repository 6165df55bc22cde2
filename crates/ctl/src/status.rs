//! Status of the deployment, asked of a control process.

use std::thread;
use std::time::{Duration, Instant};

use agatestair_schema::settings::CtlSettings;
use agatestair_schema::status::StatusReport;
use ureq::Agent;

use crate::error::CtlError;

/// Longest wait for one instance.
const INSTANCE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between two looks while waiting.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// What is waited for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Wanted {
    /// All linked instances have this revision, or a newer one, in force.
    Revision(u64),
    /// The endpoint is in this state.
    State {
        /// Name of the endpoint.
        endpoint: String,
        /// State, as in the status.
        state: String,
    },
}

impl Wanted {
    /// Who has not reached it; empty if all have.
    pub fn missing(&self, report: &StatusReport) -> Vec<String> {
        match self {
            Self::Revision(revision) => report
                .instances
                .iter()
                .filter(|instance| ["live", "leaving"].contains(&instance.presence.as_str()))
                .filter(|instance| instance.revision < *revision)
                .map(|instance| instance.name.clone())
                .collect(),
            Self::State { endpoint, state } => {
                let found = report.endpoints.iter().find(|known| known.name == *endpoint);
                match found {
                    Some(known) if known.state == *state => Vec::new(),
                    Some(known) if state == "withdrawn" && known.state == "gone" => Vec::new(),
                    Some(known) => {
                        vec![format!("{endpoint} ({}, {} active)", known.state, known.active)]
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

/// Asks control processes for their status, the first that answers in the order set.
pub struct StatusClient {
    agent: Agent,
    instances: Vec<String>,
}

impl StatusClient {
    /// Opens no connection yet.
    pub fn new(settings: &CtlSettings) -> Self {
        let agent = Agent::config_builder().timeout_global(Some(INSTANCE_TIMEOUT)).build().into();
        Self { agent, instances: settings.instances.clone() }
    }

    /// Asks for the status.
    ///
    /// # Errors
    ///
    /// [`CtlError::NoInstance`] if none answered.
    pub fn status(&self) -> Result<StatusReport, CtlError> {
        let mut cause = "no instances are set".to_owned();
        for address in &self.instances {
            match self.ask(address) {
                Ok(report) => return Ok(report),
                Err(error) => cause = format!("{address}: {error}"),
            }
        }
        Err(CtlError::NoInstance { cause })
    }

    fn ask(&self, address: &str) -> Result<StatusReport, ureq::Error> {
        let url = format!("http://{address}/v1/status");
        self.agent.get(&url).call()?.body_mut().read_json()
    }

    /// Waits until `wanted` is reached and tells `progress` each time who is missing changes.
    ///
    /// # Errors
    ///
    /// [`CtlError::Timeout`] after `patience`; instances that cannot be reached are tried again.
    pub fn wait(
        &self,
        wanted: &Wanted,
        patience: Duration,
        mut progress: impl FnMut(&StatusReport, &[String]),
    ) -> Result<StatusReport, CtlError> {
        let start = Instant::now();
        let mut shown = None;
        loop {
            let missing = match self.status() {
                Ok(report) => {
                    let missing = wanted.missing(&report);
                    if missing.is_empty() {
                        return Ok(report);
                    }
                    if shown.as_ref() != Some(&missing) {
                        progress(&report, &missing);
                        shown = Some(missing.clone());
                    }
                    missing
                }
                Err(error) => vec![error.to_string()],
            };
            if start.elapsed() >= patience {
                return Err(CtlError::Timeout { what: wanted.describe(), missing });
            }
            thread::sleep(LOOK_INTERVAL);
        }
    }
}
