//! Errors of the testbed.

use std::fmt;
use std::io;
use std::path::PathBuf;

/// Why a deployment could not be started or reached.
#[derive(Debug)]
pub enum TestbedError {
    /// No block of ports is free.
    NoPorts,
    /// A binary is not beside the current one.
    NoBinary(PathBuf),
    /// A file or process could not be made.
    Io {
        /// What was tried.
        what: String,
        /// Cause given by the operating system.
        cause: io::Error,
    },
    /// A process did not become ready in time.
    NotReady {
        /// Name of the process.
        name: String,
        /// End of its log.
        log: String,
    },
    /// A request to a process failed.
    Request {
        /// Address and path.
        url: String,
        /// What happened.
        cause: String,
    },
    /// The lists of the deployment are faulty.
    Lists(String),
}

impl fmt::Display for TestbedError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoPorts => f.write_str("no free ports; end other deployments"),
            Self::NoBinary(path) => write!(
                f,
                "{} is missing; run `cargo build --workspace --bins` first",
                path.display()
            ),
            Self::Io { what, cause } => write!(f, "{what}: {cause}; check space and permissions"),
            Self::NotReady { name, log } => {
                write!(f, "{name} did not become ready; see the end of its log:\n{log}")
            }
            Self::Request { url, cause } => {
                write!(f, "{url}: {cause}; check that the process runs")
            }
            Self::Lists(problem) => write!(f, "{problem}; correct the lists"),
        }
    }
}

impl std::error::Error for TestbedError {}

impl TestbedError {
    /// Names what was tried when `cause` happened.
    pub fn io(what: impl Into<String>, cause: io::Error) -> Self {
        Self::Io { what: what.into(), cause }
    }
}
