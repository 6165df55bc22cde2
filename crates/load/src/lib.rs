//! Open-loop load generator and experiment tool that simulates callers and checks the promises.
//!
//! A [`Scenario`] defines the offered load and the actions on the fleet over time. From a scenario
//! and a seed, [`run_once`] draws the same arrivals for every policy, sends them at their scheduled
//! times from a bounded pool of threads (at most [`MAX_CALLERS`] concurrent requests), and measures
//! latencies from the intended send time. [`check_promises`] joins the callers' observations with
//! the records of the stand-ins (simulated engines, services and platform).
//!
//! The tool starts no processes. `agatestair-testbed up` starts a deployment and writes the file
//! that describes it.

mod arrivals;
mod callers;
mod client;
mod deployment;
mod entry_cache;
mod figures;
mod operation;
mod outcome;
mod plans;
mod probe;
mod promises;
mod records;
mod run;
mod scenario;
mod scenario_figures;
mod steps;
mod summary;

pub use arrivals::{ArrivalSettings, Offer, Profile, TokenRange, draw_arrivals};
pub use callers::{CallerSettings, MAX_CALLERS, Route, send_arrivals};
pub use deployment::{CostModel, read_deployment};
pub use figures::{Better, Figure, Figures, PlanFigures};
pub use operation::{Arrival, Class, CompletionShape, Operation};
pub use outcome::{Outcome, Refusal, Reply, RequestRecord};
pub use plans::PlanTargets;
pub use probe::RevisionSample;
pub use promises::{CheckInput, LEAVE_GRACE, Promise, Promises, check_promises};
pub use records::Records;
pub use run::{CallerCounts, LATE_SEND, RunResult, RunSettings, fleet_of, run_once};
pub use scenario::{Fleet, RunPlan, SCENARIOS, Scenario, Window, find_scenario};
pub use summary::{PolicySummary, median, own_ratios, render_table, summarise_policies};
