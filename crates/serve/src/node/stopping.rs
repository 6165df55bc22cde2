//! Which work an instance that is shutting down still takes.

use std::sync::Arc;
use std::time::Duration;

use agatestair_policy::Moment;
use agatestair_policy::board::{Denial, DenialCause, PlacementRequest};
use slotmap::new_key_type;

use crate::node::Node;
use crate::response::DEFAULT_RETRY_AFTER;

/// Time after the signal up to which the platform excuses that a new request is cut by the exit.
const UNSURE_TIME: Duration = Duration::from_secs(3);

/// Time between the probable end of a run and the exit of the process: a new connection to the
/// endpoint, and the last bytes of the response.
const END_MARGIN: Duration = Duration::from_millis(500);

/// Time after which a caller should return if other instances are ready: they can serve it at once.
const OTHERS_RETRY_AFTER: Duration = Duration::from_millis(10);

new_key_type! {
    /// Key of a request whose first attempt was placed.
    pub struct BegunKey;
}

/// A shutdown in progress.
#[derive(Clone, Copy, Debug)]
pub(super) struct Stop {
    /// When the signal arrived.
    begun: Moment,
    /// When requests are answered with an error.
    end: Moment,
    /// Silence of an endpoint that requests with an estimated end have time for.
    silence: Duration,
}

impl Node {
    /// Starts the shutdown; requests that are open at `end` are answered with an error. Those that are
    /// taken on an estimate have time for a silence of their endpoint.
    pub fn begin_shutdown(&mut self, end: Moment, silence: Duration, now: Moment) {
        self.stop = Some(Stop { begun: now, end, silence });
    }

    /// Whether this instance is shutting down.
    pub fn is_leaving(&self) -> bool {
        self.stop.is_some()
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
    /// its duration as the model of the engines gives it.
    ///
    /// A request ends with its deadline at the latest. One that may outlast the process is a promise
    /// that an estimate cannot keep, so that another instance has to take it. Estimates decide only
    /// on what was taken before, and for a short time on what no other instance can take.
    ///
    /// # Errors
    ///
    /// [`Denial`] if the attempt may not end before the process exits.
    pub(super) fn check_shutdown(
        &self,
        request: &PlacementRequest,
        modelled: Option<Duration>,
        now: Moment,
    ) -> Result<Option<Duration>, Denial> {
        let Some(stop) = self.stop else { return Ok(None) };
        if now + request.left <= stop.end {
            return Ok(Some(request.left));
        }
        let others = self.others_ready(now);
        if request.begun || (!others && now <= stop.begun + UNSURE_TIME) {
            let bound = self.estimate(request, modelled, stop.silence, now);
            if now + bound + END_MARGIN <= stop.end {
                return Ok(Some(bound));
            }
        }
        let retry_after = if others { OTHERS_RETRY_AFTER } else { DEFAULT_RETRY_AFTER };
        Err(Denial { cause: DenialCause::Stopping, retry_after })
    }

    /// Probable bound on the time that an attempt needs; for a new request with a silence of its
    /// endpoint. On routes without experience a request may last until its deadline.
    fn estimate(
        &self,
        request: &PlacementRequest,
        modelled: Option<Duration>,
        silence: Duration,
        now: Moment,
    ) -> Duration {
        let key = (request.route.clone(), request.service.clone());
        let open = self.begun.values().filter(|(other, _)| *other == key);
        let open = open.map(|(_, begun)| now.since(*begun)).max().unwrap_or_default();
        let known = self.durations.get(&key);
        let bound = known.and_then(|known| known.bound(modelled, open, now));
        let silence = if request.begun { Duration::ZERO } else { silence };
        bound.map_or(request.left, |bound| {
            (bound.saturating_sub(request.elapsed) + silence).min(request.left)
        })
    }
}
