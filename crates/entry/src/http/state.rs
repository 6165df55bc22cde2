//! What all handlers of callers' requests share.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use agatestair_runtime::MetricsHandle;
use agatestair_schema::settings::EntrySettings;
use agatestair_schema::slo::SloKind;
use slog::Logger;
use stakker::sync::Channel;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use tokio_util::task::TaskTracker;

use crate::claims::Claims;
use crate::core::message::{Caller, EntryMessage, RequestNumber};
use crate::core::slo::SloOutcome;
use crate::customers::Customer;
use crate::refusal::{RefusalKind, Refused};
use crate::view::{ListsView, View};

/// Place among the requests in work; given back when dropped.
pub type OpenPermit = OwnedSemaphorePermit;

/// What all handlers of callers' requests share.
pub struct ServerState {
    /// Settings.
    pub settings: Arc<EntrySettings>,
    /// Identifier of this run.
    pub boot: Arc<str>,
    /// Channel into the entry's actor.
    pub channel: Channel<EntryMessage>,
    /// State published by the actor.
    pub view: watch::Receiver<View>,
    /// Idempotency records.
    pub claims: Claims,
    /// Places for requests in work.
    pub permits: Arc<Semaphore>,
    /// Connections and keyed calls that are to end before the process does.
    pub tracker: TaskTracker,
    /// Metrics.
    pub metrics: MetricsHandle,
    /// Log.
    pub log: Logger,
    /// Requests so far.
    pub count: AtomicU64,
}

/// Tells the actor that a caller has gone or has its answer, when dropped.
pub struct RequestGuard {
    channel: Channel<EntryMessage>,
    number: RequestNumber,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.channel.send(EntryMessage::CallerGone(self.number));
    }
}

impl ServerState {
    /// State published last.
    pub fn view(&self) -> View {
        self.view.borrow().clone()
    }

    /// Number of the next request.
    pub fn next_number(&self) -> RequestNumber {
        RequestNumber(self.count.fetch_add(1, Ordering::Relaxed))
    }

    /// Identifier under which a request is told of.
    pub fn identifier(&self, number: RequestNumber) -> Arc<str> {
        format!("{}-{}-{}", self.settings.instance.name, self.boot, number.0).into()
    }

    /// Notice for the request `number`.
    pub fn guard(&self, number: RequestNumber) -> RequestGuard {
        RequestGuard { channel: self.channel.clone(), number }
    }

    /// Customer that sends the key in the `Authorization` header.
    ///
    /// # Errors
    ///
    /// A refusal that does not repeat the key.
    pub fn authenticate(
        &self,
        lists: &ListsView,
        headers: &hyper::HeaderMap,
    ) -> Result<Arc<Customer>, Refused> {
        let refused = || Refused::not_run(RefusalKind::Unauthorized);
        let header = headers.get(hyper::header::AUTHORIZATION).ok_or_else(refused)?;
        let text = header.to_str().map_err(|_| refused())?;
        let (scheme, key) = text.split_once(' ').ok_or_else(refused)?;
        if !scheme.eq_ignore_ascii_case("bearer") {
            return Err(refused());
        }
        lists.customers.find(key.trim()).ok_or_else(refused)
    }

    /// A place among the requests in work.
    ///
    /// # Errors
    ///
    /// A refusal if all places are taken.
    pub fn acquire_permit(&self) -> Result<OpenPermit, Refused> {
        let permit = self.permits.clone().try_acquire_owned();
        permit.map_err(|_| Refused::not_run(RefusalKind::Overloaded))
    }

    /// Counts a refusal for want of capacity that the actor does not see.
    pub fn count_refused(&self, caller: &Caller, service: &Arc<str>, kind: SloKind) {
        self.count_end(caller, service, kind, SloOutcome::Refused);
    }

    /// Counts the end of a request that the actor does not see.
    pub fn count_end(
        &self,
        caller: &Caller,
        service: &Arc<str>,
        kind: SloKind,
        outcome: SloOutcome,
    ) {
        let plan = caller.customer.plan.clone();
        let service = service.clone();
        self.channel.send(EntryMessage::Count { plan, service, kind, outcome });
    }
}
