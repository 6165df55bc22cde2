//! Handles callers' requests: parses, routes and limits them, and produces the response.

use std::cell::{Cell, OnceCell};
use std::rc::Rc;
use std::sync::Arc;

use agatestair_runtime::log_event;
use http::header::{AUTHORIZATION, EXPECT, HOST};
use http::request::Parts;
use http::{HeaderMap, Response, StatusCode};
use hyper::Request;
use hyper::body::Incoming;
use rand::Rng;
use tokio::time::{Duration, Instant, sleep};

use crate::body::ResponseBody;
use crate::call::Call;
use crate::configuration::{Route, RouteMatch};
use crate::customers::{Access, Customer};
use crate::dispatches::Dispatches;
use crate::events::{ABANDONED, ANSWERED, ATTEMPT_FAILED, REQUEST_FAILED};
use crate::generate::generate;
use crate::memory_budget::MemoryKind;
use crate::open_requests::OpenRequest;
use crate::panics::catch_panic;
use crate::plain::relay_plain;
use crate::proof::boot_now;
use crate::request_body::{BodyLimits, drain_body, read_body};
use crate::response::{DEFAULT_RETRY_AFTER, Failure, strip_hop_by_hop};
use crate::run_meter::RunMeter;
use crate::send::ForwardedRequest;
use crate::shared::Shared;
use crate::store::Table;
use crate::wire::CallFacts;

/// Longest time that a request waits for the process to load its initial state, enough for about
/// ten store calls.
const STARTUP_WAIT: Duration = Duration::from_millis(250);

/// Retry delay for callers whose route may be in a newer configuration, which takes about as long to
/// read.
const NEWER_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Interval at which a waiting request checks whether the initial state is loaded.
const STARTUP_POLL: Duration = Duration::from_millis(4);

/// Logs and counts, on drop, a request whose caller disconnected before the response.
struct AbandonLog<'a> {
    shared: &'a Shared,
    id: Option<Rc<str>>,
    arrived: Instant,
    responded: bool,
}

impl Drop for AbandonLog<'_> {
    fn drop(&mut self) {
        if !self.responded {
            metrics::counter!("agatestair_serve_abandoned_total").increment(1);
            log_event!(self.shared.log, ABANDONED, "request" => self.id.as_deref(),
                "ms" => self.arrived.elapsed().as_millis() as u64);
        }
    }
}

/// Handles a caller's request and logs the response.
pub async fn handle(shared: Rc<Shared>, request: Request<Incoming>) -> Response<ResponseBody> {
    let arrived = Instant::now();
    let facts = (shared.wire.read_call)(request.headers());
    let id: Option<Rc<str>> =
        facts.as_ref().ok().and_then(|facts| facts.id.as_deref()).map(Rc::from);
    let guard = shared.open.insert(OpenRequest { id: id.clone(), arrived });
    shared.shutdown.note_taken(arrived);
    let mut abandon_log = AbandonLog { shared: &shared, id: id.clone(), arrived, responded: false };
    let outcome = match facts {
        Ok(facts) => {
            let passed_on = Rc::new(Cell::new(false));
            let serving = serve(&shared, request, facts, arrived, passed_on.clone());
            tokio::select! {
                biased;
                outcome = catch_panic(serving) => outcome.unwrap_or_else(|cause| {
                    log_event!(shared.log, REQUEST_FAILED, "request" => id.as_deref(),
                        "cause" => cause, "ms" => arrived.elapsed().as_millis() as u64);
                    Err((None, interrupted(passed_on.get(), "the request failed unexpectedly")))
                }),
                () = shared.ending.cancelled() => {
                    Err((None, interrupted(passed_on.get(), "the instance is shutting down")))
                }
            }
        }
        Err(error) => {
            log_event!(shared.log, ATTEMPT_FAILED, "request" => id.as_deref(),
                "error" => error.to_string());
            Err((None, Failure::BadRequest(StatusCode::BAD_REQUEST, "malformed header")))
        }
    };
    abandon_log.responded = true;
    let (route, mut response, cause) = match outcome {
        Ok((route, response)) => (Some(route), response, None),
        Err((route, failure)) => (route, failure.response(), Some(failure.cause().to_owned())),
    };
    let ms = arrived.elapsed();
    let status = response.status().as_u16();
    metrics::counter!("agatestair_serve_answers_total", "status" => status.to_string())
        .increment(1);
    metrics::histogram!("agatestair_serve_head_seconds").record(ms.as_secs_f64());
    log_event!(shared.log, ANSWERED, "request" => id.as_deref(),
        "route" => route.as_ref().map(|route| route.name.to_string()), "status" => status,
        "ms" => ms.as_millis() as u64, "cause" => cause);
    response.body_mut().hold(guard);
    response
}

/// A response and its route, or a failure and the route if one was found.
type Outcome = Result<(Arc<Route>, Response<ResponseBody>), (Option<Arc<Route>>, Failure)>;

async fn serve(
    shared: &Rc<Shared>,
    request: Request<Incoming>,
    facts: CallFacts,
    arrived: Instant,
    passed_on: Rc<Cell<bool>>,
) -> Outcome {
    wait_for_startup(shared).await;
    let (head, body) = request.into_parts();
    let host = head.uri.host().map(str::to_owned).or_else(|| header_text(&head.headers, &HOST));
    let path = head.uri.path().to_owned();
    let draw = rand::rng().random::<f64>();
    let host = host.unwrap_or_default();
    let credential = (shared.wire.read_credential)(&head.headers);
    let (limits, found, access, lacks_version) = shared.hub.ask(move |node, _| {
        let found = node.route(&host, &path, draw);
        let lacks_version = node.cursor(Table::Configuration).behind().is_some();
        let access = match &found {
            RouteMatch::Found { route, .. } => node.access(route, credential, boot_now()),
            RouteMatch::Unknown | RouteMatch::Missing => Access::Unchecked,
        };
        (node.limits(), found, access, lacks_version)
    });
    let checks = access != Access::Unchecked;
    let body_end = arrived + limits.idle_time;
    let admitted = match found {
        RouteMatch::Unknown => {
            let cause = "no configuration is known yet";
            Err((None, Failure::NotRun { retry_after: DEFAULT_RETRY_AFTER, cause }))
        }
        RouteMatch::Missing if lacks_version => {
            let cause = "a newer configuration is being read";
            Err((None, Failure::NotRun { retry_after: NEWER_RETRY_AFTER, cause }))
        }
        RouteMatch::Missing => Err((None, Failure::NoRoute)),
        RouteMatch::Found { route, service, version } => match admit(access) {
            Ok(customer) => Ok((route, service, version, customer)),
            Err(failure) => Err((Some(route), failure)),
        },
    };
    let (route, service, version, customer) = match admitted {
        Ok(admitted) => admitted,
        Err(refusal) => {
            drain_body(body, limits.body_bytes, body_end).await;
            return Err(refusal);
        }
    };
    let id: Option<Rc<str>> = facts.id.as_deref().map(Rc::from);
    let hold = shared.memory.hold(MemoryKind::Body, id.clone());
    let body_limits = BodyLimits {
        bytes: limits.body_bytes,
        deadline: body_end,
        expects: head.headers.contains_key(EXPECT),
    };
    let body = read_body(&hold, body, body_limits).await;
    let body = body.map_err(|failure| (Some(route.clone()), failure))?;
    if head_bytes(&head) > limits.longest_head() {
        let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
        return Err((Some(route), Failure::BadRequest(status, "head too large")));
    }
    let mut headers = head.headers;
    strip_hop_by_hop(&mut headers);
    headers.remove(EXPECT);
    if checks {
        headers.remove(AUTHORIZATION);
    }
    let uri = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let Ok(uri) = uri.parse() else {
        return Err((Some(route), Failure::BadRequest(StatusCode::BAD_REQUEST, "malformed path")));
    };
    let timeout = facts.deadline.map_or(route.timeout, |deadline| deadline.min(route.timeout));
    let metered = customer.clone();
    let call = Call {
        shared: shared.clone(),
        forwarded: ForwardedRequest { id, method: head.method, uri, headers, body },
        facts,
        credential,
        customer,
        route: route.clone(),
        service,
        version,
        arrived,
        deadline: arrived + timeout,
        tried: Vec::new(),
        spared: Vec::new(),
        sends: 0,
        dispatches: Dispatches::new(passed_on),
        not_sent: 0,
        backup: None,
        begun: None,
        answering: false,
        crashes: 0,
        trial: false,
        fingerprint: OnceCell::new(),
        meter: RunMeter::new(shared.clone(), metered),
        hedge: None,
    };
    let (service, matched) = (call.service.name.clone(), route.clone());
    shared.hub.ask(move |node, now| node.note_first(&service, now));
    let generates = call.service.engine.is_some() || call.route.kind.is_stream();
    let mut response = if generates { generate(call).await } else { relay_plain(call).await };
    if let Ok(response) = &mut response {
        response.body_mut().hold_memory(hold);
    }
    response.map(|response| (matched, response)).map_err(|failure| (Some(route), failure))
}

/// The customer on whose behalf a request is sent.
///
/// # Errors
///
/// The failure that a caller without a valid key receives.
fn admit(access: Access) -> Result<Option<Arc<Customer>>, Failure> {
    let failure = match access {
        Access::Unchecked | Access::Anonymous => return Ok(None),
        Access::Granted(customer) => return Ok(Some(customer)),
        Access::Denied(cause) => Failure::Unauthorized(cause),
        Access::Unproven => Failure::unproven(),
    };
    let status = failure.status().as_u16().to_string();
    metrics::counter!("agatestair_serve_key_refusals_total", "status" => status).increment(1);
    Err(failure)
}

/// Failure of a request whose handling has ended early without a response.
fn interrupted(passed_on: bool, cause: &'static str) -> Failure {
    if passed_on {
        Failure::MayHaveRun(cause.to_owned())
    } else {
        Failure::NotRun { retry_after: Duration::ZERO, cause }
    }
}

/// Waits briefly until configuration and endpoints are loaded, unless the store is unavailable.
///
/// After a restart, callers connect before the process has loaded anything.
async fn wait_for_startup(shared: &Shared) {
    let deadline = Instant::now() + STARTUP_WAIT;
    while shared.hub.ask(|node, _| node.is_starting()) && Instant::now() < deadline {
        sleep(STARTUP_POLL).await;
    }
}

/// Size of a request head, in bytes.
fn head_bytes(head: &Parts) -> usize {
    let headers = head.headers.iter();
    // Each line has a colon, a space and a line break.
    let headers = headers.map(|(name, value)| name.as_str().len() + value.len() + 4);
    head.uri.path_and_query().map_or(0, |path| path.as_str().len()) + headers.sum::<usize>()
}

fn header_text(headers: &HeaderMap, name: &http::HeaderName) -> Option<String> {
    headers.get(name).and_then(|value| value.to_str().ok()).map(str::to_owned)
}
