//! Serves callers over HTTP and places their requests on endpoints.
