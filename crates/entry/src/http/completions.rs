//! Handles completions and chat completions.

use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use agatestair_schema::caller::{ChatRequest, PromptRequest, RunState};
use agatestair_schema::slo::SloKind;
use agatestair_schema::{chat_prompt, count_tokens};
use hyper::Request;
use hyper::body::Incoming;
use hyper::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue};
use tokio::sync::mpsc;

use crate::core::message::{Caller, CompletionEvent, CompletionJob, EntryMessage};
use crate::http::body::{parse_json, read_body};
use crate::http::openai::ResponseFormat;
use crate::http::response::{HttpResponse, ResponseBody, respond};
use crate::http::state::ServerState;
use crate::http::stream::EventBody;
use crate::refusal::{RefusalKind, Refused};
use crate::view::{ListsView, View};

/// Parts buffered for a slow caller before its response is truncated.
const MAX_UNREAD: usize = 4096;
/// Upper limit of `max_tokens`.
const MAX_TOKENS: u32 = 131_072;

/// A completion request, decoded from either API.
struct ParsedRequest {
    chat: bool,
    model: String,
    prompt: String,
    max_tokens: u32,
    stream: bool,
}

/// Handles `POST /v1/completions` and `POST /v1/chat/completions`.
///
/// # Errors
///
/// The refusal to send to the caller.
pub async fn complete(
    server: &Arc<ServerState>,
    request: Request<Incoming>,
    lists: &ListsView,
    caller: Caller,
) -> Result<HttpResponse, Refused> {
    let chat = request.uri().path().ends_with("/chat/completions");
    let body = read_body(server, request.into_body()).await?;
    let parsed = parse(chat, &body)?;
    drop(body);
    let service = find_service(&server.view(), lists, &caller, &parsed.model)?;
    let permit = server.acquire_permit().inspect_err(|_| {
        server.count_refused(&caller, &service, SloKind::Completion);
    })?;
    let format = format_of(&parsed, &caller);
    let (reply, mut parts) = mpsc::channel(MAX_UNREAD);
    let number = caller.number;
    let guard = server.guard(number);
    server.channel.send(EntryMessage::Completion(Box::new(CompletionJob {
        caller,
        service,
        model: parsed.model.into(),
        prompt: parsed.prompt.into(),
        max_tokens: parsed.max_tokens,
        reply,
    })));
    let first = match parts.recv().await {
        Some(CompletionEvent::Refused(refused)) => return Err(refused),
        Some(part) => part,
        None => return Err(actor_gone()),
    };
    if parsed.stream {
        let events = EventBody::new(first, parts, format, guard, permit);
        return Ok(stream_response(events));
    }
    collect_response(first, parts, &format).await
}

/// Collects the complete response; a partial one is never returned.
async fn collect_response(
    first: CompletionEvent,
    mut parts: mpsc::Receiver<CompletionEvent>,
    format: &ResponseFormat,
) -> Result<HttpResponse, Refused> {
    let mut text = String::new();
    let mut tokens = 0;
    let mut next = Some(first);
    while let Some(event) = next {
        match event {
            CompletionEvent::Refused(refused) => return Err(refused),
            CompletionEvent::Part(part) => {
                text.push_str(&part.text);
                tokens += part.tokens;
                if let Some(finish) = part.finish {
                    let body = format.full_body(&text, &finish, tokens);
                    return Ok(respond(200, "application/json", body));
                }
            }
        }
        next = parts.recv().await;
    }
    Err(actor_gone())
}

/// Failure of a request whose actor has stopped.
fn actor_gone() -> Refused {
    Refused::with_state(RefusalKind::Failed, RunState::Unknown)
}

fn stream_response(events: EventBody) -> HttpResponse {
    let mut response = HttpResponse::new(ResponseBody::Events(Box::new(events)));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    response
}

fn parse(chat: bool, body: &[u8]) -> Result<ParsedRequest, Refused> {
    let bad = |problem: &str| Refused::not_run(RefusalKind::BadRequest).with_detail(problem);
    let parsed = if chat {
        let request: ChatRequest = parse_json(body)?;
        if request.messages.is_empty() {
            return Err(bad("messages: give at least one"));
        }
        ParsedRequest {
            chat,
            prompt: chat_prompt(&request.messages),
            model: request.model,
            max_tokens: request.max_tokens,
            stream: request.stream,
        }
    } else {
        let request: PromptRequest = parse_json(body)?;
        ParsedRequest {
            chat,
            prompt: request.prompt,
            model: request.model,
            max_tokens: request.max_tokens,
            stream: request.stream,
        }
    };
    if parsed.prompt.is_empty() {
        return Err(bad("prompt: give a text that is not empty"));
    }
    if parsed.max_tokens == 0 || parsed.max_tokens > MAX_TOKENS {
        return Err(bad(&format!("max_tokens: give 1 to {MAX_TOKENS}")));
    }
    Ok(parsed)
}

fn find_service(
    view: &View,
    lists: &ListsView,
    caller: &Caller,
    model: &str,
) -> Result<Arc<str>, Refused> {
    let allowance = lists.allowance(&caller.customer.plan);
    let Some(allowance) = allowance.filter(|a| a.models.iter().any(|name| name == model)) else {
        return Err(
            Refused::not_run(RefusalKind::NotAllowed).with_detail(format!("model `{model}`"))
        );
    };
    view.service_of(model, &allowance.services)
        .ok_or_else(|| Refused::not_run(RefusalKind::NoEndpoint))
}

fn format_of(parsed: &ParsedRequest, caller: &Caller) -> ResponseFormat {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    ResponseFormat {
        chat: parsed.chat,
        id: caller.id.clone(),
        model: parsed.model.as_str().into(),
        created: now.as_secs(),
        prompt_tokens: count_tokens(&parsed.prompt),
    }
}
