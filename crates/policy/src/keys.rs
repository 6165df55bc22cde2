//! Keys of the scheduler's slot maps.

slotmap::new_key_type! {
    /// Key of one request.
    pub struct RequestKey;

    /// Key of one endpoint.
    pub struct EndpointKey;

    /// Key of one attempt of a request at an endpoint.
    pub struct AttemptKey;
}
