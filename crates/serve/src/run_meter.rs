//! Counts one request of a customer for the usage reports.

use std::rc::Rc;
use std::sync::Arc;

use tokio::time::Instant;

use crate::customers::Customer;
use crate::dispatches::DispatchKey;
use crate::send::Written;
use crate::shared::Shared;
use crate::usage::note_run;

/// Counts a request at most once. Dropping it counts a request that was written to an endpoint and
/// has no other end, as when its caller disconnects.
pub struct RunMeter {
    shared: Rc<Shared>,
    customer: Option<Arc<Customer>>,
    counted: bool,
    /// Attempts to run the request that were not refused.
    attempts: Vec<(DispatchKey, Written)>,
}

impl RunMeter {
    /// A meter of a request, which counts nothing without a customer.
    pub fn new(shared: Rc<Shared>, customer: Option<Arc<Customer>>) -> Self {
        Self { shared, customer, counted: false, attempts: Vec::new() }
    }

    /// Records an attempt to run the request.
    pub fn begin(&mut self, key: DispatchKey, written: Written) {
        if self.customer.is_some() && !self.counted {
            self.attempts.push((key, written));
        }
    }

    /// Records that an attempt did not run the request.
    pub fn spare(&mut self, key: DispatchKey) {
        self.attempts.retain(|(known, _)| *known != key);
    }

    /// Counts the request as one that an endpoint began to run at `began`.
    pub fn note(&mut self, began: Instant) {
        if let Some(customer) = self.customer.as_ref().filter(|_| !self.counted) {
            note_run(&self.shared, &customer.name, began);
            self.counted = true;
        }
    }

    /// Counts the request if an attempt was written that may have run it.
    pub fn note_written(&mut self) {
        let written = self.attempts.iter().filter_map(|(_, written)| written.get()).min();
        if let Some(written) = written {
            self.note(written);
        }
    }
}

impl Drop for RunMeter {
    fn drop(&mut self) {
        self.note_written();
    }
}
