//! Errors of the testbed.

use std::fmt;
use std::io;
use std::path::PathBuf;

/// Why a deployment could not be started or reached.
#[derive(Debug)]
pub enum TestbedError {
    /// No free block of ports, or no port left in the block.
    NoPorts,
    /// A binary does not exist at this path.
    NoBinary(PathBuf),
    /// A file or process could not be created.
    Io {
        /// File, program or operation that failed.
        what: String,
        /// Error from the operating system.
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
        /// URL of the request.
        url: String,
        /// Error or unexpected response.
        cause: String,
    },
    /// The lists are invalid or could not be committed.
    Lists(String),
}

impl fmt::Display for TestbedError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoPorts => f.write_str("no free ports; stop other deployments"),
            Self::NoBinary(path) => write!(
                f,
                "{} is missing; run `cargo build --workspace --bins` first",
                path.display()
            ),
            Self::Io { what, cause } => {
                write!(f, "{what}: {cause}; check disk space and permissions")
            }
            Self::NotReady { name, log } => {
                write!(f, "{name} did not become ready; end of its log:\n{log}")
            }
            Self::Request { url, cause } => {
                write!(f, "{url}: {cause}; check that the process is running")
            }
            Self::Lists(problem) => write!(f, "{problem}; correct the lists"),
        }
    }
}

impl std::error::Error for TestbedError {}

impl TestbedError {
    /// Creates an [`Io`](Self::Io) error for the file, program or operation that failed.
    pub fn io(what: impl Into<String>, cause: io::Error) -> Self {
        Self::Io { what: what.into(), cause }
    }
}
