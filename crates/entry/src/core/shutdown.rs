//! Graceful shutdown.

use std::time::{Duration, Instant};

use agatestair_policy::RequestKey;
use agatestair_runtime::log_event;
use stakker::{CX, after};

use crate::core::actor::{EntryActor, Phase, ShutdownPeriod};
use crate::events::{REQUEST_CUT, SHUTDOWN_STARTED, SHUTDOWN_TIMED_OUT, STOPPED};
use crate::refusal::{RefusalKind, Refused};

/// Time within which the news of this shutdown reaches all instances.
const PROPAGATION_TIME: Duration = Duration::from_millis(2000);
/// Part of the platform's shutdown timeout reserved for the last responses and the exit.
const EXIT_TIME: Duration = Duration::from_millis(500);
/// Part of [`EXIT_TIME`] reserved for the responses to requests that are cut.
const RESPONSE_TIME: Duration = Duration::from_millis(250);

impl EntryActor {
    /// Starts the shutdown: the entry is no longer announced to callers, but keeps serving until
    /// every `GET /v1/entries` response that named it has expired.
    pub(super) fn shut_down(&mut self, cx: CX![]) {
        if self.phase != Phase::Serving {
            return;
        }
        self.phase = Phase::Leaving;
        self.view.leaving = true;
        self.publish();
        self.send_heartbeat();
        log_event!(self.parts.log, SHUTDOWN_STARTED, "open" => self.jobs.len());
        let timeout = Duration::from_millis(self.parts.settings.patience_ms);
        let timeout = timeout.saturating_sub(EXIT_TIME);
        let begun = cx.now();
        self.period = Some(ShutdownPeriod { begun, end: begun + timeout });
        after!(timeout, [cx], shutdown_timed_out());
        let expiry = Duration::from_millis(self.parts.settings.answer_ms) + PROPAGATION_TIME;
        let wait = if self.parts.protections.leave_wait { expiry } else { Duration::ZERO };
        after!(wait.min(timeout), [cx], close());
    }

    /// Whether a request with this deadline may still be open at the end of the shutdown.
    pub(super) fn may_outlast(&self, deadline: Instant) -> bool {
        self.period.is_some_and(|period| deadline > period.end)
    }

    /// Stops accepting connections; open requests are finished.
    fn close(&mut self, _cx: CX![]) {
        self.phase = Phase::Closing;
        self.view.closed = true;
        self.publish();
        self.parts.closing.cancel();
        if !self.parts.protections.drain {
            self.finish();
        }
    }

    /// Completes the shutdown once all connections are closed.
    pub(super) fn drained(&mut self) {
        if self.phase == Phase::Closing {
            log_event!(self.parts.log, STOPPED);
            self.finish();
        }
    }

    /// Answers all requests that are still open, and ends the process once the answers are sent.
    fn shutdown_timed_out(&mut self, cx: CX![]) {
        let now = cx.now();
        log_event!(self.parts.log, SHUTDOWN_TIMED_OUT, "open" => self.jobs.len());
        self.close(cx);
        self.parts.ending.cancel();
        let open: Vec<RequestKey> = self.jobs.keys().collect();
        for request in open {
            self.cut(now, request);
        }
        after!(RESPONSE_TIME, [cx], responses_timed_out());
    }

    /// Ends a request for which the shutdown left no time.
    fn cut(&mut self, now: Instant, request: RequestKey) {
        let Some(job) = self.jobs.get(request) else {
            return;
        };
        let begun = self.period.map_or(now, |period| period.begun);
        log_event!(self.parts.log, REQUEST_CUT, "request" => &*job.caller.id,
            "ms" => now.saturating_duration_since(job.admitted).as_millis() as u64,
            "after_ms" => job.admitted.saturating_duration_since(begun).as_millis() as u64);
        let kind =
            if job.must_not_retry() { RefusalKind::OutcomeUnknown } else { RefusalKind::Leaving };
        let refused = Refused::with_state(kind, job.state());
        self.fail(now, request, refused);
    }

    fn responses_timed_out(&mut self, _cx: CX![]) {
        self.finish();
    }

    /// Sends the final counters, closes the channel to their writer and stops the event loop.
    fn finish(&mut self) {
        if let Some(snapshots) = self.parts.snapshots.take() {
            // Fails only if the writer thread panicked, which was reported then.
            let _ = snapshots.send(self.slo.counts());
        }
        self.parts.done.cancel();
    }
}
