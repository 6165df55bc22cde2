//! Figures that are computed for a run: latencies, throughput and counts per plan.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::ser::SerializeMap;
use serde::{Serialize, Serializer};

use crate::operation::{Arrival, Class, Operation};
use crate::outcome::{Outcome, RequestRecord};
use crate::plans::PlanTargets;
use crate::scenario::Window;

/// Highest latency that a histogram can record, in microseconds.
const MAX_LATENCY_US: u64 = 150_000_000;
/// Significant decimal digits of the histograms.
const DIGITS: u8 = 3;
/// Microseconds in a millisecond.
const MILLISECOND_US: f64 = 1000.0;

/// Whether a higher or a lower value of a figure is better.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Better {
    /// Higher is better.
    Higher,
    /// Lower is better.
    Lower,
    /// Neither; the figure describes the run.
    Neither,
}

/// One named figure.
#[derive(Clone, Debug, PartialEq)]
pub struct Figure {
    /// Name, which ends in the unit if there is one.
    pub name: String,
    /// Value in the unit of the name.
    pub value: f64,
    /// Whether a higher or a lower value is better.
    pub better: Better,
}

/// Figures of a run in output order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Figures {
    /// All figures.
    pub list: Vec<Figure>,
}

impl Figures {
    /// Adds a figure, unless its value is missing or not finite.
    pub fn add(&mut self, name: &str, better: Better, value: Option<f64>) {
        if let Some(value) = value.filter(|value| value.is_finite()) {
            self.list.push(Figure { name: name.to_owned(), value, better });
        }
    }

    /// Returns the value of a figure; `None` if there is no figure of this name.
    pub fn value(&self, name: &str) -> Option<f64> {
        self.list.iter().find(|figure| figure.name == name).map(|figure| figure.value)
    }
}

impl Serialize for Figures {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut map = serializer.serialize_map(Some(self.list.len()))?;
        for figure in &self.list {
            map.serialize_entry(&figure.name, &figure.value)?;
        }
        map.end()
    }
}

/// Histogram of latencies, measured from the intended send time.
pub struct Latencies {
    histogram: Histogram<u64>,
}

impl Default for Latencies {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_LATENCY_US, DIGITS);
        Self { histogram: histogram.expect("the bounds are valid") }
    }
}

impl Latencies {
    /// Records one latency, capped at the histogram's maximum.
    pub fn record(&mut self, latency: Duration) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(MAX_LATENCY_US);
        self.histogram.saturating_record(micros.max(1));
    }

    /// Latency in milliseconds at quantile `share` (0 to 1); `None` if nothing was recorded.
    #[allow(clippy::cast_precision_loss)]
    pub fn quantile_ms(&self, share: f64) -> Option<f64> {
        let value = self.histogram.value_at_quantile(share) as f64 / MILLISECOND_US;
        (!self.histogram.is_empty()).then_some(value)
    }
}

/// One request with its result and its plan's targets.
#[derive(Clone, Copy)]
pub struct RequestSample<'a> {
    /// Scheduled request.
    pub arrival: &'a Arrival,
    /// What the caller observed.
    pub request: &'a RequestRecord,
    /// Targets of the customer's plan.
    pub targets: &'a PlanTargets,
}

impl RequestSample<'_> {
    /// Time from the intended send time to the end of a complete response.
    pub fn latency(&self) -> Option<Duration> {
        let reply = self.request.last().filter(|_| self.request.is_success())?;
        Some(reply.end.saturating_sub(self.arrival.at))
    }

    /// Time from the intended send time to the first token.
    pub fn first_token(&self) -> Option<Duration> {
        Some(self.request.last()?.first?.saturating_sub(self.arrival.at))
    }

    /// Whether the response is complete and meets the plan's targets.
    ///
    /// The targets of a completion are the time to the first token, the mean time between tokens
    /// and the deadline; of a service call, the deadline only.
    pub fn on_time(&self) -> bool {
        let (Some(latency), Some(first)) = (self.latency(), self.first_token()) else {
            return false;
        };
        let tokens = self.request.last().map_or(0, |reply| reply.tokens);
        let gaps = self.targets.token * tokens.saturating_sub(1);
        let completion = matches!(self.arrival.operation, Operation::Completion(_));
        latency <= self.targets.deadline
            && (!completion || (first <= self.targets.first && latency - first <= gaps))
    }

    /// Prompt tokens plus output tokens received; 0 for service calls.
    pub fn tokens(&self) -> u64 {
        let Operation::Completion(shape) = self.arrival.operation else { return 0 };
        let output = self.request.last().map_or(0, |reply| reply.tokens);
        u64::from(shape.prompt_tokens()) + u64::from(output)
    }

    /// Whether the final reply is a refusal.
    pub fn refused(&self) -> bool {
        self.request.last().is_some_and(|reply| matches!(reply.outcome, Outcome::Refused(_)))
    }

    /// Whether the request is a completion.
    pub fn is_completion(&self) -> bool {
        matches!(self.arrival.operation, Operation::Completion(_))
    }
}

/// Counts of the completions of one plan.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct PlanFigures {
    /// Name of the plan.
    pub plan: String,
    /// Priority class.
    pub priority: u32,
    /// Completions offered.
    pub offered: u64,
    /// Completions answered on time.
    pub on_time: u64,
    /// Completions answered completely, but not on time.
    pub late: u64,
    /// Completions refused.
    pub refused: u64,
    /// Completions that failed in another way.
    pub failed: u64,
    /// Share of the offered completions that were answered on time.
    pub on_time_share: f64,
}

/// Counts the completions per plan, in order of descending priority.
pub fn plan_figures(samples: &[RequestSample<'_>]) -> Vec<PlanFigures> {
    let mut plans: Vec<PlanFigures> = Vec::new();
    for sample in samples.iter().filter(|sample| sample.is_completion()) {
        let name = &sample.targets.name;
        let index = plans.iter().position(|plan| plan.plan == *name).unwrap_or(plans.len());
        if index == plans.len() {
            let priority = sample.targets.priority;
            plans.push(PlanFigures { plan: name.clone(), priority, ..PlanFigures::default() });
        }
        let plan = &mut plans[index];
        plan.offered += 1;
        let slot = if sample.on_time() {
            &mut plan.on_time
        } else if sample.request.is_success() {
            &mut plan.late
        } else if sample.refused() {
            &mut plan.refused
        } else {
            &mut plan.failed
        };
        *slot += 1;
    }
    for plan in &mut plans {
        plan.on_time_share = ratio(plan.on_time, plan.offered);
    }
    plans.sort_by(|a, b| b.priority.cmp(&a.priority).then_with(|| a.plan.cmp(&b.plan)));
    plans
}

/// Ratio of two counts; 0 if `whole` is 0.
#[allow(clippy::cast_precision_loss)]
pub fn ratio(part: u64, whole: u64) -> f64 {
    if whole == 0 { 0.0 } else { part as f64 / whole as f64 }
}

/// Latencies of the complete responses of one class, or of all completions without a class.
pub fn latencies<'a>(samples: &[RequestSample<'a>], class: Option<Class>) -> Latencies {
    let mut latencies = Latencies::default();
    let wanted = |sample: &&RequestSample<'a>| match class {
        Some(class) => sample.arrival.class == class,
        None => sample.is_completion(),
    };
    for latency in samples.iter().filter(wanted).filter_map(RequestSample::latency) {
        latencies.record(latency);
    }
    latencies
}

/// Times to the first token of the completions that satisfy `wanted`.
pub fn first_token_latencies(
    samples: &[RequestSample<'_>],
    wanted: impl Fn(&RequestSample<'_>) -> bool,
) -> Latencies {
    let mut latencies = Latencies::default();
    let chosen = samples.iter().filter(|sample| sample.is_completion() && wanted(sample));
    for first in chosen.filter_map(RequestSample::first_token) {
        latencies.record(first);
    }
    latencies
}

/// Figures that every scenario reports, over `samples` with a send time within `window`.
#[allow(clippy::cast_precision_loss)]
pub fn common_figures(samples: &[RequestSample<'_>], window: Window, capacity_rps: f64) -> Figures {
    let mut figures = Figures::default();
    let completions: Vec<_> = samples.iter().filter(|sample| sample.is_completion()).collect();
    let on_time: Vec<_> = completions.iter().filter(|sample| sample.on_time()).collect();
    let per_second = |count: usize| Some(count as f64 / window.seconds());
    let tokens: u64 = on_time.iter().map(|sample| sample.tokens()).sum();
    let count = |count: usize| Some(count as f64);
    let refused = completions.iter().filter(|sample| sample.refused()).count();
    let late = completions.iter().filter(|s| s.request.is_success() && !s.on_time()).count();
    let share = ratio(on_time.len() as u64, completions.len() as u64);
    figures.add("offered_rps", Better::Neither, per_second(completions.len()));
    figures.add("capacity_rps", Better::Neither, Some(capacity_rps));
    figures.add("goodput_rps", Better::Higher, per_second(on_time.len()));
    figures.add("goodput_tokens_s", Better::Higher, Some(tokens as f64 / window.seconds()));
    figures.add("on_time_share", Better::Higher, Some(share));
    figures.add("refused", Better::Lower, count(refused));
    figures.add("late", Better::Lower, count(late));
    let all = latencies(samples, None);
    figures.add("p50_ms", Better::Lower, all.quantile_ms(0.5));
    figures.add("p99_ms", Better::Lower, all.quantile_ms(0.99));
    let first = first_token_latencies(samples, |_| true);
    figures.add("first_p50_ms", Better::Lower, first.quantile_ms(0.5));
    figures.add("first_p99_ms", Better::Lower, first.quantile_ms(0.99));
    figures
}
