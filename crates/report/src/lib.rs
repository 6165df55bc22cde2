//! Service-level objective (SLO) burn report per plan and service.
//!
//! Entries keep cumulative counters by outcome and write them to the object store, one object per
//! run. [`collect()`] reads them, [`Series::merge`] combines those of all instances and runs into
//! increments over time, and [`burn_report`] computes burn rates and a [`Verdict`] over several
//! windows. The report is rendered as text, JSON or one self-contained HTML page.

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
