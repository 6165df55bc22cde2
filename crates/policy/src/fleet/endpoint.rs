//! One endpoint as this entry sees it.

use std::sync::Arc;
use std::time::Duration;

use agatestair_schema::link::{EndpointKind, EndpointRole, EndpointState, EndpointView};

use crate::fleet::sent::OpenWork;
use crate::fleet::{Health, Phase, PoolKey, SentHistory, Streaming, Streams};
use crate::moment::Moment;
use crate::settings::EngineModel;

/// Fewer active attempts than this say nothing of an engine's limit.
const MIN_SLOTS: u32 = 4;

/// One endpoint: its last report, this entry's own work there, and its pace.
#[derive(Debug)]
pub(crate) struct Endpoint {
    pub(crate) name: Arc<str>,
    pub(crate) address: Arc<str>,
    pub(crate) view: EndpointView,
    /// Pools that it belongs to.
    pub(crate) pools: Vec<PoolKey>,
    /// This entry's open attempts.
    pub(crate) open: u32,
    /// This entry's prompt tokens there that are not yet processed.
    pub(crate) prefill: u64,
    /// Number of the fleet view that named it last.
    pub(crate) seen: u64,
    pub(crate) health: Health,
    /// Whether it is kept free of long prompts.
    pub(crate) reserved: bool,
    /// Ratio of its pace to the pool's usual pace; at least 1.
    pub(crate) slow: f64,
    /// Answers in progress.
    pub(crate) streams: Streams,
    sent: SentHistory,
    /// Other entries' open attempts at the time of the report.
    others: u32,
    /// Moment until which other entries' reported prompts keep it busy.
    busy_until: Moment,
    /// Own attempts open when the last report was made.
    reported_own: u32,
    /// Attempts that it works on side by side.
    slots: u32,
    /// Own attempts allowed at a time.
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
            slow: 1.0,
            streams: Streams::default(),
            sent: SentHistory::default(),
            others: 0,
            busy_until: Moment::default(),
            reported_own: 0,
            slots,
            limit: slots,
            tokens: 0,
            failures: 0,
        }
    }

    /// Takes over a load report; `part` is this entry's part of the whole demand.
    pub(crate) fn update(&mut self, now: Moment, model: &EngineModel, part: f64) {
        let made = now - Duration::from_millis(self.view.age_ms);
        let own = self.sent.at(made);
        let reported = self.view.active + self.view.queued;
        self.learn_slots();
        self.others = reported.saturating_sub(own.count);
        self.reported_own = own.count;
        let prefill = self.view.prefill_backlog.saturating_sub(own.prefill);
        self.busy_until = made + Duration::from_micros((prefill as f64 * model.prefill_us) as u64);
        self.limit = self.own_limit(reported, part);
    }

    /// Takes the number of active attempts as the engine's limit while others wait there, and
    /// tries one more when all slots are in use and none waits.
    fn learn_slots(&mut self) {
        if self.view.kind == EndpointKind::Service {
            return;
        }
        if self.view.queued > 0 && self.view.active >= MIN_SLOTS {
            self.slots = self.view.active;
        } else if self.view.queued == 0 && self.view.active >= self.slots {
            self.slots = self.view.active + 1;
        }
    }

    /// Own attempts allowed: the entry's part of the slots, or its part of the free ones more
    /// than it had when the report was made.
    fn own_limit(&self, reported: u32, part: f64) -> u32 {
        let slots = f64::from(self.slots);
        let fair = (slots * part).floor() as u32;
        let free = f64::from(self.slots.saturating_sub(reported));
        let excess = (slots / f64::from(reported.max(1))).min(1.0);
        let kept = (f64::from(self.reported_own) * excess).floor() as u32;
        let grown = kept + (free * part).round() as u32;
        fair.max(grown).clamp(1, self.slots)
    }

    /// Notes a change of the own open work.
    pub(crate) fn note_open(&mut self, now: Moment) {
        self.sent.note(now, OpenWork { count: self.open, prefill: self.prefill });
    }

    /// Whether it may get new work of any kind.
    pub(crate) fn serving(&self) -> bool {
        self.view.state == EndpointState::Serving && !self.view.changing
    }

    /// Whether it only processes prompts.
    pub(crate) fn prefill_only(&self) -> bool {
        self.view.kind == EndpointKind::Engine && self.view.role == EndpointRole::Prefill
    }

    /// Whether it takes only answers whose prompt was processed elsewhere, or short prompts.
    pub(crate) fn decode_only(&self) -> bool {
        self.view.kind == EndpointKind::Engine && self.view.role == EndpointRole::Decode
    }

    /// Time until it has processed the prompts sent so far, in microseconds.
    pub(crate) fn backlog_us(&self, now: Moment, model: &EngineModel) -> f64 {
        let others = self.busy_until.since(now).as_micros() as f64;
        others + self.prefill as f64 * model.prefill_us
    }

    /// Streaming that is expected to bring `tokens` tokens in `secs` seconds of one attempt.
    pub(crate) fn streaming(
        &self,
        now: Moment,
        model: &EngineModel,
        secs: f64,
        tokens: f64,
    ) -> Streaming {
        let step = model.step_us + model.sequence_us * f64::from(self.crowd());
        let prompts = self.backlog_us(now, model).min(model.chunk_us);
        let expected = (tokens * step + prompts) / 1e6;
        Streaming { secs, expected, tokens }
    }

    /// Streaming since the last pieces of the answers in progress.
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

    /// Attempts of all entries believed to be open.
    pub(crate) fn crowd(&self) -> u32 {
        self.others + self.open
    }

    /// Attempts that it works on side by side.
    pub(crate) fn slots(&self) -> u32 {
        self.slots
    }
}
