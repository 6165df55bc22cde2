//! Sends a request to one endpoint and classifies the outcome.

use std::rc::Rc;

use agatestair_policy::EndpointKey;
use agatestair_policy::board::MAX_PAUSE;
use agatestair_runtime::log_event;
use bytes::{Bytes, BytesMut};
use http::header::{CONTENT_ENCODING, HOST};
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode, Uri};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use tokio::time::{Duration, timeout};

use crate::dialect::{AnswerFacts, Outbound};
use crate::events::{ENDPOINT_LEAVING, ENDPOINT_PAUSED, RESPONSE_MALFORMED};
use crate::front::Front;
use crate::held::{Held, HeldTotal};
use crate::line::{Line, LineFault, LineSettings};
use crate::node::Place;
use crate::reach::note_unreachable;

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

/// An endpoint's response whose body has not been read yet.
pub struct EndpointResponse {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Values parsed from the headers.
    pub facts: AnswerFacts,
    /// Body.
    pub body: Incoming,
    /// The connection that carries the response.
    pub line: Line,
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
    /// Nothing was sent because the endpoint is paused.
    Paused,
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
        total: &HeldTotal,
        max_bytes: usize,
    ) -> Result<(Bytes, Held, Line), SendOutcome> {
        let Self { mut body, facts, mut line, .. } = self;
        let mut held = Held::new(total);
        let mut bytes = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame =
                frame.map_err(|error| SendOutcome::Unknown(format!("answer cut: {error}")))?;
            let data = frame.into_data().unwrap_or_default();
            let size = bytes.len() + data.len();
            if size > max_bytes {
                return Err(SendOutcome::Unknown(format!("answer of more than {max_bytes} bytes")));
            }
            if !held.set(size) {
                let cause = format!("no memory for an answer of more than {} bytes", bytes.len());
                return Err(SendOutcome::Unknown(cause));
            }
            bytes.extend_from_slice(&data);
        }
        line.note_idle(facts.idle);
        Ok((bytes.freeze(), held, line))
    }
}

/// Sends a request to an endpoint and waits for the response head.
///
/// Dropping the future closes the connection, which makes the endpoint cancel the request.
pub async fn send(
    front: &Rc<Front>,
    place: &Place,
    forwarded: &ForwardedRequest,
    outbound: &Outbound<'_>,
) -> SendOutcome {
    let mut request = build_request(front, forwarded, outbound);
    let settings = LineSettings::default();
    let (mut line, response) = loop {
        let pooled = front.pool.take(place.key);
        let fresh = pooled.is_none();
        let mut line = match pooled {
            Some(line) => line,
            None => match Line::open(place.address, &settings).await {
                Ok(line) => line,
                Err(error) => {
                    note_unreachable(front, place, &error);
                    return SendOutcome::NotSent(format!("cannot connect: {error}"));
                }
            },
        };
        let (key, probe) = (place.key, place.probe);
        if !probe && front.hub.ask(move |node, now| node.board.is_paused(key, now)) {
            return SendOutcome::Paused;
        }
        match line.send(request).await {
            Ok(response) => break (line, response),
            Err(LineFault::NotSent(returned)) if !fresh => request = *returned,
            Err(LineFault::NotSent(_)) => {
                return SendOutcome::NotSent("connection closed".to_owned());
            }
            Err(LineFault::Unknown(error)) => return SendOutcome::Unknown(describe(&error)),
        }
    };
    let (head, body) = response.into_parts();
    let facts = (front.dialect.read_answer)(&head.headers);
    line.note_idle(facts.idle);
    let speaker = Speaker { key: place.key, name: &place.name };
    note_standing(front, speaker, forwarded.id.as_deref(), head.status, &facts);
    if let (Some(echo), Some(id)) = (&facts.echo, &forwarded.id)
        && **echo != **id
    {
        return SendOutcome::Unknown("the answer belongs to another request".to_owned());
    }
    if let Some(pace) = facts.pace {
        let key = place.key;
        front.hub.ask(move |node, now| node.note_direct_pace(key, pace, now));
    }
    if facts.not_run || head.status == StatusCode::MISDIRECTED_REQUEST {
        drain_refusal(front, place, line, body).await;
        let moved = head.status == StatusCode::MISDIRECTED_REQUEST;
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
        line,
    }))
}

fn build_request(
    front: &Front,
    forwarded: &ForwardedRequest,
    outbound: &Outbound<'_>,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(forwarded.body.clone()));
    *request.method_mut() = forwarded.method.clone();
    *request.uri_mut() = forwarded.uri.clone();
    *request.headers_mut() = forwarded.headers.clone();
    (front.dialect.write_call)(outbound, request.headers_mut());
    request.headers_mut().entry(HOST).or_insert_with(|| HeaderValue::from_static("endpoint"));
    request
}

/// The endpoint that sent a response.
#[derive(Clone, Copy, Debug)]
pub struct Speaker<'a> {
    /// Key of the endpoint.
    pub key: EndpointKey,
    /// Name of the endpoint.
    pub name: &'a str,
}

/// Records from a response head whether the endpoint is shutting down or asks for a pause.
pub fn note_standing(
    front: &Front,
    speaker: Speaker<'_>,
    id: Option<&str>,
    status: StatusCode,
    facts: &AnswerFacts,
) {
    // The response comes from another endpoint that has taken over the address.
    if status == StatusCode::MISDIRECTED_REQUEST {
        return;
    }
    let Speaker { key, name } = speaker;
    if facts.leaving && front.hub.ask(move |node, now| node.board.note_leaving(key, now)) {
        metrics::counter!("agatestair_serve_leavings_total").increment(1);
        log_event!(front.log, ENDPOINT_LEAVING, "request" => id, "endpoint" => name,
            "source" => "answer", "status" => status.as_u16());
    }
    let pause = facts.retry.as_ref().filter(|_| status == StatusCode::SERVICE_UNAVAILABLE);
    if let Some(Ok(pause)) = pause.cloned() {
        front.hub.ask(move |node, now| node.board.note_pause(key, pause, now));
        metrics::counter!("agatestair_serve_pauses_total").increment(1);
        log_event!(front.log, ENDPOINT_PAUSED, "request" => id, "endpoint" => name,
            "ms" => pause.min(MAX_PAUSE).as_millis() as u64);
    }
    if let Some(Err(fault)) = pause
        && front.hub.ask(move |node, _| node.board.note_malformed(key))
    {
        log_event!(front.log, RESPONSE_MALFORMED, "request" => id, "endpoint" => name,
            "error" => fault.to_string());
    }
}

/// Reads the rest of a refusal, which usually arrives with its head, and pools the connection.
async fn drain_refusal(front: &Front, place: &Place, line: Line, body: Incoming) {
    let rest = timeout(DRAIN_TIMEOUT, Limited::new(body, MAX_REFUSAL_BYTES).collect()).await;
    if matches!(rest, Ok(Ok(_))) {
        front.pool.put(place.key, line);
    }
}

fn describe(error: &hyper::Error) -> String {
    let cause = std::error::Error::source(error).map(|cause| format!(": {cause}"));
    format!("{error}{}", cause.unwrap_or_default())
}
