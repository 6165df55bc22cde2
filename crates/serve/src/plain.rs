//! Requests to plain services, whose responses are buffered until they are complete.

use std::cell::Cell;
use std::future::{pending, poll_fn};
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use agatestair_policy::board::FailureKind;
use http::{Method, Response};
use tokio::time::sleep_until;

use crate::attempt_guard::AttemptGuard;
use crate::awaited::sleep_until_some;
use crate::body::ResponseBody;
use crate::body_end::end_defect;
use crate::call::{Call, after_failure};
use crate::crash::{note_broken, note_survived};
use crate::dispatches::{DispatchKey, Work};
use crate::framing::Framing;
use crate::node::Search;
use crate::response::{Failure, respond};
use crate::send::{EndpointResponse, SendOutcome};
use crate::shared::Shared;
use crate::wire::Phase;

/// Maximum size of a plain service's response body, in bytes.
const MAX_HELD_BYTES: usize = 16 * 1024 * 1024;

/// A complete response, or why there is none.
type Answer = Result<Response<ResponseBody>, SendOutcome>;

/// An attempt whose complete response is awaited; dropping it closes the connection.
struct Attempt {
    answer: Pin<Box<dyn Future<Output = Answer>>>,
    guard: Rc<AttemptGuard>,
    key: DispatchKey,
    /// Time after which the response head arrived, if it has.
    head: Rc<Cell<Option<Duration>>>,
}

/// What happens first while a request waits.
enum News {
    /// An attempt is over.
    Done(Box<(Attempt, Answer)>),
    /// The only attempt is late, so that a second one may begin.
    Late,
    /// The request's deadline has passed.
    TimedOut,
}

/// Forwards a request to a plain service and buffers the response until it is complete.
///
/// A server error is retried if the route allows it. If the retry finds no endpoint or fails, the
/// caller receives the earlier server error; a timeout is returned as such. A second attempt may be
/// awaited beside a late one; the first complete answer is returned.
pub async fn relay_plain(mut call: Call) -> Result<Response<ResponseBody>, Failure> {
    let mut last_error = None;
    let mut attempts = Vec::new();
    loop {
        if attempts.is_empty() {
            match call.place(Search::Plain) {
                Ok(guard) => attempts.push(begin(&mut call, guard)),
                Err(denial) => return last_error.ok_or_else(|| call.denial_failure(&denial)),
            }
            call.plan_hedge();
        }
        let (attempt, answer) = match next(&mut attempts, &call).await {
            News::Done(done) => *done,
            News::Late => {
                let first = &attempts[0];
                let second = call.place_hedge(Search::Plain, &first.guard);
                attempts.extend(second.map(|guard| begin(&mut call, guard)));
                continue;
            }
            News::TimedOut => {
                call.meter.note_written();
                call.note_duration();
                for attempt in &attempts {
                    call.note_failed(&attempt.guard, FailureKind::Broken, "no answer in time");
                }
                return Err(Failure::TimedOut);
            }
        };
        call.cancel_hedge();
        let Attempt { answer: sending, guard, key, head } = attempt;
        // It holds the guard, too.
        drop(sending);
        match (&answer, head.get()) {
            // What follows the head is no evidence of how the dispatch has ended.
            (_, Some(_)) => call.sends += 1,
            (Err(sent), None) => call.note_sent(key, sent),
            (Ok(_), None) => unreachable!("a response has a head"),
        }
        if matches!(answer, Ok(_) | Err(SendOutcome::Unknown(_))) {
            call.meter.note_written();
        }
        if answer.is_ok() {
            note_survived(&call);
        }
        match answer {
            Ok(response) if response.status().is_server_error() => {
                call.note_failed(&guard, FailureKind::Failed, "the endpoint failed");
                if attempts.is_empty() && !call.may_run_again() {
                    return Ok(response);
                }
                last_error = Some(response);
            }
            Ok(response) => {
                call.note_duration();
                if let Some(time) = head.get() {
                    call.note_head(time);
                }
                for late in attempts.drain(..) {
                    call.note_head(late.head.get().unwrap_or(late.guard.elapsed()));
                }
                call.end_hedge(&guard);
                if let Some(mut guard) = Rc::into_inner(guard) {
                    guard.note_first();
                }
                return Ok(response);
            }
            Err(sent) => {
                if matches!(sent, SendOutcome::Unknown(_)) {
                    note_broken(&mut call, &guard, None).await;
                }
                if !attempts.is_empty() {
                    call.note_unanswered(&guard, &sent);
                } else if let Some(failure) = after_failure(&mut call, &guard, sent) {
                    return last_error.ok_or(failure);
                }
            }
        }
    }
}

/// Starts to send a request to the endpoint that `guard` selects.
fn begin(call: &mut Call, guard: AttemptGuard) -> Attempt {
    let sending = call.begin_send(&guard, Work::Run, Phase::Whole, None);
    call.backup = sending.backup;
    let (guard, head) = (Rc::new(guard), Rc::new(Cell::new(None)));
    let (shared, method) = (call.shared.clone(), call.forwarded.method.clone());
    let (held, arrived) = (guard.clone(), head.clone());
    let answer = Box::pin(async move {
        match sending.outcome.await {
            SendOutcome::Responded(response) => {
                arrived.set(Some(held.elapsed()));
                collect(&shared, &method, &held, *response).await
            }
            other => Err(other),
        }
    });
    Attempt { answer, guard, key: sending.key, head }
}

/// Waits until an attempt is over, the only one is late, or the deadline has passed.
async fn next(attempts: &mut Vec<Attempt>, call: &Call) -> News {
    let heads: Vec<_> = attempts.iter().map(|attempt| attempt.head.clone()).collect();
    let late = async {
        sleep_until_some(call.hedge_due().filter(|_| heads.len() == 1)).await;
        // The body of a response that has begun is awaited.
        if heads.iter().any(|head| head.get().is_some()) {
            pending::<()>().await;
        }
    };
    let done = poll_fn(|context| {
        for (index, attempt) in attempts.iter_mut().enumerate() {
            if let Poll::Ready(answer) = attempt.answer.as_mut().poll(context) {
                return Poll::Ready((index, answer));
            }
        }
        Poll::Pending
    });
    let (index, answer) = tokio::select! {
        biased;
        done = done => done,
        () = sleep_until(call.deadline) => return News::TimedOut,
        () = late => return News::Late,
    };
    News::Done(Box::new((attempts.remove(index), answer)))
}

/// Reads a whole response and returns the connection to the pool.
async fn collect(
    shared: &Rc<Shared>,
    method: &Method,
    guard: &AttemptGuard,
    mut response: EndpointResponse,
) -> Answer {
    let (status, headers) = (response.status, std::mem::take(&mut response.headers));
    if status.is_success() && !response.facts.signed {
        return Err(SendOutcome::Unknown("the answer is not signed".to_owned()));
    }
    let framing = Framing::of(method, status, &headers);
    let (bytes, buffer, connection) = response.read(&shared.buffer_limit, MAX_HELD_BYTES).await?;
    if let Some(cause) = end_defect(shared, guard, framing, &connection).await {
        return Err(SendOutcome::Unknown(cause.to_owned()));
    }
    shared.return_connection(guard.placement.key, connection);
    Ok(respond(status, headers, ResponseBody::buffered(bytes, buffer)))
}
