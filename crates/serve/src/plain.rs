//! Requests to plain services, whose answers are held until they are complete.

use agatestair_policy::board::Trouble;
use http::Response;
use tokio::time::timeout_at;

use crate::answer::{Failure, respond};
use crate::body::AnswerBody;
use crate::call::{Call, after_failure};
use crate::dialect::Phase;
use crate::node::Search;
use crate::send::{Reply, Sent};
use crate::ticket::Ticket;

/// Longest answer of a plain service that is held until it is complete.
const MAX_HELD_BYTES: usize = 16 * 1024 * 1024;

/// Passes a request on to a plain service and holds the answer until it is complete.
pub async fn relay_plain(mut call: Call) -> Result<Response<AnswerBody>, Failure> {
    let mut kept = None;
    loop {
        let mut ticket = match call.place(Search::Plain) {
            Ok(ticket) => ticket,
            Err(denial) => return kept.ok_or_else(|| call.denied(&denial)),
        };
        let limit = call.limit;
        let attempt = async {
            match call.send(&ticket, Phase::Whole, None).await {
                Sent::Answered(reply) => collect(&call, &ticket, *reply).await,
                other => Err(other),
            }
        };
        let Ok(outcome) = timeout_at(limit, attempt).await else {
            call.note_failed(&ticket, Trouble::Broken, "no answer in time");
            return Err(Failure::TimedOut);
        };
        match outcome {
            Ok(answer) if answer.status().is_server_error() => {
                call.runs += 1;
                call.note_failed(&ticket, Trouble::Failed, "the endpoint failed");
                if !call.may_run_again() {
                    return Ok(answer);
                }
                kept = Some(answer);
            }
            Ok(answer) => {
                ticket.note_first();
                return Ok(answer);
            }
            Err(sent) => match after_failure(&mut call, &ticket, sent) {
                None => {}
                Some(failure) => return kept.ok_or(failure),
            },
        }
    }
}

/// Reads a whole answer and keeps the connection.
async fn collect(
    call: &Call,
    ticket: &Ticket,
    mut reply: Reply,
) -> Result<Response<AnswerBody>, Sent> {
    let (status, headers) = (reply.status, std::mem::take(&mut reply.headers));
    if status.is_success() && !reply.facts.signed {
        return Err(Sent::Unknown("the answer is not signed".to_owned()));
    }
    let (bytes, held, line) = reply.read(&call.front.held, MAX_HELD_BYTES).await?;
    call.front.pool.put(ticket.place.key, line);
    Ok(respond(status, headers, AnswerBody::held(bytes, held)))
}
