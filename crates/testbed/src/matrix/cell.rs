//! Runs one cell of the fault matrix.

use std::thread;
use std::time::{Duration, Instant};

use agatestair_schema::caller::RunState;
use agatestair_schema::platform::PlatformFaults;
use agatestair_schema::standins::EndpointFaults;

use crate::caller::{Caller, Target};
use crate::checker::{CallKind, CallerRecord, Outcome, Promise, PromiseCounts, Records, check};
use crate::deployment::Testbed;
use crate::error::TestbedError;
use crate::layout::{EngineSpeed, Layout};
use crate::options::{TestbedOptions, Timing};

use super::fault::{FAULT_INSTANCE, Fault};
use super::probe::ListsProbe;
use super::step::{STEP_INSTANCE, Step, set_all_faults};
use super::trace::write_trace;
use super::traffic::{Attempts, Traffic, UNKNOWN_CODE, completion_request, service_call, targets};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Time limit for every entry to serve again after the faults are healed.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(20);
/// Timeout of one request sent while waiting for recovery.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Added to the cell's seed for the traffic that starts while the fault is active.
const LATE_SEED_OFFSET: u64 = 500_000;
/// Time that this traffic runs before the fault is healed.
const LATE_TRAFFIC_TIME: Duration = Duration::from_millis(300);
/// Interval of requests sent while waiting for recovery.
const RECOVERY_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// A fault, or a pair of faults, injected at one step.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Cell {
    /// Step at which the faults are injected.
    pub step: Step,
    /// First fault.
    pub fault: Fault,
    /// Second fault, active at the same time; [`Fault::None`] for a single fault.
    pub second: Fault,
    /// Seed of the traffic and the stand-ins.
    pub seed: u64,
    /// Protections that are disabled, to show that the checker detects the violations.
    pub disabled: Vec<String>,
}

/// Result of one cell.
#[derive(Debug)]
pub struct CellResult {
    /// The cell that was run.
    pub cell: Cell,
    /// Violations of each promise.
    pub counts: PromiseCounts,
    /// Whether the step was reached.
    pub reached: bool,
    /// Any other error: a process did not start, or the deployment did not recover.
    pub problem: Option<String>,
    /// Duration of the run, including the start of the deployment.
    pub elapsed: Duration,
}

impl Cell {
    /// Name of the cell, as `--only` takes it.
    pub fn name(&self) -> String {
        let second = match self.second {
            Fault::None => String::new(),
            second => format!("+{}", second.name()),
        };
        format!("{}{second}@{}", self.fault.name(), self.step.name())
    }

    fn either_fault(&self, predicate: impl Fn(Fault) -> bool) -> bool {
        predicate(self.fault) || predicate(self.second)
    }
}

impl CellResult {
    /// One-line summary, for progress output.
    pub fn line(&self) -> String {
        format!(
            "{:<7} {:>5.1} s  {} seed {}",
            if self.passed() { "passed" } else { "FAILED" },
            self.elapsed.as_secs_f64(),
            self.cell.name(),
            self.cell.seed
        )
    }

    /// Whether the step was reached, all promises held and the deployment recovered.
    pub fn passed(&self) -> bool {
        self.counts.is_clean() && self.problem.is_none() && self.reached
    }
}

/// Options of the cell's deployment: a small, fast layout; even seeds use fitline, odd lexicon.
fn cell_options(cell: &Cell) -> TestbedOptions {
    let use_fitline = cell.seed.is_multiple_of(2);
    let base = if use_fitline { Layout::fitline() } else { Layout::lexicon() };
    let speed = EngineSpeed {
        prefill_us: 5.0,
        step_ms: 4.0,
        sequence_us: 50.0,
        report_lag: 100,
        role_ms: 300,
        load_ms: 200,
        ..EngineSpeed::default()
    };
    TestbedOptions {
        layout: Layout { engines: 3, plain: 3, speed, ..base },
        entries: 3,
        proxied: true,
        seed: cell.seed,
        list_lag: 300,
        timing: Timing::short(),
        disabled: cell.disabled.clone(),
        plan_roles: false,
        ..TestbedOptions::default()
    }
}

/// Starts the deployment of a cell, runs the cell and stops the deployment.
pub fn run_cell(cell: Cell) -> CellResult {
    let started = Instant::now();
    let mut result = CellResult {
        cell,
        counts: PromiseCounts::default(),
        reached: false,
        problem: None,
        elapsed: Duration::ZERO,
    };
    if let Err(error) = run(&mut result) {
        result.problem = Some(error.to_string());
    }
    result.elapsed = started.elapsed();
    result
}

fn run(result: &mut CellResult) -> Result<(), TestbedError> {
    let cell = result.cell.clone();
    let mut testbed = Testbed::start(cell_options(&cell))?;
    wait_serving(&testbed, cell.seed)?;
    let probe = cell.step.changes_lists().then(|| ListsProbe::start(&testbed));
    cell.step.set_holds(&testbed)?;
    let traffic = Traffic::start(&testbed, cell.seed);
    result.reached = cell.step.reach(&mut testbed)?;
    testbed.set_platform_faults(&PlatformFaults::default())?;
    set_all_faults(&testbed, &EndpointFaults::default())?;
    cell.fault.inject(&mut testbed)?;
    cell.second.inject(&mut testbed)?;
    cell.step.release_holds(&testbed)?;
    cell.fault.wait();
    cell.second.wait();
    let late_traffic = Traffic::start(&testbed, cell.seed + LATE_SEED_OFFSET);
    thread::sleep(LATE_TRAFFIC_TIME);
    cell.fault.heal(&mut testbed)?;
    cell.second.heal(&mut testbed)?;
    let mut requests = traffic.join();
    requests.extend(late_traffic.join());
    cell.step.restore(&mut testbed)?;
    let recovered = wait_serving(&testbed, cell.seed + 1_000_000);
    let records = Records::read(&testbed.client, &testbed.addresses.recorder)?;
    let callers = caller_records(&cell, &testbed, &requests);
    result.counts = check(&records, &callers);
    check_unsettled(&requests, &records, &mut result.counts);
    if let Some(probe) = probe {
        probe.finish(&records, &mut result.counts);
    }
    let failed = recovered.is_err() || !result.counts.is_clean();
    if failed && cell.disabled.is_empty() {
        testbed.keep_folder();
        write_trace(&testbed, &callers, &records)?;
    }
    recovered
}

/// Records of all attempts, with outcomes adjusted to the cell.
///
/// A stream that the fault or step itself breaks counts as lost instead of truncated. Without a
/// fault, a missing response counts as truncated too.
fn caller_records(cell: &Cell, testbed: &Testbed, requests: &[Attempts]) -> Vec<CallerRecord> {
    let mut disrupted = Vec::new();
    if cell.either_fault(Fault::breaks_streams) {
        disrupted.push(testbed.addresses.instances[FAULT_INSTANCE].name.clone());
    }
    if cell.step == Step::StartUp {
        disrupted.push(testbed.addresses.instances[STEP_INSTANCE].name.clone());
    }
    let undisturbed = cell.fault == Fault::None && cell.step != Step::StartUp;
    let records = requests.iter().flat_map(|request| request.records.iter().cloned());
    records
        .map(|mut record| {
            if record.outcome == Outcome::Lost && undisturbed {
                record.outcome = Outcome::Truncated;
            }
            if record.outcome == Outcome::Truncated && disrupted.contains(&record.entry) {
                record.outcome = Outcome::Lost;
            }
            record
        })
        .collect()
}

/// Checks that every request was settled.
///
/// An outcome may stay unknown only if the call had no effect. Its key is then still claimed, and
/// the service has not seen it, but the call may still be in flight. It would be unsafe to report
/// either that it ran or that it did not run.
fn check_unsettled(requests: &[Attempts], records: &Records, counts: &mut PromiseCounts) {
    for request in requests {
        let Some(last) = request.records.last() else {
            continue;
        };
        let ran = records.runs.iter().any(|run| run.key == last.key && run.started_ms > 0);
        let reported = request.records.iter().any(|record| record.code == UNKNOWN_CODE);
        let unknown = reported && last.outcome == Outcome::Refused(RunState::Unknown) && !ran;
        let detail = || format!("{:?} {:?}: {:?} {}", last.kind, last.key, last.outcome, last.code);
        counts.observe(Promise::Unsettled, (!request.settled && !unknown).then(detail));
    }
}

/// Waits until every entry serves a completion and a keyed write.
fn wait_serving(testbed: &Testbed, seed: u64) -> Result<(), TestbedError> {
    let deadline = Instant::now() + RECOVERY_TIMEOUT;
    for (index, target) in targets(testbed).iter().enumerate() {
        wait_entry(testbed, target, seed + index as u64, deadline)?;
    }
    Ok(())
}

fn wait_entry(
    testbed: &Testbed,
    target: &Target,
    seed: u64,
    deadline: Instant,
) -> Result<(), TestbedError> {
    let layout = &testbed.options.layout;
    let caller = Caller::new(&layout.customers[0].key(), RESPONSE_TIMEOUT);
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let request = completion_request(layout, &mut random, &format!("recovery-{seed}"));
    let call = service_call(layout, 0, &format!("recovery-{seed}"));
    let mut last: Vec<CallerRecord> = Vec::new();
    while Instant::now() < deadline {
        last = vec![caller.complete(target, &request), caller.call(target, &call)];
        if last.iter().all(|record| record.outcome == Outcome::Complete) {
            return Ok(());
        }
        thread::sleep(RECOVERY_POLL_INTERVAL);
    }
    let failures: Vec<String> = last
        .iter()
        .filter(|record| record.outcome != Outcome::Complete || record.kind == CallKind::Read)
        .map(|record| format!("{:?}: {:?} {}", record.kind, record.outcome, record.code))
        .collect();
    Err(TestbedError::NotReady { name: target.entry.clone(), log: failures.join("\n") })
}
