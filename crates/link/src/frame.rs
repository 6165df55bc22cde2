//! Length-prefixed messages in the request and response bodies of an h2 stream.

use std::future::poll_fn;

use agatestair_schema::link::LinkMessage;
use bytes::{Buf, Bytes, BytesMut};
use h2::{RecvStream, SendStream};
use metrics::counter;

use crate::codec::{MAX_MESSAGE_BYTES, decode, encode, message_kind};
use crate::error::LinkError;

/// Size of the length prefix of each message, in bytes.
const LENGTH_BYTES: usize = 4;

/// Reads messages from a body.
pub struct FrameReader {
    body: RecvStream,
    buffer: BytesMut,
}

impl FrameReader {
    /// Creates a reader of `body`.
    pub fn new(body: RecvStream) -> Self {
        Self { body, buffer: BytesMut::new() }
    }

    /// Reads the next message. This method is cancel safe.
    pub async fn read_message(&mut self) -> Result<LinkMessage, LinkError> {
        loop {
            if let Some(message) = self.take_buffered()? {
                return Ok(message);
            }
            let Some(data) = self.body.data().await else {
                return Err(LinkError::Closed("end of stream".to_owned()));
            };
            let data = data?;
            self.body.flow_control().release_capacity(data.len())?;
            self.buffer.extend_from_slice(&data);
        }
    }

    fn take_buffered(&mut self) -> Result<Option<LinkMessage>, LinkError> {
        let Some(length_prefix) = self.buffer.first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*length_prefix) as usize;
        if length > MAX_MESSAGE_BYTES {
            return Err(LinkError::TooLarge(length));
        }
        if self.buffer.len() < LENGTH_BYTES + length {
            return Ok(None);
        }
        self.buffer.advance(LENGTH_BYTES);
        let message = decode(&self.buffer.split_to(length))?;
        count_message("received", message_kind(&message), LENGTH_BYTES + length);
        Ok(Some(message))
    }
}

/// Writes messages to a body.
pub struct FrameWriter {
    stream: SendStream<Bytes>,
}

impl FrameWriter {
    /// Creates a writer to `stream`.
    pub fn new(stream: SendStream<Bytes>) -> Self {
        Self { stream }
    }

    /// Writes one message. Not cancel safe: if it is cancelled, the link must be closed.
    pub async fn write_message(&mut self, message: &LinkMessage) -> Result<(), LinkError> {
        let body = encode(message)?;
        let length = u32::try_from(body.len()).map_err(|_| LinkError::TooLarge(body.len()))?;
        let mut frame = BytesMut::with_capacity(LENGTH_BYTES + body.len());
        frame.extend_from_slice(&length.to_be_bytes());
        frame.extend_from_slice(&body);
        count_message("sent", message_kind(message), frame.len());
        while !frame.is_empty() {
            self.stream.reserve_capacity(frame.len());
            let Some(granted) = poll_fn(|cx| self.stream.poll_capacity(cx)).await else {
                return Err(LinkError::Closed("stream reset".to_owned()));
            };
            let chunk = frame.split_to(granted?.min(frame.len())).freeze();
            self.stream.send_data(chunk, false)?;
        }
        Ok(())
    }
}

/// Counts a message and its size in the metrics.
fn count_message(direction: &'static str, purpose: &'static str, bytes: usize) {
    counter!("agatestair_link_messages_total", "direction" => direction, "purpose" => purpose)
        .increment(1);
    counter!("agatestair_link_bytes_total", "direction" => direction, "purpose" => purpose)
        .increment(bytes as u64);
}
