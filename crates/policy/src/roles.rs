//! Choice of the engines' roles.

mod need;
mod planner;

pub use planner::{RoleChange, RolePlanner, RoleSettings};
