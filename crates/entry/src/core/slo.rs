//! Service-level counters: outcomes of requests by plan and service.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use agatestair_schema::lists::Plan;
use agatestair_schema::slo::{SloCounts, SloKind};

/// Outcome of a request in the service-level report.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum SloOutcome {
    /// Complete and within the targets.
    Good,
    /// Complete, but missed a target.
    Late,
    /// Refused, for example for lack of capacity or time.
    Refused,
    /// The response was truncated.
    Cut,
    /// Refused because the platform's store was down or slow.
    Store,
    /// Endpoints failed or were unreachable.
    Engine,
}

impl SloOutcome {
    /// Value of the label `outcome` of the counter `agatestair_requests_total`.
    pub fn label(self) -> &'static str {
        match self {
            Self::Good => "good",
            Self::Late => "late",
            Self::Refused => "refused",
            Self::Cut => "cut",
            Self::Store => "store",
            Self::Engine => "engine",
        }
    }
}

/// Key of one set of counters.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct SloKey {
    plan: Arc<str>,
    service: Arc<str>,
    call: bool,
}

/// Outcome counters since the start of the process.
#[derive(Default)]
pub struct SloCounters {
    counts: BTreeMap<SloKey, SloCounts>,
}

impl SloCounters {
    /// Counts one request.
    pub fn count(&mut self, plan: &Arc<str>, service: &Arc<str>, kind: SloKind, end: SloOutcome) {
        metrics::counter!("agatestair_requests_total", "plan" => plan.to_string(),
            "service" => service.to_string(), "outcome" => end.label())
        .increment(1);
        let call = kind == SloKind::Call;
        let key = SloKey { plan: plan.clone(), service: service.clone(), call };
        let counts = self.counts.entry(key).or_insert_with(|| SloCounts {
            plan: plan.to_string(),
            service: service.to_string(),
            kind,
            good: 0,
            late: 0,
            refused: 0,
            cut: 0,
            store: 0,
            engine: 0,
        });
        match end {
            SloOutcome::Good => counts.good += 1,
            SloOutcome::Late => counts.late += 1,
            SloOutcome::Refused => counts.refused += 1,
            SloOutcome::Cut => counts.cut += 1,
            SloOutcome::Store => counts.store += 1,
            SloOutcome::Engine => counts.engine += 1,
        }
    }

    /// Counters of all plans and services.
    pub fn counts(&self) -> Vec<SloCounts> {
        self.counts.values().cloned().collect()
    }
}

/// Timing of one completion.
#[derive(Clone, Copy, Debug)]
pub struct TokenTimes {
    /// When the request was admitted.
    pub admitted: Instant,
    /// When the first token arrived.
    pub first: Instant,
    /// When the last token arrived.
    pub last: Instant,
    /// Number of output tokens.
    pub tokens: u32,
}

/// Classifies a complete response by its plan's targets: time to first token and mean time between
/// tokens.
pub fn classify_completion(plan: Option<&Plan>, times: TokenTimes) -> SloOutcome {
    let Some(plan) = plan else {
        return SloOutcome::Good;
    };
    let first = times.first.saturating_duration_since(times.admitted);
    let rest = times.last.saturating_duration_since(times.first);
    let gap = rest / times.tokens.saturating_sub(1).max(1);
    let late =
        first > Duration::from_millis(plan.first_ms) || gap > Duration::from_millis(plan.token_ms);
    if late { SloOutcome::Late } else { SloOutcome::Good }
}
