//! Placement without a local queue: each attempt is assigned to an endpoint at once, or refused.
//!
//! A [`Board`] holds one instance's state of each endpoint: its own attempts, the load that other
//! instances last reported, and what the endpoint's responses showed. Engines order their own
//! queues by urgency, so an attempt is sent as soon as it is placed.

mod availability;
mod cache;
mod candidates;
mod choose;
mod cost;
mod endpoint;
mod health;
mod leavers;
mod load;
mod rate_limit;
mod refusals;
mod request;
mod select;
mod subset;

pub use availability::{Availability, MAX_PAUSE};
pub use cache::CacheModel;
pub use cost::{EngineCosts, MIN_TRACKED_TOKENS};
pub use endpoint::{BoardEndpoint, EndpointFacts, Stage};
pub use health::{EndpointHealth, FailureKind, HealthSettings};
pub use load::{Load, PEER_LIFETIME, PeerLoads};
pub use rate_limit::{LimitReport, Observation, RateLimit, STANDING_AGE};
pub use request::{Choice, Denial, DenialCause, PlacementRequest, PromptPart};
pub use subset::Division;

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use slotmap::SlotMap;

use crate::board::leavers::Leavers;
use crate::board::refusals::Refusals;
use crate::keys::EndpointKey;
use crate::moment::Moment;

/// Weight of one run in the moving average [`Board::output_share`].
const OUTPUT_WEIGHT: f64 = 0.02;

/// Upper bound of one run's share, so that a single outlier does not dominate the average.
const MAX_OUTPUT_SHARE: f64 = 4.0;

/// Settings of a [`Board`].
#[derive(Clone, Copy, Debug, Default)]
pub struct BoardSettings {
    /// Cost model of the engines.
    pub costs: EngineCosts,
    /// Ejection of failing endpoints.
    pub health: HealthSettings,
}

/// Age up to which an endpoint's reported pace is forwarded to other instances.
const MAX_PACE_AGE: Duration = Duration::from_millis(100);

/// Backlog of prompts at which an engine counts as fully busy, in milliseconds of prefill.
const BUSY_BACKLOG_MS: f64 = 200.0;

/// What one instance reports to others about one endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointReport {
    /// Hash of the endpoint's name.
    pub endpoint: u64,
    /// The instance's own attempts there.
    pub load: Load,
    /// The endpoint's reported pace (time that work takes, relative to the usual time) and the age
    /// of that report.
    pub pace: Option<(f64, Duration)>,
}

/// One instance's state of every endpoint.
#[derive(Debug, Default)]
pub struct Board {
    /// Settings in force.
    pub settings: BoardSettings,
    /// Endpoints by key.
    pub endpoints: SlotMap<EndpointKey, BoardEndpoint>,
    /// Moving average of the tokens that runs generate, relative to the number announced for them.
    pub output_share: f64,
    /// Milliseconds to transfer one token's KV cache between two engines of one failure domain.
    pub token_transfer_ms: f64,
    services: HashMap<Arc<str>, Vec<EndpointKey>>,
    names: HashMap<Arc<str>, EndpointKey>,
    hashes: HashMap<u64, EndpointKey>,
    leavers: Leavers,
    refusals: Refusals,
}

impl Board {
    /// Creates an empty board.
    pub fn new(settings: BoardSettings) -> Self {
        Self { settings, output_share: 1.0, ..Self::default() }
    }

    /// Adds an endpoint or updates the facts of a known one.
    ///
    /// An endpoint that restarted under the same name counts as new: observations of the previous
    /// process are discarded.
    pub fn upsert(&mut self, facts: EndpointFacts) -> EndpointKey {
        if let Some(key) = self.names.get(&facts.name).copied() {
            let endpoint = &mut self.endpoints[key];
            let same = endpoint.facts.born == facts.born
                && endpoint.facts.service == facts.service
                && endpoint.facts.address == facts.address;
            if same {
                endpoint.facts = facts;
                return key;
            }
            self.remove(key);
        }
        let (name, service) = (facts.name.clone(), facts.service.clone());
        let name_hash = crate::assign::name_hash(&name);
        let leaving = self.leavers.contains(&name, facts.born);
        let mut endpoint = BoardEndpoint::new(facts, name_hash);
        endpoint.availability.leaving = leaving;
        let key = self.endpoints.insert(endpoint);
        self.hashes.insert(name_hash, key);
        self.names.insert(name, key);
        self.services.entry(service).or_default().push(key);
        key
    }

    /// Removes an endpoint.
    pub fn remove(&mut self, key: EndpointKey) {
        let Some(endpoint) = self.endpoints.remove(key) else { return };
        self.names.remove(&endpoint.facts.name);
        self.hashes.remove(&endpoint.name_hash);
        if let Some(keys) = self.services.get_mut(&endpoint.facts.service) {
            keys.retain(|other| *other != key);
        }
    }

    /// Key of the endpoint with this name.
    pub fn find(&self, name: &str) -> Option<EndpointKey> {
        self.names.get(name).copied()
    }

    /// Keys of a service's endpoints.
    pub fn members(&self, service: &str) -> &[EndpointKey] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Adds the load of an attempt that was sent to an endpoint.
    pub fn start(&mut self, key: EndpointKey, load: Load) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.own.add(load);
        }
    }

    /// Subtracts the load of an attempt that has ended at an endpoint.
    pub fn finish(&mut self, key: EndpointKey, load: Load, now: Moment) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.own.subtract(load);
            endpoint.idle_since = endpoint.own.is_empty().then_some(now);
        }
    }

    /// Records the load and pace reports of another instance.
    pub fn note_peer(&mut self, peer: u64, reports: &[EndpointReport], now: Moment) {
        for report in reports {
            let Some(key) = self.hashes.get(&report.endpoint) else { continue };
            let endpoint = &mut self.endpoints[*key];
            endpoint.peers.note(peer, report.load, now);
            if let Some((pace, age)) = report.pace {
                endpoint.note_pace(pace, now - age);
            }
        }
    }

    /// Key of the endpoint that messages identify by this hash of its name.
    pub fn find_hash(&self, name_hash: u64) -> Option<EndpointKey> {
        self.hashes.get(&name_hash).copied()
    }

    /// Reports for other instances: this instance's own loads and the latest paces that endpoints
    /// reported to it.
    ///
    /// Loads that dropped to zero within `cleared` are included, since the datagram that reports
    /// the change may be lost.
    pub fn reports(&self, cleared: Duration, now: Moment) -> Vec<EndpointReport> {
        let reported = |endpoint: &&BoardEndpoint| {
            !endpoint.own.is_empty()
                || endpoint.idle_since.is_some_and(|at| now.since(at) < cleared)
        };
        let busy = self.endpoints.values().filter(reported);
        busy.map(|endpoint| report(endpoint, now)).collect()
    }

    /// The same reports for the given endpoints only.
    pub fn reports_of(&self, keys: &[EndpointKey], now: Moment) -> Vec<EndpointReport> {
        keys.iter().filter_map(|key| Some(report(self.endpoints.get(*key)?, now))).collect()
    }

    /// Total load at every endpoint: that of this instance and of all peers with a current report,
    /// except the peers in `excluded`.
    pub fn totals(&self, excluded: &HashSet<u64>, now: Moment) -> Vec<EndpointReport> {
        let total = |endpoint: &BoardEndpoint| EndpointReport {
            endpoint: endpoint.name_hash,
            load: endpoint.own + endpoint.peers.sum_without(excluded, now),
            pace: fresh_pace(endpoint.latest_pace, now),
        };
        self.endpoints.values().map(total).collect()
    }

    /// Number of a service's endpoints that are busy, in whole endpoints: the share of the slots in use,
    /// or of the longest backlog of prompts with which responses start on time.
    pub fn busy(&self, service: &str, now: Moment) -> f64 {
        let rate = self.settings.costs.prefill_rate.max(f64::MIN_POSITIVE);
        let share = |key: &EndpointKey| {
            let endpoint = &self.endpoints[*key];
            let load = endpoint.load(now);
            let slots = f64::from(load.attempts) / f64::from(endpoint.facts.slots.max(1));
            let backlog = f64::from(load.unread) / (rate * BUSY_BACKLOG_MS);
            slots.max(backlog).min(1.0)
        };
        self.members(service).iter().map(share).sum()
    }

    /// Whether an endpoint is listed and accepts new attempts.
    pub fn is_open(&self, key: EndpointKey) -> bool {
        self.endpoints.get(key).is_some_and(|endpoint| !endpoint.is_leaving())
    }

    /// Records that an endpoint announced in a response to this instance that it is shutting down;
    /// returns whether this was not known before.
    pub fn note_leaving(&mut self, key: EndpointKey, now: Moment) -> bool {
        self.set_leaving(key, true, now)
    }

    /// Records another instance's report that the endpoint with this name hash, whose process
    /// started at `born`, is shutting down; returns its name if this was not known before.
    pub fn note_peer_leaving(
        &mut self,
        name_hash: u64,
        born: u64,
        now: Moment,
    ) -> Option<Arc<str>> {
        let key = self.find_hash(name_hash)?;
        let facts = &self.endpoints[key].facts;
        let name = facts.name.clone();
        (facts.born == born && self.set_leaving(key, false, now)).then_some(name)
    }

    fn set_leaving(&mut self, key: EndpointKey, own: bool, now: Moment) -> bool {
        let Some(endpoint) = self.endpoints.get_mut(key) else { return false };
        let is_new = !std::mem::replace(&mut endpoint.availability.leaving, true);
        if is_new {
            self.leavers.note(endpoint.facts.name.clone(), endpoint.facts.born, own, now);
        }
        is_new
    }

    /// Marks an endpoint as unreachable; returns whether it was reachable before.
    pub fn note_unreachable(&mut self, key: EndpointKey) -> bool {
        self.endpoints
            .get_mut(key)
            .is_some_and(|endpoint| !std::mem::replace(&mut endpoint.unreachable, true))
    }

    /// Marks an endpoint as reachable again.
    pub fn note_reachable(&mut self, key: EndpointKey) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.unreachable = false;
        }
    }

    /// Whether an endpoint is marked as unreachable.
    pub fn is_unreachable(&self, key: EndpointKey) -> bool {
        self.endpoints.get(key).is_some_and(|endpoint| endpoint.unreachable)
    }

    /// Name of an endpoint, if it is still listed.
    pub fn name(&self, key: EndpointKey) -> Option<Arc<str>> {
        self.endpoints.get(key).map(|endpoint| endpoint.facts.name.clone())
    }

    /// Records that an endpoint asked for no new work for a duration.
    pub fn note_pause(&mut self, key: EndpointKey, requested: Duration, now: Moment) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.availability.pause(requested, now);
        }
    }

    /// Whether an endpoint has asked for no new work.
    pub fn is_paused(&self, key: EndpointKey, now: Moment) -> bool {
        self.endpoints
            .get(key)
            .is_some_and(|endpoint| endpoint.availability.pause_left(now).is_some())
    }

    /// Records that an attempt is sent to an endpoint; returns whether it is a probe of a paused
    /// endpoint.
    pub fn note_attempt(&mut self, key: EndpointKey, now: Moment) -> bool {
        let probe = self.is_paused(key, now);
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.availability.note_attempt(now);
        }
        probe
    }

    /// Records that an endpoint sent a malformed response header; returns whether it is the first
    /// one.
    pub fn note_malformed(&mut self, key: EndpointKey) -> bool {
        self.endpoints
            .get_mut(key)
            .is_some_and(|endpoint| !std::mem::replace(&mut endpoint.availability.malformed, true))
    }

    /// Records the rate limit that a response of an endpoint names, or that it names none; returns
    /// whether that is a change.
    pub fn note_limit(&mut self, key: EndpointKey, rate: Option<f64>, now: Moment) -> bool {
        self.endpoints.get_mut(key).is_some_and(|endpoint| endpoint.limit.note_direct(rate, now))
    }

    /// Records another instance's observation of a rate limit; returns the endpoint's name if that
    /// is a change.
    pub fn note_peer_limit(&mut self, report: &LimitReport, now: Moment) -> Option<Arc<str>> {
        let key = self.find_hash(report.endpoint)?;
        let endpoint = &mut self.endpoints[key];
        let observed = Observation { rate: report.rate, at: now - report.age };
        let changed = endpoint.facts.born == report.born && endpoint.limit.note_peer(observed);
        changed.then(|| endpoint.facts.name.clone())
    }

    /// Changes of rate limits that this instance observed itself in the last `within`, the latest
    /// first.
    pub fn limit_reports(&self, within: Duration, now: Moment) -> Vec<LimitReport> {
        let report = |endpoint: &BoardEndpoint| {
            let observed = endpoint.limit.recent_change(within, now)?;
            Some(limit_report(endpoint, observed, now))
        };
        let mut reports: Vec<LimitReport> = self.endpoints.values().filter_map(report).collect();
        reports.sort_by_key(|report| (report.age, report.endpoint));
        reports
    }

    /// Rate limits in force, for instances that may not know of them.
    ///
    /// They are reported as [`STANDING_AGE`] older than they are, so that they do not replace later
    /// observations that are in transit.
    pub fn standing_limits(&self, now: Moment) -> Vec<LimitReport> {
        let report = |endpoint: &BoardEndpoint| {
            let observed = endpoint.limit.latest().filter(|latest| latest.rate.is_some())?;
            let report = limit_report(endpoint, observed, now);
            Some(LimitReport { age: report.age + STANDING_AGE, ..report })
        };
        self.endpoints.values().filter_map(report).collect()
    }

    /// Services of which at least one endpoint names a rate limit.
    pub fn limited_services(&self) -> HashSet<Arc<str>> {
        let limited = self.endpoints.values().filter(|endpoint| endpoint.limit.rate().is_some());
        limited.map(|endpoint| endpoint.facts.service.clone()).collect()
    }

    /// Whether an endpoint of a service names a rate limit.
    pub fn is_limited(&self, service: &str) -> bool {
        self.members(service).iter().any(|key| self.endpoints[*key].limit.rate().is_some())
    }

    /// Adds the requests that this instance's share of the rate limits of a service's endpoints
    /// yields until `now`; `own` is the hash of the instance's name.
    pub fn earn_limits(&mut self, service: &str, share: f64, own: u64, now: Moment) {
        for key in self.services.get(service).map_or(&[][..], Vec::as_slice) {
            let endpoint = &mut self.endpoints[*key];
            let start = crate::assign::score(endpoint.name_hash, own) as f64 / u64::MAX as f64;
            endpoint.limit.earn(share, start, now);
        }
    }

    /// Spends a request of this instance's share of an endpoint's rate limit; returns `false` if
    /// there is none.
    pub fn spend_limit(&mut self, key: EndpointKey) -> bool {
        self.endpoints.get_mut(key).is_none_or(|endpoint| endpoint.limit.spend())
    }

    /// Records that a request was refused because of its service's rate limits; less urgent ones
    /// are not sent to limited endpoints for a while.
    pub fn note_limited(&mut self, request: &PlacementRequest, now: Moment) {
        self.refusals.note(&request.service, request.rank, now);
    }

    /// Name hashes and start times of the endpoints that announced their shutdown to this instance
    /// in the last `within`, for other instances.
    pub fn recent_leavers(&self, within: Duration, now: Moment) -> Vec<(u64, u64)> {
        self.leavers.recent(within, now)
    }

    /// Removes shutdown announcements of endpoints that have been unlisted for long.
    pub fn expire_leavers(&mut self, now: Moment) {
        let names = &self.names;
        self.leavers.expire(|name| names.contains_key(name), now);
    }

    /// Records a successful response and the ratio of its real to its expected duration.
    pub fn note_success(&mut self, key: EndpointKey, ratio: f64, now: Moment) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.health.succeed(ratio, now);
        }
    }

    /// Records how many tokens a run generated, and how many had been announced.
    pub fn note_output(&mut self, real: u32, announced: u32) {
        let share = (f64::from(real) / f64::from(announced.max(1))).min(MAX_OUTPUT_SHARE);
        self.output_share += OUTPUT_WEIGHT * (share - self.output_share);
    }

    /// Records a failed attempt at an endpoint; returns whether that ejects the endpoint.
    pub fn note_failure(&mut self, key: EndpointKey, kind: FailureKind, now: Moment) -> bool {
        let settings = self.settings.health;
        self.endpoints
            .get_mut(key)
            .is_some_and(|endpoint| endpoint.health.fail(kind, &settings, now))
    }
}

fn report(endpoint: &BoardEndpoint, now: Moment) -> EndpointReport {
    EndpointReport {
        endpoint: endpoint.name_hash,
        load: endpoint.own,
        pace: fresh_pace(endpoint.direct_pace, now),
    }
}

fn limit_report(endpoint: &BoardEndpoint, observed: Observation, now: Moment) -> LimitReport {
    LimitReport {
        endpoint: endpoint.name_hash,
        born: endpoint.facts.born,
        rate: observed.rate,
        age: now.since(observed.at),
    }
}

/// An endpoint's reported pace and its age, if it is recent enough to be forwarded.
fn fresh_pace(observed: Option<(f64, Moment)>, now: Moment) -> Option<(f64, Duration)> {
    let (pace, at) = observed.filter(|(_, at)| now.since(*at) < MAX_PACE_AGE)?;
    Some((pace, now.since(at)))
}
