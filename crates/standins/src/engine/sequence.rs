//! Requests at an engine, waiting and in the batch.

use std::time::Instant;

use agatestair_schema::endpoint::{CompletionRequest, KvExport};

use super::stream_out::StreamOut;
use crate::http::Connection;
use crate::recorder::RunId;

/// A request that has arrived.
pub struct Job {
    /// What is to be generated; an export generates nothing.
    pub request: CompletionRequest,
    /// Whether the KV cache is exported after the prompt.
    pub export: bool,
    /// Connection to answer on.
    pub connection: Connection,
    /// Its record.
    pub run: RunId,
    /// Hashes of the prompt's whole blocks.
    pub blocks: Vec<u64>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
}

impl Job {
    /// KV cache that the request needs, in tokens, beside what is cached.
    pub fn kv_tokens(&self, cached: u32) -> u64 {
        u64::from(self.prompt_tokens.saturating_sub(cached)) + u64::from(self.request.max_tokens)
    }
}

/// Turns an export into the request that the batch works on.
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
    /// Answering side.
    pub out: StreamOut,
    /// Whether the KV cache is exported after the prompt.
    pub export: bool,
    /// Its record.
    pub run: RunId,
    /// Hashes of the prompt's whole blocks.
    pub blocks: Vec<u64>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Prompt tokens still to be processed.
    pub prefill_left: u32,
    /// Prompt tokens processed in the step under way.
    pub chunk: u32,
    /// Whether the step under way generates a token.
    pub decodes: bool,
    /// Index of the next output token.
    pub next: u32,
    /// KV cache held, in tokens.
    pub kv: u64,
    /// End of the import of its KV cache.
    pub ready: Option<Instant>,
    /// Number of releases when it was held.
    pub held: Option<u64>,
}

impl Sequence {
    /// Output tokens still to be generated.
    pub fn tokens_left(&self) -> u32 {
        self.out.request.max_tokens.saturating_sub(self.next)
    }
}
