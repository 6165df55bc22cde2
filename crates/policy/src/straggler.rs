//! Stragglers: requests that fall behind others of their size.

mod lane;

pub(crate) use lane::{Lane, Milestone};
