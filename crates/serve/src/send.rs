//! Sends a request to one endpoint and classifies the outcome.

use std::cell::Cell;
use std::rc::Rc;

use agatestair_policy::EndpointKey;
use agatestair_policy::board::MAX_PAUSE;
use agatestair_runtime::log_event;
use bytes::Bytes;
use http::header::{CONTENT_ENCODING, HOST};
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode, Uri};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use tokio::time::{Duration, Instant, timeout};

use crate::buffer_limit::{BufferGuard, BufferLimit};
use crate::connection::{Connection, ConnectionSettings, SendError};
use crate::dispatches::{DispatchKey, Grounds, Work};
use crate::events::{
    ENDPOINT_LEAVING, ENDPOINT_LIMITED, ENDPOINT_PAUSED, REQUEST_NOT_BEGUN, REQUEST_REFUSED,
    REQUEST_SENT, RESPONSE_MALFORMED,
};
use crate::node::Placement;
use crate::reach::note_unreachable;
use crate::shared::Shared;
use crate::wire::{Outbound, ResponseFacts, WireError};

/// Time to read the rest of a refusal so that its connection can be reused.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(20);

/// Maximum size of a refusal's body that is read, in bytes.
const MAX_REFUSAL_BYTES: usize = 16 * 1024;

/// A caller's request as forwarded to endpoints.
#[derive(Clone, Debug)]
pub struct ForwardedRequest {
    /// Identifier of the caller's attempt, if given.
    pub id: Option<Rc<str>>,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers, without the hop-by-hop ones.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// When a request was written to its endpoint, if it was.
pub type Written = Rc<Cell<Option<Instant>>>;

/// An endpoint's response whose body has not been read yet.
pub struct EndpointResponse {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Values parsed from the headers.
    pub facts: ResponseFacts,
    /// Body.
    pub body: Incoming,
    /// The connection that carries the response.
    pub connection: Connection,
    /// Record of the dispatch that it answers.
    pub dispatch: DispatchKey,
}

/// Outcome of sending a request to an endpoint.
pub enum SendOutcome {
    /// The endpoint returned a response head.
    Responded(Box<EndpointResponse>),
    /// The endpoint refused the request without executing it.
    Refused {
        /// Status code of the refusal.
        status: StatusCode,
        /// Whether the address belongs to another endpoint by now.
        moved: bool,
    },
    /// Nothing was sent, for the given cause.
    NotSent(String),
    /// Nothing was sent because the endpoint accepts no request now, for the given cause.
    Withheld(&'static str),
    /// The attempt failed with the given cause; the request may have run.
    Unknown(String),
}

impl EndpointResponse {
    /// Reads the whole body; returns it with its share of the response memory and the connection,
    /// which can be reused.
    ///
    /// # Errors
    ///
    /// Returns [`SendOutcome::Unknown`] if the body is truncated, larger than `max_bytes`, or does
    /// not fit into the remaining response memory.
    pub async fn read(
        self,
        total: &BufferLimit,
        max_bytes: usize,
    ) -> Result<(Bytes, BufferGuard, Connection), SendOutcome> {
        let Self { mut body, facts, mut connection, .. } = self;
        let mut buffer = BufferGuard::new(total);
        let mut bytes: Vec<u8> = Vec::new();
        while let Some(frame) = body.frame().await {
            let frame =
                frame.map_err(|error| SendOutcome::Unknown(format!("answer cut: {error}")))?;
            let data = frame.into_data().unwrap_or_default();
            let size = bytes.len() + data.len();
            if size > max_bytes {
                return Err(SendOutcome::Unknown(format!("answer of more than {max_bytes} bytes")));
            }
            if !buffer.append(&mut bytes, &data) {
                let cause = format!("no memory for an answer of more than {} bytes", bytes.len());
                return Err(SendOutcome::Unknown(cause));
            }
        }
        connection.note_idle(facts.idle);
        Ok((bytes.into(), buffer, connection))
    }
}

/// How and why a request is sent.
pub struct Dispatch {
    /// Its record.
    pub key: DispatchKey,
    /// Identifier of the request.
    pub id: Option<Rc<str>>,
    /// What the endpoint is asked for.
    pub work: Work,
    /// Why the request may be sent.
    pub grounds: Grounds,
    /// Whether a kept connection may carry it.
    pub may_reuse: bool,
    /// Whether a request of its kind may run more than once.
    pub may_repeat: bool,
    /// Set as soon as the endpoint may work on the request.
    pub written: Written,
}

/// Sends a request to an endpoint and waits for the response head.
///
/// Dropping the future closes the connection, which makes the endpoint cancel the request.
pub async fn send(
    shared: Rc<Shared>,
    placement: Placement,
    dispatch: Dispatch,
    mut request: Request<Full<Bytes>>,
) -> SendOutcome {
    let (shared, placement) = (&shared, &placement);
    let id = dispatch.id.clone();
    let bytes = request.body().size_hint().exact();
    let settings = ConnectionSettings::default();
    // The placement spent a request if the endpoint named a rate limit then.
    let mut spent = placement.share.is_some();
    let (mut connection, response) = loop {
        let pooled = if dispatch.may_reuse { shared.pool.take(placement.key) } else { None };
        let fresh = pooled.is_none();
        let mut connection = match pooled {
            Some(connection) => connection,
            None => match Connection::open(placement.address, &settings).await {
                Ok(connection) => connection,
                Err(error) => {
                    note_unreachable(shared, placement, &error);
                    return SendOutcome::NotSent(format!("cannot connect: {error}"));
                }
            },
        };
        let (key, probe) = (placement.key, placement.probe);
        if !probe && shared.hub.ask(move |node, now| node.board.is_paused(key, now)) {
            return SendOutcome::Withheld("the endpoint wants no work");
        }
        // The limit may have been named while the request waited for its connection.
        spent = spent || shared.hub.ask(move |node, now| node.spend_limit(key, now));
        if !spent {
            return SendOutcome::Withheld("the endpoint's rate limit is reached");
        }
        dispatch.written.set(Some(Instant::now()));
        log_event!(shared.log, REQUEST_SENT, "request" => id.as_deref(),
            "endpoint" => &*placement.name, "work" => dispatch.work.label(),
            "grounds" => dispatch.grounds.label(), "port" => connection.port(),
            "carried" => connection.carried(), "kept" => !fresh, "bytes" => bytes);
        match connection.send(request).await {
            Ok(response) => break (connection, response),
            Err(SendError::NotSent(returned)) if !fresh => {
                log_event!(shared.log, REQUEST_NOT_BEGUN, "request" => id.as_deref(),
                    "endpoint" => &*placement.name, "port" => connection.port(),
                    "carried" => connection.carried());
                request = *returned;
            }
            Err(SendError::NotSent(_)) => {
                return SendOutcome::NotSent("connection closed".to_owned());
            }
            Err(SendError::Unknown(error)) => return SendOutcome::Unknown(describe(&error)),
        }
    };
    let (head, body) = response.into_parts();
    if !is_final(head.status) {
        return SendOutcome::Unknown(format!("{} is no final status", head.status.as_u16()));
    }
    let facts = (shared.wire.read_response)(&head.headers);
    connection.note_idle(facts.idle);
    let endpoint = EndpointRef { key: placement.key, name: &placement.name };
    note_availability(shared, endpoint, id.as_deref(), head.status, &facts);
    if facts.echo.is_some() && facts.echo.as_deref() != id.as_deref() {
        return SendOutcome::Unknown("the answer belongs to another request".to_owned());
    }
    if let Some(cause) = doubt(&dispatch, head.status, &facts) {
        return SendOutcome::Unknown(cause.to_owned());
    }
    if let Some(pace) = facts.pace {
        let key = placement.key;
        if !shared.hub.ask(move |node, now| node.note_direct_pace(key, pace, now)) {
            let error = WireError { field: "load", problem: format!("{pace} is no pace") };
            note_malformed(shared, endpoint, id.as_deref(), &error);
        }
    }
    if facts.not_run || head.status == StatusCode::MISDIRECTED_REQUEST {
        if facts.echo.is_none() {
            // If it were written again, it could not be told from the refusal of a later request.
            connection.retire();
        }
        let port = connection.port();
        drain_refusal(shared, placement, connection, body).await;
        let moved = head.status == StatusCode::MISDIRECTED_REQUEST;
        log_event!(shared.log, REQUEST_REFUSED, "request" => id.as_deref(),
            "endpoint" => &*placement.name, "status" => head.status.as_u16(),
            "marked" => facts.not_run, "named" => facts.echo.is_some(), "port" => port,
            "ms" => dispatch.written.get().map(|at| at.elapsed().as_millis() as u64));
        return SendOutcome::Refused { status: head.status, moved };
    }
    if head.headers.contains_key(CONTENT_ENCODING) {
        return SendOutcome::Unknown("the answer is encoded".to_owned());
    }
    SendOutcome::Responded(Box::new(EndpointResponse {
        status: head.status,
        headers: head.headers,
        facts,
        body,
        connection,
        dispatch: dispatch.key,
    }))
}

/// Whether a response with this status is an answer. Interim ones are skipped when a response is read,
/// but for 101, which no request asks for.
fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Why a response whose status promises that its request has not run is not believed, if it is not.
///
/// Only a refusal that names the request belongs to it, and only its mark, or status 421, states that
/// the request was not executed. A status alone is passed on where the request may run again.
fn doubt(dispatch: &Dispatch, status: StatusCode, facts: &ResponseFacts) -> Option<&'static str> {
    let statuses = [
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
    ];
    let is_marked = facts.not_run || status == StatusCode::MISDIRECTED_REQUEST;
    if is_marked && dispatch.id.is_some() && facts.echo.is_none() {
        return Some("a refusal that names no request");
    }
    let is_doubtful = !is_marked && !dispatch.may_repeat && statuses.contains(&status);
    is_doubtful.then_some("a refusal that does not say so")
}

/// Builds the request for an endpoint from that of the caller.
pub fn build_request(
    shared: &Shared,
    forwarded: &ForwardedRequest,
    outbound: &Outbound<'_>,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(forwarded.body.clone()));
    *request.method_mut() = forwarded.method.clone();
    *request.uri_mut() = forwarded.uri.clone();
    *request.headers_mut() = forwarded.headers.clone();
    (shared.wire.write_call)(outbound, request.headers_mut());
    request.headers_mut().entry(HOST).or_insert_with(|| HeaderValue::from_static("endpoint"));
    request
}

/// The endpoint that sent a response.
#[derive(Clone, Copy, Debug)]
pub struct EndpointRef<'a> {
    /// Key of the endpoint.
    pub key: EndpointKey,
    /// Name of the endpoint.
    pub name: &'a str,
}

/// Records from a response head whether the endpoint is shutting down, asks for a pause or limits
/// its requests.
pub fn note_availability(
    shared: &Shared,
    endpoint: EndpointRef<'_>,
    id: Option<&str>,
    status: StatusCode,
    facts: &ResponseFacts,
) {
    // The response comes from another endpoint that has taken over the address.
    if status == StatusCode::MISDIRECTED_REQUEST {
        return;
    }
    let EndpointRef { key, name } = endpoint;
    if facts.leaving && shared.hub.ask(move |node, now| node.board.note_leaving(key, now)) {
        metrics::counter!("agatestair_serve_leavings_total").increment(1);
        log_event!(shared.log, ENDPOINT_LEAVING, "request" => id, "endpoint" => name,
            "source" => "answer", "status" => status.as_u16());
    }
    let pause = facts.retry.as_ref().filter(|_| status == StatusCode::SERVICE_UNAVAILABLE);
    if let Some(Ok(pause)) = pause.cloned() {
        shared.hub.ask(move |node, now| node.board.note_pause(key, pause, now));
        metrics::counter!("agatestair_serve_pauses_total").increment(1);
        log_event!(shared.log, ENDPOINT_PAUSED, "request" => id, "endpoint" => name,
            "ms" => pause.min(MAX_PAUSE).as_millis() as u64);
    }
    if let Some(Err(error)) = pause {
        note_malformed(shared, endpoint, id, error);
    }
    note_limit(shared, endpoint, id, status, facts);
}

fn note_limit(
    shared: &Shared,
    endpoint: EndpointRef<'_>,
    id: Option<&str>,
    status: StatusCode,
    facts: &ResponseFacts,
) {
    let EndpointRef { key, name } = endpoint;
    let rate = match &facts.limit {
        Some(Ok(rate)) => Some(*rate),
        Some(Err(error)) => return note_malformed(shared, endpoint, id, error),
        // Errors may come from a layer that does not know of the limit.
        None if !status.is_success() => return,
        None => None,
    };
    if shared.hub.ask(move |node, now| node.board.note_limit(key, rate, now)) {
        metrics::counter!("agatestair_serve_limits_total").increment(1);
        log_event!(shared.log, ENDPOINT_LIMITED, "request" => id, "endpoint" => name,
            "rate" => rate, "source" => "answer", "status" => status.as_u16());
    }
}

/// Logs the first malformed header of an endpoint.
fn note_malformed(shared: &Shared, endpoint: EndpointRef<'_>, id: Option<&str>, error: &WireError) {
    let EndpointRef { key, name } = endpoint;
    if shared.hub.ask(move |node, _| node.board.note_malformed(key)) {
        log_event!(shared.log, RESPONSE_MALFORMED, "request" => id, "endpoint" => name,
            "error" => error.to_string());
    }
}

/// Reads the rest of a refusal, which usually arrives with its head, and pools the connection.
async fn drain_refusal(
    shared: &Shared,
    placement: &Placement,
    connection: Connection,
    body: Incoming,
) {
    let rest = timeout(DRAIN_TIMEOUT, Limited::new(body, MAX_REFUSAL_BYTES).collect()).await;
    if matches!(rest, Ok(Ok(_))) {
        shared.return_connection(placement.key, connection);
    }
}

fn describe(error: &hyper::Error) -> String {
    let cause = std::error::Error::source(error).map(|cause| format!(": {cause}"));
    format!("{error}{}", cause.unwrap_or_default())
}
