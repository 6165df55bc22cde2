//! The two baselines that the scheduler is measured against.
//!
//! Both send each request at once, in the order of arrival, to an endpoint that serves its model,
//! so that the queue forms at the endpoints. They know no shares, sizes, deadlines at
//! admission, prefix caches, pace, ejection or second attempts. A request waits here, first come
//! first served, only while no endpoint serves; it is given up at its deadline. Failed attempts
//! are retried at once, within the same number of attempts and the same budget.
//!
//! - `round_robin` takes the endpoints of a pool in turn.
//! - `least_reported` takes the endpoint with the fewest active and queued requests in its last
//!   report, a random one of several.

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
                self.expiries.remove(&(self.requests[key].give_up, key));
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
