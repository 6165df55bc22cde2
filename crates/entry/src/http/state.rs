//! State shared by all request handlers.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use agatestair_runtime::MetricsHandle;
use agatestair_schema::settings::EntrySettings;
use agatestair_schema::slo::SloKind;
use slog::Logger;
use stakker::sync::Channel;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::claims::Claims;
use crate::core::message::{Caller, EntryMessage, RequestNumber};
use crate::core::slo::SloOutcome;
use crate::customers::Customer;
use crate::refusal::{RefusalKind, Refused};
use crate::view::{ListsView, View};

/// Permit for one open request; released when dropped.
pub type OpenPermit = OwnedSemaphorePermit;

/// State shared by all request handlers.
pub struct ServerState {
    /// Settings.
    pub settings: Arc<EntrySettings>,
    /// Identifier of this run of the process.
    pub boot: Arc<str>,
    /// Channel into the entry's actor.
    pub channel: Channel<EntryMessage>,
    /// View published by the actor.
    pub view: watch::Receiver<View>,
    /// Idempotency records.
    pub claims: Claims,
    /// Limits the number of open requests.
    pub permits: Arc<Semaphore>,
    /// Tracks connections and keyed calls, which must end before the process exits.
    pub tracker: TaskTracker,
    /// Cancelled when requests that are still open must be answered.
    pub ending: CancellationToken,
    /// Renders the metrics page.
    pub metrics: MetricsHandle,
    /// Log.
    pub log: Logger,
    /// Number of the next request.
    pub next_request: AtomicU64,
}

/// Tells the actor, when dropped, that the caller has disconnected or has its full response.
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
    /// Latest published view.
    pub fn view(&self) -> View {
        self.view.borrow().clone()
    }

    /// Allocates the number of a new request.
    pub fn next_number(&self) -> RequestNumber {
        RequestNumber(self.next_request.fetch_add(1, Ordering::Relaxed))
    }

    /// Request identifier that callers, endpoints and the log see.
    pub fn identifier(&self, number: RequestNumber) -> Arc<str> {
        format!("{}-{}-{}", self.settings.instance.name, self.boot, number.0).into()
    }

    /// Guard for the request `number`.
    pub fn guard(&self, number: RequestNumber) -> RequestGuard {
        RequestGuard { channel: self.channel.clone(), number }
    }

    /// Customer that owns the API key in the `Authorization` header.
    ///
    /// # Errors
    ///
    /// A refusal, which never contains the key.
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

    /// Acquires a permit for one open request.
    ///
    /// # Errors
    ///
    /// A refusal if the entry has too many open requests.
    pub fn acquire_permit(&self) -> Result<OpenPermit, Refused> {
        let permit = self.permits.clone().try_acquire_owned();
        permit.map_err(|_| Refused::not_run(RefusalKind::Overloaded))
    }

    /// Counts a request that was refused for lack of capacity before it reached the actor.
    pub fn count_refused(&self, caller: &Caller, service: &Arc<str>, kind: SloKind) {
        self.count_end(caller, service, kind, SloOutcome::Refused);
    }

    /// Counts the outcome of a request that never reached the actor.
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
