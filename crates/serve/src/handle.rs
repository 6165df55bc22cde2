//! From a caller's connection to a request in work, and back to its answer.

use std::rc::Rc;
use std::sync::Arc;

use agatestair_runtime::log_event;
use bytes::Bytes;
use http::header::{EXPECT, HOST};
use http::{HeaderMap, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::Request;
use hyper::body::Incoming;
use rand::Rng;
use tokio::time::{Duration, Instant, sleep, timeout_at};

use crate::answer::{DEFAULT_BACK, Failure, strip_hop_headers};
use crate::body::AnswerBody;
use crate::call::Call;
use crate::configuration::{Limits, Match, Route};
use crate::dialect::CallFacts;
use crate::events::{ABANDONED, ANSWERED, ATTEMPT_FAILED};
use crate::front::{Counted, Front};
use crate::plain::relay_plain;
use crate::send::Passed;
use crate::split;

/// Longest time that a request waits for what a process reads at its start: some ten calls of the
/// store.
const START_WAIT: Duration = Duration::from_millis(250);

/// Time between two looks whether it has been read.
const START_LOOK: Duration = Duration::from_millis(4);

/// Share of the memory that callers' bodies may take.
const BODY_SHARE: f64 = 0.3;

/// Bytes in a megabyte.
const MEGABYTE: f64 = 1024.0 * 1024.0;

/// Logs when a request ends without an answer, since its caller left.
struct LeaveLog<'a> {
    front: &'a Front,
    id: Option<Rc<str>>,
    arrived: Instant,
    answered: bool,
}

impl Drop for LeaveLog<'_> {
    fn drop(&mut self) {
        if !self.answered {
            metrics::counter!("agatestair_serve_abandoned_total").increment(1);
            log_event!(self.front.log, ABANDONED, "request" => self.id.as_deref(),
                "ms" => self.arrived.elapsed().as_millis() as u64);
        }
    }
}

/// Answers a caller's request.
pub async fn handle(front: Rc<Front>, request: Request<Incoming>) -> Response<AnswerBody> {
    let arrived = Instant::now();
    let _counted = Counted::new(front.clone(), |front| &front.open, 1);
    let facts = (front.dialect.read_call)(request.headers());
    let id: Option<Rc<str>> =
        facts.as_ref().ok().and_then(|facts| facts.id.as_deref()).map(Rc::from);
    let mut leave = LeaveLog { front: &front, id: id.clone(), arrived, answered: false };
    let outcome = match facts {
        Ok(facts) => serve(&front, request, facts, id.clone(), arrived).await,
        Err(fault) => {
            log_event!(front.log, ATTEMPT_FAILED, "request" => id.as_deref(),
                "error" => fault.to_string());
            Err((None, Failure::Faulty(StatusCode::BAD_REQUEST, "malformed header")))
        }
    };
    leave.answered = true;
    let (route, answer, cause) = match outcome {
        Ok((route, answer)) => (Some(route), answer, None),
        Err((route, failure)) => (route, failure.answer(), Some(failure.cause().to_owned())),
    };
    let ms = arrived.elapsed();
    let status = answer.status().as_u16();
    metrics::counter!("agatestair_serve_answers_total", "status" => status.to_string())
        .increment(1);
    metrics::histogram!("agatestair_serve_head_seconds").record(ms.as_secs_f64());
    log_event!(front.log, ANSWERED, "request" => id.as_deref(),
        "route" => route.as_ref().map(|route| route.name.to_string()), "status" => status,
        "ms" => ms.as_millis() as u64, "cause" => cause);
    answer
}

/// An answer with its route, or a failure with it if one was found.
type Outcome = Result<(Arc<Route>, Response<AnswerBody>), (Option<Arc<Route>>, Failure)>;

async fn serve(
    front: &Rc<Front>,
    request: Request<Incoming>,
    facts: CallFacts,
    id: Option<Rc<str>>,
    arrived: Instant,
) -> Outcome {
    wait_known(front).await;
    let (head, body) = request.into_parts();
    let host = head.uri.host().map(str::to_owned).or_else(|| text(&head.headers, &HOST));
    let path = head.uri.path().to_owned();
    let draw = rand::rng().random::<f64>();
    let host = host.unwrap_or_default();
    let (limits, found) =
        front.hub.ask(move |node, _| (node.limits(), node.route(&host, &path, draw)));
    let body = read_body(front, body, &limits, arrived + limits.idle_time).await;
    let (route, service, version) = match found {
        Match::Unknown => {
            let cause = "no configuration is known yet";
            return Err((None, Failure::NotRun { back: DEFAULT_BACK, cause }));
        }
        Match::Missing => return Err((None, Failure::NoRoute)),
        Match::Found { route, service, version } => (route, service, version),
    };
    let (body, _held) = body.map_err(|failure| (Some(route.clone()), failure))?;
    let mut headers = head.headers;
    strip_hop_headers(&mut headers);
    headers.remove(EXPECT);
    let uri = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let Ok(uri) = uri.parse() else {
        return Err((Some(route), Failure::Faulty(StatusCode::BAD_REQUEST, "malformed path")));
    };
    let time = facts.deadline.map_or(route.timeout, |deadline| deadline.min(route.timeout));
    let call = Call {
        front: front.clone(),
        passed: Passed { id, method: head.method, uri, headers, body },
        facts,
        route: route.clone(),
        service,
        version,
        arrived,
        limit: arrived + time,
        tried: Vec::new(),
        sends: 0,
        runs: 0,
        unsent: 0,
        backup: None,
    };
    let (service, name) = (call.service.name.clone(), route.clone());
    front.hub.ask(move |node, now| node.note_first(&service, now));
    let generates = call.service.engine.is_some() || call.route.kind.is_stream();
    let answer = if generates { split::generate(call).await } else { relay_plain(call).await };
    answer.map(|answer| (name, answer)).map_err(|failure| (Some(route), failure))
}

/// Waits a moment for the first reading of configuration and endpoints, unless the store is away.
///
/// Callers connect to a process that starts again before it has read anything.
async fn wait_known(front: &Front) {
    let until = Instant::now() + START_WAIT;
    while front.hub.ask(|node, _| node.is_starting()) && Instant::now() < until {
        sleep(START_LOOK).await;
    }
}

fn text(headers: &HeaderMap, name: &http::HeaderName) -> Option<String> {
    headers.get(name).and_then(|value| value.to_str().ok()).map(str::to_owned)
}

/// Reads a request's body, held against the instance's memory.
async fn read_body(
    front: &Rc<Front>,
    body: Incoming,
    limits: &Limits,
    until: Instant,
) -> Result<(Bytes, Counted<fn(&Front) -> &std::cell::Cell<usize>>), Failure> {
    let most = front.settings().machine.memory_mb * MEGABYTE * BODY_SHARE;
    if front.body_bytes.get() as f64 > most {
        let cause = "too many request bodies in memory";
        return Err(Failure::NotRun { back: DEFAULT_BACK, cause });
    }
    let read = timeout_at(until, Limited::new(body, limits.body_bytes).collect()).await;
    match read {
        Ok(Ok(body)) => {
            let bytes = body.to_bytes();
            let count: fn(&Front) -> &std::cell::Cell<usize> = |front| &front.body_bytes;
            let held = Counted::new(front.clone(), count, bytes.len());
            Ok((bytes, held))
        }
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            Err(Failure::Faulty(StatusCode::PAYLOAD_TOO_LARGE, "body too large"))
        }
        Ok(Err(_)) => Err(Failure::Faulty(StatusCode::BAD_REQUEST, "body broken off")),
        Err(_) => Err(Failure::Faulty(StatusCode::REQUEST_TIMEOUT, "body too slow")),
    }
}
