//! The platform's list of live and leaving instances.

use agatestair_schema::platform::{InstanceList, InstanceRecord};

use crate::client::{Payload, PlatformClient, encode, escape};
use crate::error::PlatformError;
use crate::purpose::Purpose;

/// Client of the instance list, which lags behind the actual state.
#[derive(Clone)]
pub struct InstanceDirectory {
    platform: PlatformClient,
}

impl InstanceDirectory {
    /// Creates a client that uses `platform`.
    pub(crate) fn new(platform: PlatformClient) -> Self {
        Self { platform }
    }

    /// Reads the list.
    ///
    /// # Errors
    ///
    /// [`PlatformError`] if it could not be read.
    pub fn list(&self) -> Result<Vec<InstanceRecord>, PlatformError> {
        let path = "/instances";
        let list: InstanceList =
            self.platform.call_json(Purpose::Instances, path, &Payload::Get)?;
        Ok(list.instances)
    }

    /// Registers the state of an instance.
    ///
    /// # Errors
    ///
    /// [`PlatformError`]; the call is idempotent and can be retried.
    pub fn register(&self, record: &InstanceRecord) -> Result<(), PlatformError> {
        let path = format!("/instances/{}", escape(&record.name));
        let body = encode(record);
        self.platform.call(Purpose::Instances, &path, &Payload::Put(&body)).map(drop)
    }
}
