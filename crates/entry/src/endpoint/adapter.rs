//! Protocol adapters for engine types. To support another type, add a function like [`standard`].

use std::fmt;

use agatestair_schema::endpoint::{
    CancelRequest, CompletionPiece, CompletionRequest, KvExport, KvHandle,
};
use serde::Serialize;

use crate::core::assembly::Piece;

/// Data of the event that marks the end of a stream.
const DONE: &str = "[DONE]";

/// Path and body of one `POST` to an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EnginePost {
    /// Path with the leading slash.
    pub path: &'static str,
    /// JSON body.
    pub body: Vec<u8>,
}

/// One event of an engine's stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EngineEvent {
    /// A piece of the response.
    Piece(Piece),
    /// End of the stream.
    Done,
}

/// An event or response that does not conform to the engine's protocol.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DecodeError {
    /// Cause, as given by the decoder.
    pub cause: String,
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "malformed answer of the engine ({}); check the engine's version", self.cause)
    }
}

impl std::error::Error for DecodeError {}

impl From<serde_json::Error> for DecodeError {
    fn from(error: serde_json::Error) -> Self {
        Self { cause: error.to_string() }
    }
}

/// Requests and decoders of one engine type.
#[derive(Clone, Copy)]
pub struct EngineAdapter {
    /// Starts a completion that is streamed as server-sent events.
    pub completion: fn(&CompletionRequest) -> EnginePost,
    /// Decodes the data of one event.
    pub decode: fn(&str) -> Result<EngineEvent, DecodeError>,
    /// Cancels the attempt with this identifier.
    pub cancel: fn(&str) -> EnginePost,
    /// Computes and exports the KV cache of a prompt.
    pub export: fn(&KvExport) -> EnginePost,
    /// Decodes the response of an export to the handle of the KV cache.
    pub handle: fn(&[u8]) -> Result<String, DecodeError>,
}

/// Adapter for engines that implement `endpoint.schema.json`.
pub fn standard() -> EngineAdapter {
    EngineAdapter {
        completion: |request| post("/v1/completions", request),
        decode: decode_event,
        cancel: |attempt| {
            let request = CancelRequest { attempt: attempt.to_owned() };
            post("/agatestair/cancel", &request)
        },
        export: |request| post("/agatestair/kv/export", request),
        handle: |body| Ok(serde_json::from_slice::<KvHandle>(body)?.handle),
    }
}

fn post<T: Serialize>(path: &'static str, value: &T) -> EnginePost {
    let body = serde_json::to_vec(value).expect("wire types serialize to JSON");
    EnginePost { path, body }
}

fn decode_event(data: &str) -> Result<EngineEvent, DecodeError> {
    if data == DONE {
        return Ok(EngineEvent::Done);
    }
    let piece: CompletionPiece = serde_json::from_str(data)?;
    let mut choices = piece.choices.into_iter();
    let (Some(choice), None) = (choices.next(), choices.next()) else {
        return Err(DecodeError { cause: "not exactly one choice".to_owned() });
    };
    let meta = piece.agatestair;
    Ok(EngineEvent::Piece(Piece {
        request: meta.request.into(),
        attempt: meta.attempt.into(),
        offset: meta.offset,
        tokens: meta.tokens,
        total: meta.total,
        text: choice.text,
        finish: choice.finish_reason.map(Into::into),
    }))
}
