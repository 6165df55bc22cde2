//! Message encoding. Only this module uses bincode.

use agatestair_schema::LINK_VERSION;
use agatestair_schema::link::LinkMessage;
use bincode::config::{self, Configuration, Fixint, Limit, LittleEndian};

use crate::error::LinkError;

/// Maximum size of an encoded message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;

/// Size of the version prefix of an encoded message, in bytes.
const VERSION_BYTES: usize = 4;

fn bincode_config() -> Configuration<LittleEndian, Fixint, Limit<MAX_MESSAGE_BYTES>> {
    config::standard().with_little_endian().with_fixed_int_encoding().with_limit()
}

/// Encodes a message, prefixed with the version of the link protocol.
///
/// # Errors
///
/// [`LinkError::TooLarge`] if the result is larger than [`MAX_MESSAGE_BYTES`].
pub fn encode(message: &LinkMessage) -> Result<Vec<u8>, LinkError> {
    let mut bytes = LINK_VERSION.to_be_bytes().to_vec();
    let body = bincode::encode_to_vec(message, bincode_config())
        .map_err(|error| LinkError::Malformed(error.to_string()))?;
    bytes.extend_from_slice(&body);
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(LinkError::TooLarge(bytes.len()));
    }
    Ok(bytes)
}

/// Decodes a message encoded by [`encode`].
///
/// # Errors
///
/// [`LinkError::Malformed`] if the version differs or the bytes are not a valid message.
pub fn decode(bytes: &[u8]) -> Result<LinkMessage, LinkError> {
    let Some((version, body)) = bytes.split_at_checked(VERSION_BYTES) else {
        return Err(LinkError::Malformed("truncated version".to_owned()));
    };
    if version != LINK_VERSION.to_be_bytes() {
        return Err(LinkError::Malformed(format!("version {version:?} is not supported")));
    }
    let (message, used) = bincode::decode_from_slice(body, bincode_config())
        .map_err(|error| LinkError::Malformed(error.to_string()))?;
    if used != body.len() {
        return Err(LinkError::Malformed("trailing bytes after the message".to_owned()));
    }
    Ok(message)
}

/// Kind of a message, used as the label `purpose` in metrics.
pub fn message_kind(message: &LinkMessage) -> &'static str {
    match message {
        LinkMessage::Hello(_) => "hello",
        LinkMessage::Heartbeat(_) => "heartbeat",
        LinkMessage::Demand(_) => "demand",
        LinkMessage::Shares(_) => "shares",
        LinkMessage::Fleet(_) => "fleet",
        LinkMessage::Load(_) => "load",
        LinkMessage::Cache(_) => "cache",
        LinkMessage::Lists(_) => "lists",
        LinkMessage::Ack(_) => "ack",
        LinkMessage::Directory(_) => "directory",
        LinkMessage::Observations(_) => "observations",
        LinkMessage::Loss(_) => "loss",
        LinkMessage::Authority(_) => "authority",
    }
}
