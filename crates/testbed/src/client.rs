//! HTTP client for the control interfaces of a deployment's processes.

use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::TestbedError;

/// Timeout of one request.
const TIMEOUT: Duration = Duration::from_secs(5);

/// HTTP client that sends and receives JSON.
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
    /// Sends a `GET` and returns the status; `None` without a response.
    pub fn status(&self, address: &str, path: &str) -> Option<u16> {
        let response = self.agent.get(format!("http://{address}{path}")).call().ok()?;
        Some(response.status().as_u16())
    }

    /// Sends a `GET` and parses the JSON response.
    ///
    /// # Errors
    ///
    /// [`TestbedError::Request`] without a complete JSON response of status 200.
    pub fn get<T: DeserializeOwned>(&self, address: &str, path: &str) -> Result<T, TestbedError> {
        let url = format!("http://{address}{path}");
        let failed = |cause: String| TestbedError::Request { url: url.clone(), cause };
        let mut response =
            self.agent.get(&url).call().map_err(|error| failed(error.to_string()))?;
        if response.status() != 200 {
            return Err(failed(format!("status {}", response.status())));
        }
        let text = response.body_mut().with_config().limit(u64::MAX).read_to_string();
        let text = text.map_err(|error| failed(error.to_string()))?;
        serde_json::from_str(&text).map_err(|error| failed(error.to_string()))
    }

    /// Sends a JSON value with `POST` and returns the response body.
    ///
    /// # Errors
    ///
    /// [`TestbedError::Request`] without a response of status 200.
    pub fn post<T: Serialize>(
        &self,
        address: &str,
        path: &str,
        value: &T,
    ) -> Result<String, TestbedError> {
        let url = format!("http://{address}{path}");
        let failed = |cause: String| TestbedError::Request { url: url.clone(), cause };
        let mut response =
            self.agent.post(&url).send_json(value).map_err(|error| failed(error.to_string()))?;
        let status = response.status();
        let body =
            response.body_mut().read_to_string().map_err(|error| failed(error.to_string()))?;
        if status == 200 { Ok(body) } else { Err(failed(format!("status {status}: {body}"))) }
    }

    /// Sends a JSON value with `PUT`.
    ///
    /// # Errors
    ///
    /// [`TestbedError::Request`] without a response of status 200.
    pub fn put<T: Serialize>(
        &self,
        address: &str,
        path: &str,
        value: &T,
    ) -> Result<(), TestbedError> {
        let url = format!("http://{address}{path}");
        let failed = |cause: String| TestbedError::Request { url: url.clone(), cause };
        let response =
            self.agent.put(&url).send_json(value).map_err(|error| failed(error.to_string()))?;
        if response.status() == 200 { Ok(()) } else { Err(failed(response.status().to_string())) }
    }
}
