//! Which work an instance that is shutting down still takes.

use std::sync::Arc;
use std::time::Duration;

use agatestair_policy::Moment;
use agatestair_policy::board::{Denial, DenialCause, PlacementRequest};
use slotmap::new_key_type;

use crate::node::Node;
use crate::response::DEFAULT_RETRY_AFTER;

/// Time between the probable end of a run and the exit of the process: a new connection to the
/// endpoint, and the last bytes of the response.
const END_MARGIN: Duration = Duration::from_millis(500);

/// Time after which a caller should return if other instances are ready: they can serve it at once.
const OTHERS_RETRY_AFTER: Duration = Duration::from_millis(10);

new_key_type! {
    /// Key of a request whose first attempt was placed.
    pub struct BegunKey;
}

impl Node {
    /// Starts the shutdown; the process exits at `end`, whether or not requests are open. Requests that
    /// are taken until then have time for a silence of their endpoint.
    pub fn begin_shutdown(&mut self, end: Moment, silence: Duration) {
        self.stops_at = Some(end);
        self.silence = silence;
    }

    /// Whether this instance is shutting down.
    pub fn is_leaving(&self) -> bool {
        self.stops_at.is_some()
    }

    /// Whether another instance can serve callers.
    pub fn others_ready(&self, now: Moment) -> bool {
        let own_domain = &self.settings.own.domain;
        !self.members.addresses(own_domain, None, now).is_empty()
    }

    /// Records the real duration of a request of a route at a service, and the one that was expected.
    pub fn note_duration(
        &mut self,
        route: &Arc<str>,
        service: &Arc<str>,
        durations: [Duration; 2],
        now: Moment,
    ) {
        let [expected, real] = durations;
        let known = self.durations.entry((route.clone(), service.clone())).or_default();
        known.note(expected, real, now);
    }

    /// Records that the first attempt of a request was placed.
    pub fn begin_request(&mut self, route: &Arc<str>, service: &Arc<str>, now: Moment) -> BegunKey {
        self.begun.insert(((route.clone(), service.clone()), now))
    }

    /// Records that a request has ended.
    pub fn end_request(&mut self, key: BegunKey) {
        self.begun.remove(key);
    }

    /// Bound on the time that an attempt needs, for an instance that is shutting down; `modelled` is
    /// its duration as the model of the engines gives it. On routes without experience a request may
    /// last until its deadline.
    ///
    /// # Errors
    ///
    /// [`Denial`] if the attempt may not end before the process exits, or, for a new request, if it
    /// may not once an endpoint falls silent.
    pub(super) fn check_shutdown(
        &self,
        request: &PlacementRequest,
        modelled: Option<Duration>,
        now: Moment,
    ) -> Result<Option<Duration>, Denial> {
        let Some(end) = self.stops_at else { return Ok(None) };
        let key = (request.route.clone(), request.service.clone());
        let open = self.begun.values().filter(|(other, _)| *other == key);
        let open = open.map(|(_, begun)| now.since(*begun)).max().unwrap_or_default();
        let known = self.durations.get(&key);
        let bound = known.and_then(|known| known.bound(modelled, open, now));
        let silence = if request.begun { Duration::ZERO } else { self.silence };
        let bound = bound.map_or(request.left, |bound| {
            (bound.saturating_sub(request.elapsed) + silence).min(request.left)
        });
        if now + bound + END_MARGIN <= end {
            return Ok(Some(bound));
        }
        let retry_after =
            if self.others_ready(now) { OTHERS_RETRY_AFTER } else { DEFAULT_RETRY_AFTER };
        Err(Denial { cause: DenialCause::Stopping, retry_after })
    }
}
