//! The rate-limited weight store.

use crate::client::{Payload, PlatformClient, escape};
use crate::error::PlatformError;
use crate::purpose::Purpose;

/// Client of the weight store.
#[derive(Clone)]
pub struct WeightStore {
    platform: PlatformClient,
}

impl WeightStore {
    /// Creates a client that uses `platform`.
    pub(crate) fn new(platform: PlatformClient) -> Self {
        Self { platform }
    }

    /// Reserves a slot to load the weights of `model`; returns false if the store has no such
    /// model.
    ///
    /// # Errors
    ///
    /// [`PlatformError::Throttled`] with the retry delay if the store's rate limit is reached, or
    /// another [`PlatformError`] if the call failed.
    pub fn reserve(&self, model: &str) -> Result<bool, PlatformError> {
        let path = format!("/weights/{}", escape(model));
        Ok(self.platform.call(Purpose::Weights, &path, &Payload::Get)?.is_some())
    }
}
