//! Command line of the operators for the two lists, endpoints and status of a deployment.
//!
//! [`check_lists`] validates what the schema cannot express, such as references between the lists.
//! [`OperatorClient`] reads and changes the lists and the wishes for endpoints in the platform's
//! table service. [`StatusClient`] queries the control processes.

mod check;
mod diff;
mod error;
mod operator;
mod output;
mod status;

pub use check::{ListFiles, check_lists, read_lists};
pub use diff::{Difference, compare_lists};
pub use error::{CtlError, ExitCode};
pub use operator::{OperatorClient, hash_key};
pub use output::Output;
pub use status::{StatusClient, WaitCondition};
