//! Endpoints: state merged from the platform's list, the operators' wishes and load reports.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use agatestair_policy::Moment;
use agatestair_schema::endpoint::{EngineRole, LoadReport};
use agatestair_schema::link::{EndpointKind, EndpointRole, EndpointState, EndpointView};
use agatestair_schema::lists::{EndpointWish, WishState};
use agatestair_schema::platform::{InstanceKind, InstanceRecord, InstanceState};

/// Time for which an endpoint being withdrawn must be idle before it counts as withdrawn.
const IDLE_BEFORE_WITHDRAWN: Duration = Duration::from_secs(5);
/// Time after which an endpoint that the platform no longer lists is removed.
const FORGET_AFTER: Duration = Duration::from_secs(10);
/// Age above which load figures are replaced by any others, even with a lower sequence number.
const STALE_LOAD_AGE: Duration = Duration::from_secs(2);

/// State of one endpoint.
#[derive(Clone, Debug)]
pub struct TrackedEndpoint {
    /// Record in the platform's list.
    pub record: InstanceRecord,
    /// Whether the platform lists it now.
    pub listed: bool,
    /// Last load figures; [`Fleet::view`] fills in `state` and `age_ms`.
    pub view: EndpointView,
    /// When the load was measured; `None` if there was no report yet.
    pub measured: Option<Moment>,
    /// State requested by operators, if any.
    pub wish: Option<EndpointWish>,
    /// When this instance first read the present wish.
    pub wish_seen: Option<Moment>,
    /// Consecutive failed polls.
    pub failures: u32,
    /// Whether a poll is in progress.
    pub polling: bool,
    /// Number of the last cache event read.
    pub cache_after: u64,
    idle_since: Option<Moment>,
    gone_since: Option<Moment>,
}

/// All endpoints by name.
#[derive(Default)]
pub struct Fleet {
    endpoints: BTreeMap<Arc<str>, TrackedEndpoint>,
}

impl Fleet {
    /// Updates the endpoints from the platform's list.
    pub fn note_list(&mut self, now: Moment, records: &[InstanceRecord]) {
        for tracked in self.endpoints.values_mut() {
            tracked.listed = false;
        }
        for record in records.iter().filter(|record| record.kind != InstanceKind::Entry) {
            self.note_record(record);
        }
        for tracked in self.endpoints.values_mut() {
            let gone = !tracked.listed || tracked.record.state == InstanceState::Gone;
            tracked.gone_since = gone.then(|| tracked.gone_since.unwrap_or(now));
        }
        self.endpoints.retain(|_, tracked| {
            tracked.listed || tracked.gone_since.is_none_or(|gone| now.since(gone) < FORGET_AFTER)
        });
    }

    fn note_record(&mut self, record: &InstanceRecord) {
        if let Some(tracked) = self.endpoints.get_mut(record.name.as_str()) {
            tracked.listed = true;
            tracked.view.address.clone_from(&record.address);
            tracked.view.domain.clone_from(&record.domain);
            tracked.record = record.clone();
            return;
        }
        self.endpoints.insert(record.name.as_str().into(), new_tracked(record));
    }

    /// Updates the operators' wishes.
    pub fn note_wishes(&mut self, now: Moment, wishes: &[EndpointWish]) {
        for tracked in self.endpoints.values_mut() {
            let wish = wishes.iter().find(|wish| wish.endpoint == tracked.record.name);
            if tracked.wish.as_ref() != wish {
                tracked.wish = wish.cloned();
                tracked.wish_seen = Some(now);
                tracked.idle_since = None;
            }
        }
    }

    /// Applies a load report that this instance polled.
    pub fn note_report(&mut self, now: Moment, name: &str, report: LoadReport) {
        let Some(tracked) = self.endpoints.get_mut(name) else {
            return;
        };
        tracked.measured = Some(now - Duration::from_millis(report.age_ms));
        tracked.failures = 0;
        fill_view(&mut tracked.view, report);
        tracked.note_idle(now);
    }

    /// Applies load figures that another instance polled, unless the present ones are newer.
    pub fn note_view(&mut self, now: Moment, view: EndpointView) {
        let Some(tracked) = self.endpoints.get_mut(view.name.as_str()) else {
            return;
        };
        let stale = tracked.measured.is_none_or(|measured| now.since(measured) > STALE_LOAD_AGE);
        if !stale && view.report <= tracked.view.report {
            return;
        }
        tracked.measured = Some(now - Duration::from_millis(view.age_ms));
        tracked.view = view;
        tracked.note_idle(now);
    }

    /// The endpoint called `name`.
    pub fn get(&self, name: &str) -> Option<&TrackedEndpoint> {
        self.endpoints.get(name)
    }

    /// Mutable access to the endpoint called `name`.
    pub fn get_mut(&mut self, name: &str) -> Option<&mut TrackedEndpoint> {
        self.endpoints.get_mut(name)
    }

    /// All endpoints, sorted by name.
    pub fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &TrackedEndpoint)> {
        self.endpoints.iter()
    }

    /// State of an endpoint as seen by entries: whether it takes new requests.
    pub fn state(&self, now: Moment, tracked: &TrackedEndpoint) -> EndpointState {
        if tracked.gone_since.is_some() {
            return EndpointState::Gone;
        }
        let wish = tracked.wish.as_ref().map_or(WishState::Serve, |wish| wish.state);
        let leaving = tracked.record.state == InstanceState::Leaving;
        match wish {
            WishState::Serve if leaving => EndpointState::Draining,
            WishState::Serve => EndpointState::Serving,
            WishState::Drain => EndpointState::Draining,
            WishState::Replace if !self.successor_ready(tracked) && !leaving => {
                EndpointState::Serving
            }
            WishState::Replace | WishState::Withdraw if tracked.is_idle(now) => {
                EndpointState::Withdrawn
            }
            WishState::Replace | WishState::Withdraw => EndpointState::Draining,
        }
    }

    /// Whether the successor of an endpoint reports load and has loaded all of its models.
    fn successor_ready(&self, tracked: &TrackedEndpoint) -> bool {
        let name = tracked.wish.as_ref().and_then(|wish| wish.successor.as_deref());
        let Some(successor) = name.and_then(|name| self.endpoints.get(name)) else {
            return false;
        };
        let models = &tracked.view.models;
        let loaded = models.iter().all(|model| successor.view.models.contains(model));
        successor.gone_since.is_none() && successor.measured.is_some() && loaded
    }

    /// View of one endpoint, as sent to entries and peers.
    pub fn view(&self, now: Moment, tracked: &TrackedEndpoint) -> EndpointView {
        let age = tracked.measured.map_or(Duration::MAX, |measured| now.since(measured));
        EndpointView {
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
            state: self.state(now, tracked),
            ..tracked.view.clone()
        }
    }

    /// Views of all endpoints.
    pub fn views(&self, now: Moment) -> Vec<EndpointView> {
        self.endpoints.values().map(|tracked| self.view(now, tracked)).collect()
    }
}

impl TrackedEndpoint {
    fn note_idle(&mut self, now: Moment) {
        let idle = self.view.active == 0 && self.view.queued == 0;
        self.idle_since = idle.then(|| self.idle_since.unwrap_or(now));
    }

    fn is_idle(&self, now: Moment) -> bool {
        self.idle_since.is_some_and(|since| now.since(since) >= IDLE_BEFORE_WITHDRAWN)
    }
}

fn new_tracked(record: &InstanceRecord) -> TrackedEndpoint {
    let kind = match record.kind {
        InstanceKind::Engine => EndpointKind::Engine,
        InstanceKind::Service | InstanceKind::Entry => EndpointKind::Service,
    };
    let view = EndpointView {
        active: 0,
        address: record.address.clone(),
        age_ms: u64::MAX,
        changing: false,
        decode_backlog: 0,
        decode_rate: 0.0,
        domain: record.domain.clone(),
        kind,
        kv_total: 0,
        kv_used: 0,
        models: Vec::new(),
        name: record.name.clone(),
        prefill_backlog: 0,
        prefill_rate: 0.0,
        queued: 0,
        report: 0,
        role: EndpointRole::Mixed,
        service: record.service.clone(),
        state: EndpointState::Serving,
    };
    TrackedEndpoint {
        record: record.clone(),
        listed: true,
        view,
        measured: None,
        wish: None,
        wish_seen: None,
        failures: 0,
        polling: false,
        cache_after: 0,
        idle_since: None,
        gone_since: None,
    }
}

fn fill_view(view: &mut EndpointView, report: LoadReport) {
    view.active = report.active;
    view.changing = report.changing;
    view.decode_backlog = report.decode_backlog;
    view.decode_rate = report.decode_rate;
    view.kv_total = report.kv_total;
    view.kv_used = report.kv_used;
    view.models = report.models;
    view.prefill_backlog = report.prefill_backlog;
    view.prefill_rate = report.prefill_rate;
    view.queued = report.queued;
    view.report = report.sequence;
    view.role = role_of(report.role);
}

/// Converts an engine's role to the role type of link messages.
pub fn role_of(role: EngineRole) -> EndpointRole {
    match role {
        EngineRole::Prefill => EndpointRole::Prefill,
        EngineRole::Decode => EndpointRole::Decode,
        EngineRole::Mixed => EndpointRole::Mixed,
    }
}
