//! Requests that the instance answers itself: readiness, addresses of instances, metrics.

use std::rc::Rc;
use std::time::Duration;

use http::header::CONTENT_TYPE;
use http::{HeaderValue, Response, StatusCode};
use hyper::Request;
use hyper::body::Incoming;

use crate::body::AnswerBody;
use crate::front::{Front, plain};

/// Lifetime of a directory answer. It is short so that callers soon stop using an instance that is
/// gone, and so that three lifetimes fit into the grace period of a shutdown.
const LIFETIME: Duration = Duration::from_secs(2);

/// Answers whether the instance can serve callers.
pub fn ready(front: &Front, request: &Request<Incoming>) -> Response<AnswerBody> {
    if request.uri().path() != front.dialect.paths.ready {
        return plain(StatusCode::NOT_FOUND, Vec::new());
    }
    let ready = front.hub.ask(|node, _| node.is_ready());
    let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    plain(status, Vec::new())
}

/// Answers with the addresses of the instances that a caller should use.
pub fn entries(front: &Rc<Front>, request: &Request<Incoming>) -> Response<AnswerBody> {
    if request.uri().path() != front.dialect.paths.directory {
        return plain(StatusCode::NOT_FOUND, Vec::new());
    }
    let asker = (front.dialect.read_asker)(request.uri().query().unwrap_or_default());
    let entries = front.hub.ask(move |node, now| node.entries(&asker.domain, now));
    if entries.is_empty() {
        return plain(StatusCode::SERVICE_UNAVAILABLE, Vec::new());
    }
    let lifetime = lifetime(front);
    let mut answer = plain(StatusCode::OK, (front.dialect.write_entries)(&entries, lifetime));
    answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    answer
}

/// Lifetime of a directory answer, as limited by the settings.
pub fn lifetime(front: &Front) -> Duration {
    LIFETIME.min(Duration::from_secs_f64(front.settings().bounds.answer_s))
}

/// Answers with the metrics in the Prometheus text format.
pub fn metrics(front: &Front) -> Response<AnswerBody> {
    plain(StatusCode::OK, front.metrics.render().into_bytes())
}
