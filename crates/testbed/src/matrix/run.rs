//! Selects the cells of a run, runs them in parallel and reports the results.

use std::collections::VecDeque;
use std::fmt;
use std::sync::{Mutex, PoisonError};
use std::thread;

use crate::checker::PromiseCounts;

use super::cell::{Cell, CellResult, run_cell};
use super::fault::Fault;
use super::step::Step;

/// Results of many cells.
#[derive(Debug, Default)]
pub struct MatrixReport {
    /// Results in the order of the cells.
    pub results: Vec<CellResult>,
}

impl MatrixReport {
    /// Whether every cell passed.
    pub fn passed(&self) -> bool {
        self.results.iter().all(CellResult::passed)
    }

    /// Sum of the promise counts of all cells.
    pub fn totals(&self) -> PromiseCounts {
        let mut totals = PromiseCounts::default();
        for result in &self.results {
            totals.add(&result.counts);
        }
        totals
    }
}

impl fmt::Display for MatrixReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for result in self.results.iter().filter(|result| !result.passed()) {
            writeln!(f, "{}", describe(result))?;
        }
        let passed = self.results.iter().filter(|result| result.passed()).count();
        writeln!(f, "{passed} of {} cells passed", self.results.len())?;
        write!(f, "{}", self.totals())
    }
}

/// Multi-line description of a failed cell.
pub fn describe(result: &CellResult) -> String {
    let cell = &result.cell;
    let mut text = format!(
        "FAILED {} seed {} after {:.1} s",
        cell.name(),
        cell.seed,
        result.elapsed.as_secs_f64()
    );
    if !result.reached {
        text.push_str("\n    the step was not reached");
    }
    if let Some(problem) = &result.problem {
        text.push_str(&format!("\n    {}", problem.replace('\n', "\n    ")));
    }
    if !result.counts.is_clean() {
        text.push_str(&format!("\n{}", result.counts));
    }
    text
}

/// Cells for every applicable combination of fault and step, and for the pairs of faults.
pub fn all_cells(seed: u64) -> Vec<Cell> {
    let faults = Fault::ALL;
    let pairs = Step::ALL.into_iter().flat_map(|step| faults.map(|fault| (step, fault)));
    let singles = pairs.filter(|(step, fault)| is_applicable(*step, *fault));
    let singles = singles.map(|(step, fault)| cell(step, fault, Fault::None, seed));
    singles.chain(pair_cells(seed)).collect()
}

/// Pairs of faults that can break a promise in combination.
const PAIRS: [(Step, Fault, Fault); 18] = [
    (Step::Claim, Fault::ReplyLost, Fault::ControlKilled),
    (Step::Claimed, Fault::ReplyLost, Fault::EntryPaused),
    (Step::Dispatch, Fault::EngineCrash, Fault::EntryKilled),
    (Step::Effect, Fault::EntryKilled, Fault::StoreDown),
    (Step::Effect, Fault::AnswerLost, Fault::StoreDown),
    (Step::RecordAnswer, Fault::ReplyLost, Fault::EntryKilled),
    (Step::MidStream, Fault::EngineCrash, Fault::ControlKilled),
    (Step::MidStream, Fault::StreamCut, Fault::Partition),
    (Step::LeaseTake, Fault::ControlPaused, Fault::ReplyLost),
    (Step::LeaseRenew, Fault::ControlPaused, Fault::StoreSlow),
    (Step::OrderIntent, Fault::ReplyLost, Fault::ControlKilled),
    (Step::OrderSent, Fault::ControlPaused, Fault::EngineCrash),
    (Step::OrderDone, Fault::Partition, Fault::EngineCrash),
    (Step::Drain, Fault::Partition, Fault::EngineCrash),
    (Step::ConfigCommit, Fault::ReplyLost, Fault::OperatorsRace),
    (Step::ConfigSpread, Fault::Partition, Fault::ControlKilled),
    (Step::StartUp, Fault::StoreDown, Fault::EngineCrash),
    (Step::Shutdown, Fault::StoreDown, Fault::EngineCrash),
];

fn pair_cells(seed: u64) -> impl Iterator<Item = Cell> {
    PAIRS.into_iter().map(move |(step, fault, second)| cell(step, fault, second, seed))
}

fn cell(step: Step, fault: Fault, second: Fault, seed: u64) -> Cell {
    Cell { step, fault, second, seed, disabled: Vec::new() }
}

/// Markdown tables of the cells: the steps that run with each fault, and the pairs of faults.
pub fn coverage_tables() -> String {
    let mut text =
        String::from("| fault | steps at which it runs | steps left out |\n| --- | --- | --- |\n");
    for fault in Fault::ALL {
        let (included, excluded): (Vec<Step>, Vec<Step>) =
            Step::ALL.into_iter().partition(|step| is_applicable(*step, fault));
        let names = |steps: &[Step]| steps.iter().map(|s| s.name()).collect::<Vec<_>>().join(", ");
        let included = if excluded.is_empty() { "all".to_owned() } else { names(&included) };
        text.push_str(&format!("| `{}` | {included} | {} |\n", fault.name(), names(&excluded)));
    }
    text.push_str("\n| pair | step |\n| --- | --- |\n");
    for (step, fault, second) in PAIRS {
        let pair = format!("| `{}+{}` | {} |\n", fault.name(), second.name(), step.name());
        text.push_str(&pair);
    }
    text
}

/// One cell for each fault, spread over the steps, for a short run.
pub fn short_cells(seed: u64) -> Vec<Cell> {
    let steps = Step::ALL;
    let pick_cell = |(index, fault): (usize, Fault)| {
        let step = (0..steps.len())
            .map(|offset| steps[(index + offset) % steps.len()])
            .find(|step| is_applicable(*step, fault));
        step.map(|step| cell(step, fault, Fault::None, seed))
    };
    Fault::ALL.into_iter().enumerate().filter_map(pick_cell).collect()
}

/// Whether a fault can affect what happens at a step.
fn is_applicable(step: Step, fault: Fault) -> bool {
    let affects_streams = matches!(
        fault,
        Fault::PiecesLate
            | Fault::PiecesCrossed
            | Fault::PiecesDoubled
            | Fault::PiecesMissing
            | Fault::PiecesSwapped
            | Fault::StreamCut
            | Fault::StreamEnds
    );
    let streams = matches!(
        step,
        Step::Admit
            | Step::Dispatch
            | Step::FirstPiece
            | Step::MidStream
            | Step::Drain
            | Step::StartUp
            | Step::Shutdown
    );
    let writes = matches!(
        step,
        Step::Admit
            | Step::Claim
            | Step::Claimed
            | Step::Dispatch
            | Step::Effect
            | Step::RecordAnswer
            | Step::StartUp
            | Step::Shutdown
    );
    match fault {
        _ if affects_streams => streams,
        Fault::AnswerLost => writes,
        _ => true,
    }
}

/// Runs cells, up to `jobs` in parallel; calls `on_result` after each.
pub fn run_cells(
    cells: Vec<Cell>,
    jobs: usize,
    on_result: impl Fn(&CellResult) + Sync,
) -> MatrixReport {
    let queue: Mutex<VecDeque<(usize, Cell)>> = Mutex::new(cells.into_iter().enumerate().collect());
    let results: Mutex<Vec<(usize, CellResult)>> = Mutex::default();
    let next = || queue.lock().unwrap_or_else(PoisonError::into_inner).pop_front();
    thread::scope(|scope| {
        for _ in 0..jobs.max(1) {
            scope.spawn(|| {
                while let Some((index, cell)) = next() {
                    let result = run_cell(cell);
                    on_result(&result);
                    results.lock().unwrap_or_else(PoisonError::into_inner).push((index, result));
                }
            });
        }
    });
    let mut results = results.into_inner().unwrap_or_else(PoisonError::into_inner);
    results.sort_by_key(|(index, _)| *index);
    MatrixReport { results: results.into_iter().map(|(_, result)| result).collect() }
}
