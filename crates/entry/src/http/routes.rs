//! Finds the handler of a request.

use std::sync::Arc;

use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Method, Request};
use tokio::sync::oneshot;

use crate::core::message::{Caller, EntryMessage};
use crate::http::answer::{Answer, REQUEST_HEADER, answer, answer_json, answer_refused};
use crate::http::front::Front;
use crate::http::{calls, completions, entries};
use crate::refusal::{RefusalKind, Refused};
use crate::view::ListsView;

/// Path prefix of plain services.
const SERVICES: &str = "/v1/services/";
/// Path prefix of explanations.
const EXPLAIN: &str = "/v1/explain/";
/// Content type of metrics.
const METRICS_TEXT: &str = "text/plain; version=0.0.4";

/// Answers one request; every answer carries the identifier of the request.
pub async fn handle(front: Arc<Front>, request: Request<Incoming>) -> Answer {
    let number = front.next_number();
    let id = front.identifier(number);
    let mut answer = match route(&front, request, number, &id).await {
        Ok(answer) => answer,
        Err(refused) => {
            metrics::counter!("agatestair_refusals_total", "code" => refused.kind.code())
                .increment(1);
            answer_refused(&refused, &id)
        }
    };
    let value = HeaderValue::from_str(&id).expect("identifiers are visible ASCII");
    answer.headers_mut().insert(REQUEST_HEADER, value);
    answer
}

async fn route(
    front: &Arc<Front>,
    request: Request<Incoming>,
    number: crate::core::message::RequestNumber,
    id: &Arc<str>,
) -> Result<Answer, Refused> {
    let path = request.uri().path().to_owned();
    match path.as_str() {
        "/healthz" => {
            only(&request, &Method::GET)?;
            Ok(answer(200, "text/plain", "ok\n"))
        }
        "/readyz" => {
            only(&request, &Method::GET)?;
            ready(front)
        }
        "/metrics" => {
            only(&request, &Method::GET)?;
            Ok(answer(200, METRICS_TEXT, front.metrics.render()))
        }
        "/v1/entries" => {
            only(&request, &Method::GET)?;
            entries::answer_entries(front, request.uri().query().unwrap_or_default())
        }
        "/v1/completions" | "/v1/chat/completions" => {
            only(&request, &Method::POST)?;
            let (lists, caller) = identify(front, &request, number, id)?;
            completions::complete(front, request, &lists, caller).await
        }
        _ if path.starts_with(SERVICES) => {
            let rest = &path[SERVICES.len()..];
            let (service, _) = rest.split_once('/').unwrap_or((rest, ""));
            let service: Arc<str> = service.into();
            let (lists, caller) = identify_call(front, &request, number, id)?;
            calls::call(front, request, service, &lists, caller).await
        }
        _ if path.starts_with(EXPLAIN) => {
            only(&request, &Method::GET)?;
            let (_, caller) = identify(front, &request, number, id)?;
            explain(front, &path[EXPLAIN.len()..], &caller).await
        }
        _ => Err(Refused::not_run(RefusalKind::NotFound).because("no such path")),
    }
}

fn only(request: &Request<Incoming>, method: &Method) -> Result<(), Refused> {
    if request.method() == method {
        return Ok(());
    }
    Err(Refused::not_run(RefusalKind::WrongMethod).because(format!("use {method}")))
}

/// Lists in force and the caller, if the entry may take work now.
fn identify(
    front: &Front,
    request: &Request<Incoming>,
    number: crate::core::message::RequestNumber,
    id: &Arc<str>,
) -> Result<(Arc<ListsView>, Caller), Refused> {
    let view = front.view();
    let lists = view.admit()?.clone();
    let customer = front.authenticate(&lists, request.headers())?;
    Ok((lists, Caller { number, id: id.clone(), customer }))
}

/// Like [`identify`]; of a call with a key it is not known whether an earlier one ran.
fn identify_call(
    front: &Front,
    request: &Request<Incoming>,
    number: crate::core::message::RequestNumber,
    id: &Arc<str>,
) -> Result<(Arc<ListsView>, Caller), Refused> {
    let keyed = calls::is_keyed(request.method(), request.headers());
    identify(front, request, number, id).map_err(|refused| calls::unread(refused, keyed))
}

fn ready(front: &Front) -> Result<Answer, Refused> {
    let view = front.view();
    if view.leaving {
        return Err(Refused::not_run(RefusalKind::Leaving));
    }
    view.admit()?;
    Ok(answer(200, "text/plain", "ready\n"))
}

async fn explain(front: &Front, request: &str, caller: &Caller) -> Result<Answer, Refused> {
    let (reply, explanation) = oneshot::channel();
    let request = request.to_owned();
    let customer = caller.customer.name.clone();
    front.channel.send(EntryMessage::Explain { request, customer, reply });
    match explanation.await {
        Ok(Some(explanation)) => Ok(answer_json(200, &explanation)),
        _ => Err(Refused::not_run(RefusalKind::NotFound)
            .because("no such request of this customer is remembered by this entry")),
    }
}
