//! Executes one run of a scenario against one deployment.

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
use crate::figures::{Figures, PlanFigures, RequestSample, common_figures, plan_figures};
use crate::operation::Arrival;
use crate::outcome::{Outcome, RequestRecord};
use crate::plans::{PlanTargets, customer_targets};
use crate::probe::{Probe, RevisionSample, UsageSample};
use crate::promises::{CheckInput, Promises, check_promises};
use crate::records::{Recorder, Records};
use crate::scenario::{Fleet, RunPlan, Scenario, Window, rate_for_load};
use crate::scenario_figures::{FigureInput, add_figures};
use crate::steps::{StepRecord, StepRunner, unix_ms};

/// Delay between the start of the caller threads and the first arrival.
const START_DELAY: Duration = Duration::from_millis(300);
/// Ratio of a plan's demand to the demand of the next higher priority.
const LOWER_PLAN_WEIGHT: f64 = 1.5;

/// Settings of a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunSettings {
    /// Seed of the random number generators.
    pub seed: u64,
    /// Sends requests directly to the engines, bypassing the entries.
    pub direct: bool,
    /// Multiplier of the offered load; 0 means 1.
    pub load_factor: f64,
}

/// Request counts from the callers' point of view.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct CallerCounts {
    /// Total number of requests.
    pub requests: u64,
    /// Requests with a complete and correct response.
    pub whole: u64,
    /// Requests whose last attempt was refused.
    pub refused: u64,
    /// Requests that were sent but got no, an incomplete or a wrong response.
    pub failed: u64,
    /// Requests that were not sent because no entry was reachable.
    pub unreached: u64,
    /// Retries after refusals.
    pub returns: u64,
    /// Failed attempts to connect to an entry.
    pub unreachable: u64,
    /// Requests sent more than [`LATE_SEND`] after their intended time.
    pub sent_late: u64,
}

impl CallerCounts {
    /// Warning that the load was not open-loop; `None` if no request was sent late.
    pub fn late_note(&self) -> Option<String> {
        let (late, all) = (self.sent_late, self.requests);
        let text = format!(
            "{late} of {all} requests were sent late, so the load was not open-loop; lower `--load`"
        );
        (late > 0).then_some(text)
    }
}

/// A request sent more than this after its intended time counts as sent late.
pub const LATE_SEND: Duration = Duration::from_millis(20);

/// Result of one run, serialized as JSON.
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
    /// Duration of the arrivals in seconds.
    pub seconds: f64,
    /// Measured figures.
    pub figures: Figures,
    /// Counts per plan.
    pub plans: Vec<PlanFigures>,
    /// Request counts from the callers' point of view.
    pub callers: CallerCounts,
    /// Violations of each promise.
    pub promises: Promises,
    /// Actions taken on the fleet.
    pub steps: Vec<StepRecord>,
    /// Checks that could not be made, and why.
    pub unchecked: Vec<String>,
}

/// Describes a deployment for the scenarios.
pub fn fleet_of(deployment: &Deployment) -> Fleet {
    let kind = |kind: PlaceKind| deployment.endpoints.iter().filter(move |e| e.kind == kind);
    Fleet {
        name: deployment.name.clone(),
        cost: CostModel::of(deployment),
        engines: kind(PlaceKind::Engine).count(),
        entries: deployment.entries.len(),
        has_service: plain_service(deployment).is_some(),
    }
}

/// Runs `scenario` once against `deployment`.
///
/// # Errors
///
/// Returns the operating system's error if a thread cannot be spawned.
pub fn run_once(
    scenario: &Scenario,
    deployment: &Deployment,
    settings: RunSettings,
) -> io::Result<RunResult> {
    let fleet = Fleet { has_service: !settings.direct, ..fleet_of(deployment) };
    let fleet =
        Fleet { has_service: fleet.has_service && plain_service(deployment).is_some(), ..fleet };
    let mut plan = (scenario.build)(&fleet);
    if settings.direct {
        plan.callers = CallerSettings { route: Route::Direct, ..plan.callers };
        plan.steps.clear();
    }
    let targets = customer_targets(deployment);
    let arrivals = draw(&plan, &fleet, &targets, deployment, settings);
    let measured = measure(deployment, &plan, settings, &arrivals)?;
    let capacity = capacity_rps(&plan, &fleet);
    Ok(summarise(
        scenario,
        deployment,
        settings,
        &plan,
        &SummaryInput {
            targets: &targets,
            arrivals: &arrivals,
            measured: &measured,
            fleet: &fleet,
            capacity,
        },
    ))
}

fn draw(
    plan: &RunPlan,
    fleet: &Fleet,
    targets: &[PlanTargets],
    deployment: &Deployment,
    settings: RunSettings,
) -> Vec<Arrival> {
    let weights = customer_weights(targets);
    let factor = if settings.load_factor > 0.0 { settings.load_factor } else { 1.0 };
    let offer = |at: Duration| {
        let mut offer = (plan.offer)(at);
        offer.rate *= factor;
        if !fleet.has_service {
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

/// Share of the demand per customer; lower priorities have a higher demand.
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

/// Completions per second that saturate the engines, for the mix in the middle of the window.
fn capacity_rps(plan: &RunPlan, fleet: &Fleet) -> f64 {
    let middle = (plan.window.from + plan.window.to) / 2;
    rate_for_load(1.0, fleet, &(plan.offer)(middle).mix)
}

/// Raw measurements of one run.
struct Measurements {
    started_ms: u64,
    requests: Vec<RequestRecord>,
    steps: Vec<StepRecord>,
    revisions: Vec<RevisionSample>,
    usage: Vec<UsageSample>,
    records: Result<Records, String>,
}

fn measure(
    deployment: &Deployment,
    plan: &RunPlan,
    settings: RunSettings,
    arrivals: &[Arrival],
) -> io::Result<Measurements> {
    let recorder = Recorder::new(deployment);
    let position = recorder.as_ref().map(Recorder::position).transpose();
    let start = Instant::now() + START_DELAY;
    let started_ms = unix_ms() + u64::try_from(START_DELAY.as_millis()).unwrap_or(0);
    let run = format!("{started_ms:x}-{}", settings.seed);
    let stop = Arc::new(AtomicBool::new(false));
    let (steps, window) = (&plan.steps, plan.window);
    let runner = StepRunner::new(deployment, settings.seed);
    let probe = Probe::new(deployment);
    let measured = thread::scope(|scope| {
        let steps = scope.spawn(move || runner.run(start, steps));
        let usage = scope.spawn(|| sample_window(&probe, start, window));
        let revisions =
            scope.spawn(|| if settings.direct { Vec::new() } else { probe.watch_revisions(&stop) });
        let requests = send_arrivals(deployment, plan.callers, &run, start, arrivals);
        let steps = steps.join().unwrap_or_default();
        let usage = usage.join().unwrap_or_default();
        stop.store(true, Ordering::Relaxed);
        let revisions = revisions.join().unwrap_or_default();
        requests.map(|requests| (requests, steps, usage, revisions))
    });
    let (requests, steps, usage, revisions) = measured?;
    let records = match (recorder, position) {
        (Some(recorder), Ok(Some(position))) => recorder.read(position),
        (_, Err(failure)) => Err(failure),
        _ => Err("the deployment has no recorder".to_owned()),
    };
    let records = records.map(|mut records| {
        records.lists.retain(|record| record.at_ms >= started_ms);
        records
    });
    Ok(Measurements { started_ms, requests, steps, revisions, usage, records })
}

/// Samples the resource usage of the processes at the start and the end of the window.
fn sample_window(probe: &Probe, start: Instant, window: Window) -> Vec<UsageSample> {
    let mut samples = Vec::with_capacity(2);
    for at in [window.from, window.to] {
        thread::sleep((start + at).saturating_duration_since(Instant::now()));
        samples.push(probe.sample_usage());
    }
    samples
}

/// Input of [`summarise`].
struct SummaryInput<'a> {
    targets: &'a [PlanTargets],
    arrivals: &'a [Arrival],
    measured: &'a Measurements,
    fleet: &'a Fleet,
    capacity: f64,
}

fn summarise(
    scenario: &Scenario,
    deployment: &Deployment,
    settings: RunSettings,
    plan: &RunPlan,
    input: &SummaryInput<'_>,
) -> RunResult {
    let measured = input.measured;
    let all: Vec<RequestSample<'_>> = input
        .arrivals
        .iter()
        .zip(&measured.requests)
        .map(|(arrival, request)| RequestSample {
            arrival,
            request,
            targets: &input.targets[arrival.customer],
        })
        .collect();
    let in_window: Vec<RequestSample<'_>> =
        all.iter().filter(|s| plan.window.contains(s.arrival.at)).copied().collect();
    let records = measured.records.as_ref().ok();
    let mut figures = common_figures(&in_window, plan.window, input.capacity);
    let figure_input = FigureInput {
        all: &all,
        in_window: &in_window,
        records,
        revisions: &measured.revisions,
        usage: &measured.usage,
        cost: input.fleet.cost,
        entries: input.fleet.entries,
    };
    add_figures(scenario.name, &figure_input, &mut figures);
    let promises = check_promises(&CheckInput {
        arrivals: input.arrivals,
        requests: &measured.requests,
        records,
        revisions: &measured.revisions,
    });
    let policy = if settings.direct { "direct".to_owned() } else { deployment.policy.to_string() };
    let callers = count_callers(&all);
    let mut unchecked = unchecked_notes(measured);
    unchecked.extend(callers.late_note());
    RunResult {
        scenario: scenario.name.to_owned(),
        deployment: deployment.name.clone(),
        policy,
        seed: settings.seed,
        started_ms: measured.started_ms,
        seconds: plan.length.as_secs_f64(),
        figures,
        plans: plan_figures(&in_window),
        callers,
        promises,
        steps: measured.steps.clone(),
        unchecked,
    }
}

fn count_callers(samples: &[RequestSample<'_>]) -> CallerCounts {
    let mut counts = CallerCounts::default();
    for RequestSample { arrival, request, .. } in samples {
        counts.requests += 1;
        counts.returns += u64::from(request.retries);
        counts.unreachable += u64::from(request.unreachable);
        counts.sent_late += u64::from(request.sent.saturating_sub(arrival.at) > LATE_SEND);
        match request.last().map(|reply| &reply.outcome) {
            Some(Outcome::Success) => counts.whole += 1,
            Some(Outcome::Refused(_)) => counts.refused += 1,
            Some(Outcome::Unreached) => counts.unreached += 1,
            _ => counts.failed += 1,
        }
    }
    counts
}

fn unchecked_notes(measured: &Measurements) -> Vec<String> {
    let mut notes = Vec::new();
    match &measured.records {
        Err(failure) => notes.push(format!("the stand-ins' records are not available: {failure}")),
        Ok(records) if records.dropped > 0 => {
            notes.push(format!("the recorder dropped {} records", records.dropped));
        }
        Ok(_) => {}
    }
    if measured.revisions.is_empty() {
        notes.push("no control process reported a revision of the lists".to_owned());
    }
    notes
}
