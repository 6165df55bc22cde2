//! Handles completions and chats.

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
use crate::http::answer::{Answer, AnswerBody, answer};
use crate::http::body::{parse_json, read_body};
use crate::http::events::EventBody;
use crate::http::front::Front;
use crate::http::shapes::Shape;
use crate::refusal::{RefusalKind, Refused};
use crate::view::{ListsView, View};

/// Parts that a caller may leave unread before its answer is cut.
const MAX_UNREAD: usize = 4096;
/// Greatest number of output tokens that may be asked for.
const MAX_TOKENS: u32 = 131_072;

/// What a caller asks, whichever interface it uses.
struct Asked {
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
/// A refusal.
pub async fn complete(
    front: &Arc<Front>,
    request: Request<Incoming>,
    lists: &ListsView,
    caller: Caller,
) -> Result<Answer, Refused> {
    let chat = request.uri().path().ends_with("/chat/completions");
    let body = read_body(request.into_body(), front.settings.max_body).await?;
    let asked = parse(chat, &body)?;
    drop(body);
    let service = find_service(&front.view(), lists, &caller, &asked.model)?;
    let permit = front.take_place().inspect_err(|_| {
        front.count_refused(&caller, &service, SloKind::Completion);
    })?;
    let shape = shape_of(&asked, &caller);
    let (reply, mut parts) = mpsc::channel(MAX_UNREAD);
    let number = caller.number;
    let notice = front.notice(number);
    front.channel.send(EntryMessage::Completion(Box::new(CompletionJob {
        caller,
        service,
        model: asked.model.into(),
        prompt: asked.prompt.into(),
        max_tokens: asked.max_tokens,
        reply,
    })));
    let first = match parts.recv().await {
        Some(CompletionEvent::Refused(refused)) => return Err(refused),
        Some(part) => part,
        None => return Err(lost()),
    };
    if asked.stream {
        let events = EventBody::new(first, parts, shape, notice, permit);
        return Ok(stream_answer(events));
    }
    gather(first, parts, &shape).await
}

/// Waits for the whole answer; a part of it is never passed on.
async fn gather(
    first: CompletionEvent,
    mut parts: mpsc::Receiver<CompletionEvent>,
    shape: &Shape,
) -> Result<Answer, Refused> {
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
                    let body = shape.whole(&text, &finish, tokens);
                    return Ok(answer(200, "application/json", body));
                }
            }
        }
        next = parts.recv().await;
    }
    Err(lost())
}

/// Failure of a request whose actor has gone.
fn lost() -> Refused {
    Refused::with_state(RefusalKind::Failed, RunState::Unknown)
}

fn stream_answer(events: EventBody) -> Answer {
    let mut answer = Answer::new(AnswerBody::Events(Box::new(events)));
    let headers = answer.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    answer
}

fn parse(chat: bool, body: &[u8]) -> Result<Asked, Refused> {
    let bad = |problem: &str| Refused::not_run(RefusalKind::BadRequest).because(problem);
    let asked = if chat {
        let request: ChatRequest = parse_json(body)?;
        if request.messages.is_empty() {
            return Err(bad("messages: give at least one"));
        }
        Asked {
            chat,
            prompt: chat_prompt(&request.messages),
            model: request.model,
            max_tokens: request.max_tokens,
            stream: request.stream,
        }
    } else {
        let request: PromptRequest = parse_json(body)?;
        Asked {
            chat,
            prompt: request.prompt,
            model: request.model,
            max_tokens: request.max_tokens,
            stream: request.stream,
        }
    };
    if asked.prompt.is_empty() {
        return Err(bad("prompt: give a text that is not empty"));
    }
    if asked.max_tokens == 0 || asked.max_tokens > MAX_TOKENS {
        return Err(bad(&format!("max_tokens: give 1 to {MAX_TOKENS}")));
    }
    Ok(asked)
}

fn find_service(
    view: &View,
    lists: &ListsView,
    caller: &Caller,
    model: &str,
) -> Result<Arc<str>, Refused> {
    let allowance = lists.allowance(&caller.customer.plan);
    let Some(allowance) = allowance.filter(|a| a.models.iter().any(|name| name == model)) else {
        return Err(Refused::not_run(RefusalKind::NotAllowed).because(format!("model `{model}`")));
    };
    view.service_of(model, &allowance.services)
        .ok_or_else(|| Refused::not_run(RefusalKind::NoEndpoint))
}

fn shape_of(asked: &Asked, caller: &Caller) -> Shape {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Shape {
        chat: asked.chat,
        id: caller.id.clone(),
        model: asked.model.as_str().into(),
        created: now.as_secs(),
        prompt_tokens: count_tokens(&asked.prompt),
    }
}
