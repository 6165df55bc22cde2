//! Error budget burn rates over several windows and the verdicts they lead to.

use std::time::Duration;

use agatestair_schema::lists::Lists;
use serde::Serialize;

use crate::outcome::{REASONS, Reason, Tally};
use crate::series::{Series, Subject};

/// Burn rate that consumes 2% of a 30-day error budget in an hour.
pub const FAST_BURN: f64 = 14.4;
/// Burn rate that consumes 5% of a 30-day error budget in six hours.
pub const SLOW_BURN: f64 = 6.0;
/// Burn rate that consumes the error budget exactly over its period.
pub const EVEN_BURN: f64 = 1.0;
/// Objective of a plan or service that is no longer in the lists.
const DEFAULT_OBJECTIVE: f64 = 0.99;
/// Number of points in a plot.
const PLOT_POINTS: u64 = 72;

/// Settings of a report.
#[derive(Clone, Debug)]
pub struct BurnSettings {
    /// Windows, shortest first.
    pub windows: Vec<Duration>,
    /// End of all windows in milliseconds since the Unix epoch.
    pub now_ms: u64,
}

impl Default for BurnSettings {
    fn default() -> Self {
        let minutes = |count: u64| Duration::from_secs(60 * count);
        Self { windows: vec![minutes(5), minutes(60), minutes(360), minutes(4320)], now_ms: 0 }
    }
}

/// Alert state of a subject, in order of severity.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// No requests in any window.
    NoTraffic,
    /// The burn rate stays within the error budget.
    Kept,
    /// The error budget will run out early at the current burn rate.
    Watch,
    /// Slow but sustained burn: act within hours.
    SlowBurn,
    /// Fast burn: act immediately.
    FastBurn,
}

impl Verdict {
    /// Name in reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoTraffic => "no traffic",
            Self::Kept => "kept",
            Self::Watch => "watch",
            Self::SlowBurn => "slow burn",
            Self::FastBurn => "fast burn",
        }
    }
}

/// Burn rate of one window.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct WindowBurn {
    /// Length of the window in seconds.
    pub window_s: u64,
    /// Requests that completed in it.
    pub requests: f64,
    /// Share of requests that missed the objective.
    pub miss_share: f64,
    /// Burn rate: share of misses divided by the share that the objective allows.
    pub burn: f64,
    /// Misses by reason, without reasons that did not occur.
    pub reasons: Vec<ReasonCount>,
}

/// Number of misses for one reason.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct ReasonCount {
    /// The reason.
    pub reason: Reason,
    /// Number of misses.
    pub misses: f64,
}

/// One point of a plot.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct PlotPoint {
    /// Middle of the interval in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Requests that completed in it.
    pub tally: Tally,
}

/// Burn report of one subject.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct SubjectBurn {
    /// Plan and service.
    pub subject: Subject,
    /// Share of requests that must meet the targets.
    pub objective: f64,
    /// Burn rates by window, shortest first.
    pub windows: Vec<WindowBurn>,
    /// Remaining share of the longest window's error budget; negative if exceeded.
    pub budget_left: f64,
    /// Alert state.
    pub verdict: Verdict,
    /// Most frequent reason for misses in the window that explains the verdict.
    pub main_reason: Option<Reason>,
    /// Points over the longest window.
    pub plot: Vec<PlotPoint>,
}

/// Burn report of all plans and services.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct BurnReport {
    /// End of all windows in milliseconds since the Unix epoch.
    pub now_ms: u64,
    /// Age of the newest counters in milliseconds.
    pub age_ms: u64,
    /// Number of instances that wrote counters.
    pub instances: usize,
    /// Number of runs of these instances.
    pub runs: usize,
    /// Revision of the lists that define the objectives.
    pub revision: u64,
    /// Subjects, most severe first.
    pub subjects: Vec<SubjectBurn>,
    /// Runs whose counters could not be read, with the error.
    pub gaps: Vec<String>,
}

/// Computes burn rates and verdicts for all subjects of `series`.
pub fn burn_report(series: &Series, lists: &Lists, settings: &BurnSettings) -> BurnReport {
    let mut subjects: Vec<SubjectBurn> = series
        .subjects
        .keys()
        .map(|subject| subject_burn(series, subject, objective_of(lists, subject), settings))
        .collect();
    subjects.sort_by(|a, b| {
        b.verdict.cmp(&a.verdict).then_with(|| a.budget_left.total_cmp(&b.budget_left))
    });
    BurnReport {
        now_ms: settings.now_ms,
        age_ms: settings.now_ms.saturating_sub(series.newest_ms),
        instances: series.instances,
        runs: series.runs,
        revision: lists.revision,
        subjects,
        gaps: Vec::new(),
    }
}

/// Completions have the objective of their plan, calls the objective of their service.
fn objective_of(lists: &Lists, subject: &Subject) -> f64 {
    let found = if subject.calls {
        let rules = lists.allowances.services.iter();
        rules.filter(|rule| *rule.service == *subject.service).map(|rule| rule.objective).next()
    } else {
        let plans = lists.plans.plans.iter();
        plans.filter(|plan| *plan.name == *subject.plan).map(|plan| plan.objective).next()
    };
    found.unwrap_or(DEFAULT_OBJECTIVE)
}

fn subject_burn(
    series: &Series,
    subject: &Subject,
    objective: f64,
    settings: &BurnSettings,
) -> SubjectBurn {
    let tallies: Vec<Tally> = settings
        .windows
        .iter()
        .map(|window| window_tally(series, subject, *window, settings))
        .collect();
    let windows: Vec<WindowBurn> = settings
        .windows
        .iter()
        .zip(&tallies)
        .map(|(window, tally)| window_burn(*window, tally, objective))
        .collect();
    let longest = windows.last().map_or(0.0, |window| window.burn);
    let (verdict, deciding) = verdict_of(&windows);
    SubjectBurn {
        subject: subject.clone(),
        objective,
        budget_left: 1.0 - longest,
        verdict,
        main_reason: tallies.get(deciding).and_then(Tally::main_reason),
        plot: plot_points(series, subject, settings),
        windows,
    }
}

fn window_tally(
    series: &Series,
    subject: &Subject,
    window: Duration,
    settings: &BurnSettings,
) -> Tally {
    let from_ms = settings.now_ms.saturating_sub(millis(window));
    series.tally(subject, from_ms, settings.now_ms.saturating_add(1))
}

fn window_burn(window: Duration, tally: &Tally, objective: f64) -> WindowBurn {
    let allowed = (1.0 - objective).max(f64::EPSILON);
    let reasons = REASONS.map(|reason| ReasonCount { reason, misses: tally.missed_for(reason) });
    WindowBurn {
        window_s: window.as_secs(),
        requests: tally.total(),
        miss_share: tally.miss_share(),
        burn: tally.miss_share() / allowed,
        reasons: reasons.into_iter().filter(|count| count.misses > 0.0).collect(),
    }
}

/// Determines the verdict, and the index of the window whose misses explain it.
///
/// Fast and slow burn require a high burn rate in two windows, so that neither a short spike nor an
/// incident that is over triggers them alone.
fn verdict_of(windows: &[WindowBurn]) -> (Verdict, usize) {
    let last = windows.len().saturating_sub(1);
    if windows.iter().all(|window| window.requests == 0.0) {
        return (Verdict::NoTraffic, last);
    }
    let burns_at = |index: usize, limit: f64| {
        windows.get(index.min(last)).is_some_and(|window| window.burn >= limit)
    };
    if burns_at(0, FAST_BURN) && burns_at(1, FAST_BURN) {
        return (Verdict::FastBurn, 1.min(last));
    }
    if burns_at(1, SLOW_BURN) && burns_at(2, SLOW_BURN) {
        return (Verdict::SlowBurn, 2.min(last));
    }
    if burns_at(2, EVEN_BURN) || burns_at(3, EVEN_BURN) {
        return (Verdict::Watch, last);
    }
    (Verdict::Kept, last)
}

fn plot_points(series: &Series, subject: &Subject, settings: &BurnSettings) -> Vec<PlotPoint> {
    let longest = settings.windows.last().copied().unwrap_or_default();
    let step = (millis(longest) / PLOT_POINTS).max(1);
    let start = settings.now_ms.saturating_sub(step * PLOT_POINTS);
    (0..PLOT_POINTS)
        .map(|index| {
            let from_ms = start + index * step;
            let tally = series.tally(subject, from_ms, from_ms + step);
            PlotPoint { at_ms: from_ms + step / 2, tally }
        })
        .collect()
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
