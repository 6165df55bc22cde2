//! How the worker of an engine accepts, refuses, cancels and starts requests.

use std::time::{Duration, Instant};

use agatestair_schema::answer_text;
use agatestair_schema::endpoint::{CacheOp, EngineRole};
use agatestair_schema::standins::RunOutcome;

use super::sequence::{Job, Sequence};
use super::stream_out::StreamOut;
use super::token_times::TokenTimes;
use super::worker::Worker;

/// Time between two looks for peers that have gone.
const GONE_POLL: Duration = Duration::from_millis(200);
/// Waiting requests per batch place above which new ones are refused.
const QUEUE_FACTOR: usize = 16;

impl Worker {
    /// Accepts or refuses a request.
    pub(super) fn take_job(&mut self, job: Box<Job>) {
        let boot = self.boot_name();
        self.shared.recorder.update_run(job.run, |run| run.boot = boot);
        if let Some((status, code, message)) = self.refusal(&job) {
            self.shared.recorder.end_run(job.run, RunOutcome::Refused);
            // A peer that has gone needs no refusal.
            let _ = job.connection.refuse(status, code, message, &job.request.request);
            return;
        }
        let priority = job.request.priority;
        let place = self.waiting.iter().position(|other| other.request.priority < priority);
        self.waiting.insert(place.unwrap_or(self.waiting.len()), job);
    }

    fn refusal(&self, job: &Job) -> Option<(u16, &'static str, &'static str)> {
        let request = &job.request;
        if self.orders.draining {
            return Some((503, "draining", "the engine takes no new work; use another"));
        }
        if self.orders.changes_role() {
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

    /// Refuses what the role does not do: `prefill` engines only export, `decode` engines complete
    /// requests with an imported KV cache or at most one chunk of prompt that is not cached.
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
                let fresh = job.prompt_tokens.saturating_sub(cached);
                (fresh > self.settings.chunk_tokens).then_some((
                    503,
                    "role",
                    "the prompt is too long for a decode engine; export its KV cache first",
                ))
            }
            _ => None,
        }
    }

    pub(super) fn cancel(&mut self, attempt: &str) -> bool {
        if let Some(index) = self.waiting.iter().position(|job| job.request.attempt == attempt) {
            if let Some(job) = self.waiting.remove(index) {
                self.shared.recorder.end_run(job.run, RunOutcome::Cancelled);
            }
            return true;
        }
        let found = self.batch.iter().position(|s| s.out.request.attempt == attempt);
        if let Some(index) = found {
            let sequence = self.batch.remove(index);
            self.shared.recorder.end_run(sequence.run, RunOutcome::Cancelled);
        }
        found.is_some()
    }

    /// Drops the requests whose peers have closed the connection.
    pub(super) fn drop_gone(&mut self) {
        if self.swept.elapsed() < GONE_POLL {
            return;
        }
        self.swept = Instant::now();
        let recorder = &self.shared.recorder;
        self.waiting.retain(|job| {
            let gone = job.connection.is_gone();
            if gone {
                recorder.end_run(job.run, RunOutcome::Gone);
            }
            !gone
        });
        self.batch.retain(|sequence| {
            let gone = sequence.out.connection.is_gone();
            if gone {
                recorder.end_run(sequence.run, RunOutcome::Gone);
            }
            !gone
        });
    }

    /// Moves waiting requests into the batch while there is room.
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

    /// Evicts cached blocks until `tokens` fit beside the running sequences.
    pub(super) fn make_room(&mut self, tokens: u64) -> bool {
        let running: u64 = self.batch.iter().map(|sequence| sequence.kv).sum();
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

    pub(super) fn publish_event(&self, op: CacheOp, block: u64) {
        let lost = self.shared.faults.draw(self.settings.event_loss);
        self.shared.reports.add_event(op, block, lost);
    }

    pub(super) fn start(&mut self, job: Job) {
        let imported = job.request.kv_handle.is_some();
        let blocks = self.cache.match_prefix(&job.blocks) as u32;
        let cached = if imported { job.prompt_tokens } else { blocks * self.shared.block_tokens };
        let kv = job.kv_tokens(if imported { 0 } else { cached });
        let next = job.request.resume_offset.min(job.request.max_tokens);
        let fresh = job.prompt_tokens.saturating_sub(cached);
        let ready = imported.then(|| Instant::now() + TokenTimes::import(job.prompt_tokens));
        self.shared.recorder.update_run(job.run, |run| run.cached_tokens = cached);
        self.shared.recorder.start_run(job.run);
        let text = answer_text(&job.request.model, &job.request.prompt, job.request.max_tokens);
        self.batch.push(Sequence {
            out: StreamOut::new(job.connection, job.request, text),
            export: job.export,
            run: job.run,
            blocks: job.blocks,
            prompt_tokens: job.prompt_tokens,
            prefill_left: (fresh + next).max(1),
            chunk: 0,
            decodes: false,
            next,
            kv,
            ready,
            held: None,
        });
    }
}
