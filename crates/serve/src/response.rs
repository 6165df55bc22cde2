//! Responses sent to callers.

use std::time::Duration;

use bytes::Bytes;
use http::header::{
    CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION,
    RETRY_AFTER, TE, TRAILER, TRANSFER_ENCODING, UPGRADE, WWW_AUTHENTICATE,
};
use http::{HeaderMap, HeaderValue, Response, StatusCode};
use rand::Rng;

use crate::body::ResponseBody;

/// Hop-by-hop headers, which apply to a single connection.
const HOP_BY_HOP: [HeaderName; 9] = [
    CONNECTION,
    HeaderName::from_static("keep-alive"),
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    HeaderName::from_static("proxy-connection"),
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Default retry delay for refused callers.
pub const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Retry delay for callers that another instance can serve at once.
pub const ELSEWHERE_RETRY_AFTER: Duration = Duration::from_millis(20);

/// Largest random delay added to a retry delay. Load peaks last for seconds, and callers that all
/// retry at the start of one are refused again.
const RETRY_JITTER: Duration = Duration::from_millis(800);

/// Fraction of the maximum retry delay by which the maximum is randomly lowered.
const CAP_JITTER: f64 = 0.3;

/// Why the instance itself responds to a request with an error.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Failure {
    /// The request was not executed and will not be; the caller may retry after a delay.
    NotRun {
        /// Delay before the caller should retry.
        retry_after: Duration,
        /// Reason for the refusal.
        cause: &'static str,
    },
    /// No route matches the request.
    NoRoute,
    /// The request has no valid API key, with the reason.
    Unauthorized(&'static str),
    /// The request is invalid, with the status to return and the reason.
    BadRequest(StatusCode, &'static str),
    /// The request may have been executed; holds the cause of the failure.
    MayHaveRun(String),
    /// The request timed out; it may have been executed.
    TimedOut,
}

impl Failure {
    /// Refusal of a request since its API key may have been withdrawn.
    pub fn unproven() -> Self {
        let cause = "API keys are not known to be current here";
        Self::NotRun { retry_after: ELSEWHERE_RETRY_AFTER, cause }
    }

    /// Status code of the response.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::NotRun { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::Unauthorized(_) => StatusCode::UNAUTHORIZED,
            Self::BadRequest(status, _) => *status,
            Self::MayHaveRun(_) => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Description of the failure.
    pub fn cause(&self) -> &str {
        match self {
            Self::NotRun { cause, .. } | Self::BadRequest(_, cause) | Self::Unauthorized(cause) => {
                cause
            }
            Self::NoRoute => "no route",
            Self::MayHaveRun(cause) => cause,
            Self::TimedOut => "time is over",
        }
    }

    /// Builds the response, with the description as its body.
    pub fn response(&self) -> Response<ResponseBody> {
        let mut response =
            Response::new(ResponseBody::whole(Bytes::from(format!("{}\n", self.cause()))));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain; charset=utf-8"));
        if matches!(self, Self::Unauthorized(_)) {
            headers.insert(WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
        }
        if self.status() == StatusCode::PAYLOAD_TOO_LARGE {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        if let Self::NotRun { retry_after, .. } = self {
            let seconds = format!("{:.3}", retry_after.as_secs_f64());
            let value = HeaderValue::from_str(&seconds)
                .expect("a formatted number is a valid header value");
            headers.insert(RETRY_AFTER, value);
        }
        response
    }
}

/// Removes hop-by-hop headers, those named in `Connection`, and `Content-Length`.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| HeaderName::from_bytes(name.trim().as_bytes()).ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
    headers.remove(CONTENT_LENGTH);
}

/// A refusal whose retry delay is randomized so that callers do not all retry at once.
pub fn not_run(retry_after: Duration, cause: &'static str) -> Failure {
    Failure::NotRun { retry_after: add_jitter(retry_after), cause }
}

/// Like [`not_run`] with a retry delay of at most `max`, randomized also where `max` applies.
pub fn not_run_within(retry_after: Duration, max: Duration, cause: &'static str) -> Failure {
    let capped = max.mul_f64(1.0 - CAP_JITTER * rand::rng().random::<f64>());
    Failure::NotRun { retry_after: add_jitter(retry_after).min(capped), cause }
}

fn add_jitter(retry_after: Duration) -> Duration {
    retry_after + RETRY_JITTER.mul_f64(rand::rng().random::<f64>())
}

/// Builds the caller's response from an endpoint's response.
pub fn respond(
    status: StatusCode,
    mut headers: HeaderMap,
    body: ResponseBody,
) -> Response<ResponseBody> {
    strip_hop_by_hop(&mut headers);
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}
