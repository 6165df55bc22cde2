//! Admission control of an engine's worker: accepts, refuses, cancels and starts requests.

use std::time::{Duration, Instant};

use agatestair_schema::answer_text;
use agatestair_schema::endpoint::{CacheOp, EngineRole};
use agatestair_schema::standins::RunOutcome;

use super::completion_writer::CompletionWriter;
use super::sequence::{Job, Sequence};
use super::token_times::TokenTimes;
use super::worker::Worker;

/// Interval between checks for clients that have disconnected.
const DISCONNECT_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum number of waiting requests, as a multiple of the batch size; above it, new requests are
/// refused.
const QUEUE_FACTOR: usize = 16;

impl Worker {
    /// Queues a request by priority, or refuses it.
    pub(super) fn submit_job(&mut self, job: Box<Job>) {
        let boot = self.boot_name();
        self.shared.recorder.update_run(job.run, |run| run.boot = boot);
        if let Some((status, code, message)) = self.refusal(&job) {
            self.shared.recorder.end_run(job.run, RunOutcome::Refused);
            // Fails if the client has disconnected.
            let _ = job.connection.refuse(status, code, message, &job.request.request);
            return;
        }
        let priority = job.request.priority;
        let index = self.waiting.iter().position(|other| other.request.priority < priority);
        self.waiting.insert(index.unwrap_or(self.waiting.len()), job);
    }

    /// Returns the status, error code and message if a request must be refused.
    fn refusal(&self, job: &Job) -> Option<(u16, &'static str, &'static str)> {
        let request = &job.request;
        if self.orders.draining {
            return Some((503, "draining", "the engine takes no new work; use another"));
        }
        if self.orders.is_changing_role() {
            return Some((503, "changing", "the engine changes its role; use another"));
        }
        if !self.orders.models.contains(&request.model) {
            return Some((404, "no_model", "the model is not loaded; use another engine"));
        }
        if self.waiting.len() >= self.settings.max_batch * QUEUE_FACTOR {
            return Some((503, "overloaded", "too many requests wait; use another engine"));
        }
        if job.kv_tokens(0) > self.settings.kv_tokens {
            return Some((413, "too_long", "the request exceeds the KV cache; shorten it"));
        }
        if let Some(handle) = &request.kv_handle
            && !self.shared.kv_store.covers(handle, &request.model, &request.prompt)
        {
            return Some((409, "kv_unknown", "the KV cache is gone; send the prompt without it"));
        }
        self.role_refusal(job)
    }

    /// Refuses requests that do not match the engine's role: `prefill` engines only export KV
    /// caches; `decode` engines only complete requests that import a KV cache or have at most one
    /// chunk of uncached prompt tokens.
    fn role_refusal(&self, job: &Job) -> Option<(u16, &'static str, &'static str)> {
        match self.orders.role {
            EngineRole::Prefill if !job.export => {
                Some((503, "role", "the engine only exports KV caches; use another"))
            }
            EngineRole::Decode if job.export => {
                Some((503, "role", "the engine exports no KV caches; use another"))
            }
            EngineRole::Decode if job.request.kv_handle.is_none() => {
                let cached = self.cache.count_prefix(&job.blocks) as u32 * self.shared.block_tokens;
                let uncached = job.prompt_tokens.saturating_sub(cached);
                (uncached > self.settings.chunk_tokens).then_some((
                    503,
                    "role",
                    "the prompt is too long for a decode engine; export its KV cache first",
                ))
            }
            _ => None,
        }
    }

    /// Cancels a waiting or running attempt; returns whether it was found.
    pub(super) fn cancel(&mut self, attempt: &str) -> bool {
        if let Some(index) = self.waiting.iter().position(|job| job.request.attempt == attempt) {
            if let Some(job) = self.waiting.remove(index) {
                self.shared.recorder.end_run(job.run, RunOutcome::Cancelled);
            }
            return true;
        }
        let found = self.batch.iter().position(|s| s.writer.request.attempt == attempt);
        if let Some(index) = found {
            let sequence = self.batch.remove(index);
            self.shared.recorder.end_run(sequence.run, RunOutcome::Cancelled);
        }
        found.is_some()
    }

    /// Drops requests whose clients have disconnected; runs at most every
    /// [`DISCONNECT_POLL_INTERVAL`].
    pub(super) fn drop_disconnected(&mut self) {
        if self.last_sweep.elapsed() < DISCONNECT_POLL_INTERVAL {
            return;
        }
        self.last_sweep = Instant::now();
        let recorder = &self.shared.recorder;
        self.waiting.retain(|job| {
            let disconnected = job.connection.peer_closed();
            if disconnected {
                recorder.end_run(job.run, RunOutcome::Gone);
            }
            !disconnected
        });
        self.batch.retain(|sequence| {
            let disconnected = sequence.writer.connection.peer_closed();
            if disconnected {
                recorder.end_run(sequence.run, RunOutcome::Gone);
            }
            !disconnected
        });
    }

    /// Moves waiting requests into the batch while it and the KV cache have room.
    pub(super) fn admit(&mut self) {
        while self.batch.len() < self.settings.max_batch {
            let Some(job) = self.waiting.front() else {
                return;
            };
            let cached = self.cache.count_prefix(&job.blocks) as u32 * self.shared.block_tokens;
            if !self.make_room(job.kv_tokens(cached)) {
                return;
            }
            if let Some(job) = self.waiting.pop_front() {
                self.start(*job);
            }
        }
    }

    /// Evicts cached blocks until `tokens` more fit into the KV cache; returns false if the running
    /// sequences leave too little room.
    pub(super) fn make_room(&mut self, tokens: u64) -> bool {
        let running: u64 = self.batch.iter().map(|sequence| sequence.kv_reserved).sum();
        if running + tokens > self.settings.kv_tokens {
            return false;
        }
        let block = u64::from(self.shared.block_tokens);
        while running + tokens + self.cache.len() as u64 * block > self.settings.kv_tokens {
            let Some(evicted) = self.cache.evict() else {
                break;
            };
            self.publish_event(CacheOp::Evicted, evicted);
        }
        true
    }

    /// Publishes a cache event, or loses it with the configured probability.
    pub(super) fn publish_event(&self, op: CacheOp, block: u64) {
        let lost = self.shared.faults.random_bool(self.settings.event_loss);
        self.shared.reports.add_event(op, block, lost);
    }

    /// Adds a request to the batch.
    pub(super) fn start(&mut self, job: Job) {
        let imported = job.request.kv_handle.is_some();
        let blocks = self.cache.match_prefix(&job.blocks) as u32;
        let cached = if imported { job.prompt_tokens } else { blocks * self.shared.block_tokens };
        let kv_reserved = job.kv_tokens(if imported { 0 } else { cached });
        let next_token = job.request.resume_offset.min(job.request.max_tokens);
        let uncached = job.prompt_tokens.saturating_sub(cached);
        let ready_at = imported.then(|| Instant::now() + TokenTimes::import(job.prompt_tokens));
        self.shared.recorder.update_run(job.run, |run| run.cached_tokens = cached);
        self.shared.recorder.start_run(job.run);
        let text = answer_text(&job.request.model, &job.request.prompt, job.request.max_tokens);
        self.batch.push(Sequence {
            writer: CompletionWriter::new(job.connection, job.request, text),
            export: job.export,
            run: job.run,
            blocks: job.blocks,
            prompt_tokens: job.prompt_tokens,
            prefill_left: (uncached + next_token).max(1),
            chunk: 0,
            decodes: false,
            next_token,
            kv_reserved,
            ready_at,
            held: None,
        });
    }
}
