//! Sends arrivals on time from a bounded pool of threads.

use std::collections::VecDeque;
use std::io;
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use agatestair_schema::testbed::Deployment;

use crate::client::{Client, CompletionAsk, ServiceAsk};
use crate::deployment::plain_service;
use crate::directory::Directory;
use crate::outcome::{CallRecord, Outcome, Reply};
use crate::work::{Arrival, CompletionShape, Work};

/// Threads that send requests, and so the greatest number of requests in work.
pub const MAX_CALLERS: usize = 6000;
/// Stack of each of these threads in bytes.
const STACK_BYTES: usize = 256 * 1024;
/// Callers of one customer that keep an answer of `GET /v1/entries` each.
const DIRECTORIES_PER_CUSTOMER: usize = 8;
/// Longest wait of a caller that was told when to come back.
const MAX_RETURN_WAIT: Duration = Duration::from_secs(30);
/// One in this many writes is sent a second time under the same key.
const REPEAT_EVERY: u64 = 4;

/// How callers reach the fleet.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Route {
    /// Through the entries.
    #[default]
    Entries,
    /// Straight to the engines in turn.
    Direct,
    /// In turn through the entries and straight to the engines.
    Alternate,
}

impl Route {
    /// Whether the arrival at `index` goes straight to an engine.
    pub fn direct(self, index: usize) -> bool {
        match self {
            Self::Entries => false,
            Self::Direct => true,
            Self::Alternate => index % 2 == 1,
        }
    }
}

/// How the callers of a run behave.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallerSettings {
    /// How callers reach the fleet.
    pub route: Route,
    /// How often a refused caller comes back when told to.
    pub returns: u32,
}

/// All that the threads of one run share.
struct Shared {
    deployment: Deployment,
    settings: CallerSettings,
    client: Client,
    run: String,
    start: Instant,
    engines: Vec<Arc<str>>,
    directories: Vec<Directory>,
    queue: Mutex<Queue>,
    ready: Condvar,
    records: Mutex<Vec<CallRecord>>,
}

#[derive(Default)]
struct Queue {
    waiting: VecDeque<(usize, Arrival)>,
    closed: bool,
}

/// Sends all arrivals at their times and returns a record of each, in order of arrival.
///
/// `run` is an identifier that makes the idempotency keys of this run its own.
///
/// # Errors
///
/// The operating system's error if a thread cannot be started.
pub fn send_arrivals(
    deployment: &Deployment,
    settings: CallerSettings,
    run: &str,
    start: Instant,
    arrivals: &[Arrival],
) -> io::Result<Vec<CallRecord>> {
    let shared = Arc::new(Shared::new(deployment, settings, run, start));
    let count = MAX_CALLERS.min(arrivals.len());
    let mut threads = Vec::with_capacity(count);
    for _ in 0..count {
        let shared = Arc::clone(&shared);
        let builder = thread::Builder::new().name("caller".to_owned()).stack_size(STACK_BYTES);
        threads.push(builder.spawn(move || shared.work())?);
    }
    for (index, arrival) in arrivals.iter().enumerate() {
        thread::sleep((start + arrival.at).saturating_duration_since(Instant::now()));
        shared.lock_queue().waiting.push_back((index, *arrival));
        shared.ready.notify_one();
    }
    shared.lock_queue().closed = true;
    shared.ready.notify_all();
    for thread in threads {
        let _ = thread.join();
    }
    let mut records =
        std::mem::take(&mut *shared.records.lock().unwrap_or_else(PoisonError::into_inner));
    records.sort_by_key(|record| record.index);
    Ok(records)
}

impl Shared {
    fn new(deployment: &Deployment, settings: CallerSettings, run: &str, start: Instant) -> Self {
        let bootstrap: Vec<Arc<str>> =
            deployment.entries.iter().map(|entry| Arc::from(&*entry.address)).collect();
        let count = deployment.customers.len() * DIRECTORIES_PER_CUSTOMER;
        let directories = (0..count).map(|i| Directory::new(bootstrap.clone(), i)).collect();
        let engines = deployment
            .endpoints
            .iter()
            .filter(|place| place.kind == agatestair_schema::testbed::PlaceKind::Engine)
            .map(|place| Arc::from(&*place.address))
            .collect();
        Self {
            deployment: deployment.clone(),
            settings,
            client: Client::new(start),
            run: run.to_owned(),
            start,
            engines,
            directories,
            queue: Mutex::default(),
            ready: Condvar::new(),
            records: Mutex::default(),
        }
    }

    fn lock_queue(&self) -> std::sync::MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Body of a caller's thread.
    fn work(&self) {
        while let Some((index, arrival)) = self.take() {
            let record = self.send(index, &arrival);
            self.records.lock().unwrap_or_else(PoisonError::into_inner).push(record);
        }
    }

    fn take(&self) -> Option<(usize, Arrival)> {
        let mut queue = self.lock_queue();
        loop {
            if let Some(next) = queue.waiting.pop_front() {
                return Some(next);
            }
            if queue.closed {
                return None;
            }
            queue = self.ready.wait(queue).unwrap_or_else(PoisonError::into_inner);
        }
    }

    fn send(&self, index: usize, arrival: &Arrival) -> CallRecord {
        let mut record = CallRecord {
            index,
            target: Arc::from(""),
            sent: self.start.elapsed(),
            returns: 0,
            unreachable: 0,
            replies: Vec::new(),
            key: Arc::from(""),
            repeat: None,
        };
        match arrival.work {
            Work::Completion(shape) => self.send_completion(arrival, shape, &mut record),
            Work::Write => self.send_write(arrival, &mut record),
            Work::Read => self.send_read(arrival, &mut record),
        }
        record
    }

    fn send_completion(&self, arrival: &Arrival, shape: CompletionShape, record: &mut CallRecord) {
        let prompt = shape.prompt(arrival.seed);
        let models = &self.deployment.models;
        let model = models.get(shape.model % models.len().max(1)).map_or("", String::as_str);
        let direct = self.settings.route.direct(record.index);
        let request = format!("{}-{}", self.run, record.index);
        self.with_returns(record, |record| {
            let ask = |target: &str, key: &str| {
                self.client.complete(&CompletionAsk {
                    target,
                    key,
                    model,
                    prompt: &prompt,
                    max_tokens: shape.max_tokens,
                    request: &request,
                })
            };
            if direct {
                let target = &self.engines[record.index / 2 % self.engines.len()];
                record.target = target.clone();
                return ask(target, "");
            }
            self.through_entries(arrival, record, ask)
        });
    }

    fn send_write(&self, arrival: &Arrival, record: &mut CallRecord) {
        record.key = arrival.key(&self.run);
        let body = format!("{{\"entry\":\"{}\"}}", record.key);
        let key = record.key.clone();
        let mut text = String::new();
        self.with_returns(record, |record| {
            let reply = self.call_service(arrival, record, &key, &body)?;
            text = reply.body;
            Some(reply.reply)
        });
        if record.whole() && arrival.seed.is_multiple_of(REPEAT_EVERY) {
            let repeat = self.call_service(arrival, record, &key, &body);
            record.repeat = repeat.map(|repeat| compare_repeat(repeat.reply, &repeat.body, &text));
        }
    }

    fn send_read(&self, arrival: &Arrival, record: &mut CallRecord) {
        self.with_returns(record, |record| {
            self.call_service(arrival, record, "", "").map(|reply| reply.reply)
        });
    }

    fn call_service(
        &self,
        arrival: &Arrival,
        record: &mut CallRecord,
        idempotency: &str,
        body: &str,
    ) -> Option<crate::client::ServiceReply> {
        let service = plain_service(&self.deployment).unwrap_or_default();
        self.through_entries(arrival, record, |target, key| {
            self.client.call(&ServiceAsk { target, key, service, idempotency, body })
        })
    }

    /// Tries the entries of the caller's answer in order until one can be reached.
    fn through_entries<T>(
        &self,
        arrival: &Arrival,
        record: &mut CallRecord,
        mut ask: impl FnMut(&str, &str) -> Option<T>,
    ) -> Option<T> {
        let key = &self.deployment.customers[arrival.customer].key;
        let slot = record.index % DIRECTORIES_PER_CUSTOMER;
        let directory = &self.directories[arrival.customer * DIRECTORIES_PER_CUSTOMER + slot];
        for target in directory.entries(&self.client, key) {
            record.target = target.clone();
            if let Some(reply) = ask(&target, key) {
                return Some(reply);
            }
            record.unreachable += 1;
        }
        directory.forget();
        None
    }

    /// Sends once, and again as often as set when a refusal says when to come back.
    fn with_returns(
        &self,
        record: &mut CallRecord,
        mut send: impl FnMut(&mut CallRecord) -> Option<Reply>,
    ) {
        loop {
            let reply = send(record).unwrap_or_else(|| Reply {
                outcome: Outcome::Unreached,
                request: String::new(),
                first: None,
                end: self.client.now(),
                tokens: 0,
            });
            let wait = match &reply.outcome {
                Outcome::Refused(refusal) => refusal.retry,
                _ => None,
            };
            record.replies.push(reply);
            match wait {
                Some(wait) if record.returns < self.settings.returns => {
                    record.returns += 1;
                    thread::sleep(wait.min(MAX_RETURN_WAIT));
                }
                _ => return,
            }
        }
    }
}

/// A repeat under the same key must get the kept answer.
fn compare_repeat(mut reply: Reply, body: &str, first: &str) -> Reply {
    if reply.outcome == Outcome::Whole && body != first {
        reply.outcome = Outcome::Wrong;
    }
    reply
}
