//! Endpoints: the platform's list, the operators' wishes and the load reports.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use agatestair_policy::Moment;
use agatestair_schema::endpoint::{EngineRole, LoadReport};
use agatestair_schema::link::{EndpointKind, EndpointRole, EndpointState, EndpointView};
use agatestair_schema::lists::{EndpointWish, WishState};
use agatestair_schema::platform::{InstanceKind, InstanceRecord, InstanceState};

/// Time for which a draining endpoint must be idle before it counts as withdrawn.
const IDLE_BEFORE_WITHDRAWN: Duration = Duration::from_secs(5);
/// Time after which an endpoint that the platform lists no more is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(10);
/// Age above which figures are replaced by any others, whatever their sequence.
const STALE_FIGURES: Duration = Duration::from_secs(2);

/// What is known of one endpoint.
#[derive(Clone, Debug)]
pub struct Known {
    /// Record in the platform's list.
    pub record: InstanceRecord,
    /// Whether the platform lists it now.
    pub listed: bool,
    /// Last figures; `state` and `age_ms` are set when they are passed on.
    pub view: EndpointView,
    /// When the figures were true.
    pub measured: Option<Moment>,
    /// What operators want.
    pub wish: Option<EndpointWish>,
    /// When this instance learnt of the wish.
    pub wish_seen: Option<Moment>,
    /// Polls in a row without an answer.
    pub failures: u32,
    /// Whether a poll is under way.
    pub probing: bool,
    /// Number of the last cache event read.
    pub cache_after: u64,
    idle_since: Option<Moment>,
    gone_since: Option<Moment>,
}

/// All endpoints by name.
#[derive(Default)]
pub struct Fleet {
    known: BTreeMap<Arc<str>, Known>,
}

impl Fleet {
    /// Takes over the platform's list.
    pub fn note_list(&mut self, now: Moment, records: &[InstanceRecord]) {
        for known in self.known.values_mut() {
            known.listed = false;
        }
        for record in records.iter().filter(|record| record.kind != InstanceKind::Entry) {
            self.note_record(record);
        }
        for known in self.known.values_mut() {
            let gone = !known.listed || known.record.state == InstanceState::Gone;
            known.gone_since = gone.then(|| known.gone_since.unwrap_or(now));
        }
        self.known.retain(|_, known| {
            known.listed || known.gone_since.is_none_or(|gone| now.since(gone) < FORGET_AFTER)
        });
    }

    fn note_record(&mut self, record: &InstanceRecord) {
        if let Some(known) = self.known.get_mut(record.name.as_str()) {
            known.listed = true;
            known.view.address.clone_from(&record.address);
            known.view.domain.clone_from(&record.domain);
            known.record = record.clone();
            return;
        }
        self.known.insert(record.name.as_str().into(), new_known(record));
    }

    /// Takes over the operators' wishes.
    pub fn note_wishes(&mut self, now: Moment, wishes: &[EndpointWish]) {
        for known in self.known.values_mut() {
            let wish = wishes.iter().find(|wish| wish.endpoint == known.record.name);
            if known.wish.as_ref() != wish {
                known.wish = wish.cloned();
                known.wish_seen = Some(now);
                known.idle_since = None;
            }
        }
    }

    /// Takes over a report that this instance collected.
    pub fn note_report(&mut self, now: Moment, name: &str, report: LoadReport) {
        let Some(known) = self.known.get_mut(name) else {
            return;
        };
        known.measured = Some(now - Duration::from_millis(report.age_ms));
        known.failures = 0;
        fill_view(&mut known.view, report);
        known.note_idle(now);
    }

    /// Takes over figures that another instance collected, unless the present ones are newer.
    pub fn note_view(&mut self, now: Moment, view: EndpointView) {
        let Some(known) = self.known.get_mut(view.name.as_str()) else {
            return;
        };
        let old = known.measured.is_none_or(|measured| now.since(measured) > STALE_FIGURES);
        if !old && view.report <= known.view.report {
            return;
        }
        known.measured = Some(now - Duration::from_millis(view.age_ms));
        known.view = view;
        known.note_idle(now);
    }

    /// One endpoint.
    pub fn get(&self, name: &str) -> Option<&Known> {
        self.known.get(name)
    }

    /// One endpoint, to be changed.
    pub fn get_mut(&mut self, name: &str) -> Option<&mut Known> {
        self.known.get_mut(name)
    }

    /// All endpoints in order of name.
    pub fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &Known)> {
        self.known.iter()
    }

    /// Whether an endpoint takes new work.
    pub fn state(&self, now: Moment, known: &Known) -> EndpointState {
        if known.gone_since.is_some() {
            return EndpointState::Gone;
        }
        let wish = known.wish.as_ref().map_or(WishState::Serve, |wish| wish.state);
        let leaving = known.record.state == InstanceState::Leaving;
        match wish {
            WishState::Serve if leaving => EndpointState::Draining,
            WishState::Serve => EndpointState::Serving,
            WishState::Drain => EndpointState::Draining,
            WishState::Replace if !self.successor_ready(known) && !leaving => {
                EndpointState::Serving
            }
            WishState::Replace | WishState::Withdraw if known.is_idle(now) => {
                EndpointState::Withdrawn
            }
            WishState::Replace | WishState::Withdraw => EndpointState::Draining,
        }
    }

    /// Whether the successor of an endpoint reports load and holds all of its models.
    fn successor_ready(&self, known: &Known) -> bool {
        let name = known.wish.as_ref().and_then(|wish| wish.successor.as_deref());
        let Some(successor) = name.and_then(|name| self.known.get(name)) else {
            return false;
        };
        let models = &known.view.models;
        let loaded = models.iter().all(|model| successor.view.models.contains(model));
        successor.gone_since.is_none() && successor.measured.is_some() && loaded
    }

    /// The view of one endpoint to be passed on.
    pub fn view(&self, now: Moment, known: &Known) -> EndpointView {
        let age = known.measured.map_or(Duration::MAX, |measured| now.since(measured));
        EndpointView {
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
            state: self.state(now, known),
            ..known.view.clone()
        }
    }

    /// The views of all endpoints.
    pub fn views(&self, now: Moment) -> Vec<EndpointView> {
        self.known.values().map(|known| self.view(now, known)).collect()
    }
}

impl Known {
    fn note_idle(&mut self, now: Moment) {
        let idle = self.view.active == 0 && self.view.queued == 0;
        self.idle_since = idle.then(|| self.idle_since.unwrap_or(now));
    }

    fn is_idle(&self, now: Moment) -> bool {
        self.idle_since.is_some_and(|since| now.since(since) >= IDLE_BEFORE_WITHDRAWN)
    }
}

fn new_known(record: &InstanceRecord) -> Known {
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
    Known {
        record: record.clone(),
        listed: true,
        view,
        measured: None,
        wish: None,
        wish_seen: None,
        failures: 0,
        probing: false,
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

/// The link's role of an engine's role.
pub fn role_of(role: EngineRole) -> EndpointRole {
    match role {
        EngineRole::Prefill => EndpointRole::Prefill,
        EngineRole::Decode => EndpointRole::Decode,
        EngineRole::Mixed => EndpointRole::Mixed,
    }
}
