//! Handles calls to plain services.

use std::sync::Arc;

use agatestair_schema::caller::RunState;
use agatestair_schema::slo::SloKind;
use hyper::body::Incoming;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{HeaderMap, Method, Request};
use percent_encoding::percent_decode_str;
use tokio::sync::oneshot;

use crate::core::message::{CallJob, CallRequest, CallResponse, Caller, EntryMessage};
use crate::endpoint::service::is_hop_by_hop;
use crate::http::body::{read_body, single_header};
use crate::http::keyed::{KeyedCall, run_keyed};
use crate::http::response::{HttpResponse, REQUEST_HEADER, respond};
use crate::http::server::spawn_detached;
use crate::http::state::{OpenPermit, ServerState};
use crate::refusal::{RefusalKind, Refused};
use crate::view::{ListsView, state_without_record};

/// Header with which a non-idempotent call can be retried safely.
pub const KEY_HEADER: &str = "idempotency-key";
/// Maximum length of an idempotency key, in characters.
const MAX_KEY_LENGTH: usize = 200;
/// First segment of the endpoint paths that are reserved for entries.
const RESERVED_SEGMENT: &str = "agatestair";
/// Request headers that are not forwarded, in addition to the hop-by-hop ones.
const DROPPED_HEADERS: [&str; 5] = ["authorization", "host", "expect", REQUEST_HEADER, KEY_HEADER];

/// Whether a call is non-idempotent and carries an idempotency key.
pub fn is_keyed(method: &Method, headers: &HeaderMap) -> bool {
    !is_idempotent(method) && headers.contains_key(KEY_HEADER)
}

/// Sets the run state of a refusal that precedes reading the idempotency record: unknown if the
/// call is keyed, because an earlier call with the key may have run.
pub fn with_unread_record(mut refused: Refused, keyed: bool) -> Refused {
    if refused.ran == RunState::NotRun {
        refused.ran = state_without_record(keyed);
    }
    refused
}

fn is_idempotent(method: &Method) -> bool {
    matches!(*method, Method::GET | Method::HEAD | Method::PUT | Method::DELETE | Method::OPTIONS)
}

/// Handles a call to `service`.
///
/// # Errors
///
/// The refusal to send to the caller.
pub async fn call(
    server: &Arc<ServerState>,
    request: Request<Incoming>,
    service: Arc<str>,
    lists: &Arc<ListsView>,
    caller: Caller,
) -> Result<HttpResponse, Refused> {
    let keyed = is_keyed(request.method(), request.headers());
    let prepared = prepare(server, request, &service, lists, &caller).await;
    let (call, key) = prepared.map_err(|refused| with_unread_record(refused, keyed))?;
    let permit = server.acquire_permit().map_err(|refused| {
        server.count_refused(&caller, &service, SloKind::Call);
        with_unread_record(refused, keyed)
    })?;
    let idempotent = call.method.parse().is_ok_and(|method| is_idempotent(&method));
    let call = Arc::new(call);
    let response = match key.filter(|_| !idempotent) {
        Some(key) => {
            let keyed = KeyedCall { caller, service, key, call, lists: lists.clone() };
            run_detached(server, keyed, permit).await?
        }
        None => {
            let guard = server.guard(caller.number);
            let response = submit(server, caller, service, call, idempotent).await;
            drop(guard);
            drop(permit);
            response?
        }
    };
    Ok(call_response(response))
}

/// Validates a call and reads its body.
async fn prepare(
    server: &ServerState,
    request: Request<Incoming>,
    service: &Arc<str>,
    lists: &ListsView,
    caller: &Caller,
) -> Result<(CallRequest, Option<String>), Refused> {
    let (head, body) = request.into_parts();
    let known = [Method::POST, Method::PATCH];
    if !is_idempotent(&head.method) && !known.contains(&head.method) {
        let refused = Refused::not_run(RefusalKind::WrongMethod);
        return Err(refused.with_detail("use GET, HEAD, PUT, DELETE, OPTIONS, POST or PATCH"));
    }
    let allowance = lists.allowance(&caller.customer.plan);
    if !allowance.is_some_and(|a| a.services.iter().any(|name| **name == **service)) {
        let refused = Refused::not_run(RefusalKind::NotAllowed);
        return Err(refused.with_detail(format!("service `{service}`")));
    }
    let view = server.view();
    if !view.fleet.is_some_and(|fleet| fleet.services.contains_key(service)) {
        return Err(Refused::not_run(RefusalKind::NoEndpoint));
    }
    let target = head.uri.path_and_query().map_or("/", |target| target.as_str());
    let prefix = "/v1/services/".len() + service.len();
    let path = match &target[prefix..] {
        "" => "/".to_owned(),
        rest if rest.starts_with('/') => rest.to_owned(),
        rest => format!("/{rest}"),
    };
    check_path(&path)?;
    let key = single_header(&head.headers, KEY_HEADER, MAX_KEY_LENGTH)?;
    let body = read_body(server, body).await?;
    if !body.is_empty() && matches!(head.method, Method::GET | Method::HEAD | Method::DELETE) {
        let refused = Refused::not_run(RefusalKind::BadRequest);
        return Err(refused.with_detail(format!("{} takes no body", head.method)));
    }
    let mut headers = forwarded_headers(&head.headers);
    headers.push((REQUEST_HEADER.to_owned(), caller.id.to_string()));
    headers.extend(key.iter().map(|key| (KEY_HEADER.to_owned(), key.clone())));
    Ok((CallRequest { method: head.method.to_string(), path, headers, body }, key))
}

/// Runs a keyed call to completion, even if the caller disconnects.
async fn run_detached(
    server: &Arc<ServerState>,
    keyed: KeyedCall,
    permit: OpenPermit,
) -> Result<CallResponse, Refused> {
    let (reply, response) = oneshot::channel();
    let detached = server.clone();
    spawn_detached(server, async move {
        run_keyed(&detached, keyed, reply).await;
        drop(permit);
    });
    let actor_gone = || Refused::with_state(RefusalKind::OutcomeUnknown, RunState::Unknown);
    let Some(response) = server.ending.run_until_cancelled(response).await else {
        return Err(Refused::with_state(RefusalKind::Leaving, RunState::Unknown));
    };
    response.unwrap_or_else(|_| Err(actor_gone()))
}

/// Submits a call to the actor and waits for the response.
///
/// # Errors
///
/// The refusal to send to the caller.
pub async fn submit(
    server: &ServerState,
    caller: Caller,
    service: Arc<str>,
    request: Arc<CallRequest>,
    idempotent: bool,
) -> Result<CallResponse, Refused> {
    let (reply, response) = oneshot::channel();
    let job = CallJob { caller, service, request, idempotent, reply };
    server.channel.send(EntryMessage::Call(Box::new(job)));
    let actor_gone = || Refused::with_state(RefusalKind::OutcomeUnknown, RunState::Unknown);
    response.await.unwrap_or_else(|_| Err(actor_gone()))
}

/// Refuses paths with `.` or `..` segments and paths reserved for entries, also if they are
/// percent-encoded.
fn check_path(path: &str) -> Result<(), Refused> {
    let path = path.split('?').next().unwrap_or_default();
    let decoded = decode(path);
    let mut segments = decoded.split(['/', '\\']).filter(|segment| !segment.is_empty());
    if segments.clone().any(|segment| segment == ".." || segment == ".") {
        let refused = Refused::not_run(RefusalKind::BadRequest);
        return Err(refused.with_detail("path: segments `.` and `..` are not allowed"));
    }
    if segments.next().is_some_and(|first| first.eq_ignore_ascii_case(RESERVED_SEGMENT)) {
        return Err(Refused::not_run(RefusalKind::NotFound).with_detail("no such path"));
    }
    Ok(())
}

/// Decodes percent-encoding.
fn decode(path: &str) -> String {
    percent_decode_str(path).decode_utf8_lossy().into_owned()
}

fn forwarded_headers(headers: &HeaderMap) -> Vec<(String, String)> {
    headers
        .iter()
        .filter(|(name, _)| {
            !is_hop_by_hop(name.as_str()) && !DROPPED_HEADERS.contains(&name.as_str())
        })
        .filter_map(|(name, value)| {
            let value = value.to_str().ok()?;
            Some((name.as_str().to_owned(), value.to_owned()))
        })
        .collect()
}

fn call_response(call: CallResponse) -> HttpResponse {
    let mut response = respond(call.status, "application/octet-stream", call.body);
    response.headers_mut().remove(hyper::header::CONTENT_TYPE);
    for (name, value) in &call.headers {
        if name == REQUEST_HEADER {
            continue;
        }
        let name = HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
            response.headers_mut().append(name, value);
        }
    }
    response
}
