//! Reads request bodies and headers, with size and time limits.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::HeaderMap;
use hyper::body::{Body, Incoming};
use serde::de::DeserializeOwned;

use crate::http::state::ServerState;
use crate::refusal::{RefusalKind, Refused};

/// Time within which the whole request body must arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(20);

/// Reads a whole body, unless the entry ends before it has arrived.
///
/// # Errors
///
/// A refusal if the body is too large, too slow or truncated.
pub async fn read_body(server: &ServerState, body: Incoming) -> Result<Bytes, Refused> {
    let limit = server.settings.max_body;
    let too_large =
        || Refused::not_run(RefusalKind::TooLarge).with_detail(format!("at most {limit} bytes"));
    if body.size_hint().lower() > limit {
        return Err(too_large());
    }
    let limit_bytes = usize::try_from(limit).unwrap_or(usize::MAX);
    let reading = Limited::new(body, limit_bytes).collect();
    let reading = tokio::time::timeout(BODY_TIMEOUT, reading);
    let Some(read) = server.ending.run_until_cancelled(reading).await else {
        return Err(Refused::not_run(RefusalKind::Leaving));
    };
    match read {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(too_large()),
        Ok(Err(_)) => {
            let refused = Refused::not_run(RefusalKind::BadRequest);
            Err(refused.with_detail("the body is cut off or badly framed"))
        }
        Err(_) => Err(Refused::not_run(RefusalKind::SlowRequest)),
    }
}

/// Decodes a JSON body.
///
/// # Errors
///
/// A refusal that gives the position and the cause.
pub fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, Refused> {
    serde_json::from_slice(body).map_err(|error| {
        Refused::not_run(RefusalKind::BadRequest).with_detail(format!("JSON body: {error}"))
    })
}

/// Value of a header that may occur at most once.
///
/// # Errors
///
/// A refusal if the header is repeated or is not 1 to `limit` visible ASCII characters.
pub fn single_header(
    headers: &HeaderMap,
    name: &'static str,
    limit: usize,
) -> Result<Option<String>, Refused> {
    let bad = |problem: &str| {
        Refused::not_run(RefusalKind::BadRequest).with_detail(format!("header {name}: {problem}"))
    };
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(bad("stands more than once"));
    }
    let text = value.to_str().map_err(|_| bad("is no ASCII text"))?;
    let visible = text.bytes().all(|byte| byte.is_ascii_graphic());
    if text.is_empty() || text.len() > limit || !visible {
        return Err(bad(&format!("must be 1 to {limit} visible ASCII characters")));
    }
    Ok(Some(text.to_owned()))
}
