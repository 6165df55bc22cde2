//! Looks up the state of an idempotency key at the endpoints of a plain service.

use std::sync::Arc;
use std::time::Duration;

use agatestair_schema::endpoint::{KeyState, KeyStatus};
use bytes::Bytes;
use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};
use ureq::Agent;

use crate::core::message::CallResponse;
use crate::endpoint::client::{Timeouts, open_client};

/// Timeouts of one lookup request.
const TIMEOUTS: Timeouts =
    Timeouts { total: Duration::from_millis(1000), idle: Duration::from_millis(1000) };
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

/// Queries the endpoints of a service for `key`. Blocks the calling thread.
pub fn look_up_key(addresses: &[Arc<str>], key: &str) -> KeyLookup {
    let agent = open_client(TIMEOUTS);
    let mut lookup = if addresses.is_empty() { KeyLookup::Unreachable } else { KeyLookup::Unseen };
    for address in addresses {
        match look_up(&agent, address, key) {
            Some(status) => match status.state {
                KeyState::Done => return KeyLookup::Done(response_of(status, address)),
                KeyState::Running => lookup = KeyLookup::Running,
                KeyState::Unseen => {}
            },
            None if lookup == KeyLookup::Unseen => lookup = KeyLookup::Unreachable,
            None => {}
        }
    }
    lookup
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
