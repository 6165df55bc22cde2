//! Second attempts against slow endpoints.

use std::sync::Arc;
use std::time::Duration;

use agatestair_policy::board::PlacementRequest;
use agatestair_policy::{EndpointKey, HedgeCandidate, HedgeDenial, HedgeLimits, Hedges, Moment};

use crate::node::{Node, Placement, Search};

/// Part of the retry budget that second attempts may use; the rest is kept for failures.
const RETRY_PART: f64 = 0.5;

impl Node {
    /// Applies new bounds on second attempts; there are none without bounds.
    pub fn set_hedge(&mut self, limits: Option<HedgeLimits>) {
        if limits.is_none() {
            self.hedges = Hedges::default();
        }
        self.hedge = limits;
    }

    /// Time without a response head after which a request of `size` tokens may get a second attempt.
    ///
    /// # Errors
    ///
    /// [`HedgeDenial`] if it may get none; `None` if the settings allow none at all.
    pub fn hedge_delay(
        &mut self,
        service: &Arc<str>,
        size: u32,
        now: Moment,
    ) -> Option<Result<Duration, HedgeDenial>> {
        let limits = self.hedge?;
        Some(self.hedges.delay(service, size, &limits, now))
    }

    /// Records the time until a response head, or that an attempt waited for it in vain.
    pub fn note_head(&mut self, service: &Arc<str>, size: u32, time: Duration, now: Moment) {
        if let Some(limits) = self.hedge {
            self.hedges.note_time(service, size, time, &limits, now);
        }
    }

    /// Chooses the endpoint of a second attempt and spends what it costs. `first` is the endpoint of
    /// the first attempt.
    ///
    /// # Errors
    ///
    /// [`HedgeDenial`] if the attempt must not begin; nothing is spent then.
    pub fn place_hedge(
        &mut self,
        request: &PlacementRequest,
        search: Search,
        connections: Option<u32>,
        first: EndpointKey,
        now: Moment,
    ) -> Result<Placement, HedgeDenial> {
        let limits = self.hedge.ok_or(HedgeDenial::ShareSpent)?;
        let domain = self.board.endpoints.get(first).map(|known| known.facts.domain.clone());
        let usual = self.usual_pace(&request.service, now);
        let mut denial = HedgeDenial::NoEndpoint;
        let (mut unfit, mut near, mut far) = (vec![first], Vec::new(), false);
        for (key, endpoint) in self.board.endpoints.iter() {
            if endpoint.facts.service != request.service || key == first {
                continue;
            }
            let is_paused = endpoint.availability.pause_left(now).is_some();
            if endpoint.is_leaving() || endpoint.is_avoided(now) || is_paused {
                unfit.push(key);
                continue;
            }
            let (busy, slots) = (endpoint.load(now).attempts, endpoint.facts.slots);
            let candidate = HedgeCandidate { busy, slots, pace: endpoint.pace(now) / usual };
            if let Err(cause) = limits.check(candidate) {
                denial = cause;
                unfit.push(key);
            } else if domain.as_ref() == Some(&endpoint.facts.domain) {
                near.push(key);
            } else {
                far = true;
            }
        }
        if near.is_empty() && !far {
            return Err(denial);
        }
        let service = &request.service;
        self.hedges.spend(service, &limits, now)?;
        let settings = self.retry(now);
        let budget = self.budgets.entry(service.clone()).or_default();
        if !budget.spend_part(RETRY_PART, &settings, now) {
            self.hedges.restore(service, now);
            return Err(HedgeDenial::RetriesKept);
        }
        let mut placed = None;
        if far {
            let excluded = [&*unfit, &*near].concat();
            placed = self.place_beside(request, search, connections, &excluded, now).ok();
        }
        if placed.is_none() && !near.is_empty() {
            placed = self.place_beside(request, search, connections, &unfit, now).ok();
        }
        let Some(placement) = placed else {
            self.hedges.restore(service, now);
            self.return_retry(service, now);
            return Err(HedgeDenial::NoEndpoint);
        };
        Ok(Placement { hedge: true, ..placement })
    }

    /// Median pace of a service's endpoints, at least 1. A pace is relative to a time that may be that
    /// of another service, so that all endpoints of a service may have a high one. Endpoints without
    /// recent responses have the pace 1, also where the others have a lower one.
    fn usual_pace(&self, service: &Arc<str>, now: Moment) -> f64 {
        let members = self.board.endpoints.values();
        let members = members.filter(|known| known.facts.service == *service);
        let mut paces: Vec<f64> = members.map(|known| known.pace(now)).collect();
        paces.sort_unstable_by(f64::total_cmp);
        // The lower one of two: a pace is that of a slow endpoint only if most are slow.
        paces.get(paces.len().saturating_sub(1) / 2).copied().unwrap_or(1.0).max(1.0)
    }
}
