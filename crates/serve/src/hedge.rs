//! The second attempt of a request whose first one is late.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use agatestair_runtime::log_event;
use tokio::time::Instant;

use crate::attempt_guard::AttemptGuard;
use crate::call::Call;
use crate::events::{HEDGE_BEGUN, HEDGE_ENDED};
use crate::node::Search;
use crate::shared::Shared;

/// Bytes of a plain request's body that count as one token of its size.
const TOKEN_BYTES: usize = 4;

/// Whether and when a request gets a second attempt, and what became of it.
pub struct Hedge {
    shared: Rc<Shared>,
    /// Identifier of the request, for the log.
    id: Option<Rc<str>>,
    /// When a second attempt may begin; `None` if it must not, or was decided on.
    due: Option<Instant>,
    /// Endpoint of the second attempt, until it is over.
    second: Option<Arc<str>>,
    /// When the second attempt began.
    begun: Instant,
}

impl Hedge {
    fn end(&mut self, outcome: &'static str, winner: Option<&str>) {
        let Some(second) = self.second.take() else { return };
        metrics::counter!("agatestair_serve_hedges_total", "outcome" => outcome).increment(1);
        log_event!(self.shared.log, HEDGE_ENDED, "request" => self.id.as_deref(),
            "endpoint" => &*second, "outcome" => outcome, "winner" => winner,
            "ms" => self.begun.elapsed().as_millis() as u64);
    }
}

impl Drop for Hedge {
    fn drop(&mut self) {
        self.end("failed", None);
    }
}

impl Call {
    /// Size of the request in tokens, or what stands for them.
    fn size(&self) -> u32 {
        let body = u32::try_from(self.forwarded.body.len() / TOKEN_BYTES).unwrap_or(u32::MAX);
        self.facts.prompt.as_ref().map_or(body, |prompt| prompt.input)
    }

    /// Plans the second attempt of a request whose first one has begun, if the settings allow any.
    pub fn plan_hedge(&mut self) {
        if self.hedge.is_some() || self.answering {
            return;
        }
        let (service, size) = (self.service.name.clone(), self.size());
        let delay = self.shared.hub.ask(move |node, now| node.hedge_delay(&service, size, now));
        let Some(delay) = delay else { return };
        let begun = Instant::now();
        let may_begin = self.may_repeat() && !self.trial;
        let due = delay.ok().filter(|_| may_begin).map(|delay| begun + delay);
        let (shared, id) = (self.shared.clone(), self.forwarded.id.clone());
        self.hedge = Some(Hedge { shared, id, due, second: None, begun });
    }

    /// When a second attempt may begin, if it may.
    pub fn hedge_due(&self) -> Option<Instant> {
        self.hedge.as_ref()?.due
    }

    /// Withdraws the plan of a second attempt that has not begun: the first one is over.
    pub fn cancel_hedge(&mut self) {
        if let Some(hedge) = &mut self.hedge {
            hedge.due = None;
        }
    }

    /// Selects an endpoint for the second attempt and adds the attempt to its load; `None` if the
    /// attempt must not begin. This is decided once.
    pub fn place_hedge(&mut self, search: Search, first: &AttemptGuard) -> Option<AttemptGuard> {
        self.cancel_hedge();
        let service = self.service.name.clone();
        let parts = self.likely_suspects();
        let is_quarantined =
            self.shared.hub.ask(move |node, _| node.is_quarantined(&service, &parts));
        let stops = self.shared.leaving.is_cancelled();
        if stops || is_quarantined || !self.may_repeat() || self.check_key(search).is_err() {
            return None;
        }
        let request = self.placement_request();
        let (key, connections) = (first.placement.key, self.service.connections);
        let placed = self
            .shared
            .hub
            .ask(move |node, now| node.place_hedge(&request, search, connections, key, now));
        let placement = placed.ok()?;
        self.log_placement(search, &placement);
        log_event!(self.shared.log, HEDGE_BEGUN, "request" => self.forwarded.id.as_deref(),
            "endpoint" => &*placement.name, "first" => &*first.placement.name,
            "service" => &*self.service.name, "ms" => first.elapsed().as_millis() as u64);
        let hedge = self.hedge.as_mut()?;
        hedge.second = Some(placement.name.clone());
        hedge.begun = Instant::now();
        Some(AttemptGuard::new(self.shared.clone(), placement))
    }

    /// Records the time until an attempt's response head, or until it was cancelled.
    pub fn note_head(&self, time: Duration) {
        if self.hedge.is_none() {
            return;
        }
        let (service, size) = (self.service.name.clone(), self.size());
        self.shared.hub.ask(move |node, now| node.note_head(&service, size, time, now));
    }

    /// Records that the second attempt has failed, if `guard` belongs to it.
    pub fn note_hedge_failed(&mut self, guard: &AttemptGuard) {
        if let Some(hedge) = self.hedge.as_mut().filter(|_| guard.placement.hedge) {
            hedge.end("failed", None);
        }
    }

    /// Records which attempt has answered.
    pub fn end_hedge(&mut self, winner: &AttemptGuard) {
        if let Some(mut hedge) = self.hedge.take() {
            let outcome = if winner.placement.hedge { "won" } else { "lost" };
            hedge.end(outcome, Some(&winner.placement.name));
        }
    }
}
