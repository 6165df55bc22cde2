//! Errors of the commands and exit codes of the program.

use std::fmt;

use agatestair_settings::SettingsError;
use agatestair_store::PlatformError;

/// Exit codes of `agatestairctl`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExitCode {
    /// The command succeeded.
    Success = 0,
    /// The platform or an instance could not be reached.
    Unreachable = 1,
    /// The settings, lists or arguments are invalid; nothing was changed.
    Invalid = 2,
    /// The change conflicts with another one; nothing was changed.
    Conflict = 3,
    /// The change was accepted but not confirmed as applied before the timeout.
    Timeout = 4,
    /// It is unknown whether the change was accepted.
    Unknown = 5,
}

/// Why a command failed.
#[derive(Clone, Debug, PartialEq)]
pub enum CtlError {
    /// The settings or the lists are invalid.
    Settings(SettingsError),
    /// A request to the platform failed.
    Platform(PlatformError),
    /// The lists were changed since the base revision.
    Conflict {
        /// Revision that the change was based on.
        base: u64,
        /// Current revision.
        newer: u64,
        /// Operator who applied the current revision.
        operator: String,
    },
    /// Another operator changed the endpoint's wish at the same time.
    WishConflict {
        /// Name of the endpoint.
        endpoint: String,
        /// Wish now recorded and the operator who recorded it.
        current: String,
    },
    /// A required revision, endpoint, file or input is missing.
    Missing {
        /// What is missing.
        what: String,
        /// How to correct it.
        remedy: String,
    },
    /// The platform did not respond, so the outcome of a change is unknown.
    Unknown {
        /// The change, such as `revision 7`.
        what: String,
    },
    /// The condition of a wait was not met before the timeout.
    Timeout {
        /// Description of the condition.
        what: String,
        /// Instances or endpoints that do not meet it.
        pending: Vec<String>,
    },
    /// No control process responded.
    NoInstance {
        /// Error of the last one tried.
        cause: String,
    },
}

impl CtlError {
    /// Exit code of the program.
    pub fn exit_code(&self) -> ExitCode {
        match self {
            Self::Settings(_) | Self::Missing { .. } => ExitCode::Invalid,
            Self::Platform(error) if !error.had_no_effect() => ExitCode::Unknown,
            Self::Platform(_) | Self::NoInstance { .. } => ExitCode::Unreachable,
            Self::Conflict { .. } | Self::WishConflict { .. } => ExitCode::Conflict,
            Self::Unknown { .. } => ExitCode::Unknown,
            Self::Timeout { .. } => ExitCode::Timeout,
        }
    }

    /// Stable error code for `--json`.
    pub fn code(&self) -> &'static str {
        match self {
            Self::Settings(_) => "faulty",
            Self::Platform(_) => "platform",
            Self::Conflict { .. } | Self::WishConflict { .. } => "conflict",
            Self::Missing { .. } => "missing",
            Self::Unknown { .. } => "unknown",
            Self::Timeout { .. } => "timeout",
            Self::NoInstance { .. } => "no_instance",
        }
    }
}

impl fmt::Display for CtlError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Settings(error) => error.fmt(f),
            Self::Platform(error) => error.fmt(f),
            Self::Conflict { base, newer, operator } => write!(
                f,
                "conflict: your change is based on revision {base}, but revision {newer} by \
                 {operator} is current; nothing was changed. To rebase: write the current lists \
                 with `agatestairctl get --into DIRECTORY`, repeat your edit, review it with \
                 `agatestairctl diff` and run `agatestairctl apply --on {newer}`"
            ),
            Self::WishConflict { endpoint, current } => write!(
                f,
                "conflict: another operator changed {endpoint} at the same time ({current}); \
                 nothing was changed. Check `agatestairctl status` and repeat the command if needed"
            ),
            Self::Missing { what, remedy } => write!(f, "missing: {what}; {remedy}"),
            Self::Unknown { what } => write!(
                f,
                "no response from the platform: it is unknown whether {what} was accepted; check \
                 `agatestairctl history` or `agatestairctl status` before repeating it"
            ),
            Self::Timeout { what, pending } => write!(
                f,
                "timeout: {what} is not yet reached at: {}; an accepted change proceeds without \
                 this command, follow it with `agatestairctl status --watch`",
                pending.join(", ")
            ),
            Self::NoInstance { cause } => write!(
                f,
                "no control process responded ({cause}); check `instances` in the settings"
            ),
        }
    }
}

impl std::error::Error for CtlError {}

impl From<PlatformError> for CtlError {
    fn from(error: PlatformError) -> Self {
        Self::Platform(error)
    }
}

impl From<SettingsError> for CtlError {
    fn from(error: SettingsError) -> Self {
        Self::Settings(error)
    }
}
