//! Runs many cells side by side and reports them.

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

    /// Sum of the promises of all cells.
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

fn describe(result: &CellResult) -> String {
    let cell = &result.cell;
    let mut text = format!(
        "FAILED {} at {} seed {} after {:.1} s",
        cell.fault.name(),
        cell.step.name(),
        cell.seed,
        result.took.as_secs_f64()
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

/// Every fault at every step, but for those that cannot meet.
pub fn all_cells(seed: u64) -> Vec<Cell> {
    let faults = Fault::ALL;
    let pairs = Step::ALL.into_iter().flat_map(|step| faults.map(|fault| (step, fault)));
    pairs
        .filter(|(step, fault)| can_meet(*step, *fault))
        .map(|(step, fault)| Cell { step, fault, seed, disabled: Vec::new() })
        .collect()
}

/// One cell for each step and each fault, for a short run.
pub fn short_cells(seed: u64) -> Vec<Cell> {
    let steps = Step::ALL;
    let cell = |(index, fault): (usize, Fault)| {
        let step = (0..steps.len())
            .map(|offset| steps[(index + offset) % steps.len()])
            .find(|step| can_meet(*step, fault));
        step.map(|step| Cell { step, fault, seed, disabled: Vec::new() })
    };
    Fault::ALL.into_iter().enumerate().filter_map(cell).collect()
}

/// Whether a fault bears on what happens at a step.
fn can_meet(step: Step, fault: Fault) -> bool {
    let pieces = matches!(
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
        _ if pieces => streams,
        Fault::AnswerLost => writes,
        _ => true,
    }
}

/// Runs cells, as many as `jobs` at a time; `done` is told of each result.
pub fn run_cells(cells: Vec<Cell>, jobs: usize, done: impl Fn(&CellResult) + Sync) -> MatrixReport {
    let queue: Mutex<VecDeque<(usize, Cell)>> = Mutex::new(cells.into_iter().enumerate().collect());
    let results: Mutex<Vec<(usize, CellResult)>> = Mutex::default();
    let next = || queue.lock().unwrap_or_else(PoisonError::into_inner).pop_front();
    thread::scope(|scope| {
        for _ in 0..jobs.max(1) {
            scope.spawn(|| {
                while let Some((index, cell)) = next() {
                    let result = run_cell(cell);
                    done(&result);
                    results.lock().unwrap_or_else(PoisonError::into_inner).push((index, result));
                }
            });
        }
    });
    let mut results = results.into_inner().unwrap_or_else(PoisonError::into_inner);
    results.sort_by_key(|(index, _)| *index);
    MatrixReport { results: results.into_iter().map(|(_, result)| result).collect() }
}
