//! Looks up the state of an idempotency key at the endpoints of a plain service.

use std::sync::Arc;
use std::sync::mpsc::{Sender, channel};
use std::thread;
use std::time::Duration;

use agatestair_schema::endpoint::{KeyState, KeyStatus};
use bytes::Bytes;
use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};
use ureq::Agent;

use crate::core::message::CallResponse;
use crate::endpoint::client::{Timeouts, open_client};
use crate::endpoint::engine::STACK_BYTES;

/// Timeouts of one lookup request; a sound endpoint may be silent for a while.
const TIMEOUTS: Timeouts =
    Timeouts { total: Duration::from_millis(3500), idle: Duration::from_millis(3500) };
/// Maximum size of a lookup response in bytes.
const MAX_RESPONSE_BYTES: u64 = 8 * 1024 * 1024;

/// What the endpoints of a service know about a key.
#[derive(Clone, Debug, PartialEq)]
pub enum KeyLookup {
    /// The call completed with this response.
    Done(CallResponse),
    /// The call is running.
    Running,
    /// All endpoints responded and none has seen the key.
    Unseen,
    /// Some endpoint could not be queried and none has seen the key.
    Unreachable,
}

/// Queries all endpoints of a service for `key` at once. Blocks the calling thread.
pub fn look_up_key(addresses: &[Arc<str>], key: &Arc<str>) -> KeyLookup {
    let (sender, answers) = channel();
    for address in addresses {
        start_lookup(address.clone(), key.clone(), sender.clone());
    }
    drop(sender);
    let (mut heard, mut running) = (0, false);
    for (address, status) in answers {
        heard += 1;
        match status.state {
            KeyState::Done => return KeyLookup::Done(response_of(status, &address)),
            KeyState::Running => running = true,
            KeyState::Unseen => {}
        }
    }
    if running {
        KeyLookup::Running
    } else if heard == 0 || heard < addresses.len() {
        KeyLookup::Unreachable
    } else {
        KeyLookup::Unseen
    }
}

/// Queries one endpoint on a separate thread, which sends nothing if there is no answer.
fn start_lookup(address: Arc<str>, key: Arc<str>, answers: Sender<(Arc<str>, KeyStatus)>) {
    let thread = thread::Builder::new().name("lookup".to_owned()).stack_size(STACK_BYTES);
    // If no thread can be started, the endpoint counts as unreachable.
    let _ = thread.spawn(move || {
        if let Some(status) = look_up(&open_client(TIMEOUTS), &address, &key) {
            // Fails if another endpoint has already answered that the call completed.
            let _ = answers.send((address, status));
        }
    });
}

fn look_up(agent: &Agent, address: &str, key: &str) -> Option<KeyStatus> {
    let url =
        format!("http://{address}/agatestair/keys/{}", utf8_percent_encode(key, NON_ALPHANUMERIC));
    let response =
        agent.get(url).call().ok().filter(|response| response.status().as_u16() == 200)?;
    let body = response.into_body().with_config().limit(MAX_RESPONSE_BYTES).read_to_vec().ok()?;
    serde_json::from_slice(&body).ok()
}

fn response_of(status: KeyStatus, address: &Arc<str>) -> CallResponse {
    CallResponse {
        status: status.status.unwrap_or(200),
        headers: vec![("content-type".to_owned(), "application/json".to_owned())],
        body: Bytes::from(status.body.unwrap_or_default()),
        endpoint: address.clone(),
    }
}
