//! Carries out one run of a scenario against one deployment.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use agatestair_schema::testbed::{Deployment, PlaceKind};
use serde::Serialize;

use crate::arrivals::{ArrivalSettings, draw_arrivals};
use crate::callers::{CallerSettings, Route, send_arrivals};
use crate::deployment::{CostModel, plain_service};
use crate::extra::{Material, add_figures};
use crate::figures::{Figures, PlanFigures, Sample, common_figures, plan_figures};
use crate::outcome::{CallRecord, Outcome};
use crate::plans::{PlanTargets, customer_targets};
use crate::probe::{Probe, RevisionSample, UseSample};
use crate::promises::{Evidence, Promises, check_promises};
use crate::records::{Recorder, Records};
use crate::scenario::{Fleet, Plan, Scenario, Window, rate_at};
use crate::steps::{StepRecord, StepRunner, unix_ms};
use crate::work::Arrival;

/// Time before the first arrival.
const LEAD: Duration = Duration::from_millis(300);
/// Weight of each plan's demand against that of the plan one priority above it.
const LOWER_PLAN_WEIGHT: f64 = 1.5;

/// Settings of a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunSettings {
    /// Seed of all choices.
    pub seed: u64,
    /// Straight to the engines, without entries.
    pub direct: bool,
    /// Factor on the offered load; 0 is taken as 1.
    pub load: f64,
}

/// What callers went through, as counts.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct CallerCounts {
    /// Requests in all.
    pub requests: u64,
    /// Requests answered whole.
    pub whole: u64,
    /// Requests refused at last.
    pub refused: u64,
    /// Requests sent to which no answer came.
    pub failed: u64,
    /// Requests that reached no entry.
    pub unreached: u64,
    /// Times that callers came back after a refusal.
    pub returns: u64,
    /// Entries of an answer that could not be reached.
    pub unreachable: u64,
    /// Requests sent more than [`LATE_SEND`] after their time.
    pub sent_late: u64,
}

impl CallerCounts {
    /// Says that the load was not open-loop, if requests were sent late.
    pub fn late_note(&self) -> Option<String> {
        let (late, all) = (self.sent_late, self.requests);
        let text = format!(
            "{late} of {all} requests were sent late, so the load was not open-loop; lower `--load`"
        );
        (late > 0).then_some(text)
    }
}

/// Delay after which a sending counts as late.
pub const LATE_SEND: Duration = Duration::from_millis(20);

/// Result of one run, written as JSON.
#[derive(Clone, Debug, Serialize)]
pub struct RunResult {
    /// Name of the scenario.
    pub scenario: String,
    /// Name of the deployment.
    pub deployment: String,
    /// Placement policy, or `direct`.
    pub policy: String,
    /// Seed of the run.
    pub seed: u64,
    /// Start of the run in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Length of the arrivals in seconds.
    pub seconds: f64,
    /// The figures.
    pub figures: Figures,
    /// Counts by plan.
    pub plans: Vec<PlanFigures>,
    /// What callers went through.
    pub callers: CallerCounts,
    /// Breaches of the promises.
    pub promises: Promises,
    /// What happened to the fleet.
    pub steps: Vec<StepRecord>,
    /// What could not be checked, and why.
    pub unchecked: Vec<String>,
}

/// Facts about a deployment that scenarios depend on.
pub fn fleet_of(deployment: &Deployment) -> Fleet {
    let kind = |kind: PlaceKind| deployment.endpoints.iter().filter(move |e| e.kind == kind);
    Fleet {
        name: deployment.name.clone(),
        cost: CostModel::of(deployment),
        engines: kind(PlaceKind::Engine).count(),
        entries: deployment.entries.len(),
        calls: plain_service(deployment).is_some(),
    }
}

/// Runs `scenario` once.
///
/// # Errors
///
/// The operating system's error if a thread cannot be started.
pub fn run_once(
    scenario: &Scenario,
    deployment: &Deployment,
    settings: RunSettings,
) -> io::Result<RunResult> {
    let fleet = Fleet { calls: !settings.direct, ..fleet_of(deployment) };
    let fleet = Fleet { calls: fleet.calls && plain_service(deployment).is_some(), ..fleet };
    let mut plan = (scenario.plan)(&fleet);
    if settings.direct {
        plan.callers = CallerSettings { route: Route::Direct, ..plan.callers };
        plan.steps.clear();
    }
    let targets = customer_targets(deployment);
    let arrivals = draw(&plan, &fleet, &targets, deployment, settings);
    let observed = observe(deployment, &plan, settings, &arrivals)?;
    let capacity = capacity_rps(&plan, &fleet);
    Ok(summarise(
        scenario,
        deployment,
        settings,
        &plan,
        &Job {
            targets: &targets,
            arrivals: &arrivals,
            observed: &observed,
            fleet: &fleet,
            capacity,
        },
    ))
}

fn draw(
    plan: &Plan,
    fleet: &Fleet,
    targets: &[PlanTargets],
    deployment: &Deployment,
    settings: RunSettings,
) -> Vec<Arrival> {
    let weights = customer_weights(targets);
    let factor = if settings.load > 0.0 { settings.load } else { 1.0 };
    let offer = |at: Duration| {
        let mut offer = (plan.offer)(at);
        offer.rate *= factor;
        if !fleet.calls {
            offer.writes = 0.0;
            offer.reads = 0.0;
        }
        offer
    };
    draw_arrivals(&ArrivalSettings {
        seed: settings.seed,
        duration: plan.length,
        customers: &weights,
        models: deployment.models.len(),
        offer: &offer,
    })
}

/// Weights by which customers ask: lower plans ask for more.
fn customer_weights(targets: &[PlanTargets]) -> Vec<f64> {
    let mut priorities: Vec<u32> = targets.iter().map(|target| target.priority).collect();
    priorities.sort_unstable_by(|a, b| b.cmp(a));
    priorities.dedup();
    let rank = |priority| priorities.iter().position(|p| *p == priority).unwrap_or(0);
    let weight = |target: &PlanTargets| {
        let steps = i32::try_from(rank(target.priority)).unwrap_or(i32::MAX);
        let same = targets.iter().filter(|other| other.priority == target.priority).count();
        LOWER_PLAN_WEIGHT.powi(steps) / f64::from(u32::try_from(same).unwrap_or(1))
    };
    targets.iter().map(weight).collect()
}

/// Completions a second that fill the engines, with the mix in the middle of the window.
fn capacity_rps(plan: &Plan, fleet: &Fleet) -> f64 {
    let middle = (plan.window.from + plan.window.to) / 2;
    rate_at(1.0, fleet, &(plan.offer)(middle).parts)
}

/// What was seen during a run.
struct Observed {
    started_ms: u64,
    calls: Vec<CallRecord>,
    steps: Vec<StepRecord>,
    revisions: Vec<RevisionSample>,
    usage: Vec<UseSample>,
    records: Result<Records, String>,
}

fn observe(
    deployment: &Deployment,
    plan: &Plan,
    settings: RunSettings,
    arrivals: &[Arrival],
) -> io::Result<Observed> {
    let recorder = Recorder::new(deployment);
    let mark = recorder.as_ref().map(Recorder::mark).transpose();
    let start = Instant::now() + LEAD;
    let started_ms = unix_ms() + u64::try_from(LEAD.as_millis()).unwrap_or(0);
    let run = format!("{started_ms:x}-{}", settings.seed);
    let stop = Arc::new(AtomicBool::new(false));
    let (steps, window) = (&plan.steps, plan.window);
    let runner = StepRunner::new(deployment, settings.seed);
    let probe = Probe::new(deployment);
    let observed = thread::scope(|scope| {
        let steps = scope.spawn(move || runner.run(start, steps));
        let usage = scope.spawn(|| sample_window(&probe, start, window));
        let revisions =
            scope.spawn(|| if settings.direct { Vec::new() } else { probe.watch_revisions(&stop) });
        let calls = send_arrivals(deployment, plan.callers, &run, start, arrivals);
        let steps = steps.join().unwrap_or_default();
        let usage = usage.join().unwrap_or_default();
        stop.store(true, Ordering::Relaxed);
        let revisions = revisions.join().unwrap_or_default();
        calls.map(|calls| (calls, steps, usage, revisions))
    });
    let (calls, steps, usage, revisions) = observed?;
    let records = match (recorder, mark) {
        (Some(recorder), Ok(Some(mark))) => recorder.read(mark),
        (_, Err(failure)) => Err(failure),
        _ => Err("the deployment has no recorder".to_owned()),
    };
    let records = records.map(|mut records| {
        records.lists.retain(|record| record.at_ms >= started_ms);
        records
    });
    Ok(Observed { started_ms, calls, steps, revisions, usage, records })
}

/// Use of the processes at the start and at the end of the window.
fn sample_window(probe: &Probe, start: Instant, window: Window) -> Vec<UseSample> {
    let mut samples = Vec::with_capacity(2);
    for at in [window.from, window.to] {
        thread::sleep((start + at).saturating_duration_since(Instant::now()));
        samples.push(probe.sample_use());
    }
    samples
}

/// What a result is made from.
struct Job<'a> {
    targets: &'a [PlanTargets],
    arrivals: &'a [Arrival],
    observed: &'a Observed,
    fleet: &'a Fleet,
    capacity: f64,
}

fn summarise(
    scenario: &Scenario,
    deployment: &Deployment,
    settings: RunSettings,
    plan: &Plan,
    job: &Job<'_>,
) -> RunResult {
    let observed = job.observed;
    let all: Vec<Sample<'_>> = job
        .arrivals
        .iter()
        .zip(&observed.calls)
        .map(|(arrival, call)| Sample { arrival, call, targets: &job.targets[arrival.customer] })
        .collect();
    let counted: Vec<Sample<'_>> =
        all.iter().filter(|s| plan.window.contains(s.arrival.at)).copied().collect();
    let records = observed.records.as_ref().ok();
    let mut figures = common_figures(&counted, plan.window, job.capacity);
    let material = Material {
        all: &all,
        counted: &counted,
        records,
        revisions: &observed.revisions,
        usage: &observed.usage,
        cost: job.fleet.cost,
        entries: job.fleet.entries,
    };
    add_figures(scenario.name, &material, &mut figures);
    let promises = check_promises(&Evidence {
        arrivals: job.arrivals,
        calls: &observed.calls,
        records,
        revisions: &observed.revisions,
    });
    let policy = if settings.direct { "direct".to_owned() } else { deployment.policy.to_string() };
    let callers = count_callers(&all);
    let mut unchecked = unchecked(observed);
    unchecked.extend(callers.late_note());
    RunResult {
        scenario: scenario.name.to_owned(),
        deployment: deployment.name.clone(),
        policy,
        seed: settings.seed,
        started_ms: observed.started_ms,
        seconds: plan.length.as_secs_f64(),
        figures,
        plans: plan_figures(&counted),
        callers,
        promises,
        steps: observed.steps.clone(),
        unchecked,
    }
}

fn count_callers(samples: &[Sample<'_>]) -> CallerCounts {
    let mut counts = CallerCounts::default();
    for Sample { arrival, call, .. } in samples {
        counts.requests += 1;
        counts.returns += u64::from(call.returns);
        counts.unreachable += u64::from(call.unreachable);
        counts.sent_late += u64::from(call.sent.saturating_sub(arrival.at) > LATE_SEND);
        match call.last().map(|reply| &reply.outcome) {
            Some(Outcome::Whole) => counts.whole += 1,
            Some(Outcome::Refused(_)) => counts.refused += 1,
            Some(Outcome::Unreached) => counts.unreached += 1,
            _ => counts.failed += 1,
        }
    }
    counts
}

fn unchecked(observed: &Observed) -> Vec<String> {
    let mut notes = Vec::new();
    match &observed.records {
        Err(failure) => notes.push(format!("nothing recorded by the stand-ins: {failure}")),
        Ok(records) if records.dropped > 0 => {
            notes.push(format!("{} records were dropped by the recorder", records.dropped));
        }
        Ok(_) => {}
    }
    if observed.revisions.is_empty() {
        notes.push("no control process told its revision".to_owned());
    }
    notes
}
