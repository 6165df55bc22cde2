//! What engines keep of earlier prompts, asked once after the start: by every instance of a small
//! fleet, by two of a large one, which tell the others.
//!
//! While all instances were down, nobody followed what the engines read. Without this, prompts
//! would look longer than they are to read, and be refused for it.

use std::rc::Rc;
use std::time::Duration;

use agatestair_runtime::log_event;
use rand::Rng;
use tokio::time::sleep;

use crate::events::{CACHE_LEARNED, CACHE_UNKNOWN};
use crate::front::Front;
use crate::line::ask_once;
use crate::send::{Speaker, note_standing};

/// Time between two looks whether endpoints are known.
const LOOK: Duration = Duration::from_millis(50);

/// Time in which the rest of the list of endpoints arrives after the first one.
const SETTLING: Duration = Duration::from_millis(300);

/// Spread of the questions of all instances, since an answer delays an engine.
const SPREAD: Duration = Duration::from_millis(600);

/// Longest wait for an answer.
const ANSWER_TIME: Duration = Duration::from_secs(1);

/// Greatest size of an answer.
const MAX_ANSWER_BYTES: usize = 1024 * 1024;

/// Asks the engines that read prompts what they keep.
pub async fn learn_caches(front: Rc<Front>) {
    while front.hub.ask(|node, _| !node.fleet.known || node.board.seats.is_empty()) {
        sleep(LOOK).await;
    }
    sleep(SETTLING + SPREAD.mul_f64(rand::rng().random::<f64>())).await;
    let readers = front.hub.ask(|node, now| node.engines_to_ask(now));
    for (key, facts) in readers {
        match learn(&front, Speaker { key, name: &facts.name }, facts.address).await {
            Ok(parts) => {
                log_event!(front.log, CACHE_LEARNED, "endpoint" => &*facts.name, "parts" => parts);
            }
            Err(cause) => {
                log_event!(front.log, CACHE_UNKNOWN, "endpoint" => &*facts.name, "error" => cause);
            }
        }
    }
}

async fn learn(
    front: &Front,
    speaker: Speaker<'_>,
    address: std::net::SocketAddr,
) -> Result<usize, String> {
    let call = (front.dialect.list_cache)();
    let answer = ask_once(call, address, ANSWER_TIME, MAX_ANSWER_BYTES).await?;
    let told = (front.dialect.read_answer)(answer.headers());
    note_standing(front, speaker, None, answer.status(), &told);
    if !answer.status().is_success() {
        return Err(format!("status {}", answer.status().as_u16()));
    }
    let parts = (front.dialect.read_cache)(answer.body()).map_err(|fault| fault.to_string())?;
    let count = parts.len();
    let key = speaker.key;
    front.hub.ask(move |node, now| node.note_kept(key, &parts, now));
    Ok(count)
}
