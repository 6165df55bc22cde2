//! Requests that the instance has read and not yet answered completely.

use std::cell::RefCell;
use std::fmt;
use std::rc::Rc;

use slotmap::{SlotMap, new_key_type};
use tokio::time::Instant;

new_key_type! {
    /// Key of an open request.
    struct RequestKey;
}

/// An open request.
#[derive(Clone, Debug)]
pub struct OpenRequest {
    /// Identifier of the caller's attempt, if given.
    pub id: Option<Rc<str>>,
    /// Time of arrival.
    pub arrived: Instant,
}

/// All open requests.
#[derive(Clone, Debug, Default)]
pub struct OpenRequests {
    requests: Rc<RefCell<SlotMap<RequestKey, OpenRequest>>>,
}

impl OpenRequests {
    /// Adds a request until the guard is dropped.
    pub fn insert(&self, request: OpenRequest) -> RequestGuard {
        let key = self.requests.borrow_mut().insert(request);
        RequestGuard { open: self.clone(), key }
    }

    /// Number of open requests.
    pub fn len(&self) -> usize {
        self.requests.borrow().len()
    }

    /// The open requests, in order of arrival.
    pub fn list(&self) -> Vec<OpenRequest> {
        let mut requests: Vec<OpenRequest> = self.requests.borrow().values().cloned().collect();
        requests.sort_by_key(|request| request.arrived);
        requests
    }
}

/// Keeps a request open until it is dropped.
pub struct RequestGuard {
    open: OpenRequests,
    key: RequestKey,
}

impl RequestGuard {
    /// Identifier of the caller's attempt, if given.
    pub fn id(&self) -> Option<Rc<str>> {
        self.open.requests.borrow().get(self.key).and_then(|request| request.id.clone())
    }
}

impl fmt::Debug for RequestGuard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RequestGuard").field("key", &self.key).finish_non_exhaustive()
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.open.requests.borrow_mut().remove(self.key);
    }
}
