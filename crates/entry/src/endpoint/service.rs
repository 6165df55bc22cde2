//! Attempts at plain services, each on its own thread.

use std::sync::Arc;
use std::thread;

use agatestair_policy::AttemptKey;
use bytes::Bytes;
use stakker::sync::Channel;
use ureq::http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use ureq::http::response::Parts;
use ureq::http::{HeaderMap, Request, Response};
use ureq::{Agent, Body, Error};

use crate::core::message::{AttemptEvent, AttemptFailure, CallRequest, CallResponse, EntryMessage};
use crate::endpoint::client::{Timeouts, failure_of, open_client};
use crate::endpoint::engine::STACK_BYTES;

/// Maximum size of a service's response in bytes.
pub const MAX_RESPONSE_BYTES: u64 = 8 * 1024 * 1024;

/// Hop-by-hop headers, and `content-length`, none of which are forwarded.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "content-length",
    "keep-alive",
    "proxy-authenticate",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Whether the header with this lower-case name applies to a single connection.
pub fn is_hop_by_hop(name: &str) -> bool {
    HOP_BY_HOP.contains(&name)
}

/// One attempt at a plain service.
pub struct ServiceAttempt {
    /// Key of the attempt.
    pub attempt: AttemptKey,
    /// Name of the endpoint.
    pub endpoint: Arc<str>,
    /// Address of the endpoint.
    pub address: Arc<str>,
    /// Request to forward.
    pub request: Arc<CallRequest>,
    /// Timeouts.
    pub timeouts: Timeouts,
    /// Receives the events.
    pub channel: Channel<EntryMessage>,
}

impl ServiceAttempt {
    /// Starts the attempt's thread. If that fails, an [`AttemptEvent::Failed`] is sent.
    pub fn start(self) {
        let attempt = self.attempt;
        let channel = self.channel.clone();
        let thread = thread::Builder::new().name("service".to_owned()).stack_size(STACK_BYTES);
        if let Err(error) = thread.spawn(move || self.run()) {
            let cause = format!("cannot start a thread: {error}");
            let failure =
                AttemptFailure { may_have_run: false, too_large: false, cache_lost: false, cause };
            channel.send(EntryMessage::Attempt { attempt, event: AttemptEvent::Failed(failure) });
        }
    }

    fn run(self) {
        let agent = open_client(self.timeouts);
        let event = match self.call(&agent) {
            Ok(response) => AttemptEvent::Response(response),
            Err(failure) => AttemptEvent::Failed(failure),
        };
        // The actor lives as long as the process, so this fails only at exit.
        self.channel.send(EntryMessage::Attempt { attempt: self.attempt, event });
    }

    fn call(&self, agent: &Agent) -> Result<CallResponse, AttemptFailure> {
        let response = self.send(agent).map_err(|error| failure_of(&error))?;
        let (head, mut body) = response.into_parts();
        if !is_delimited(&self.request.method, &head) {
            return Err(AttemptFailure {
                may_have_run: true,
                too_large: false,
                cache_lost: false,
                cause: "the answer has neither a length nor chunks".to_owned(),
            });
        }
        let body = body.with_config().limit(MAX_RESPONSE_BYTES).read_to_vec();
        let body = body.map_err(|error| AttemptFailure {
            may_have_run: true,
            too_large: matches!(error, Error::BodyExceedsLimit(_)),
            cache_lost: false,
            cause: error.to_string(),
        })?;
        Ok(CallResponse {
            status: head.status.as_u16(),
            headers: forwarded_headers(&head.headers),
            body: Bytes::from(body),
            endpoint: self.endpoint.clone(),
        })
    }

    fn send(&self, agent: &Agent) -> Result<Response<Body>, Error> {
        let call = &self.request;
        let mut request = Request::builder()
            .method(call.method.as_str())
            .uri(format!("http://{}{}", self.address, call.path));
        for (name, value) in &call.headers {
            request = request.header(name, value);
        }
        if call.body.is_empty() {
            return agent.run(request.body(())?);
        }
        agent.run(request.body(&call.body[..])?)
    }
}

/// Whether the end of the body can be told from a lost connection.
fn is_delimited(method: &str, head: &Parts) -> bool {
    let status = head.status.as_u16();
    let empty = method == "HEAD" || matches!(status, 204 | 304);
    empty
        || head.headers.contains_key(CONTENT_LENGTH)
        || head.headers.contains_key(TRANSFER_ENCODING)
}

fn forwarded_headers(headers: &HeaderMap) -> Vec<(String, String)> {
    headers
        .iter()
        .filter(|(name, _)| !is_hop_by_hop(name.as_str()))
        .filter_map(|(name, value)| {
            let value = value.to_str().ok()?;
            Some((name.as_str().to_owned(), value.to_owned()))
        })
        .collect()
}
