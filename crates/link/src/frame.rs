//! Messages in the two bodies of an h2 stream, each behind its length.

use std::future::poll_fn;

use agatestair_schema::link::LinkMessage;
use bytes::{Buf, Bytes, BytesMut};
use h2::{RecvStream, SendStream};
use metrics::counter;

use crate::codec::{MAX_MESSAGE_BYTES, decode, encode, purpose_of};
use crate::error::LinkError;

/// Size of the length before each message in bytes.
const LENGTH_BYTES: usize = 4;

/// Reads messages from one body.
pub struct FrameReader {
    body: RecvStream,
    buffer: BytesMut,
}

impl FrameReader {
    /// Reads from `body`.
    pub fn new(body: RecvStream) -> Self {
        Self { body, buffer: BytesMut::new() }
    }

    /// The next message. A call that is dropped before it ends loses nothing.
    pub async fn next(&mut self) -> Result<LinkMessage, LinkError> {
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
        let Some(head) = self.buffer.first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*head) as usize;
        if length > MAX_MESSAGE_BYTES {
            return Err(LinkError::TooLarge(length));
        }
        if self.buffer.len() < LENGTH_BYTES + length {
            return Ok(None);
        }
        self.buffer.advance(LENGTH_BYTES);
        let message = decode(&self.buffer.split_to(length))?;
        count("received", purpose_of(&message), LENGTH_BYTES + length);
        Ok(Some(message))
    }
}

/// Writes messages to one body.
pub struct FrameWriter {
    stream: SendStream<Bytes>,
}

impl FrameWriter {
    /// Writes to `stream`.
    pub fn new(stream: SendStream<Bytes>) -> Self {
        Self { stream }
    }

    /// Writes one message; it must run to its end or the link is broken.
    pub async fn write(&mut self, message: &LinkMessage) -> Result<(), LinkError> {
        let body = encode(message)?;
        let length = u32::try_from(body.len()).map_err(|_| LinkError::TooLarge(body.len()))?;
        let mut rest = BytesMut::with_capacity(LENGTH_BYTES + body.len());
        rest.extend_from_slice(&length.to_be_bytes());
        rest.extend_from_slice(&body);
        count("sent", purpose_of(message), rest.len());
        while !rest.is_empty() {
            self.stream.reserve_capacity(rest.len());
            let Some(granted) = poll_fn(|cx| self.stream.poll_capacity(cx)).await else {
                return Err(LinkError::Closed("stream reset".to_owned()));
            };
            let piece = rest.split_to(granted?.min(rest.len())).freeze();
            self.stream.send_data(piece, false)?;
        }
        Ok(())
    }
}

/// Counts one message and its bytes.
fn count(direction: &'static str, purpose: &'static str, bytes: usize) {
    counter!("agatestair_link_messages_total", "direction" => direction, "purpose" => purpose)
        .increment(1);
    counter!("agatestair_link_bytes_total", "direction" => direction, "purpose" => purpose)
        .increment(bytes as u64);
}
