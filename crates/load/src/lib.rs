//! Open-loop load and experiment tool that stands for callers and checks the promises.
//!
//! A [`Scenario`] says what is offered to a fleet over time and what happens to the fleet. From it
//! and a seed, [`run_once`] draws the same arrivals for every policy, sends them on time from a
//! bounded pool of threads (at most [`MAX_CALLERS`] requests in work), and counts latencies from
//! the intended time of sending. [`check_promises`] joins what the callers saw with what the
//! stand-ins recorded.
//!
//! The tool starts no processes: a running deployment is described by a file that
//! `agatestair-testbed up` writes.

mod arrivals;
mod callers;
mod client;
mod deployment;
mod directory;
mod extra;
mod figures;
mod outcome;
mod plans;
mod probe;
mod promises;
mod records;
mod run;
mod scenario;
mod steps;
mod summary;
mod work;

pub use arrivals::{ArrivalSettings, Offer, Part, TokenRange, draw_arrivals};
pub use callers::{CallerSettings, MAX_CALLERS, Route, send_arrivals};
pub use deployment::{CostModel, read_deployment};
pub use figures::{Better, Figure, Figures, PlanFigures};
pub use outcome::{CallRecord, Outcome, Refusal, Reply};
pub use plans::PlanTargets;
pub use probe::RevisionSample;
pub use promises::{Evidence, LEAVE_GRACE, Promise, Promises, check_promises};
pub use records::Records;
pub use run::{CallerCounts, LATE_SEND, RunResult, RunSettings, fleet_of, run_once};
pub use scenario::{Fleet, Plan, SCENARIOS, Scenario, Window, find_scenario};
pub use summary::{PolicySummary, median, own_ratios, render_table, summarise_policies};
pub use work::{Arrival, Class, CompletionShape, Work};
