//! Admission: predicted waits, early refusals and times to come back.

mod drain;
mod returns;

pub(crate) use drain::DrainMeter;
pub(crate) use returns::ReturnPlanner;
