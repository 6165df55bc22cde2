//! The fault matrix: injects every fault at every step, with real processes behind the fault proxy.
//!
//! Each [`Cell`] starts a small deployment, sends traffic to it, waits until a [`Step`] is reached,
//! injects a [`Fault`], heals it, waits for the traffic to end, and checks the promises.

mod cell;
mod fault;
mod probe;
mod run;
mod step;
mod trace;
mod traffic;

pub use cell::{Cell, CellResult, run_cell};
pub use fault::Fault;
pub use run::{MatrixReport, all_cells, coverage_tables, describe, run_cells, short_cells};
pub use step::Step;
