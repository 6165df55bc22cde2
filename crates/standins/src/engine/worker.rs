//! The worker thread of an engine: admission, steps and the pieces they yield.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender};
use std::thread;
use std::time::{Duration, Instant};

use agatestair_schema::endpoint::{CacheOp, EngineState, KvHandle, LoadReport, Order, OrderReply};
use agatestair_schema::standins::RunOutcome;

use super::api::EngineShared;
use super::kv_store::KvExported;
use super::order_state::{Change, OrderState};
use super::prefix_cache::PrefixCache;
use super::sequence::{Job, Sequence};
use super::token_times::{KV_TOKEN_BYTES, TokenTimes};
use crate::faults::PieceFault;

/// Longest wait when there is nothing to do.
const IDLE_WAIT: Duration = Duration::from_secs(3600);
/// Time between two looks at held streams and absent peers.
const HOLD_POLL: Duration = Duration::from_millis(10);
/// Time between two requests for weights that the weight store has refused.
const WEIGHTS_POLL: Duration = Duration::from_millis(100);
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
    pub(super) cache: PrefixCache,
    boot: u32,
    prefill_rate: f64,
    decode_rate: f64,
    rated: Instant,
    pub(super) swept: Instant,
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
