//! Asks plain services what became of an idempotency key.

use std::sync::Arc;
use std::time::Duration;

use agatestair_schema::endpoint::{KeyState, KeyStatus};
use bytes::Bytes;
use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};
use ureq::Agent;

use crate::core::message::CallAnswer;
use crate::endpoint::client::{Limits, open_client};

/// Bounds of one question.
const LIMITS: Limits =
    Limits { total: Duration::from_millis(1000), silence: Duration::from_millis(1000) };
/// Greatest size of an answer in bytes.
const MAX_ANSWER_BYTES: u64 = 8 * 1024 * 1024;

/// What the endpoints of a service know of a key.
#[derive(Clone, Debug, PartialEq)]
pub enum Knowledge {
    /// The call ran; this was its answer.
    Done(CallAnswer),
    /// The call is running.
    Running,
    /// All endpoints answered and none has seen the key.
    Unseen,
    /// Not all endpoints could be asked.
    Unreachable,
}

/// Asks all endpoints of a service about `key`; blocks.
pub fn ask_service(addresses: &[Arc<str>], key: &str) -> Knowledge {
    let agent = open_client(LIMITS);
    let mut knowledge =
        if addresses.is_empty() { Knowledge::Unreachable } else { Knowledge::Unseen };
    for address in addresses {
        match ask(&agent, address, key) {
            Some(status) => match status.state {
                KeyState::Done => return Knowledge::Done(answer_of(status, address)),
                KeyState::Running => knowledge = Knowledge::Running,
                KeyState::Unseen => {}
            },
            None if knowledge == Knowledge::Unseen => knowledge = Knowledge::Unreachable,
            None => {}
        }
    }
    knowledge
}

fn ask(agent: &Agent, address: &str, key: &str) -> Option<KeyStatus> {
    let url =
        format!("http://{address}/agatestair/keys/{}", utf8_percent_encode(key, NON_ALPHANUMERIC));
    let answer = agent.get(url).call().ok().filter(|answer| answer.status().as_u16() == 200)?;
    let body = answer.into_body().with_config().limit(MAX_ANSWER_BYTES).read_to_vec().ok()?;
    serde_json::from_slice(&body).ok()
}

fn answer_of(status: KeyStatus, address: &Arc<str>) -> CallAnswer {
    CallAnswer {
        status: status.status.unwrap_or(200),
        headers: vec![("content-type".to_owned(), "application/json".to_owned())],
        body: Bytes::from(status.body.unwrap_or_default()),
        endpoint: address.clone(),
    }
}
