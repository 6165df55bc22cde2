//! Runs one cell of the matrix.

use std::thread;
use std::time::{Duration, Instant};

use agatestair_schema::caller::RunState;
use agatestair_schema::platform::PlatformFaults;
use agatestair_schema::standins::EndpointFaults;

use crate::caller::{Caller, Target};
use crate::checker::{CallKind, CallerRecord, Promise, PromiseCounts, Records, Seen, check};
use crate::deployment::Testbed;
use crate::error::TestbedError;
use crate::layout::{EngineSpeed, Layout};
use crate::options::{TestbedOptions, Timing};

use super::fault::{FAULT_INSTANCE, Fault};
use super::probe::ListsProbe;
use super::step::{STEP_INSTANCE, Step, fault_all};
use super::traffic::{Settled, Traffic, UNKNOWN_CODE, ask, call, targets};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Longest time until a healed deployment serves again at every entry.
const RECOVERY_TIME: Duration = Duration::from_secs(20);
/// Longest wait for one answer after the healing.
const ANSWER_TIME: Duration = Duration::from_secs(5);
/// Seed of the traffic that starts while the fault lasts, above that of the first.
const LATE_SEED: u64 = 500_000;
/// Time for which that traffic meets the fault.
const LATE_TIME: Duration = Duration::from_millis(300);
/// Time between two attempts after the healing.
const RECOVERY_POLL: Duration = Duration::from_millis(100);

/// One fault at one step.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Cell {
    /// Step.
    pub step: Step,
    /// Fault.
    pub fault: Fault,
    /// Second fault beside it; [`Fault::None`] for none.
    pub second: Fault,
    /// Seed of the traffic and the stand-ins.
    pub seed: u64,
    /// Protections switched off, to show that the checker can fail.
    pub disabled: Vec<String>,
}

/// What a cell showed.
#[derive(Debug)]
pub struct CellResult {
    /// The cell.
    pub cell: Cell,
    /// The promises.
    pub counts: PromiseCounts,
    /// Whether the step was reached.
    pub reached: bool,
    /// What else went wrong: a process did not start, or the deployment did not recover.
    pub problem: Option<String>,
    /// Duration.
    pub took: Duration,
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

    fn any(&self, holds: impl Fn(Fault) -> bool) -> bool {
        holds(self.fault) || holds(self.second)
    }
}

impl CellResult {
    /// One line for the progress of a run.
    pub fn line(&self) -> String {
        format!(
            "{:<7} {:>5.1} s  {} seed {}",
            if self.passed() { "passed" } else { "FAILED" },
            self.took.as_secs_f64(),
            self.cell.name(),
            self.cell.seed
        )
    }

    /// Whether all promises held and the deployment recovered.
    pub fn passed(&self) -> bool {
        self.counts.is_clean() && self.problem.is_none() && self.reached
    }
}

/// Options of the deployment of a cell.
fn options(cell: &Cell) -> TestbedOptions {
    let fitline = cell.seed.is_multiple_of(2);
    let base = if fitline { Layout::fitline() } else { Layout::lexicon() };
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

/// Runs a cell from the start of its deployment to its end.
pub fn run_cell(cell: Cell) -> CellResult {
    let begun = Instant::now();
    let mut result = CellResult {
        cell,
        counts: PromiseCounts::default(),
        reached: false,
        problem: None,
        took: Duration::ZERO,
    };
    if let Err(error) = run(&mut result) {
        result.problem = Some(error.to_string());
    }
    result.took = begun.elapsed();
    result
}

fn run(result: &mut CellResult) -> Result<(), TestbedError> {
    let cell = result.cell.clone();
    let mut testbed = Testbed::start(options(&cell))?;
    wait_serving(&testbed, cell.seed)?;
    let probe = cell.step.changes_lists().then(|| ListsProbe::start(&testbed));
    cell.step.arm(&testbed)?;
    let traffic = Traffic::start(&testbed, cell.seed);
    result.reached = cell.step.reach(&mut testbed)?;
    testbed.fault_platform(&PlatformFaults::default())?;
    fault_all(&testbed, &EndpointFaults::default())?;
    cell.fault.inject(&mut testbed)?;
    cell.second.inject(&mut testbed)?;
    cell.step.release(&testbed)?;
    cell.fault.wait();
    cell.second.wait();
    let late_traffic = Traffic::start(&testbed, cell.seed + LATE_SEED);
    thread::sleep(LATE_TIME);
    cell.fault.heal(&mut testbed)?;
    cell.second.heal(&mut testbed)?;
    let mut settled = traffic.join();
    settled.extend(late_traffic.join());
    cell.step.undo(&mut testbed)?;
    let recovered = wait_serving(&testbed, cell.seed + 1_000_000);
    let records = Records::read(&testbed.client, &testbed.plan.recorder)?;
    result.counts = check(&records, &callers_of(&cell, &testbed, &settled));
    note_unsettled(&settled, &records, &mut result.counts);
    if let Some(probe) = probe {
        probe.finish(&records, &mut result.counts);
    }
    let failed = recovered.is_err() || !result.counts.is_clean();
    if failed && cell.disabled.is_empty() {
        testbed.keep_folder();
    }
    recovered
}

/// What callers got; streams that the fault itself broke count as lost, not as cut. Without a fault
/// an answer that does not come is a cut too.
fn callers_of(cell: &Cell, testbed: &Testbed, settled: &[Settled]) -> Vec<CallerRecord> {
    let mut broken = Vec::new();
    if cell.any(Fault::breaks_streams) {
        broken.push(testbed.plan.instances[FAULT_INSTANCE].name.clone());
    }
    if cell.step == Step::StartUp {
        broken.push(testbed.plan.instances[STEP_INSTANCE].name.clone());
    }
    let planned = cell.fault == Fault::None && cell.step != Step::StartUp;
    let records = settled.iter().flat_map(|settled| settled.records.iter().cloned());
    records
        .map(|mut record| {
            if record.seen == Seen::Lost && planned {
                record.seen = Seen::Cut;
            }
            if record.seen == Seen::Cut && broken.contains(&record.entry) {
                record.seen = Seen::Lost;
            }
            record
        })
        .collect()
}

/// An outcome may stay unknown only if the call had no effect: then its claim stands, the service has
/// not seen its key, and it could still be on its way, so that neither answer would be safe.
fn note_unsettled(settled: &[Settled], records: &Records, counts: &mut PromiseCounts) {
    for request in settled {
        let Some(last) = request.records.last() else {
            continue;
        };
        let ran = records.runs.iter().any(|run| run.key == last.key && run.started_ms > 0);
        let told = request.records.iter().any(|record| record.code == UNKNOWN_CODE);
        let unknown = told && last.seen == Seen::Refused(RunState::Unknown) && !ran;
        let detail = || format!("{:?} {:?}: {:?} {}", last.kind, last.key, last.seen, last.code);
        counts.note(Promise::Unsettled, (!request.settled && !unknown).then(detail));
    }
}

/// Waits until every entry answers a completion and a keyed write.
fn wait_serving(testbed: &Testbed, seed: u64) -> Result<(), TestbedError> {
    let deadline = Instant::now() + RECOVERY_TIME;
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
    let caller = Caller::new(&layout.customers[0].key(), ANSWER_TIME);
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let ask = ask(layout, &mut random, &format!("recovery-{seed}"));
    let call = call(layout, 0, &format!("recovery-{seed}"));
    let mut last: Vec<CallerRecord> = Vec::new();
    while Instant::now() < deadline {
        last = vec![caller.complete(target, &ask), caller.call(target, &call)];
        if last.iter().all(|record| record.seen == Seen::Whole) {
            return Ok(());
        }
        thread::sleep(RECOVERY_POLL);
    }
    let seen: Vec<String> = last
        .iter()
        .filter(|record| record.seen != Seen::Whole || record.kind == CallKind::Read)
        .map(|record| format!("{:?}: {:?} {}", record.kind, record.seen, record.code))
        .collect();
    Err(TestbedError::NotReady { name: target.entry.clone(), log: seen.join("\n") })
}
