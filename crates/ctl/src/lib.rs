//! Operators' command line for the two lists and the fleet.
//!
//! [`check_lists`] holds all checks of the two lists that go across references. [`Operator`] reads
//! and changes the lists and the operators' wishes in the platform's table service.

mod check;
mod diff;
mod error;
mod operator;
mod output;
mod status;

pub use check::{ListFiles, check_lists, read_lists};
pub use diff::{Difference, compare_lists};
pub use error::{CtlError, ExitCode};
pub use operator::{Operator, hash_key};
pub use output::Output;
pub use status::{StatusClient, Wanted};
