//! Budgets of retries and connections, which all instances share.

use std::sync::Arc;

use agatestair_policy::board::{Division, PlacementRequest};
use agatestair_policy::{EndpointKey, Moment, RetrySettings};

use crate::node::Node;

/// Smallest number of instances that shared budgets are divided by.
const MIN_SHARERS: usize = 12;

/// Shared budgets reserve room for instances that may join at any time: one for every this many
/// known ones.
const SPARE_DIVISOR: usize = 3;

/// Number of connections to an endpoint of a service that names no maximum, divided among the
/// instances. Each instance uses at least one.
const UNNAMED_CONNECTIONS: u32 = 64;

/// This instance's part of the connections that an endpoint accepts from all instances together.
#[derive(Clone, Copy, Debug)]
struct ConnectionShare {
    /// Number of connections to each endpoint that this instance uses.
    each: u32,
    /// How the endpoints are divided if an endpoint does not accept one connection from each
    /// instance.
    division: Option<Division>,
}

impl Node {
    /// This instance's part of `connections`, the number that an endpoint accepts in total, if the
    /// service names one.
    fn connection_share(&self, connections: Option<u32>, now: Moment) -> ConnectionShare {
        let instances = self.members.connected(now).count() + 1;
        let sharers = with_spare(instances);
        let total = connections.unwrap_or(UNNAMED_CONNECTIONS) as usize;
        if connections.is_none() || instances <= total {
            let each = u32::try_from(total / sharers).unwrap_or(u32::MAX).max(1);
            return ConnectionShare { each, division: None };
        }
        let rank = self.members.connected(now).filter(|other| *other < self.name_hash).count();
        let users = total * instances / sharers;
        let division = Division { instances, rank, users, spare: total - users };
        ConnectionShare { each: 1, division: Some(division) }
    }

    /// Restricts a placement to this instance's part of the endpoints' connections.
    pub(super) fn share_connections(
        &self,
        request: &mut PlacementRequest,
        connections: Option<u32>,
        now: Moment,
    ) {
        let share = self.connection_share(connections, now);
        request.max_concurrent = share.each;
        let subset = |division| self.board.subset(&request.service, &division, &request.tried, now);
        request.subset = share.division.map(subset);
    }

    /// Number of endpoints of a service that this instance uses, `None` if it uses all. Those in
    /// `tried` count as not accepting work.
    pub fn endpoints_used(
        &self,
        service: &str,
        connections: Option<u32>,
        tried: &[EndpointKey],
        now: Moment,
    ) -> Option<usize> {
        let division = self.connection_share(connections, now).division?;
        Some(self.board.subset(service, &division, tried, now).len())
    }

    /// Number of idle connections to an endpoint that this instance may have beside those of its
    /// attempts there, `ending` of which no longer need theirs.
    pub fn idle_share(&self, key: EndpointKey, ending: u32, now: Moment) -> usize {
        let Some(endpoint) = self.board.endpoints.get(key) else { return 0 };
        let services = self.configuration.as_ref().map(|known| &known.services);
        let service = services.and_then(|services| services.get(&endpoint.facts.service));
        let Some(service) = service else { return 0 };
        let share = self.connection_share(service.connections, now);
        let subset = |division| self.board.subset(&service.name, &division, &[], now);
        let used = share.division.map(subset).is_none_or(|subset| subset.contains(&key));
        let each = if used { share.each } else { 0 };
        each.saturating_sub(endpoint.own.attempts.saturating_sub(ending)) as usize
    }

    /// Number of instances that share the budget of retries, including ones that may still join.
    fn sharers(&self, now: Moment) -> usize {
        with_spare(self.members.sharers(now).count() + 1)
    }

    /// Counts the first attempt of a request to a service, which adds to its retry budget.
    pub fn note_first(&mut self, service: &Arc<str>, now: Moment) {
        let settings = self.retry(now);
        self.sharing.note_request(service, now);
        if self.hedge.is_some() {
            self.hedges.note_request(service, now);
        }
        self.budgets.entry(service.clone()).or_default().note_first(&settings, now);
    }

    /// Takes a retry from the budget of a service; returns whether the budget allows it.
    pub fn spend_retry(&mut self, service: &Arc<str>, now: Moment) -> bool {
        let settings = self.retry(now);
        self.budgets.entry(service.clone()).or_default().spend(&settings, now)
    }

    /// Gives back a retry that was taken at this moment and not used.
    pub fn return_retry(&mut self, service: &Arc<str>, now: Moment) {
        let settings = self.retry(now);
        self.budgets.entry(service.clone()).or_default().restore(&settings, now);
    }

    /// Records that this process follows no other one of this instance.
    pub fn note_first_process(&mut self) {
        self.first_process = true;
    }

    /// The retry budget with this instance's part of the slack; none while the window holds retries
    /// of a former process, which this one does not know.
    pub(super) fn retry(&self, now: Moment) -> RetrySettings {
        let started = Moment(0);
        if !self.first_process && now.since(started) < self.settings.retry.window {
            return RetrySettings { ratio: 0.0, slack: 0.0, ..self.settings.retry };
        }
        let slack = self.settings.retry.slack / self.sharers(now) as f64;
        RetrySettings { slack, ..self.settings.retry }
    }
}

/// Number of instances that a budget is divided by if this many are known.
fn with_spare(known: usize) -> usize {
    (known + known.div_ceil(SPARE_DIVISOR)).max(MIN_SHARERS)
}
