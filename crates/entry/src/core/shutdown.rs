//! Graceful shutdown.

use std::time::{Duration, Instant};

use agatestair_runtime::log_event;
use stakker::{CX, after};

use crate::core::actor::{EntryActor, Phase, ShutdownPeriod};
use crate::events::{SHUTDOWN_STARTED, SHUTDOWN_TIMED_OUT, STOPPED};

/// Time within which the news of this shutdown reaches all instances.
const PROPAGATION_TIME: Duration = Duration::from_millis(2000);
/// Part of the platform's shutdown timeout reserved for the exit of the process.
const EXIT_TIME: Duration = Duration::from_millis(500);

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

    fn shutdown_timed_out(&mut self, _cx: CX![]) {
        log_event!(self.parts.log, SHUTDOWN_TIMED_OUT, "open" => self.jobs.len());
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
