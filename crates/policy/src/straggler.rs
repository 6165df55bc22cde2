//! Detection of stragglers: requests that are slower than later ones of similar size.

mod cohort;

pub(crate) use cohort::{Cohort, Milestone};
