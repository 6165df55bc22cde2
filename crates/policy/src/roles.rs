//! Assignment of roles to the engines.

mod need;
mod planner;

pub use planner::{RoleChange, RolePlanner, RoleSettings};
