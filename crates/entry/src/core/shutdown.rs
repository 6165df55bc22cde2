//! Graceful shutdown.

use std::time::Duration;

use agatestair_runtime::log_event;
use stakker::{CX, after};

use crate::core::actor::{EntryActor, Phase};
use crate::events::{SHUTDOWN_STARTED, SHUTDOWN_TIMED_OUT, STOPPED};

/// Time in which the word that this entry leaves reaches all instances.
const PROPAGATION_TIME: Duration = Duration::from_millis(2000);
/// Part of the platform's patience kept for the end of the process.
const EXIT_TIME: Duration = Duration::from_millis(500);

impl EntryActor {
    /// Goes out of the answers, and serves on until every answer that named this entry has expired.
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
        after!(timeout, [cx], shutdown_timed_out());
        let responses = Duration::from_millis(self.parts.settings.answer_ms) + PROPAGATION_TIME;
        let wait = if self.parts.protections.leave_wait { responses } else { Duration::ZERO };
        after!(wait.min(timeout), [cx], close());
    }

    /// Accepts no more connections and finishes the requests at hand.
    fn close(&mut self, _cx: CX![]) {
        self.phase = Phase::Closing;
        self.view.closed = true;
        self.publish();
        self.parts.closing.cancel();
        if !self.parts.protections.drain {
            self.finish();
        }
    }

    /// All connections have ended.
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

    /// Hands over the last counters, whose writer then ends, and ends the event loop.
    fn finish(&mut self) {
        if let Some(snapshots) = self.parts.snapshots.take() {
            // The writer has panicked if this fails, and the panic was printed.
            let _ = snapshots.send(self.slo.counts());
        }
        self.parts.done.cancel();
    }
}
