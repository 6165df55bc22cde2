//! Rate limits of endpoints, which all instances share.

use std::sync::Arc;
use std::time::Duration;

use agatestair_policy::board::{BoardEndpoint, LimitReport};
use agatestair_policy::{EndpointKey, Moment};

use crate::datagram::{PulseLimit, PulseLimits};
use crate::node::Node;

/// Time for which datagrams repeat that a limit has changed: three rounds, since some datagrams may
/// be lost. An instance that receives none is told by the first response that it gets.
const LIMITS_REPEAT: Duration = Duration::from_millis(120);

/// Shortest time between two reports of all limits in force, if many instances start or return.
const STANDING_INTERVAL: Duration = Duration::from_secs(1);

/// Largest number of limits in a datagram; the latest changes are sent first.
const MAX_LIMITS: usize = 32;

/// A change of an endpoint's rate limit that another instance reported.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitChange {
    /// Name of the endpoint.
    pub endpoint: Arc<str>,
    /// Requests per second of all instances together, `None` if the limit was lifted.
    pub rate: Option<f64>,
    /// Age of the observation.
    pub age: Duration,
}

impl Node {
    /// Adds what this instance's share of the rate limits of a service's endpoints yields; returns
    /// the share, or `None` if there are no limits.
    pub(super) fn earn_limits(&mut self, service: &str, now: Moment) -> Option<f64> {
        let share = self.limit_share(service, now)?;
        self.board.earn_limits(service, share, self.name_hash, now);
        Some(share)
    }

    /// This instance's share of the rate limits of a service's endpoints, from 0 to 1; `None` if
    /// there are no limits.
    pub fn limit_share(&self, service: &str, now: Moment) -> Option<f64> {
        let (others, large) = (self.members.sharers(now), self.members.is_large());
        let share = || self.sharing.share(service, others, large, now);
        self.board.is_limited(service).then(share)
    }

    /// Whether a request that was not placed may be sent to an endpoint; spends one request of this
    /// instance's share if the endpoint names a rate limit.
    pub fn spend_limit(&mut self, key: EndpointKey, now: Moment) -> bool {
        let limited = |endpoint: &&BoardEndpoint| endpoint.limit.rate().is_some();
        let Some(endpoint) = self.board.endpoints.get(key).filter(limited) else { return true };
        let service = endpoint.facts.service.clone();
        self.earn_limits(&service, now);
        self.board.spend_limit(key)
    }

    /// Updates the weights by which this instance takes part in the limits of services.
    pub(super) fn announce_weights(&mut self, now: Moment) {
        self.sharing.announce(self.board.limited_services().iter(), now);
    }

    /// What to report about rate limits to other instances.
    pub(super) fn pulse_limits(&self, now: Moment) -> Option<PulseLimits> {
        let mut reports = self.board.limit_reports(LIMITS_REPEAT, now);
        if self.is_standing(LIMITS_REPEAT, now) {
            reports.extend(self.standing_limits(now));
        }
        let changes = reports.into_iter().take(MAX_LIMITS).map(PulseLimit::from).collect();
        let limits = PulseLimits { changes, weights: self.sharing.announced() };
        Some(limits).filter(|limits| !limits.is_empty())
    }

    /// Whether what holds for long is to be reported now, for `within`.
    pub(super) fn is_standing(&self, within: Duration, now: Moment) -> bool {
        now >= self.standing_from && now.since(self.standing_from) < within
    }

    /// Schedules a report of what holds for long, since an instance was heard that may lack them.
    pub(super) fn schedule_standing_limits(&mut self, now: Moment) {
        if now.since(self.standing_from) >= STANDING_INTERVAL {
            self.standing_from = now;
        } else if now > self.standing_from {
            self.standing_from = self.standing_from + STANDING_INTERVAL;
        }
    }

    /// The limits in force that this instance reports for all others to an instance that may lack
    /// them.
    fn standing_limits(&self, now: Moment) -> impl Iterator<Item = LimitReport> {
        let own = &self.settings.own.name;
        let limits = self.board.standing_limits(now).into_iter();
        limits.filter(move |limit| self.members.should_query(own, limit.endpoint, now))
    }

    /// Records what another instance reports about rate limits; returns the changes that are new.
    pub(super) fn note_peer_limits(
        &mut self,
        peer: u64,
        limits: &PulseLimits,
        now: Moment,
    ) -> Vec<LimitChange> {
        self.sharing.note_peer(peer, &limits.weights, now);
        limits.changes.iter().filter_map(|limit| self.note_peer_limit(*limit, now)).collect()
    }

    /// Records a limit that another instance observed; returns the change if it is new.
    pub(super) fn note_peer_limit(
        &mut self,
        limit: PulseLimit,
        now: Moment,
    ) -> Option<LimitChange> {
        let report = LimitReport::from(limit);
        let endpoint = self.board.note_peer_limit(&report, now)?;
        Some(LimitChange { endpoint, rate: report.rate, age: report.age })
    }
}
