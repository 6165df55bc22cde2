//! This entry's state of one endpoint.

use std::sync::Arc;
use std::time::Duration;

use agatestair_schema::link::{EndpointKind, EndpointRole, EndpointState, EndpointView};

use crate::fleet::open_history::OpenWork;
use crate::fleet::{Health, OpenHistory, Phase, PoolKey, Streaming, Streams};
use crate::moment::Moment;
use crate::settings::EngineModel;

/// Least number of active attempts from which an engine's number of slots is inferred.
const MIN_SLOTS: u32 = 4;

/// One endpoint: its last report, this entry's own work there, and its pace.
#[derive(Debug)]
pub(crate) struct Endpoint {
    pub(crate) name: Arc<str>,
    pub(crate) address: Arc<str>,
    pub(crate) view: EndpointView,
    /// Pools that it belongs to.
    pub(crate) pools: Vec<PoolKey>,
    /// Number of this entry's open attempts.
    pub(crate) open: u32,
    /// Prompt tokens of this entry that are not yet processed there.
    pub(crate) prefill: u64,
    /// Number of the latest fleet view that contained it.
    pub(crate) seen: u64,
    pub(crate) health: Health,
    /// Whether it is reserved for short prompts.
    pub(crate) reserved: bool,
    /// Ratio of its pace to the pool's usual pace; at least 1.
    pub(crate) slowdown: f64,
    /// Responses in progress.
    pub(crate) streams: Streams,
    open_history: OpenHistory,
    /// Other entries' open attempts at the time of the report.
    others: u32,
    /// When it will have processed the reported prompts of other entries.
    busy_until: Moment,
    /// Own attempts that were open when the last report was made.
    reported_own: u32,
    /// Number of attempts that it runs concurrently.
    slots: u32,
    /// Greatest number of own attempts.
    limit: u32,
    /// Counters since the last observation report.
    pub(crate) tokens: u64,
    pub(crate) failures: u32,
}

impl Endpoint {
    /// Creates an endpoint from its first view.
    pub(crate) fn new(view: &EndpointView, model: &EngineModel) -> Self {
        let slots = match view.kind {
            EndpointKind::Engine => model.slots,
            EndpointKind::Service => model.call_slots,
        };
        Self {
            name: view.name.as_str().into(),
            address: view.address.as_str().into(),
            view: view.clone(),
            pools: Vec::new(),
            open: 0,
            prefill: 0,
            seen: 0,
            health: Health::default(),
            reserved: false,
            slowdown: 1.0,
            streams: Streams::default(),
            open_history: OpenHistory::default(),
            others: 0,
            busy_until: Moment::default(),
            reported_own: 0,
            slots,
            limit: slots,
            tokens: 0,
            failures: 0,
        }
    }

    /// Updates the load from the report in `view`; `fraction` is this entry's fraction of the whole
    /// demand.
    pub(crate) fn update(&mut self, now: Moment, model: &EngineModel, fraction: f64) {
        let made = now - Duration::from_millis(self.view.age_ms);
        let own = self.open_history.at(made);
        let reported = self.view.active + self.view.queued;
        self.infer_slots();
        self.others = reported.saturating_sub(own.count);
        self.reported_own = own.count;
        let prefill = self.view.prefill_backlog.saturating_sub(own.prefill);
        self.busy_until = made + Duration::from_micros((prefill as f64 * model.prefill_us) as u64);
        self.limit = self.own_limit(reported, fraction);
    }

    /// Infers the engine's number of slots: the active attempts while others are queued there, or
    /// one more than the active ones if all slots are in use and none is queued.
    fn infer_slots(&mut self) {
        if self.view.kind == EndpointKind::Service {
            return;
        }
        if self.view.queued > 0 && self.view.active >= MIN_SLOTS {
            self.slots = self.view.active;
        } else if self.view.queued == 0 && self.view.active >= self.slots {
            self.slots = self.view.active + 1;
        }
    }

    /// Greatest number of own attempts: the entry's fraction of all slots, or, if greater, the own
    /// attempts at the time of the report plus the entry's fraction of the free slots.
    fn own_limit(&self, reported: u32, fraction: f64) -> u32 {
        let slots = f64::from(self.slots);
        let fair = (slots * fraction).floor() as u32;
        let free = f64::from(self.slots.saturating_sub(reported));
        let excess = (slots / f64::from(reported.max(1))).min(1.0);
        let kept = (f64::from(self.reported_own) * excess).floor() as u32;
        let grown = kept + (free * fraction).round() as u32;
        fair.max(grown).clamp(1, self.slots)
    }

    /// Records a change of the own open work.
    pub(crate) fn note_open(&mut self, now: Moment) {
        self.open_history.note(now, OpenWork { count: self.open, prefill: self.prefill });
    }

    /// Whether it may get new work of any kind.
    pub(crate) fn serving(&self) -> bool {
        self.view.state == EndpointState::Serving && !self.view.changing
    }

    /// Whether it only processes prompts.
    pub(crate) fn prefill_only(&self) -> bool {
        self.view.kind == EndpointKind::Engine && self.view.role == EndpointRole::Prefill
    }

    /// Whether it only generates responses whose prompt was processed elsewhere or is short.
    pub(crate) fn decode_only(&self) -> bool {
        self.view.kind == EndpointKind::Engine && self.view.role == EndpointRole::Decode
    }

    /// Time until it has processed the prompts sent so far, in microseconds.
    pub(crate) fn backlog_us(&self, now: Moment, model: &EngineModel) -> f64 {
        let others = self.busy_until.since(now).as_micros() as f64;
        others + self.prefill as f64 * model.prefill_us
    }

    /// Streaming of one attempt that generated `tokens` tokens in `secs` seconds, with the time
    /// expected for them.
    pub(crate) fn streaming(
        &self,
        now: Moment,
        model: &EngineModel,
        secs: f64,
        tokens: f64,
    ) -> Streaming {
        let step = model.step_us + model.sequence_us * f64::from(self.total_open());
        let prompts = self.backlog_us(now, model).min(model.chunk_us);
        let expected = (tokens * step + prompts) / 1e6;
        Streaming { secs, expected, tokens }
    }

    /// Streaming of all responses in progress since their last tokens arrived.
    pub(crate) fn pending(&self, now: Moment, model: &EngineModel) -> Streaming {
        let count = self.streams.count() as f64;
        let one = self.streaming(now, model, 0.0, 1.0);
        let secs = self.streams.pending(now);
        Streaming { secs, expected: (one.expected * count).min(secs), tokens: 0.0 }
    }

    /// Whether another attempt may be sent now.
    pub(crate) fn has_room(&self, now: Moment, model: &EngineModel) -> bool {
        let limit = match self.health.phase() {
            Phase::Normal => self.limit,
            Phase::Ejected(_) => return false,
            Phase::Probing(limit) => limit.min(self.limit),
        };
        let busy = self.open > 0 && self.backlog_us(now, model) > model.prefill_window;
        self.serving() && self.open < limit && !busy
    }

    /// Estimated number of open attempts of all entries.
    pub(crate) fn total_open(&self) -> u32 {
        self.others + self.open
    }

    /// Number of attempts that it runs concurrently.
    pub(crate) fn slots(&self) -> u32 {
        self.slots
    }
}
