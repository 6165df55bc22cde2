//! The two baseline policies that the scheduler is compared with.
//!
//! Both send each request at once, in order of arrival, to an endpoint that serves its model, so
//! that the queue forms at the endpoints. They do not consider shares, sizes, deadlines at
//! admission, prefix caches, pace or ejection, and start no hedged attempts. A request waits here,
//! first come first served, only while no endpoint is serving; it is refused at its deadline.
//! Failed attempts are retried at once, with the same limit on attempts and the same retry budget.
//!
//! - `round_robin` uses the endpoints of a pool in turn.
//! - `least_reported` uses the endpoint with the fewest active and queued requests in its last
//!   report, with ties broken at random.

use agatestair_schema::settings::PolicyName;
use rand::Rng;

use crate::action::Purpose;
use crate::fleet::PoolKey;
use crate::keys::EndpointKey;
use crate::moment::Moment;
use crate::scheduler::Scheduler;
use crate::scheduler::place::Choice;

impl Scheduler {
    /// Sends all waiting requests.
    pub(crate) fn dispatch_baseline(&mut self, now: Moment) {
        for key in std::mem::take(&mut self.arrivals) {
            let Some(request) = self.requests.get(key) else { continue };
            if let Some(endpoint) = self.choose_baseline(request.pool) {
                self.expiries.remove(&(self.requests[key].expiry, key));
                let choice = Choice { endpoint, uncached: 0, expected: 1.0 };
                let retry = self.requests[key].attempts > 0;
                let purpose = if retry { Purpose::Retry } else { Purpose::First };
                self.start(now, key, choice, purpose);
            } else {
                self.arrivals.push_back(key);
            }
        }
    }

    fn choose_baseline(&mut self, pool: PoolKey) -> Option<EndpointKey> {
        let members = self.pools[pool].members.iter().copied();
        let serving = members.filter(|key| self.endpoints[*key].serving());
        let fit: Vec<EndpointKey> =
            serving.filter(|key| !self.endpoints[*key].prefill_only()).collect();
        if fit.is_empty() {
            return None;
        }
        self.turn += 1;
        if self.settings.policy == PolicyName::RoundRobin {
            return Some(fit[self.turn % fit.len()]);
        }
        let load = |key: &EndpointKey| {
            let view = &self.endpoints[*key].view;
            view.active + view.queued
        };
        let least = fit.iter().map(load).min()?;
        let best: Vec<EndpointKey> = fit.iter().copied().filter(|key| load(key) == least).collect();
        Some(best[self.random.random_range(0..best.len())])
    }
}
