//! Errors of platform calls.

use std::fmt;

/// Failure of a platform call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlatformError {
    /// No usable response arrived; a write may have taken effect.
    Lost {
        /// Cause given by the HTTP client, or the status.
        cause: String,
    },
    /// The platform could not be reached or is unavailable; nothing took effect.
    Unavailable {
        /// Cause given by the HTTP client, or the status.
        cause: String,
    },
    /// The platform's rate limit was reached; nothing took effect.
    Throttled {
        /// Time after which to retry, in milliseconds.
        retry_ms: u64,
    },
    /// The rate limit of this process was reached; the call was not sent.
    LocalRateLimit {
        /// Label of the purpose.
        purpose: &'static str,
    },
    /// The platform understood the call and refused it.
    Refused {
        /// HTTP status.
        status: u16,
        /// Response body, truncated.
        body: String,
    },
    /// The response or the value of a row could not be parsed.
    Malformed {
        /// What was read.
        what: String,
        /// Cause given by the decoder.
        cause: String,
    },
}

impl PlatformError {
    /// Whether the call is known to have had no effect.
    pub fn had_no_effect(&self) -> bool {
        !matches!(self, Self::Lost { .. } | Self::Malformed { .. })
    }
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Lost { cause } => write!(
                f,
                "no response from the platform: {cause}; the call may have taken effect, read the \
                 row before retrying it"
            ),
            Self::Unavailable { cause } => write!(
                f,
                "the platform is unavailable: {cause}; check `platform.address` and that the \
                 platform's store is up, then retry"
            ),
            Self::Throttled { retry_ms } => {
                write!(f, "the platform's rate limit is reached; retry after {retry_ms} ms")
            }
            Self::LocalRateLimit { purpose } => write!(
                f,
                "this process has used its rate of platform calls ({purpose}); retry later or \
                 raise `platform.reads_s` or `platform.writes_s`"
            ),
            Self::Refused { status, body } => write!(
                f,
                "the platform refused the call with status {status}: {body}; report this as a \
                 defect"
            ),
            Self::Malformed { what, cause } => write!(
                f,
                "cannot read {what}: {cause}; check that all programs are of the same version"
            ),
        }
    }
}

impl std::error::Error for PlatformError {}
