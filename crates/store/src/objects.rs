//! The object store.

use crate::client::{Payload, PlatformClient, escape};
use crate::error::PlatformError;
use crate::purpose::Purpose;

/// Client of the object store.
#[derive(Clone)]
pub struct ObjectStore {
    platform: PlatformClient,
}

impl ObjectStore {
    /// Creates a client that uses `platform`.
    pub(crate) fn new(platform: PlatformClient) -> Self {
        Self { platform }
    }

    /// Stores `body` under `key`, replacing any existing object.
    ///
    /// # Errors
    ///
    /// [`PlatformError`]; the call can be retried after [`PlatformError::Lost`].
    pub fn put(&self, purpose: Purpose, key: &str, body: &[u8]) -> Result<(), PlatformError> {
        let path = format!("/objects/{}", escape(key));
        self.platform.call(purpose, &path, &Payload::Put(body)).map(drop)
    }

    /// Reads the object under `key`; `None` if it is absent.
    ///
    /// # Errors
    ///
    /// [`PlatformError`] if the store could not be read.
    pub fn get(&self, purpose: Purpose, key: &str) -> Result<Option<Vec<u8>>, PlatformError> {
        self.platform.call(purpose, &format!("/objects/{}", escape(key)), &Payload::Get)
    }
}
