//! One request to one endpoint, and what became of it.

use std::rc::Rc;

use bytes::Bytes;
use http::header::{CONTENT_ENCODING, HOST};
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode, Uri};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use tokio::time::{Duration, timeout};

use crate::dialect::{AnswerFacts, Outbound};
use crate::front::Front;
use crate::line::{Line, LineFault, LineSettings};
use crate::node::Place;

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
    /// The request may have run.
    Unknown(String),
}

impl Reply {
    /// Reads the whole body; returns the connection, which can be used again then.
    ///
    /// # Errors
    ///
    /// [`Sent::Unknown`] if the body is cut or larger than the bound.
    pub async fn read(self, max_bytes: usize) -> Result<(Bytes, Line), Sent> {
        let Self { body, facts, mut line, .. } = self;
        let body = Limited::new(body, max_bytes).collect().await;
        let body = body.map_err(|error| Sent::Unknown(format!("answer cut: {error}")))?;
        line.note_idle(facts.idle);
        Ok((body.to_bytes(), line))
    }
}

/// Sends a request to an endpoint and waits for the head of the answer.
///
/// Dropping the future closes the connection, at which the endpoint drops the request.
pub async fn send(front: &Front, place: &Place, passed: &Passed, outbound: &Outbound<'_>) -> Sent {
    let mut request = request_of(front, passed, outbound);
    let settings = LineSettings::default();
    let (mut line, answer) = loop {
        let kept = front.pool.take(place.key);
        let fresh = kept.is_none();
        let mut line = match kept {
            Some(line) => line,
            None => match Line::open(place.address, &settings).await {
                Ok(line) => line,
                Err(error) => return Sent::Unsent(format!("no connection: {error}")),
            },
        };
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
