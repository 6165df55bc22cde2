//! Service-level burn report per plan and service.
//!
//! Entries keep cumulative counters by outcome and write them to the object store, one object a
//! run. [`collect()`] reads them, [`Series::merge`] turns them into increments over time, whatever
//! instances and restarts they come from, and [`burn_report`] computes burn rates over several
//! windows and judges them. The report is shown as text, JSON or one self-contained HTML page.

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
