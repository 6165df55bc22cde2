//! The worker thread of an engine: admission, steps and the pieces they yield.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender};
use std::thread;
use std::time::{Duration, Instant};

use agatestair_schema::answer_text;
use agatestair_schema::endpoint::{
    CacheOp, EngineRole, EngineState, KvHandle, LoadReport, Order, OrderReply,
};
use agatestair_schema::standins::RunOutcome;

use super::api::EngineShared;
use super::kv_store::KvExported;
use super::order_state::{Change, OrderState};
use super::prefix_cache::PrefixCache;
use super::sequence::{Job, Sequence};
use super::stream_out::StreamOut;
use super::token_times::{KV_TOKEN_BYTES, TokenTimes};
use crate::faults::PieceFault;

/// Longest wait when there is nothing to do.
const IDLE_WAIT: Duration = Duration::from_secs(3600);
/// Time between two looks at held streams and absent peers.
const HOLD_POLL: Duration = Duration::from_millis(10);
/// Time between two requests for weights that the weight store has refused.
const WEIGHTS_POLL: Duration = Duration::from_millis(100);
/// Time between two looks for peers that have gone.
const GONE_POLL: Duration = Duration::from_millis(200);
/// Waiting requests per batch place above which new ones are refused.
const QUEUE_FACTOR: usize = 16;
/// Time constant of the rates in the load report, in seconds.
const RATE_TIME_S: f64 = 1.0;

/// What the worker is asked.
pub enum Command {
    /// Work on a request.
    Submit(Box<Job>),
    /// Cancel an attempt; tells whether it was found.
    Cancel(String, Sender<bool>),
    /// Take an order.
    Order(Box<Order>, Sender<OrderReply>),
    /// Tell the state.
    State(Sender<EngineState>),
    /// Lose everything and start anew after this time.
    Crash(Duration),
}

/// Asks the weight store for a model; `Some` is the time after which to ask again.
pub type AskWeights = Box<dyn FnMut(&str) -> Option<Duration> + Send>;

/// Settings of a worker.
pub struct WorkerSettings {
    /// Processing times.
    pub times: TokenTimes,
    /// Greatest number of sequences in the batch.
    pub max_batch: usize,
    /// Greatest number of prompt tokens processed in one step.
    pub chunk_tokens: u32,
    /// Size of the KV cache in tokens.
    pub kv_tokens: u64,
    /// Duration of a role change.
    pub role_time: Duration,
    /// Duration of a model load.
    pub load_time: Duration,
    /// Share of cache events lost.
    pub event_loss: f64,
    /// Models loaded at the start.
    pub models: Vec<String>,
    /// Whether orders with an old fencing number are refused.
    pub fenced: bool,
    /// Weight store.
    pub weights: AskWeights,
}

/// State of an engine, owned by its worker thread.
pub struct Worker {
    pub(super) settings: WorkerSettings,
    pub(super) shared: Arc<EngineShared>,
    pub(super) orders: OrderState,
    pub(super) waiting: VecDeque<Box<Job>>,
    pub(super) batch: Vec<Sequence>,
    commands: Receiver<Command>,
    cache: PrefixCache,
    boot: u32,
    prefill_rate: f64,
    decode_rate: f64,
    rated: Instant,
    swept: Instant,
}

impl Worker {
    /// Creates the worker of an engine.
    pub fn new(
        settings: WorkerSettings,
        shared: Arc<EngineShared>,
        commands: Receiver<Command>,
    ) -> Self {
        let orders = OrderState::new(settings.models.clone(), settings.fenced);
        let worker = Self {
            settings,
            shared,
            orders,
            waiting: VecDeque::new(),
            batch: Vec::new(),
            commands,
            cache: PrefixCache::default(),
            boot: 1,
            prefill_rate: 0.0,
            decode_rate: 0.0,
            rated: Instant::now(),
            swept: Instant::now(),
        };
        worker.note_boot();
        worker
    }

    /// Name of this run of the engine.
    pub(super) fn boot_name(&self) -> String {
        format!("{}-{}", self.shared.name, self.boot)
    }

    fn note_boot(&self) {
        let shared = &self.shared;
        shared.recorder.note_boot(
            &shared.name,
            &shared.service,
            &shared.address,
            &self.boot_name(),
        );
    }

    /// Runs until the senders of commands are gone.
    pub fn run(mut self) {
        loop {
            self.drop_gone();
            self.advance_change();
            self.admit();
            let wait = self.plan_step();
            self.publish();
            let deadline = Instant::now() + wait.unwrap_or_else(|| self.idle_wait());
            if !self.handle_until(deadline) {
                return;
            }
            if wait.is_some() {
                self.finish_step();
            }
        }
    }

    /// Time until something happens without a command.
    fn idle_wait(&self) -> Duration {
        if !self.batch.is_empty() {
            return HOLD_POLL;
        }
        match &self.orders.change {
            Some(Change { ready: Some(ready), .. }) => {
                ready.saturating_duration_since(Instant::now())
            }
            Some(_) => WEIGHTS_POLL,
            None => IDLE_WAIT,
        }
    }

    /// Handles commands until `deadline`, or the first one when there is no step under way.
    fn handle_until(&mut self, deadline: Instant) -> bool {
        let stepping = self.batch.iter().any(|sequence| sequence.chunk > 0 || sequence.decodes);
        loop {
            let wait = deadline.saturating_duration_since(Instant::now());
            match self.commands.recv_timeout(wait) {
                Ok(command) => self.handle(command),
                Err(RecvTimeoutError::Timeout) => break,
                Err(RecvTimeoutError::Disconnected) => return false,
            }
            if !stepping {
                break;
            }
        }
        if let Some(frozen) = self.shared.gate.frozen_for() {
            thread::sleep(frozen);
        }
        true
    }

    fn handle(&mut self, command: Command) {
        match command {
            Command::Submit(job) => self.take_job(job),
            Command::Cancel(attempt, reply) => {
                // The asker may have gone.
                let _ = reply.send(self.cancel(&attempt));
            }
            Command::Order(order, reply) => {
                let answer = self.take_order(*order);
                let _ = reply.send(answer);
            }
            Command::State(reply) => {
                let _ = reply.send(self.state());
            }
            Command::Crash(time) => self.crash(time),
        }
    }

    /// Accepts or refuses a request.
    fn take_job(&mut self, job: Box<Job>) {
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

    fn cancel(&mut self, attempt: &str) -> bool {
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
    fn drop_gone(&mut self) {
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
    fn admit(&mut self) {
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
    fn make_room(&mut self, tokens: u64) -> bool {
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

    fn publish_event(&self, op: CacheOp, block: u64) {
        let lost = self.shared.faults.draw(self.settings.event_loss);
        self.shared.reports.add_event(op, block, lost);
    }

    fn start(&mut self, job: Job) {
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

    /// Plans the next step; `None` if nothing can be processed now.
    fn plan_step(&mut self) -> Option<Duration> {
        let now = Instant::now();
        let releases = self.shared.recorder.release_count();
        let mut budget = self.settings.chunk_tokens;
        let mut decoding = 0;
        self.batch.sort_by_key(|sequence| std::cmp::Reverse(sequence.out.request.priority));
        for sequence in &mut self.batch {
            sequence.chunk = 0;
            sequence.decodes = false;
            let held = sequence.held.is_some_and(|count| count == releases);
            if held || sequence.ready.is_some_and(|ready| ready > now) {
                continue;
            }
            sequence.held = None;
            if sequence.prefill_left > 0 {
                sequence.chunk = sequence.prefill_left.min(budget);
                budget -= sequence.chunk;
            } else {
                sequence.decodes = true;
                decoding += 1;
            }
        }
        let prefill = self.settings.chunk_tokens - budget;
        if prefill == 0 && decoding == 0 {
            return None;
        }
        let factor = self.shared.faults.slow_factor();
        let step = self.settings.times.step(prefill, decoding).mul_f64(factor);
        self.rate(step, prefill, decoding);
        Some(step)
    }

    fn rate(&mut self, step: Duration, prefill: u32, decoding: usize) {
        let idle = self.rated.elapsed().as_secs_f64();
        let time_s = step.as_secs_f64().max(1e-6);
        let keep = (-(idle + time_s) / RATE_TIME_S).exp();
        let add = 1.0 - (-time_s / RATE_TIME_S).exp();
        self.prefill_rate = self.prefill_rate * keep + f64::from(prefill) / time_s * add;
        self.decode_rate = self.decode_rate * keep + decoding as f64 / time_s * add;
        self.rated = Instant::now() + step;
    }

    /// Yields the pieces of the step and removes the sequences that have ended.
    fn finish_step(&mut self) {
        let mut index = 0;
        while index < self.batch.len() {
            match self.advance(index) {
                None => index += 1,
                Some(outcome) => {
                    let sequence = self.batch.remove(index);
                    self.shared.recorder.end_run(sequence.run, outcome);
                }
            }
        }
    }

    /// Applies the step to one sequence; `Some` when it has ended.
    fn advance(&mut self, index: usize) -> Option<RunOutcome> {
        let sequence = &mut self.batch[index];
        let chunk = std::mem::take(&mut sequence.chunk);
        let decodes = std::mem::take(&mut sequence.decodes);
        sequence.prefill_left -= chunk;
        if chunk > 0 && sequence.prefill_left == 0 {
            self.store_blocks(index);
            if self.batch[index].export {
                return Some(self.answer_export(index));
            }
        } else if !decodes {
            return None;
        }
        self.generate(index)
    }

    fn store_blocks(&mut self, index: usize) {
        let blocks = std::mem::take(&mut self.batch[index].blocks);
        for block in &blocks {
            if self.cache.touch(*block) {
                self.publish_event(CacheOp::Stored, *block);
            }
        }
        self.make_room(0);
    }

    fn answer_export(&mut self, index: usize) -> RunOutcome {
        let sequence = &self.batch[index];
        let request = &sequence.out.request;
        let handle = self.shared.kv_store.insert(KvExported {
            source: self.shared.address.clone(),
            model: request.model.clone(),
            prompt: request.prompt.clone(),
        });
        let answer = KvHandle {
            handle,
            source: self.shared.address.clone(),
            tokens: sequence.prompt_tokens,
            bytes: u64::from(sequence.prompt_tokens) * KV_TOKEN_BYTES,
        };
        match sequence.out.connection.respond_json(200, &answer) {
            Ok(()) => RunOutcome::Done,
            Err(_) => RunOutcome::Gone,
        }
    }

    /// Generates one token of a sequence; `Some` when it has ended.
    fn generate(&mut self, index: usize) -> Option<RunOutcome> {
        let fault = self.shared.faults.next_piece();
        let sequence = &mut self.batch[index];
        let count = sequence.tokens_left().min(1);
        let offset = sequence.next;
        sequence.next += count;
        if !sequence.out.request.stream {
            sequence.out.pieces += 1;
            let left = sequence.tokens_left();
            self.count_piece(index, count, fault);
            return (left == 0).then(|| self.answer_whole(index));
        }
        let event = sequence.out.event(offset, count);
        if fault.cross {
            self.cross(index, &event);
        }
        let sequence = &mut self.batch[index];
        if sequence.out.send(event, fault).is_err() {
            return Some(RunOutcome::Gone);
        }
        self.count_piece(index, count, fault);
        self.after_piece(index)
    }

    fn count_piece(&self, index: usize, count: u32, fault: PieceFault) {
        let run = self.batch[index].run;
        self.shared.recorder.update_run(run, |run| {
            run.tokens += count;
            run.pieces += 1;
            run.altered += u32::from(fault != PieceFault::default());
        });
    }

    fn answer_whole(&self, index: usize) -> RunOutcome {
        match self.batch[index].out.send_whole() {
            Ok(()) => RunOutcome::Done,
            Err(_) => RunOutcome::Gone,
        }
    }

    /// Ends, cuts or holds a stream after a piece.
    fn after_piece(&mut self, index: usize) -> Option<RunOutcome> {
        let sequence = &mut self.batch[index];
        let in_order = self.shared.faults.get().cut_in_order;
        if self.shared.faults.cuts(sequence.out.pieces) {
            if in_order {
                // The stream ends here in any case.
                let _ = sequence.out.finish();
            }
            return Some(RunOutcome::Cut);
        }
        if sequence.tokens_left() == 0 {
            let sent = sequence.out.finish();
            return Some(if sent.is_ok() { RunOutcome::Done } else { RunOutcome::Gone });
        }
        if self.shared.faults.get().hold_stream == sequence.out.pieces {
            let recorder = &self.shared.recorder;
            let subject = &sequence.out.request.request;
            sequence.held = Some(recorder.note_hold(&self.shared.name, "stream", subject));
        }
        None
    }

    /// Sends an event of one sequence on the stream of another.
    fn cross(&mut self, index: usize, event: &[u8]) {
        let other = (0..self.batch.len())
            .find(|other| *other != index && self.batch[*other].out.request.stream);
        if let Some(other) = other {
            // A failure shows at that sequence's own next piece.
            let _ = self.batch[other].out.send_foreign(event);
        }
    }

    fn crash(&mut self, time: Duration) {
        let runs = self.batch.drain(..).map(|sequence| sequence.run);
        let runs: Vec<_> = runs.chain(self.waiting.drain(..).map(|job| job.run)).collect();
        for run in runs {
            self.shared.recorder.end_run(run, RunOutcome::Crashed);
        }
        self.shared.kv_store.drop_source(&self.shared.address);
        thread::sleep(time);
        while let Ok(command) = self.commands.try_recv() {
            if let Command::Submit(job) = command {
                self.shared.recorder.end_run(job.run, RunOutcome::Crashed);
            }
        }
        self.cache = PrefixCache::default();
        self.orders.restart(self.settings.models.clone());
        self.boot += 1;
        self.note_boot();
    }

    fn state(&self) -> EngineState {
        EngineState {
            endpoint: self.shared.name.clone(),
            boot: self.boot_name(),
            role: self.orders.role,
            target: self.orders.target(),
            draining: self.orders.draining,
            models: self.orders.models.clone(),
            fencing: self.orders.fencing,
            last_order: self.orders.last_order.clone(),
            active: u32::try_from(self.batch.len() + self.waiting.len()).unwrap_or(u32::MAX),
        }
    }

    fn publish(&self) {
        let queued = self.waiting.iter();
        let waiting_prefill: u64 = queued.clone().map(|job| u64::from(job.prompt_tokens)).sum();
        let waiting_decode: u64 = queued.map(|job| u64::from(job.request.max_tokens)).sum();
        let running = self.batch.iter();
        let prefill: u64 = running.clone().map(|s| u64::from(s.prefill_left)).sum();
        let decode: u64 = running.clone().map(|s| u64::from(s.tokens_left())).sum();
        self.shared.reports.publish(LoadReport {
            endpoint: self.shared.name.clone(),
            sequence: 0,
            age_ms: 0,
            role: self.orders.role,
            changing: self.orders.change.is_some(),
            active: u32::try_from(self.batch.len()).unwrap_or(u32::MAX),
            queued: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
            prefill_backlog: prefill + waiting_prefill,
            decode_backlog: decode + waiting_decode,
            prefill_rate: self.prefill_rate,
            decode_rate: self.decode_rate,
            kv_used: running.map(|sequence| sequence.kv).sum(),
            kv_total: self.settings.kv_tokens,
            models: self.orders.models.clone(),
        });
    }
}
