//! Requests of an engine: waiting jobs and sequences of the batch.

use std::time::Instant;

use agatestair_schema::endpoint::{CompletionRequest, KvExport};

use super::completion_writer::CompletionWriter;
use crate::http::Connection;
use crate::recorder::RunId;

/// A request that waits for a place in the batch.
pub struct Job {
    /// Completion to generate; an export generates no tokens.
    pub request: CompletionRequest,
    /// Whether the KV cache is exported once the prompt is processed.
    pub export: bool,
    /// Connection for the response.
    pub connection: Connection,
    /// Identifier of its record.
    pub run: RunId,
    /// Hashes of the prompt's complete blocks.
    pub blocks: Vec<u64>,
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
}

impl Job {
    /// KV cache that the request needs in addition to `cached` prompt tokens, in tokens.
    pub fn kv_tokens(&self, cached: u32) -> u64 {
        u64::from(self.prompt_tokens.saturating_sub(cached)) + u64::from(self.request.max_tokens)
    }
}

/// Converts an export into an equivalent completion request that generates no tokens.
pub fn export_request(export: KvExport) -> CompletionRequest {
    CompletionRequest {
        attempt: export.attempt,
        kv_handle: None,
        max_tokens: 0,
        model: export.model,
        priority: export.priority,
        prompt: export.prompt,
        request: export.request,
        resume_offset: 0,
        stream: false,
    }
}

/// A request in the batch.
pub struct Sequence {
    /// Writer of the response.
    pub writer: CompletionWriter,
    /// Whether the KV cache is exported once the prompt is processed.
    pub export: bool,
    /// Identifier of its record.
    pub run: RunId,
    /// Hashes of the prompt's complete blocks.
    pub blocks: Vec<u64>,
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
    /// Number of tokens left to prefill: uncached prompt tokens and the output tokens before the
    /// resume offset.
    pub prefill_left: u32,
    /// Number of tokens prefilled in the current step.
    pub chunk: u32,
    /// Whether the current step generates a token.
    pub decodes: bool,
    /// Index of the next output token.
    pub next_token: u32,
    /// Size of the KV cache reserved for the sequence, in tokens.
    pub kv_reserved: u64,
    /// Time at which the import of its KV cache ends; `None` without an import.
    pub ready_at: Option<Instant>,
    /// Release count when its stream was held; the hold lasts until the count changes.
    pub held: Option<u64>,
}

impl Sequence {
    /// Number of output tokens left to generate.
    pub fn tokens_left(&self) -> u32 {
        self.writer.request.max_tokens.saturating_sub(self.next_token)
    }
}
