//! Refusals and failures as reported to callers.

use std::time::Duration;

use agatestair_policy::RefusalCode;
use agatestair_schema::caller::{ErrorBody, ErrorDetail, RunState};

/// Default retry delay after a temporary refusal.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Why a request is refused or failed.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RefusalKind {
    /// The request head or body is malformed.
    BadRequest,
    /// The API key is missing or unknown.
    Unauthorized,
    /// The plan does not include the service or model.
    NotAllowed,
    /// No such path, service or model.
    NotFound,
    /// The path does not support the method.
    WrongMethod,
    /// The body did not arrive in time.
    SlowRequest,
    /// The body is over the limit.
    TooLarge,
    /// The idempotency key was used for another request.
    KeyMismatch,
    /// The call with this idempotency key is still running.
    StillRunning,
    /// It is unknown whether the call ran.
    OutcomeUnknown,
    /// The entry has not received the lists or the fleet yet.
    NotReady,
    /// The lists may be out of date.
    Stale,
    /// The entry is shutting down.
    Leaving,
    /// The entry has too many open requests.
    Overloaded,
    /// The queue of the plan is full.
    QueueFull,
    /// The request could not finish before its deadline.
    TooLate,
    /// No endpoint can serve the request.
    NoEndpoint,
    /// Attempts failed and no further retry is allowed.
    Failed,
    /// The deadline passed while the request ran.
    DeadlinePassed,
    /// The platform's store is down or slow.
    StoreDown,
    /// The service's response is over the size limit.
    ResponseTooLarge,
    /// The caller reads its response too slowly.
    SlowCaller,
}

/// How a kind of refusal is reported to callers.
struct ErrorSpec {
    code: &'static str,
    status: u16,
    message: &'static str,
}

impl RefusalKind {
    /// All kinds, in the order of the table in `docs/CALLERS.md`.
    pub const ALL: [Self; 22] = [
        Self::BadRequest,
        Self::Unauthorized,
        Self::NotAllowed,
        Self::NotFound,
        Self::WrongMethod,
        Self::SlowRequest,
        Self::TooLarge,
        Self::KeyMismatch,
        Self::StillRunning,
        Self::OutcomeUnknown,
        Self::NotReady,
        Self::Stale,
        Self::Leaving,
        Self::Overloaded,
        Self::QueueFull,
        Self::TooLate,
        Self::NoEndpoint,
        Self::Failed,
        Self::DeadlinePassed,
        Self::StoreDown,
        Self::ResponseTooLarge,
        Self::SlowCaller,
    ];

    /// Stable error code.
    pub fn code(self) -> &'static str {
        self.spec().code
    }

    /// HTTP status.
    pub fn status(self) -> u16 {
        self.spec().status
    }

    /// Message that names the cause and the remedy.
    pub fn message(self) -> &'static str {
        self.spec().message
    }

    #[rustfmt::skip]
    fn spec(self) -> ErrorSpec {
        let (code, status, message) = match self {
            Self::BadRequest => ("bad_request", 400, "the request is malformed; correct it"),
            Self::Unauthorized => ("unauthorized", 401, "send a valid API key as `Authorization: Bearer KEY`"),
            Self::NotAllowed => ("not_allowed", 403, "the plan may not use this service or model; ask the operators"),
            Self::NotFound => ("not_found", 404, "no such path, service or model; check the name"),
            Self::WrongMethod => ("wrong_method", 405, "the path does not take this method; see docs/CALLERS.md"),
            Self::SlowRequest => ("slow_request", 408, "the body did not arrive in time; send it again"),
            Self::TooLarge => ("too_large", 413, "the body is over the limit; send a smaller one"),
            Self::KeyMismatch => ("key_mismatch", 422, "the Idempotency-Key was used with another request; use a new key for a new call"),
            Self::StillRunning => ("still_running", 409, "the call with this Idempotency-Key is still running; ask again with the same key"),
            Self::OutcomeUnknown => ("outcome_unknown", 409, "whether the call ran is not known; ask again with the same Idempotency-Key, or ask the service"),
            Self::NotReady => ("not_ready", 503, "this entry has not learnt the lists or the fleet yet; use another entry or come back"),
            Self::Stale => ("stale", 503, "this entry has lost contact and its lists may be out of date; use another entry"),
            Self::Leaving => ("leaving", 503, "this entry is shutting down; ask GET /v1/entries at another one"),
            Self::Overloaded => ("overloaded", 503, "this entry has too many requests in work; use another entry or come back"),
            Self::QueueFull => ("queue_full", 429, "the queue of the plan is full; come back later"),
            Self::TooLate => ("too_late", 503, "it could not be answered in time; come back later"),
            Self::NoEndpoint => ("no_endpoint", 503, "no endpoint serves this now; come back later"),
            Self::Failed => ("failed", 502, "the endpoints failed; send it again if it may run twice"),
            Self::DeadlinePassed => ("deadline", 504, "the longest time for a request has passed; ask for less or come back later"),
            Self::StoreDown => ("store_down", 503, "the record of the Idempotency-Key cannot be read or written; ask again with the same key"),
            Self::ResponseTooLarge => ("answer_too_large", 502, "the answer of the service is over the limit; ask for less"),
            Self::SlowCaller => ("slow_caller", 503, "the answer was read too slowly and was cut; read it faster"),
        };
        ErrorSpec { code, status, message }
    }

    /// Default retry delay, or `None` if a retry cannot help.
    pub fn default_retry(self) -> Option<Duration> {
        match self {
            Self::StillRunning
            | Self::OutcomeUnknown
            | Self::NotReady
            | Self::Stale
            | Self::Leaving
            | Self::Overloaded
            | Self::QueueFull
            | Self::TooLate
            | Self::NoEndpoint
            | Self::StoreDown => Some(DEFAULT_RETRY_DELAY),
            _ => None,
        }
    }
}

impl From<RefusalCode> for RefusalKind {
    fn from(code: RefusalCode) -> Self {
        match code {
            RefusalCode::NotAllowed => Self::NotAllowed,
            RefusalCode::QueueFull => Self::QueueFull,
            RefusalCode::TooLate => Self::TooLate,
            RefusalCode::NoEndpoint => Self::NoEndpoint,
            RefusalCode::Failed => Self::Failed,
        }
    }
}

/// A refusal or failure of one request.
#[derive(Clone, Debug, PartialEq)]
pub struct Refused {
    /// Reason.
    pub kind: RefusalKind,
    /// Whether the request ran, as far as is known.
    pub ran: RunState,
    /// Delay before a retry, or `None` if a retry cannot help.
    pub retry: Option<Duration>,
    /// Specific cause, for the caller.
    pub detail: Option<String>,
}

impl Refused {
    /// A refusal of a request that was never sent to an endpoint.
    pub fn not_run(kind: RefusalKind) -> Self {
        Self { kind, ran: RunState::NotRun, retry: kind.default_retry(), detail: None }
    }

    /// A refusal or failure of a request in the given run state.
    pub fn with_state(kind: RefusalKind, ran: RunState) -> Self {
        Self { kind, ran, retry: kind.default_retry(), detail: None }
    }

    /// Adds the specific cause.
    pub fn with_detail(mut self, detail: impl Into<String>) -> Self {
        self.detail = Some(detail.into());
        self
    }

    /// Error body for the caller.
    pub fn body(&self, request: &str) -> ErrorBody {
        let message = match &self.detail {
            Some(detail) => format!("{detail}; {}", self.kind.message()),
            None => self.kind.message().to_owned(),
        };
        ErrorBody {
            error: ErrorDetail {
                code: self.kind.code().to_owned(),
                message,
                ran: self.ran,
                request: request.to_owned(),
                retry_ms: self
                    .retry
                    .map(|retry| u64::try_from(retry.as_millis()).unwrap_or(u64::MAX)),
            },
        }
    }

    /// Value of the `Retry-After` header in whole seconds.
    pub fn retry_seconds(&self) -> Option<u64> {
        self.retry.map(|retry| retry.as_millis().div_ceil(1000).max(1) as u64)
    }
}
