//! Worker thread of an engine: command handling, batch steps, and the stream pieces they generate.

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

/// Maximum wait for a command when the engine is idle.
const IDLE_WAIT: Duration = Duration::from_secs(3600);
/// Interval between checks of held streams and KV cache imports while no step can run.
const HOLD_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Interval between requests for weights while the weight store refuses them.
const WEIGHTS_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time constant of the averaged token rates in the load report, in seconds.
const RATE_TIME_CONSTANT_S: f64 = 1.0;

/// Command to the worker thread.
pub enum Command {
    /// Queue a request.
    Submit(Box<Job>),
    /// Cancel an attempt; replies whether it was found.
    Cancel(String, Sender<bool>),
    /// Handle an order.
    Order(Box<Order>, Sender<OrderReply>),
    /// Report the engine's state.
    State(Sender<EngineState>),
    /// Drop all requests and state, and restart after this time.
    Crash(Duration),
}

/// Requests a model's weights: `None` if granted, else the time until the next retry.
pub type RequestWeights = Box<dyn FnMut(&str) -> Option<Duration> + Send>;

/// Settings of a worker.
pub struct WorkerSettings {
    /// Processing times of prompt tokens and decode steps.
    pub times: TokenTimes,
    /// Maximum number of sequences in the batch.
    pub max_batch: usize,
    /// Maximum number of prompt tokens processed in one step.
    pub chunk_tokens: u32,
    /// Size of the KV cache in tokens.
    pub kv_tokens: u64,
    /// Duration of a role change.
    pub role_time: Duration,
    /// Duration of a model load.
    pub load_time: Duration,
    /// Share of cache events that are never served, from 0 to 1.
    pub event_loss: f64,
    /// Models loaded at the start.
    pub models: Vec<String>,
    /// Whether orders with an old fencing number are refused.
    pub fenced: bool,
    /// Requests weights before a model load.
    pub weights: RequestWeights,
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
    /// Number of the current run, counted from 1.
    boot: u32,
    prefill_rate: f64,
    decode_rate: f64,
    /// End of the last step included in the rates.
    rates_until: Instant,
    /// Time of the last check for disconnected clients.
    pub(super) last_sweep: Instant,
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
            rates_until: Instant::now(),
            last_sweep: Instant::now(),
        };
        worker.record_boot();
        worker
    }

    /// Identifier of the current run of the engine; a new one is used after each crash.
    pub(super) fn boot_name(&self) -> String {
        format!("{}-{}", self.shared.name, self.boot)
    }

    fn record_boot(&self) {
        let shared = &self.shared;
        shared.recorder.record_boot(
            &shared.name,
            &shared.service,
            &shared.address,
            &self.boot_name(),
        );
    }

    /// Processes commands and steps until all command senders are dropped.
    pub fn run(mut self) {
        loop {
            self.drop_disconnected();
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

    /// Time until the worker must act even if no command arrives.
    fn idle_wait(&self) -> Duration {
        if !self.batch.is_empty() {
            return HOLD_POLL_INTERVAL;
        }
        match &self.orders.change {
            Some(Change { ready_at: Some(ready_at), .. }) => {
                ready_at.saturating_duration_since(Instant::now())
            }
            Some(_) => WEIGHTS_POLL_INTERVAL,
            None => IDLE_WAIT,
        }
    }

    /// Handles commands until `deadline`; without a step in progress, returns after the first one.
    /// Returns false when all command senders are dropped.
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
        if let Some(frozen) = self.shared.listener_faults.frozen_for() {
            thread::sleep(frozen);
        }
        true
    }

    fn handle(&mut self, command: Command) {
        match command {
            Command::Submit(job) => self.submit_job(job),
            Command::Cancel(attempt, reply) => {
                // Fails if the requester no longer waits for the reply.
                let _ = reply.send(self.cancel(&attempt));
            }
            Command::Order(order, reply) => {
                let result = self.handle_order(*order);
                let _ = reply.send(result);
            }
            Command::State(reply) => {
                let _ = reply.send(self.state());
            }
            Command::Crash(time) => self.crash(time),
        }
    }

    /// Assigns work to the sequences of the next step and returns its duration; `None` if no
    /// sequence can be processed now.
    fn plan_step(&mut self) -> Option<Duration> {
        let now = Instant::now();
        let releases = self.shared.recorder.release_count();
        let mut budget = self.settings.chunk_tokens;
        let mut decoding = 0;
        self.batch.sort_by_key(|sequence| std::cmp::Reverse(sequence.writer.request.priority));
        for sequence in &mut self.batch {
            sequence.chunk = 0;
            sequence.decodes = false;
            let held = sequence.held.is_some_and(|count| count == releases);
            if held || sequence.ready_at.is_some_and(|ready_at| ready_at > now) {
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
        self.update_rates(step, prefill, decoding);
        Some(step)
    }

    /// Adds a step to the exponentially weighted token rates of the load report.
    fn update_rates(&mut self, step: Duration, prefill: u32, decoding: usize) {
        let idle = self.rates_until.elapsed().as_secs_f64();
        let time_s = step.as_secs_f64().max(1e-6);
        let decay = (-(idle + time_s) / RATE_TIME_CONSTANT_S).exp();
        let gain = 1.0 - (-time_s / RATE_TIME_CONSTANT_S).exp();
        self.prefill_rate = self.prefill_rate * decay + f64::from(prefill) / time_s * gain;
        self.decode_rate = self.decode_rate * decay + decoding as f64 / time_s * gain;
        self.rates_until = Instant::now() + step;
    }

    /// Applies the results of the step and removes the sequences that have ended.
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

    /// Applies the step to one sequence; returns the outcome if the sequence has ended.
    fn advance(&mut self, index: usize) -> Option<RunOutcome> {
        let sequence = &mut self.batch[index];
        let chunk = std::mem::take(&mut sequence.chunk);
        let decodes = std::mem::take(&mut sequence.decodes);
        sequence.prefill_left -= chunk;
        if chunk > 0 && sequence.prefill_left == 0 {
            self.store_blocks(index);
            if self.batch[index].export {
                return Some(self.respond_export(index));
            }
        } else if !decodes {
            return None;
        }
        self.generate(index)
    }

    /// Adds the prompt blocks of a prefilled sequence to the prefix cache.
    fn store_blocks(&mut self, index: usize) {
        let blocks = std::mem::take(&mut self.batch[index].blocks);
        for block in &blocks {
            if self.cache.touch(*block) {
                self.publish_event(CacheOp::Stored, *block);
            }
        }
        self.make_room(0);
    }

    /// Stores the KV cache of an exported prompt and responds with its handle.
    fn respond_export(&mut self, index: usize) -> RunOutcome {
        let sequence = &self.batch[index];
        let request = &sequence.writer.request;
        let handle = self.shared.kv_store.insert(KvExported {
            source: self.shared.address.clone(),
            model: request.model.clone(),
            prompt: request.prompt.clone(),
        });
        let exported = KvHandle {
            handle,
            source: self.shared.address.clone(),
            tokens: sequence.prompt_tokens,
            bytes: u64::from(sequence.prompt_tokens) * KV_TOKEN_BYTES,
        };
        match sequence.writer.connection.respond_json(200, &exported) {
            Ok(()) => RunOutcome::Done,
            Err(_) => RunOutcome::Gone,
        }
    }

    /// Generates one token of a sequence; returns the outcome if the sequence has ended.
    fn generate(&mut self, index: usize) -> Option<RunOutcome> {
        let fault = self.shared.faults.next_piece_fault();
        let sequence = &mut self.batch[index];
        let count = sequence.tokens_left().min(1);
        let offset = sequence.next_token;
        sequence.next_token += count;
        if !sequence.writer.request.stream {
            sequence.writer.pieces += 1;
            let left = sequence.tokens_left();
            self.record_piece(index, count, fault);
            return (left == 0).then(|| self.respond_full(index));
        }
        let event = sequence.writer.event(offset, count);
        if fault.cross {
            self.cross_event(index, &event);
        }
        let sequence = &mut self.batch[index];
        if sequence.writer.send(event, fault).is_err() {
            return Some(RunOutcome::Gone);
        }
        self.record_piece(index, count, fault);
        self.after_piece(index)
    }

    fn record_piece(&self, index: usize, count: u32, fault: PieceFault) {
        let run = self.batch[index].run;
        self.shared.recorder.update_run(run, |run| {
            run.tokens += count;
            run.pieces += 1;
            run.altered += u32::from(fault != PieceFault::default());
        });
    }

    fn respond_full(&self, index: usize) -> RunOutcome {
        match self.batch[index].writer.send_full() {
            Ok(()) => RunOutcome::Done,
            Err(_) => RunOutcome::Gone,
        }
    }

    /// Finishes, cuts or holds a stream after a piece, as its length and the faults require.
    fn after_piece(&mut self, index: usize) -> Option<RunOutcome> {
        let sequence = &mut self.batch[index];
        let in_order = self.shared.faults.get().cut_in_order;
        if self.shared.faults.should_cut(sequence.writer.pieces) {
            if in_order {
                // The stream ends here even if this write fails.
                let _ = sequence.writer.finish();
            }
            return Some(RunOutcome::Cut);
        }
        if sequence.tokens_left() == 0 {
            let sent = sequence.writer.finish();
            return Some(if sent.is_ok() { RunOutcome::Done } else { RunOutcome::Gone });
        }
        if self.shared.faults.get().hold_stream == sequence.writer.pieces {
            let recorder = &self.shared.recorder;
            let subject = &sequence.writer.request.request;
            sequence.held = Some(recorder.record_hold(&self.shared.name, "stream", subject));
        }
        None
    }

    /// Sends an event of one sequence on the stream of another sequence, if there is one.
    fn cross_event(&mut self, index: usize, event: &[u8]) {
        let other = (0..self.batch.len())
            .find(|other| *other != index && self.batch[*other].writer.request.stream);
        if let Some(other) = other {
            // A failed write is detected at the next piece of that sequence.
            let _ = self.batch[other].writer.send_crossed(event);
        }
    }

    /// Drops all requests and state, waits for the duration `time`, and starts the next run.
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
        self.record_boot();
    }

    fn state(&self) -> EngineState {
        EngineState {
            endpoint: self.shared.name.clone(),
            boot: self.boot_name(),
            role: self.orders.role,
            target: self.orders.target_role(),
            draining: self.orders.draining,
            models: self.orders.models.clone(),
            fencing: self.orders.fencing,
            last_order: self.orders.last_order.clone(),
            active: u32::try_from(self.batch.len() + self.waiting.len()).unwrap_or(u32::MAX),
        }
    }

    /// Publishes a load report of the current state.
    fn publish(&self) {
        let waiting = self.waiting.iter();
        let waiting_prefill: u64 = waiting.clone().map(|job| u64::from(job.prompt_tokens)).sum();
        let waiting_decode: u64 = waiting.map(|job| u64::from(job.request.max_tokens)).sum();
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
            kv_used: running.map(|sequence| sequence.kv_reserved).sum(),
            kv_total: self.settings.kv_tokens,
            models: self.orders.models.clone(),
        });
    }
}
