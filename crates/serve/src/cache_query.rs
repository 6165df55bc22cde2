//! Queries the prompt caches of engines once after the start. In a small fleet every instance
//! queries every engine; in a large one two instances query an engine and report the result to the
//! others.
//!
//! While all instances are down, nobody tracks which prompts the engines have cached. Without the
//! query, the expected prefill work of cached prompts would be too high, and requests would be
//! rejected for it.

use std::rc::Rc;
use std::time::Duration;

use agatestair_runtime::log_event;
use rand::Rng;
use tokio::time::sleep;

use crate::connection::request_once;
use crate::events::{CACHE_LIST_FAILED, CACHE_LISTED};
use crate::send::{EndpointRef, note_availability};
use crate::shared::Shared;

/// Time between two checks whether endpoints are known.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Time in which the rest of the endpoint list arrives after the first endpoint.
const SETTLE_TIME: Duration = Duration::from_millis(300);

/// Time over which the queries of all instances are spread, since a response delays an engine.
const SPREAD: Duration = Duration::from_millis(600);

/// Time limit of a query.
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest accepted response in bytes.
const MAX_RESPONSE_BYTES: usize = 1024 * 1024;

/// Queries the caches of the prefill engines that this instance is responsible for.
pub async fn query_caches(shared: Rc<Shared>) {
    while shared.hub.ask(|node, _| !node.endpoint_list.known || node.board.endpoints.is_empty()) {
        sleep(CHECK_INTERVAL).await;
    }
    sleep(SETTLE_TIME + SPREAD.mul_f64(rand::rng().random::<f64>())).await;
    let engines = shared.hub.ask(|node, now| node.engines_to_query(now));
    for (key, facts) in engines {
        match query_cache(&shared, EndpointRef { key, name: &facts.name }, facts.address).await {
            Ok(parts) => {
                log_event!(shared.log, CACHE_LISTED, "endpoint" => &*facts.name, "parts" => parts);
            }
            Err(cause) => {
                log_event!(shared.log, CACHE_LIST_FAILED, "endpoint" => &*facts.name,
                    "error" => cause);
            }
        }
    }
}

/// Queries the cache of one engine; returns the number of cached prompt parts.
async fn query_cache(
    shared: &Shared,
    endpoint: EndpointRef<'_>,
    address: std::net::SocketAddr,
) -> Result<usize, String> {
    let key = endpoint.key;
    if !shared.hub.ask(move |node, now| node.spend_limit(key, now)) {
        return Err("the endpoint's rate limit is reached".to_owned());
    }
    let call = (shared.wire.list_cache)();
    let response = request_once(call, address, QUERY_TIMEOUT, MAX_RESPONSE_BYTES).await?;
    let facts = (shared.wire.read_response)(response.headers());
    note_availability(shared, endpoint, None, response.status(), &facts);
    if !response.status().is_success() {
        return Err(format!("status {}", response.status().as_u16()));
    }
    let parts = (shared.wire.read_cache)(response.body()).map_err(|error| error.to_string())?;
    let count = parts.len();
    shared.hub.ask(move |node, now| node.note_cached(key, &parts, now));
    Ok(count)
}
