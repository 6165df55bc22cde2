//! Routes requests to their handlers.

use std::sync::Arc;

use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::{Method, Request};
use tokio::sync::oneshot;

use crate::core::message::{Caller, EntryMessage};
use crate::http::response::{HttpResponse, REQUEST_HEADER, respond, respond_json, respond_refused};
use crate::http::state::ServerState;
use crate::http::{calls, completions, entries};
use crate::refusal::{RefusalKind, Refused};
use crate::view::ListsView;

/// Path prefix of calls to plain services.
const SERVICES: &str = "/v1/services/";
/// Path prefix of request explanations.
const EXPLAIN: &str = "/v1/explain/";
/// Content type of the metrics page.
const METRICS_TEXT: &str = "text/plain; version=0.0.4";

/// Handles one request; every response carries the request identifier.
pub async fn handle(server: Arc<ServerState>, request: Request<Incoming>) -> HttpResponse {
    let number = server.next_number();
    let id = server.identifier(number);
    let mut response = match route(&server, request, number, &id).await {
        Ok(response) => response,
        Err(refused) => {
            metrics::counter!("agatestair_refusals_total", "code" => refused.kind.code())
                .increment(1);
            respond_refused(&refused, &id)
        }
    };
    let value = HeaderValue::from_str(&id).expect("identifiers are visible ASCII");
    response.headers_mut().insert(REQUEST_HEADER, value);
    if server.view().leaving {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn route(
    server: &Arc<ServerState>,
    request: Request<Incoming>,
    number: crate::core::message::RequestNumber,
    id: &Arc<str>,
) -> Result<HttpResponse, Refused> {
    let path = request.uri().path().to_owned();
    match path.as_str() {
        "/healthz" => {
            require_method(&request, &Method::GET)?;
            Ok(respond(200, "text/plain", "ok\n"))
        }
        "/readyz" => {
            require_method(&request, &Method::GET)?;
            ready(server)
        }
        "/metrics" => {
            require_method(&request, &Method::GET)?;
            Ok(respond(200, METRICS_TEXT, server.metrics.render()))
        }
        "/v1/entries" => {
            require_method(&request, &Method::GET)?;
            entries::respond_entries(server, request.uri().query().unwrap_or_default())
        }
        "/v1/completions" | "/v1/chat/completions" => {
            require_method(&request, &Method::POST)?;
            let (lists, caller) = identify(server, &request, number, id)?;
            completions::complete(server, request, &lists, caller).await
        }
        _ if path.starts_with(SERVICES) => {
            let rest = &path[SERVICES.len()..];
            let (service, _) = rest.split_once('/').unwrap_or((rest, ""));
            let service: Arc<str> = service.into();
            let (lists, caller) = identify_call(server, &request, number, id)?;
            calls::call(server, request, service, &lists, caller).await
        }
        _ if path.starts_with(EXPLAIN) => {
            require_method(&request, &Method::GET)?;
            let (_, caller) = identify(server, &request, number, id)?;
            explain(server, &path[EXPLAIN.len()..], &caller).await
        }
        _ => Err(Refused::not_run(RefusalKind::NotFound).with_detail("no such path")),
    }
}

fn require_method(request: &Request<Incoming>, method: &Method) -> Result<(), Refused> {
    if request.method() == method {
        return Ok(());
    }
    Err(Refused::not_run(RefusalKind::WrongMethod).with_detail(format!("use {method}")))
}

/// Current lists and the authenticated caller, if the entry may accept requests now.
fn identify(
    server: &ServerState,
    request: &Request<Incoming>,
    number: crate::core::message::RequestNumber,
    id: &Arc<str>,
) -> Result<(Arc<ListsView>, Caller), Refused> {
    let view = server.view();
    let lists = view.admit()?.clone();
    let customer = server.authenticate(&lists, request.headers())?;
    Ok((lists, Caller { number, id: id.clone(), customer }))
}

/// Like [`identify`], but refusals of keyed calls say that an earlier call may have run.
fn identify_call(
    server: &ServerState,
    request: &Request<Incoming>,
    number: crate::core::message::RequestNumber,
    id: &Arc<str>,
) -> Result<(Arc<ListsView>, Caller), Refused> {
    let keyed = calls::is_keyed(request.method(), request.headers());
    identify(server, request, number, id)
        .map_err(|refused| calls::with_unread_record(refused, keyed))
}

fn ready(server: &ServerState) -> Result<HttpResponse, Refused> {
    let view = server.view();
    if view.leaving {
        return Err(Refused::not_run(RefusalKind::Leaving));
    }
    view.admit()?;
    Ok(respond(200, "text/plain", "ready\n"))
}

async fn explain(
    server: &ServerState,
    request: &str,
    caller: &Caller,
) -> Result<HttpResponse, Refused> {
    let (reply, explanation) = oneshot::channel();
    let request = request.to_owned();
    let customer = caller.customer.name.clone();
    server.channel.send(EntryMessage::Explain { request, customer, reply });
    match explanation.await {
        Ok(Some(explanation)) => Ok(respond_json(200, &explanation)),
        _ => Err(Refused::not_run(RefusalKind::NotFound)
            .with_detail("no such request of this customer is remembered by this entry")),
    }
}
