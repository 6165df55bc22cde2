//! Small HTTP client for the control interfaces.

use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::TestbedError;

/// Longest wait for one answer.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Client of the processes of a deployment.
#[derive(Clone)]
pub struct Client {
    agent: ureq::Agent,
}

impl Default for Client {
    fn default() -> Self {
        let config = ureq::Agent::config_builder()
            .timeout_global(Some(TIMEOUT))
            .http_status_as_error(false)
            .build();
        Self { agent: config.into() }
    }
}

impl Client {
    /// Status of a `GET`, or `None` without an answer.
    pub fn status(&self, address: &str, path: &str) -> Option<u16> {
        let answer = self.agent.get(format!("http://{address}{path}")).call().ok()?;
        Some(answer.status().as_u16())
    }

    /// Reads a JSON value.
    ///
    /// # Errors
    ///
    /// [`TestbedError::Request`] without a whole answer of status 200.
    pub fn get<T: DeserializeOwned>(&self, address: &str, path: &str) -> Result<T, TestbedError> {
        let url = format!("http://{address}{path}");
        let failed = |cause: String| TestbedError::Request { url: url.clone(), cause };
        let mut answer = self.agent.get(&url).call().map_err(|error| failed(error.to_string()))?;
        if answer.status() != 200 {
            return Err(failed(format!("status {}", answer.status())));
        }
        let text = answer.body_mut().with_config().limit(u64::MAX).read_to_string();
        let text = text.map_err(|error| failed(error.to_string()))?;
        serde_json::from_str(&text).map_err(|error| failed(error.to_string()))
    }

    /// Sends a JSON value; returns the body of the answer.
    ///
    /// # Errors
    ///
    /// [`TestbedError::Request`] without an answer of status 200.
    pub fn post<T: Serialize>(
        &self,
        address: &str,
        path: &str,
        value: &T,
    ) -> Result<String, TestbedError> {
        let url = format!("http://{address}{path}");
        let failed = |cause: String| TestbedError::Request { url: url.clone(), cause };
        let mut answer =
            self.agent.post(&url).send_json(value).map_err(|error| failed(error.to_string()))?;
        let status = answer.status();
        let body = answer.body_mut().read_to_string().map_err(|error| failed(error.to_string()))?;
        if status == 200 { Ok(body) } else { Err(failed(format!("status {status}: {body}"))) }
    }

    /// Replaces a JSON value.
    ///
    /// # Errors
    ///
    /// [`TestbedError::Request`] without an answer of status 200.
    pub fn put<T: Serialize>(
        &self,
        address: &str,
        path: &str,
        value: &T,
    ) -> Result<(), TestbedError> {
        let url = format!("http://{address}{path}");
        let failed = |cause: String| TestbedError::Request { url: url.clone(), cause };
        let answer =
            self.agent.put(&url).send_json(value).map_err(|error| failed(error.to_string()))?;
        if answer.status() == 200 { Ok(()) } else { Err(failed(answer.status().to_string())) }
    }
}
