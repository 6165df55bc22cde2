//! Requests to model engines; long prompts are prefilled on one engine and decoded on another.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use agatestair_policy::EndpointKey;
use agatestair_policy::board::FailureKind;
use agatestair_runtime::log_event;
use http::Response;
use tokio::time::{Instant, timeout_at};

use crate::attempt_guard::AttemptGuard;
use crate::awaited::{ATTEMPT_SHARE, Attempt, Awaited, News, TIMEOUT_FACTOR, probe_delay};
use crate::body::ResponseBody;
use crate::call::{Call, QUARANTINED_CAUSE, after_failure};
use crate::connection::request_once;
use crate::crash::{note_broken, until_quarantined};
use crate::dispatches::Work;
use crate::events::HANDLE_NOT_FREED;
use crate::node::Search;
use crate::reach::until_unreachable;
use crate::relay::relay;
use crate::response::{Failure, not_run, respond};
use crate::send::{EndpointRef, EndpointResponse, SendOutcome, note_availability};
use crate::shared::Shared;
use crate::wire::{HandleName, Phase};

/// Maximum size of the response to a prefill request, in bytes.
const MAX_HANDLE_BYTES: usize = 64 * 1024;

/// Multiple of the latency objective that a prefill may take at least before it is abandoned. The
/// response misses its objective by then, and an engine that is only busy has usually finished.
const PREFILL_FACTOR: f64 = 2.0;

/// Retry delay returned to the caller after a failed prefill.
const PREFILL_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Timeout of the call that frees an unused prefilled prompt. If the call fails, the engine frees
/// the prompt itself later.
const FREE_TIMEOUT: Duration = Duration::from_secs(1);

/// A prefilled prompt that one engine keeps for another; dropping an unused handle frees it.
pub struct PromptHandle {
    shared: Rc<Shared>,
    source: EndpointKey,
    endpoint: Arc<str>,
    address: SocketAddr,
    name: HandleName,
    used: bool,
}

impl Drop for PromptHandle {
    fn drop(&mut self) {
        if !self.used {
            let (shared, endpoint) = (self.shared.clone(), self.endpoint.clone());
            let (source, address, name) = (self.source, self.address, self.name.clone());
            tokio::task::spawn_local(async move {
                let endpoint = EndpointRef { key: source, name: &endpoint };
                free_prompt(&shared, endpoint, address, &name).await;
            });
        }
    }
}

async fn free_prompt(
    shared: &Shared,
    endpoint: EndpointRef<'_>,
    address: SocketAddr,
    name: &HandleName,
) {
    let key = endpoint.key;
    if !shared.hub.ask(move |node, now| node.spend_limit(key, now)) {
        log_event!(shared.log, HANDLE_NOT_FREED, "handle" => &**name, "endpoint" => endpoint.name,
            "error" => "the endpoint's rate limit is reached");
        return;
    }
    let call = (shared.wire.free_handle)(name);
    match request_once(call, address, FREE_TIMEOUT, MAX_HANDLE_BYTES).await {
        Ok(response) => {
            let facts = (shared.wire.read_response)(response.headers());
            note_availability(shared, endpoint, None, response.status(), &facts);
        }
        Err(error) => {
            log_event!(shared.log, HANDLE_NOT_FREED, "handle" => &**name,
                "endpoint" => endpoint.name, "error" => error);
        }
    }
}

/// Progress of a request until an engine responds.
struct Progress {
    /// Whether the prompt may be prefilled on another engine.
    split: bool,
    /// A prefilled prompt that no attempt has used.
    handle: Option<PromptHandle>,
    /// Attempts in progress, each with the prefilled prompt that it uses.
    awaited: Awaited<Option<PromptHandle>>,
    /// A server error, which the caller receives if no better response follows.
    error: Option<(AttemptGuard, Box<EndpointResponse>)>,
}

/// What follows the outcome of an attempt.
enum Step {
    /// Another attempt.
    Again,
    /// The attempts in progress go on.
    Wait,
    /// The response starts.
    Respond(Box<(AttemptGuard, EndpointResponse)>),
    /// The request has failed.
    Fail(Failure),
}

/// Runs a request on model engines and streams the response.
///
/// # Errors
///
/// Returns a [`Failure`] if no response could be started.
pub async fn generate(mut call: Call) -> Result<Response<ResponseBody>, Failure> {
    let mut progress = Progress {
        split: call.facts.prompt.is_some(),
        handle: None,
        awaited: Awaited::default(),
        error: None,
    };
    let (service, parts) = (call.service.name.clone(), call.likely_suspects());
    let quarantined = until_quarantined(call.shared.clone(), service, parts);
    tokio::pin!(quarantined);
    let mut step = Step::Again;
    loop {
        if matches!(step, Step::Again)
            && let Err(failure) = begin(&mut call, &mut progress).await
            && progress.awaited.is_empty()
        {
            step = Step::Fail(failure);
        }
        match step {
            Step::Again | Step::Wait => {}
            Step::Respond(answer) => {
                let (guard, _) = &*answer;
                progress.awaited.give_up(&mut call, "another endpoint has answered");
                call.end_hedge(guard);
                let (guard, response) = *answer;
                return start_stream(call, guard, response).await;
            }
            Step::Fail(failure) => {
                let error = progress.error.filter(|_| failure != Failure::TimedOut);
                let Some((guard, response)) = error else { return Err(failure) };
                return start_stream(call, guard, *response).await;
            }
        }
        let trial = call.trial;
        let news = tokio::select! {
            news = progress.awaited.next(&mut call) => news,
            () = &mut quarantined, if !trial => {
                return Err(Failure::MayHaveRun(QUARANTINED_CAUSE.to_owned()));
            }
        };
        step = note_news(&mut call, &mut progress, news).await;
    }
}

/// Places the next attempt and sends the request, after a prefill on another engine if that helps.
async fn begin(call: &mut Call, progress: &mut Progress) -> Result<(), Failure> {
    loop {
        let search = match &progress.handle {
            Some(handle) => Search::Decode(handle.source),
            None => Search::Run { split: progress.split },
        };
        let placed = call.place(search);
        let mut guard = placed.map_err(|denial| call.denial_failure(&denial))?;
        if guard.placement.prefill_only {
            progress.handle = prefill(call, &mut guard).await?;
            // After a failed prefill, the decode engine processes the prompt itself.
            progress.split = progress.handle.is_some();
            continue;
        }
        let handle = progress.handle.take();
        let phase = match &handle {
            Some(handle) => Phase::Decode { source: handle.address, handle: &handle.name },
            None => Phase::Whole,
        };
        let sending = call.begin_send(&guard, Work::Run, phase, None);
        // A second attempt would prefill the prompt again.
        if handle.is_none() {
            call.plan_hedge();
        }
        let attempt = Attempt::new(call, search, guard, sending, handle);
        progress.awaited.extend(Some(attempt));
        return Ok(());
    }
}

/// Begins a second attempt beside a late one, if it is allowed.
fn hedge(call: &mut Call, progress: &mut Progress) {
    let search = Search::Run { split: false };
    let Some(first) = progress.awaited.latest() else { return };
    let Some(guard) = call.place_hedge(search, &first.guard) else { return };
    let sending = call.begin_send(&guard, Work::Run, Phase::Whole, None);
    let attempt = Attempt::new(call, search, guard, sending, None);
    progress.awaited.extend(Some(attempt));
}

/// Decides what follows the outcome of an attempt, or its silence.
async fn note_news(
    call: &mut Call,
    progress: &mut Progress,
    news: News<Option<PromptHandle>>,
) -> Step {
    let (attempt, sent) = match news {
        News::Silent => {
            progress.split = false;
            call.retry_spared();
            if call.may_run_again() && begin(call, progress).await.is_err() {
                call.return_retry();
            }
            return Step::Wait;
        }
        News::Late => {
            hedge(call, progress);
            return Step::Wait;
        }
        // Only attempts to continue a stream are withdrawn.
        News::Withdrawn => return Step::Wait,
        News::TimedOut => {
            call.note_duration();
            progress.awaited.time_out(call);
            return Step::Fail(Failure::TimedOut);
        }
        News::Sent(attempt, sent) => (attempt, sent),
    };
    call.cancel_hedge();
    let backup = attempt.backup();
    let Attempt { guard, held: mut handle, .. } = *attempt;
    // A refusing engine may have failed to fetch the prompt; the handle is spent then.
    if matches!(sent, SendOutcome::NotSent(_) | SendOutcome::Withheld(_)) {
        progress.handle = handle.take();
    } else {
        progress.split = false;
    }
    match sent {
        SendOutcome::Responded(response) => {
            if let Some(handle) = &mut handle {
                handle.used = true;
            }
            call.backup = backup;
            let alone = progress.awaited.is_empty();
            if response.status.is_success() && !response.facts.signed && !alone {
                call.note_failed(&guard, FailureKind::Broken, "the answer is not signed");
                return Step::Wait;
            }
            if !response.status.is_server_error() || !call.route.kind.may_repeat() {
                if handle.is_none() && response.status.is_success() {
                    call.note_head(guard.elapsed());
                }
                return Step::Respond(Box::new((guard, *response)));
            }
            call.note_failed(&guard, FailureKind::Failed, "the endpoint failed");
            call.meter.note(Instant::now());
            let again = !progress.awaited.is_promising() && call.may_run_again();
            if !again && alone {
                return Step::Respond(Box::new((guard, *response)));
            }
            progress.error = Some((guard, response));
            if again { Step::Again } else { Step::Wait }
        }
        sent => {
            if matches!(sent, SendOutcome::Unknown(_)) {
                note_broken(call, &guard, None).await;
            }
            if progress.awaited.is_promising() {
                call.note_unanswered(&guard, &sent);
                return Step::Wait;
            }
            match after_failure(call, &guard, sent) {
                None => Step::Again,
                Some(failure) if progress.awaited.is_empty() => Step::Fail(failure),
                Some(_) => Step::Wait,
            }
        }
    }
}

/// Prefills the prompt on an engine; returns `None` if that failed and a retry is allowed.
///
/// A prefill does not count as a run, so it may be retried after any failure.
async fn prefill(
    call: &mut Call,
    guard: &mut AttemptGuard,
) -> Result<Option<PromptHandle>, Failure> {
    let time_limit = guard.placement.expected.mul_f64(TIMEOUT_FACTOR);
    let time_limit = time_limit.max(call.route.objective.mul_f64(PREFILL_FACTOR));
    let time_limit = time_limit.min(call.remaining().mul_f64(ATTEMPT_SHARE));
    let deadline = (Instant::now() + time_limit).min(call.deadline);
    let (shared, probe_delay) = (call.shared.clone(), probe_delay(guard));
    let attempt = async {
        match call.send(guard, Work::Prefill, Phase::Prefill).await {
            SendOutcome::Responded(response) => receive_handle(call, guard, *response).await,
            other => Err(other),
        }
    };
    let attempt = async {
        tokio::select! {
            handle = attempt => handle,
            () = until_unreachable(&shared, &guard.placement, probe_delay) => {
                Err(SendOutcome::Unknown("the endpoint cannot be reached".to_owned()))
            }
        }
    };
    let (kind, cause) = match timeout_at(deadline, attempt).await {
        Ok(Ok(handle)) => {
            guard.note_first();
            call.sends = 0;
            return Ok(Some(handle));
        }
        Ok(Err(SendOutcome::Refused { status, .. })) => {
            (FailureKind::Refused, format!("refused, status {}", status.as_u16()))
        }
        Ok(Err(SendOutcome::NotSent(cause) | SendOutcome::Unknown(cause))) => {
            (FailureKind::Broken, cause)
        }
        Ok(Err(SendOutcome::Withheld(cause))) => {
            call.note_withheld(guard, cause);
            return if call.may_connect_again() {
                Ok(None)
            } else {
                Err(not_run(PREFILL_RETRY_AFTER, "endpoints want no work"))
            };
        }
        Ok(Err(SendOutcome::Responded(_))) => unreachable!("a response is not a failed attempt"),
        Err(_) => (FailureKind::Broken, "prefill timed out".to_owned()),
    };
    call.note_failed(guard, kind, &cause);
    if call.may_send_again() {
        Ok(None)
    } else {
        Err(not_run(PREFILL_RETRY_AFTER, "the prompt was not read"))
    }
}

async fn receive_handle(
    call: &Call,
    guard: &AttemptGuard,
    response: EndpointResponse,
) -> Result<PromptHandle, SendOutcome> {
    let status = response.status;
    let (bytes, _, connection) = response.read(&call.shared.buffer_limit, MAX_HANDLE_BYTES).await?;
    if !status.is_success() {
        return Err(SendOutcome::Unknown(format!("status {}", status.as_u16())));
    }
    let name = (call.shared.wire.read_handle)(&bytes)
        .map_err(|error| SendOutcome::Unknown(error.to_string()))?;
    call.shared.return_connection(guard.placement.key, connection);
    Ok(PromptHandle {
        shared: call.shared.clone(),
        source: guard.placement.key,
        endpoint: guard.placement.name.clone(),
        address: guard.placement.address,
        name,
        used: false,
    })
}

/// Returns the head of a stream to the caller and starts relaying its events.
async fn start_stream(
    mut call: Call,
    mut guard: AttemptGuard,
    response: EndpointResponse,
) -> Result<Response<ResponseBody>, Failure> {
    let success = response.status.is_success();
    if success && !response.facts.signed {
        call.note_failed(&guard, FailureKind::Broken, "the answer is not signed");
        return Err(Failure::MayHaveRun("the answer is not signed".to_owned()));
    }
    if success {
        guard.note_first();
    }
    call.meter.note(Instant::now());
    call.answering = true;
    let (status, headers) = (response.status, response.headers.clone());
    let body = relay(call, guard, response);
    Ok(respond(status, headers, body))
}
