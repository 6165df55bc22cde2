//! Outlier detection: pace of the endpoints as observed in their responses, ejection and recovery.

use agatestair_schema::link::EndpointKind;

use crate::fleet::{Endpoint, Phase, PoolKey};
use crate::keys::EndpointKey;
use crate::moment::Moment;
use crate::scheduler::Scheduler;

/// Weight of the delays of first tokens and calls, which vary more than the pace of responses.
const DELAY_WEIGHT: f64 = 0.7;

impl Scheduler {
    /// Updates the pace of all endpoints, and ejects or readmits them.
    pub(crate) fn observe(&mut self, now: Moment) {
        self.last_observed = now;
        let pools: Vec<PoolKey> = self.pools.keys().collect();
        for pool in pools {
            self.update_medians(now, pool);
            self.evaluate_members(now, pool);
            self.reserve_members(pool);
        }
        self.mark_stragglers();
    }

    /// Updates the usual figures of a pool, each the median over its endpoints.
    fn update_medians(&mut self, now: Moment, pool: PoolKey) {
        let pool = &mut self.pools[pool];
        let members = pool.members.iter().filter_map(|key| self.endpoints.get(*key));
        let mut token_times: Vec<f64> = members.filter_map(|e| e.health.token_secs()).collect();
        if let Some(token_secs) =
            median(&mut token_times).filter(|_| pool.kind == EndpointKind::Engine)
        {
            pool.token_secs = token_secs;
        }
        let members = pool.members.iter().filter_map(|key| self.endpoints.get(*key));
        let mut paces: Vec<f64> =
            members.filter_map(|e| e.health.pace(e.pending(now, &self.settings.engine))).collect();
        if let Some(pace) = median(&mut paces) {
            pool.pace = pace;
            self.speed.note_pace(&mut self.settings.engine, pace);
        }
        let members = pool.members.iter().filter_map(|key| self.endpoints.get(*key));
        let mut delays: Vec<f64> = members.filter_map(|e| e.health.delay()).collect();
        if let Some(delay) = median(&mut delays) {
            pool.delay = delay;
        }
    }

    fn evaluate_members(&mut self, now: Moment, pool: PoolKey) {
        for index in 0..self.pools[pool].members.len() {
            let key = self.pools[pool].members[index];
            let usual_pace = self.pools[pool].pace.max(1e-3);
            let Some(endpoint) = self.endpoints.get_mut(key) else { continue };
            let pending = endpoint.pending(now, &self.settings.engine);
            let pace = endpoint.health.pace(pending).map(|pace| pace / usual_pace);
            let usual = self.pools[pool].delay.max(1e-3);
            let delay = endpoint.health.delay().map(|delay| delay / usual * DELAY_WEIGHT);
            let ratio = pace.into_iter().chain(delay).fold(1.0, f64::max);
            endpoint.slowdown = ratio.clamp(1.0, 20.0);
            match endpoint.health.phase() {
                Phase::Normal if ratio >= self.settings.eject.slow_ratio => self.eject(now, key),
                Phase::Probing(_) if ratio >= self.settings.eject.slow_ratio => {
                    self.eject(now, key);
                }
                Phase::Probing(_) if ratio < self.settings.eject.good_ratio => {
                    let full = endpoint.slots();
                    if pace.is_some() || delay.is_some() {
                        endpoint.health.recover(full);
                    }
                }
                Phase::Ejected(until) if until <= now => endpoint.health.probe(),
                _ => {}
            }
        }
    }

    /// Reserves engines for short prompts: the first ones in the pool's order, which all entries
    /// share.
    fn reserve_members(&mut self, pool: PoolKey) {
        let pool = &self.pools[pool];
        if pool.kind != EndpointKind::Engine {
            return;
        }
        let fits = |endpoint: &Endpoint| {
            let out = matches!(endpoint.health.phase(), Phase::Ejected(_));
            endpoint.serving() && !endpoint.prefill_only() && !out
        };
        let fit = pool.members.iter().filter(|key| fits(&self.endpoints[**key])).count();
        let mut left = self.mix.reserved(fit);
        for key in &pool.members {
            let Some(endpoint) = self.endpoints.get_mut(*key) else { continue };
            endpoint.reserved = fits(endpoint) && left > 0;
            left -= usize::from(endpoint.reserved);
        }
    }

    /// Ejects an endpoint, unless this would eject too large a fraction of one of its pools.
    pub(crate) fn eject(&mut self, now: Moment, key: EndpointKey) {
        let fraction = self.settings.eject.max_fraction;
        let allowed = self.endpoints[key].pools.iter().all(|pool| {
            let members = &self.pools[*pool].members;
            let serving = members.iter().filter(|member| self.endpoints[**member].serving());
            let (mut count, mut ejected) = (0_u32, 0_u32);
            for member in serving {
                count += 1;
                let out = matches!(self.endpoints[*member].health.phase(), Phase::Ejected(_));
                ejected += u32::from(out);
            }
            f64::from(ejected + 1) <= f64::from(count) * fraction
        });
        if allowed {
            self.endpoints[key].health.eject(now, &self.settings.eject);
            self.refresh(now, key);
        }
    }
}

fn median(values: &mut [f64]) -> Option<f64> {
    if values.is_empty() {
        return None;
    }
    let middle = (values.len() - 1) / 2;
    Some(*values.select_nth_unstable_by(middle, f64::total_cmp).1)
}
