//! Runs of model engines: long prompts are read by one engine and answered by another.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use agatestair_policy::EndpointKey;
use agatestair_policy::board::Trouble;
use agatestair_runtime::log_event;
use http::Response;
use tokio::time::{Instant, timeout_at};

use crate::answer::{Failure, not_run, respond};
use crate::body::AnswerBody;
use crate::call::{Call, after_failure};
use crate::dialect::{HandleName, Phase};
use crate::events::HANDLE_KEPT;
use crate::front::Front;
use crate::line::ask_once;
use crate::node::Search;
use crate::reach::lost;
use crate::relay::relay;
use crate::send::{Reply, Sent, Speaker, note_standing};
use crate::ticket::Ticket;

/// Greatest size of the answer to a request whose prompt was read.
const MAX_HANDLE_BYTES: usize = 64 * 1024;

/// Times the expected time that a repeatable run may take to its first event before it is given
/// up for another engine.
const PATIENCE_FACTOR: f64 = 3.0;

/// Share of the time left that an attempt gets while another one may follow, so that this one can
/// still be in time.
const PATIENCE_SHARE: f64 = 0.5;

/// Times the objective that reading a prompt may take at least before it is given up: the answer is
/// late by then, and an engine that is merely busy has mostly read it.
const READ_PATIENCE: f64 = 2.0;

/// Times the expected time that an engine may be silent before it is tried whether it can be reached.
const QUIET_FACTOR: f64 = 1.5;

/// Shortest such time.
const MIN_QUIET: Duration = Duration::from_millis(250);

/// Time after which a request comes back whose prompt was not read.
const BACK: Duration = Duration::from_millis(500);

/// Time to free a prompt that is not needed; the engine frees it by itself later.
const FREE_TIME: Duration = Duration::from_secs(1);

/// A prompt that an engine keeps for another one; freed when it is dropped unused.
pub struct Handle {
    front: Rc<Front>,
    source: EndpointKey,
    endpoint: Arc<str>,
    address: SocketAddr,
    name: HandleName,
    taken: bool,
}

impl Drop for Handle {
    fn drop(&mut self) {
        if !self.taken {
            let (front, endpoint) = (self.front.clone(), self.endpoint.clone());
            let (source, address, name) = (self.source, self.address, self.name.clone());
            tokio::task::spawn_local(async move {
                let speaker = Speaker { key: source, name: &endpoint };
                free(&front, speaker, address, &name).await;
            });
        }
    }
}

async fn free(front: &Front, speaker: Speaker<'_>, address: SocketAddr, name: &HandleName) {
    let call = (front.dialect.free_handle)(name);
    match ask_once(call, address, FREE_TIME, MAX_HANDLE_BYTES).await {
        Ok(answer) => {
            let facts = (front.dialect.read_answer)(answer.headers());
            note_standing(front, speaker, None, answer.status(), &facts);
        }
        Err(error) => log_event!(front.log, HANDLE_KEPT, "handle" => &**name, "error" => error),
    }
}

/// Runs a request on model engines and streams the answer.
///
/// # Errors
///
/// [`Failure`] if no stream could be begun.
pub async fn generate(mut call: Call) -> Result<Response<AnswerBody>, Failure> {
    let mut split = call.facts.prompt.is_some();
    let mut handle: Option<Handle> = None;
    loop {
        let search = match &handle {
            Some(handle) => Search::Generate(handle.source),
            None => Search::Run { split },
        };
        let mut ticket = call.place(search).map_err(|denial| call.denied(&denial))?;
        if ticket.place.reads {
            handle = read_prompt(&mut call, &mut ticket).await?;
            // After a failure the engine that answers reads the prompt itself.
            split = handle.is_some();
            continue;
        }
        match attempt(&mut call, &ticket, handle.as_ref()).await? {
            Sent::Answered(reply) => {
                if let Some(handle) = &mut handle {
                    handle.taken = true;
                }
                if reply.status.is_server_error() && call.route.kind.may_repeat() {
                    call.runs += 1;
                    call.note_failed(&ticket, Trouble::Failed, "the endpoint failed");
                    if call.may_run_again() {
                        continue;
                    }
                }
                return begin(call, ticket, *reply).await;
            }
            sent => {
                // A refused engine may not have got the prompt, and its handle is used up then.
                if !matches!(sent, Sent::Unsent(_) | Sent::Withheld) {
                    handle = None;
                    split = false;
                }
                if let Some(failure) = after_failure(&mut call, &ticket, sent) {
                    return Err(failure);
                }
            }
        }
    }
}

/// Time without a word after which an engine may be out of reach.
fn quiet(ticket: &Ticket) -> Duration {
    ticket.place.expected.mul_f64(QUIET_FACTOR).max(MIN_QUIET)
}

fn out_of_reach() -> Sent {
    Sent::Unknown("the endpoint cannot be reached".to_owned())
}

/// Sends the request to an engine that generates and waits for the head of the answer.
async fn attempt(
    call: &mut Call,
    ticket: &Ticket,
    handle: Option<&Handle>,
) -> Result<Sent, Failure> {
    let phase = match handle {
        Some(handle) => Phase::Generate { source: handle.address, handle: &handle.name },
        None => Phase::Whole,
    };
    let patience = ticket.place.expected.mul_f64(PATIENCE_FACTOR).max(call.route.objective);
    let patience = patience.min(call.left().mul_f64(PATIENCE_SHARE));
    let until = call.limit;
    let again = call.route.kind.may_repeat() && call.runs + 1 < call.route.attempts;
    let first = if again { (Instant::now() + patience).min(until) } else { until };
    let (front, quiet) = (call.front.clone(), quiet(ticket));
    let sent = async {
        tokio::select! {
            sent = call.send(ticket, phase, None) => sent,
            () = lost(&front, &ticket.place, quiet), if again => out_of_reach(),
        }
    };
    match timeout_at(first, sent).await {
        Ok(sent) => Ok(sent),
        Err(_) if first < until => Ok(Sent::Unknown("no answer in time".to_owned())),
        Err(_) => {
            call.runs += 1;
            call.note_failed(ticket, Trouble::Broken, "no answer in time");
            Err(Failure::TimedOut)
        }
    }
}

/// Has an engine read the prompt; `None` if that failed and the request may be sent again.
///
/// Reading a prompt is no run, so any failure may be followed by another attempt.
async fn read_prompt(call: &mut Call, ticket: &mut Ticket) -> Result<Option<Handle>, Failure> {
    let patience = ticket.place.expected.mul_f64(PATIENCE_FACTOR);
    let patience = patience.max(call.route.objective.mul_f64(READ_PATIENCE));
    let patience = patience.min(call.left().mul_f64(PATIENCE_SHARE));
    let limit = (Instant::now() + patience).min(call.limit);
    let (front, quiet) = (call.front.clone(), quiet(ticket));
    let attempt = async {
        match call.send(ticket, Phase::Read, None).await {
            Sent::Answered(reply) => take_handle(call, ticket, *reply).await,
            other => Err(other),
        }
    };
    let attempt = async {
        tokio::select! {
            handle = attempt => handle,
            () = lost(&front, &ticket.place, quiet) => Err(out_of_reach()),
        }
    };
    let (trouble, cause) = match timeout_at(limit, attempt).await {
        Ok(Ok(handle)) => {
            ticket.note_first();
            call.sends = 0;
            return Ok(Some(handle));
        }
        Ok(Err(Sent::Refused { status, .. })) => {
            (Trouble::Refused, format!("refused, status {}", status.as_u16()))
        }
        Ok(Err(Sent::Unsent(cause) | Sent::Unknown(cause))) => (Trouble::Broken, cause),
        Ok(Err(Sent::Withheld)) => {
            call.tried.push(ticket.place.key);
            return if call.may_connect_again() {
                Ok(None)
            } else {
                Err(not_run(BACK, "endpoints want no work"))
            };
        }
        Ok(Err(Sent::Answered(_))) => unreachable!("an answer is no failure"),
        Err(_) => (Trouble::Broken, "prompt not read in time".to_owned()),
    };
    call.note_failed(ticket, trouble, &cause);
    if call.may_send_again() { Ok(None) } else { Err(not_run(BACK, "the prompt was not read")) }
}

async fn take_handle(call: &Call, ticket: &Ticket, reply: Reply) -> Result<Handle, Sent> {
    let status = reply.status;
    let (bytes, _, line) = reply.read(&call.front.held, MAX_HANDLE_BYTES).await?;
    if !status.is_success() {
        return Err(Sent::Unknown(format!("status {}", status.as_u16())));
    }
    let name = (call.front.dialect.read_handle)(&bytes)
        .map_err(|fault| Sent::Unknown(fault.to_string()))?;
    call.front.pool.put(ticket.place.key, line);
    Ok(Handle {
        front: call.front.clone(),
        source: ticket.place.key,
        endpoint: ticket.place.name.clone(),
        address: ticket.place.address,
        name,
        taken: false,
    })
}

/// Passes the head of a stream on and has its events relayed.
async fn begin(
    mut call: Call,
    mut ticket: Ticket,
    reply: Reply,
) -> Result<Response<AnswerBody>, Failure> {
    call.runs += 1;
    let success = reply.status.is_success();
    if success && !reply.facts.signed {
        call.note_failed(&ticket, Trouble::Broken, "the answer is not signed");
        return Err(Failure::MayHaveRun("the answer is not signed".to_owned()));
    }
    if success {
        ticket.note_first();
    }
    let (status, headers) = (reply.status, reply.headers.clone());
    let body = relay(call, ticket, reply);
    Ok(respond(status, headers, body))
}
