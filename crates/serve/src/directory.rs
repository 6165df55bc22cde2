//! Requests that the instance answers itself: readiness, addresses of instances, metrics.

use std::rc::Rc;
use std::time::Duration;

use http::header::CONTENT_TYPE;
use http::{HeaderValue, Response, StatusCode};
use hyper::Request;
use hyper::body::Incoming;

use crate::body::ResponseBody;
use crate::shared::{Shared, plain};

/// Lifetime of a directory response. It is short so that callers soon stop using an instance that
/// is gone, and so that three lifetimes fit into the grace period of a shutdown.
const LIFETIME: Duration = Duration::from_secs(2);

/// Reports whether the instance can serve callers.
pub fn ready(shared: &Shared, request: &Request<Incoming>) -> Response<ResponseBody> {
    if request.uri().path() != shared.wire.paths.ready {
        return plain(StatusCode::NOT_FOUND, Vec::new());
    }
    let ready = shared.hub.ask(|node, _| node.is_ready());
    let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    plain(status, Vec::new())
}

/// Responds with the addresses of the instances that a caller should use.
pub fn addresses(shared: &Rc<Shared>, request: &Request<Incoming>) -> Response<ResponseBody> {
    if request.uri().path() != shared.wire.paths.directory {
        return plain(StatusCode::NOT_FOUND, Vec::new());
    }
    let query = (shared.wire.read_query)(request.uri().query().unwrap_or_default());
    let addresses = shared.hub.ask(move |node, now| node.addresses(&query.domain, now));
    if addresses.is_empty() {
        return plain(StatusCode::SERVICE_UNAVAILABLE, Vec::new());
    }
    let lifetime = lifetime(shared);
    let mut response = plain(StatusCode::OK, (shared.wire.write_addresses)(&addresses, lifetime));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Lifetime of a directory response, as limited by the settings.
pub fn lifetime(shared: &Shared) -> Duration {
    LIFETIME.min(Duration::from_secs_f64(shared.settings().bounds.answer_s))
}

/// Responds with the metrics in the Prometheus text format.
pub fn metrics(shared: &Shared) -> Response<ResponseBody> {
    plain(StatusCode::OK, shared.metrics.render().into_bytes())
}
