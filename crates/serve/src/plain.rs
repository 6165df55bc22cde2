//! Requests to plain services, whose responses are buffered until they are complete.

use agatestair_policy::board::FailureKind;
use http::Response;
use tokio::time::timeout_at;

use crate::attempt_guard::AttemptGuard;
use crate::body::ResponseBody;
use crate::call::{Call, after_failure};
use crate::crash::{cut_by_crash, note_broken};
use crate::dispatches::Work;
use crate::framing::Framing;
use crate::node::Search;
use crate::response::{Failure, respond};
use crate::send::{EndpointResponse, SendOutcome};
use crate::wire::Phase;

/// Maximum size of a plain service's response body, in bytes.
const MAX_HELD_BYTES: usize = 16 * 1024 * 1024;

/// Forwards a request to a plain service and buffers the response until it is complete.
///
/// A server error is retried if the route allows it. If the retry finds no endpoint or fails, the
/// caller receives the earlier server error; a timeout is returned as such.
pub async fn relay_plain(mut call: Call) -> Result<Response<ResponseBody>, Failure> {
    let mut last_error = None;
    loop {
        let mut guard = match call.place(Search::Plain) {
            Ok(guard) => guard,
            Err(denial) => return last_error.ok_or_else(|| call.denial_failure(&denial)),
        };
        let deadline = call.deadline;
        let attempt = async {
            match call.send(&guard, Work::Run, Phase::Whole).await {
                SendOutcome::Responded(response) => collect(&call, &guard, *response).await,
                other => Err(other),
            }
        };
        let outcome = timeout_at(deadline, attempt).await;
        if matches!(outcome, Err(_) | Ok(Ok(_) | Err(SendOutcome::Unknown(_)))) {
            call.meter.note_written();
        }
        let Ok(outcome) = outcome else {
            call.note_duration();
            call.note_failed(&guard, FailureKind::Broken, "no answer in time");
            return Err(Failure::TimedOut);
        };
        match outcome {
            Ok(response) if response.status().is_server_error() => {
                call.note_failed(&guard, FailureKind::Failed, "the endpoint failed");
                if !call.may_run_again() {
                    return Ok(response);
                }
                last_error = Some(response);
            }
            Ok(response) => {
                call.note_duration();
                guard.note_first();
                return Ok(response);
            }
            Err(sent) => {
                if matches!(sent, SendOutcome::Unknown(_)) {
                    note_broken(&mut call, &guard, None).await;
                }
                match after_failure(&mut call, &guard, sent) {
                    None => {}
                    Some(failure) => return last_error.ok_or(failure),
                }
            }
        }
    }
}

/// Reads a whole response and returns the connection to the pool.
async fn collect(
    call: &Call,
    guard: &AttemptGuard,
    mut response: EndpointResponse,
) -> Result<Response<ResponseBody>, SendOutcome> {
    let (status, headers) = (response.status, std::mem::take(&mut response.headers));
    if status.is_success() && !response.facts.signed {
        return Err(SendOutcome::Unknown("the answer is not signed".to_owned()));
    }
    let framing = Framing::of(&call.forwarded.method, status, &headers);
    let (bytes, buffer, connection) =
        response.read(&call.shared.buffer_limit, MAX_HELD_BYTES).await?;
    if let Some(cause) = cut_by_crash(&call.shared, guard, framing).await {
        return Err(SendOutcome::Unknown(cause.to_owned()));
    }
    call.shared.return_connection(guard.placement.key, connection);
    Ok(respond(status, headers, ResponseBody::buffered(bytes, buffer)))
}
