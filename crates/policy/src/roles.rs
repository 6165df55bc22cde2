//! Choice of the engines' roles.

mod planner;

pub use planner::{RoleChange, RolePlanner, RoleSettings};
