//! Starts deployments of real processes and stand-ins for tests, the demo and experiments.
//!
//! [`Testbed::start`] writes the settings files for a [`Layout`], starts the processes, and waits
//! until they are ready. The processes are killed when the [`Testbed`] is dropped, and also when
//! the owning process exits or crashes.

mod caller;
pub mod checker;
mod child;
mod client;
mod deployment;
mod error;
mod layout;
mod lists;
pub mod matrix;
mod options;
mod ports;
mod reaper;
mod settings_files;

pub use caller::{Caller, CompletionRequest, ServiceCall, Target, now_ms};
pub use child::{ChildCommand, ChildProcess, binary_folder, build_binaries};
pub use client::Client;
pub use deployment::{Instance, Testbed};
pub use error::TestbedError;
pub use layout::{EngineSpeed, Layout, LayoutCustomer};
pub use lists::{parse_lists, write_lists};
pub use options::{TestbedOptions, Timing};
pub use ports::{PortBlock, address};
pub use reaper::{finish as finish_reaper, run as run_reaper};
pub use settings_files::{DeploymentAddresses, InstanceAddresses};
