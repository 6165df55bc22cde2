//! Queries the prompt caches of engines once after the start. In a small fleet every instance
//! queries every engine; in a large one two instances query an engine and tell the others.
//!
//! While all instances are down, nobody tracks which prompts the engines have cached. Without the
//! query, the expected prefill work of cached prompts would be too high, and requests would be
//! rejected for it.

use std::rc::Rc;
use std::time::Duration;

use agatestair_runtime::log_event;
use rand::Rng;
use tokio::time::sleep;

use crate::events::{CACHE_LEARNED, CACHE_UNKNOWN};
use crate::front::Front;
use crate::line::ask_once;
use crate::send::{Speaker, note_standing};

/// Time between two checks whether endpoints are known.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Time in which the rest of the endpoint list arrives after the first endpoint.
const SETTLE_TIME: Duration = Duration::from_millis(300);

/// Time over which the queries of all instances are spread, since an answer delays an engine.
const SPREAD: Duration = Duration::from_millis(600);

/// Time limit of a query.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest accepted answer in bytes.
const MAX_ANSWER_BYTES: usize = 1024 * 1024;

/// Queries the caches of the prefill engines that this instance is responsible for.
pub async fn query_caches(front: Rc<Front>) {
    while front.hub.ask(|node, _| !node.fleet.known || node.board.endpoints.is_empty()) {
        sleep(CHECK_INTERVAL).await;
    }
    sleep(SETTLE_TIME + SPREAD.mul_f64(rand::rng().random::<f64>())).await;
    let engines = front.hub.ask(|node, now| node.engines_to_query(now));
    for (key, facts) in engines {
        match query_cache(&front, Speaker { key, name: &facts.name }, facts.address).await {
            Ok(parts) => {
                log_event!(front.log, CACHE_LEARNED, "endpoint" => &*facts.name, "parts" => parts);
            }
            Err(cause) => {
                log_event!(front.log, CACHE_UNKNOWN, "endpoint" => &*facts.name, "error" => cause);
            }
        }
    }
}

/// Queries the cache of one engine; returns the number of cached prompt parts.
async fn query_cache(
    front: &Front,
    speaker: Speaker<'_>,
    address: std::net::SocketAddr,
) -> Result<usize, String> {
    let call = (front.dialect.list_cache)();
    let answer = ask_once(call, address, ANSWER_TIMEOUT, MAX_ANSWER_BYTES).await?;
    let told = (front.dialect.read_answer)(answer.headers());
    note_standing(front, speaker, None, answer.status(), &told);
    if !answer.status().is_success() {
        return Err(format!("status {}", answer.status().as_u16()));
    }
    let parts = (front.dialect.read_cache)(answer.body()).map_err(|fault| fault.to_string())?;
    let count = parts.len();
    let key = speaker.key;
    front.hub.ask(move |node, now| node.note_cached(key, &parts, now));
    Ok(count)
}
