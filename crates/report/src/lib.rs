//! Report of error budget burn rates per plan and service.
//!
//! Entries count requests by outcome in cumulative counters and write them to the object store, one
//! object per run of the process. [`collect()`] reads the counters, [`Series::merge`] converts the
//! counters of all instances and runs into increments over time, and [`burn_report`] computes and
//! classifies burn rates over several windows. The output is text, JSON or a self-contained HTML
//! page.

mod burn;
mod collect;
mod html;
mod outcome;
mod plot;
mod series;
mod text;

pub use burn::{
    BurnReport, BurnSettings, EVEN_BURN, FAST_BURN, PlotPoint, ReasonCount, SLOW_BURN, SubjectBurn,
    Verdict, WindowBurn, burn_report,
};
pub use collect::{CollectError, Collected, collect};
pub use html::render_html;
pub use outcome::{REASONS, Reason, Tally};
pub use series::{Increment, Series, Subject};
pub use text::render_text;
