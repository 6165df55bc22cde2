//! One request to one endpoint, and what became of it.

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
use crate::events::{ANSWER_ODD, ENDPOINT_LEAVING, ENDPOINT_PAUSED};
use crate::front::Front;
use crate::held::{Held, HeldTotal};
use crate::line::{Line, LineFault, LineSettings};
use crate::node::Place;
use crate::reach::note_dark;

/// Longest wait for the rest of a refusal, so that its connection can be used again.
const REFUSAL_REST: Duration = Duration::from_millis(20);

/// Greatest size of a refusal's body that is read.
const REFUSAL_BYTES: usize = 16 * 1024;

/// A caller's request as it is passed on.
#[derive(Clone, Debug)]
pub struct Passed {
    /// Identifier of the caller's attempt.
    pub id: Option<Rc<str>>,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers, without those that concern only the caller's connection.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// An endpoint's answer whose body is still to be read.
pub struct Reply {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// What they say.
    pub facts: AnswerFacts,
    /// Body.
    pub body: Incoming,
    /// The connection that it comes on.
    pub line: Line,
}

/// What became of a request.
pub enum Sent {
    /// The endpoint answers.
    Answered(Box<Reply>),
    /// The endpoint says that it has not run the request.
    Refused {
        /// Its status.
        status: StatusCode,
        /// Whether another endpoint has the address.
        moved: bool,
    },
    /// Nothing was sent.
    Unsent(String),
    /// Nothing was sent, since the endpoint has come to want no work.
    Withheld,
    /// The request may have run.
    Unknown(String),
}

impl Reply {
    /// Reads the whole body; returns the connection, which can be used again then, and what the
    /// body takes of the memory for answers.
    ///
    /// # Errors
    ///
    /// [`Sent::Unknown`] if the body is cut, larger than the bound or than the memory left.
    pub async fn read(
        self,
        total: &HeldTotal,
        max_bytes: usize,
    ) -> Result<(Bytes, Held, Line), Sent> {
        let Self { mut body, facts, mut line, .. } = self;
        let mut held = Held::new(total);
        let mut bytes = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| Sent::Unknown(format!("answer cut: {error}")))?;
            let data = frame.into_data().unwrap_or_default();
            let size = bytes.len() + data.len();
            if size > max_bytes {
                return Err(Sent::Unknown(format!("answer of more than {max_bytes} bytes")));
            }
            if !held.set(size) {
                let cause = format!("no memory for an answer of more than {} bytes", bytes.len());
                return Err(Sent::Unknown(cause));
            }
            bytes.extend_from_slice(&data);
        }
        line.note_idle(facts.idle);
        Ok((bytes.freeze(), held, line))
    }
}

/// Sends a request to an endpoint and waits for the head of the answer.
///
/// Dropping the future closes the connection, at which the endpoint drops the request.
pub async fn send(
    front: &Rc<Front>,
    place: &Place,
    passed: &Passed,
    outbound: &Outbound<'_>,
) -> Sent {
    let mut request = request_of(front, passed, outbound);
    let settings = LineSettings::default();
    let (mut line, answer) = loop {
        let kept = front.pool.take(place.key);
        let fresh = kept.is_none();
        let mut line = match kept {
            Some(line) => line,
            None => match Line::open(place.address, &settings).await {
                Ok(line) => line,
                Err(error) => {
                    note_dark(front, place, &error);
                    return Sent::Unsent(format!("no connection: {error}"));
                }
            },
        };
        let (key, trial) = (place.key, place.trial);
        if !trial && front.hub.ask(move |node, now| node.board.is_paused(key, now)) {
            return Sent::Withheld;
        }
        match line.send(request).await {
            Ok(answer) => break (line, answer),
            Err(LineFault::Unsent(back)) if !fresh => request = *back,
            Err(LineFault::Unsent(_)) => return Sent::Unsent("connection closed".to_owned()),
            Err(LineFault::Unknown(error)) => return Sent::Unknown(describe(&error)),
        }
    };
    let (head, body) = answer.into_parts();
    let facts = (front.dialect.read_answer)(&head.headers);
    line.note_idle(facts.idle);
    let speaker = Speaker { key: place.key, name: &place.name };
    note_standing(front, speaker, passed.id.as_deref(), head.status, &facts);
    if let (Some(echo), Some(id)) = (&facts.echo, &passed.id)
        && **echo != **id
    {
        return Sent::Unknown("the answer belongs to another request".to_owned());
    }
    if let Some(pace) = facts.pace {
        let key = place.key;
        front.hub.ask(move |node, now| node.hear_pace(key, pace, now));
    }
    if facts.not_run || head.status == StatusCode::MISDIRECTED_REQUEST {
        keep_after_refusal(front, place, line, body).await;
        let moved = head.status == StatusCode::MISDIRECTED_REQUEST;
        return Sent::Refused { status: head.status, moved };
    }
    if head.headers.contains_key(CONTENT_ENCODING) {
        return Sent::Unknown("the answer is encoded".to_owned());
    }
    Sent::Answered(Box::new(Reply {
        status: head.status,
        headers: head.headers,
        facts,
        body,
        line,
    }))
}

fn request_of(front: &Front, passed: &Passed, outbound: &Outbound<'_>) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(passed.body.clone()));
    *request.method_mut() = passed.method.clone();
    *request.uri_mut() = passed.uri.clone();
    *request.headers_mut() = passed.headers.clone();
    (front.dialect.write_call)(outbound, request.headers_mut());
    request.headers_mut().entry(HOST).or_insert_with(|| HeaderValue::from_static("endpoint"));
    request
}

/// The endpoint that an answer is from.
#[derive(Clone, Copy, Debug)]
pub struct Speaker<'a> {
    /// Its key.
    pub key: EndpointKey,
    /// Its name.
    pub name: &'a str,
}

/// Takes over what the head of an endpoint's answer says of further work there.
pub fn note_standing(
    front: &Front,
    speaker: Speaker<'_>,
    id: Option<&str>,
    status: StatusCode,
    facts: &AnswerFacts,
) {
    // Another endpoint has the address and speaks for itself.
    if status == StatusCode::MISDIRECTED_REQUEST {
        return;
    }
    let Speaker { key, name } = speaker;
    if facts.leaving && front.hub.ask(move |node, now| node.board.note_leaving(key, now)) {
        metrics::counter!("agatestair_serve_leavings_total").increment(1);
        log_event!(front.log, ENDPOINT_LEAVING, "request" => id, "endpoint" => name,
            "source" => "answer", "status" => status.as_u16());
    }
    let told = facts.retry.as_ref().filter(|_| status == StatusCode::SERVICE_UNAVAILABLE);
    if let Some(Ok(told)) = told.cloned() {
        front.hub.ask(move |node, now| node.board.note_pause(key, told, now));
        metrics::counter!("agatestair_serve_pauses_total").increment(1);
        log_event!(front.log, ENDPOINT_PAUSED, "request" => id, "endpoint" => name,
            "ms" => told.min(MAX_PAUSE).as_millis() as u64);
    }
    if let Some(Err(fault)) = told
        && front.hub.ask(move |node, _| node.board.note_odd(key))
    {
        log_event!(front.log, ANSWER_ODD, "request" => id, "endpoint" => name,
            "error" => fault.to_string());
    }
}

/// Reads the rest of a refusal, which mostly has come with its head, and keeps the connection.
async fn keep_after_refusal(front: &Front, place: &Place, line: Line, body: Incoming) {
    let rest = timeout(REFUSAL_REST, Limited::new(body, REFUSAL_BYTES).collect()).await;
    if matches!(rest, Ok(Ok(_))) {
        front.pool.put(place.key, line);
    }
}

fn describe(error: &hyper::Error) -> String {
    let cause = std::error::Error::source(error).map(|cause| format!(": {cause}"));
    format!("{error}{}", cause.unwrap_or_default())
}
