//! Answers that callers get.

use std::time::Duration;

use bytes::Bytes;
use http::header::{
    CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION,
    RETRY_AFTER, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, HeaderValue, Response, StatusCode};
use rand::Rng;

use crate::body::AnswerBody;

/// Headers that concern one connection only.
const HOP_HEADERS: [HeaderName; 9] = [
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

/// Time after which a caller comes back while nothing better is known.
pub const DEFAULT_BACK: Duration = Duration::from_millis(500);

/// Spread of the times at which refused callers come back: a crest lasts for seconds, and callers
/// who all come back at its start are refused again.
const BACK_SPREAD: Duration = Duration::from_millis(800);

/// Part of a bound over which times are spread that the bound cuts.
const CUT_SPREAD: f64 = 0.3;

/// Why a request gets an answer of our own.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Failure {
    /// The request has not run and never will; it may come back after the given time.
    NotRun {
        /// When to come back.
        back: Duration,
        /// Why.
        cause: &'static str,
    },
    /// No route is known for the request.
    NoRoute,
    /// The request itself is at fault.
    Faulty(StatusCode, &'static str),
    /// The request may have run.
    MayHaveRun(String),
    /// The time for the request is over; it may have run.
    TimedOut,
}

impl Failure {
    /// Status of the answer.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::NotRun { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::Faulty(status, _) => *status,
            Self::MayHaveRun(_) => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// What happened, in words.
    pub fn cause(&self) -> &str {
        match self {
            Self::NotRun { cause, .. } | Self::Faulty(_, cause) => cause,
            Self::NoRoute => "no route",
            Self::MayHaveRun(cause) => cause,
            Self::TimedOut => "time is over",
        }
    }

    /// The answer.
    pub fn answer(&self) -> Response<AnswerBody> {
        let mut answer =
            Response::new(AnswerBody::whole(Bytes::from(format!("{}\n", self.cause()))));
        *answer.status_mut() = self.status();
        let headers = answer.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain; charset=utf-8"));
        if let Self::NotRun { back, .. } = self {
            let seconds = format!("{:.3}", back.as_secs_f64());
            let value = HeaderValue::from_str(&seconds).expect("a number is a header's value");
            headers.insert(RETRY_AFTER, value);
        }
        answer
    }
}

/// Removes the headers that concern one connection only, and the body's length.
pub fn strip_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| HeaderName::from_bytes(name.trim().as_bytes()).ok())
        .collect();
    for name in named.iter().chain(&HOP_HEADERS) {
        headers.remove(name);
    }
    headers.remove(CONTENT_LENGTH);
}

/// A refusal with a time to come back that is spread over the callers.
pub fn not_run(back: Duration, cause: &'static str) -> Failure {
    Failure::NotRun { back: spread(back), cause }
}

/// The same with a time of at most `most`, spread below it where the bound cuts the time.
pub fn not_run_within(back: Duration, most: Duration, cause: &'static str) -> Failure {
    let drawn = most.mul_f64(1.0 - CUT_SPREAD * rand::rng().random::<f64>());
    Failure::NotRun { back: spread(back).min(drawn), cause }
}

fn spread(back: Duration) -> Duration {
    back + BACK_SPREAD.mul_f64(rand::rng().random::<f64>())
}

/// An endpoint's answer as the caller gets it.
pub fn respond(
    status: StatusCode,
    mut headers: HeaderMap,
    body: AnswerBody,
) -> Response<AnswerBody> {
    strip_hop_headers(&mut headers);
    let mut answer = Response::new(body);
    *answer.status_mut() = status;
    *answer.headers_mut() = headers;
    answer
}
