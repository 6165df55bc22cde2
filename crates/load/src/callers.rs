//! Sends requests at their scheduled times from a bounded pool of threads.

use std::collections::VecDeque;
use std::io;
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use agatestair_schema::testbed::Deployment;

use crate::client::{Client, CompletionParams, ServiceParams};
use crate::deployment::plain_service;
use crate::entry_cache::EntryCache;
use crate::operation::{Arrival, CompletionShape, Operation};
use crate::outcome::{Outcome, Reply, RequestRecord};

/// Maximum number of caller threads, and therefore of concurrent requests.
pub const MAX_CALLERS: usize = 6000;
/// Stack size of each caller thread in bytes.
const STACK_BYTES: usize = 256 * 1024;
/// Number of simulated callers per customer, each with its own entry cache.
const CACHES_PER_CUSTOMER: usize = 8;
/// Upper limit of the retry delay that a refusal can request.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(30);
/// One in this many successful writes is sent again with the same idempotency key.
const REPEAT_EVERY: u64 = 4;

/// How callers reach the fleet.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Route {
    /// Through the entries.
    #[default]
    Entries,
    /// Directly to the engines, round-robin.
    Direct,
    /// Alternately through the entries and directly to the engines.
    Alternate,
}

impl Route {
    /// Whether the request at `index` is sent directly to an engine.
    pub fn direct(self, index: usize) -> bool {
        match self {
            Self::Entries => false,
            Self::Direct => true,
            Self::Alternate => index % 2 == 1,
        }
    }
}

/// Behaviour of the callers in a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallerSettings {
    /// How callers reach the fleet.
    pub route: Route,
    /// Maximum number of retries of a request after refusals with a retry delay.
    pub max_retries: u32,
}

/// State shared by the caller threads of one run.
struct CallerPool {
    deployment: Deployment,
    settings: CallerSettings,
    client: Client,
    run: String,
    start: Instant,
    engines: Vec<Arc<str>>,
    entry_caches: Vec<EntryCache>,
    queue: Mutex<Queue>,
    ready: Condvar,
    records: Mutex<Vec<RequestRecord>>,
}

#[derive(Default)]
struct Queue {
    waiting: VecDeque<(usize, Arrival)>,
    closed: bool,
}

/// Sends all requests at their scheduled times and returns their records in the same order.
///
/// `run` is a unique identifier of the run; it prefixes the idempotency keys.
///
/// # Errors
///
/// Returns the operating system's error if a thread cannot be spawned.
pub fn send_arrivals(
    deployment: &Deployment,
    settings: CallerSettings,
    run: &str,
    start: Instant,
    arrivals: &[Arrival],
) -> io::Result<Vec<RequestRecord>> {
    let pool = Arc::new(CallerPool::new(deployment, settings, run, start));
    let count = MAX_CALLERS.min(arrivals.len());
    let mut threads = Vec::with_capacity(count);
    for _ in 0..count {
        let pool = Arc::clone(&pool);
        let builder = thread::Builder::new().name("caller".to_owned()).stack_size(STACK_BYTES);
        threads.push(builder.spawn(move || pool.run_caller())?);
    }
    for (index, arrival) in arrivals.iter().enumerate() {
        thread::sleep((start + arrival.at).saturating_duration_since(Instant::now()));
        pool.lock_queue().waiting.push_back((index, *arrival));
        pool.ready.notify_one();
    }
    pool.lock_queue().closed = true;
    pool.ready.notify_all();
    for thread in threads {
        let _ = thread.join();
    }
    let mut records =
        std::mem::take(&mut *pool.records.lock().unwrap_or_else(PoisonError::into_inner));
    records.sort_by_key(|record| record.index);
    Ok(records)
}

impl CallerPool {
    fn new(deployment: &Deployment, settings: CallerSettings, run: &str, start: Instant) -> Self {
        let bootstrap: Vec<Arc<str>> =
            deployment.entries.iter().map(|entry| Arc::from(&*entry.address)).collect();
        let count = deployment.customers.len() * CACHES_PER_CUSTOMER;
        let entry_caches = (0..count).map(|i| EntryCache::new(bootstrap.clone(), i)).collect();
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
            entry_caches,
            queue: Mutex::default(),
            ready: Condvar::new(),
            records: Mutex::default(),
        }
    }

    fn lock_queue(&self) -> std::sync::MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Main loop of a caller thread.
    fn run_caller(&self) {
        while let Some((index, arrival)) = self.next_arrival() {
            let record = self.send(index, &arrival);
            self.records.lock().unwrap_or_else(PoisonError::into_inner).push(record);
        }
    }

    fn next_arrival(&self) -> Option<(usize, Arrival)> {
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

    fn send(&self, index: usize, arrival: &Arrival) -> RequestRecord {
        let mut record = RequestRecord {
            index,
            target: Arc::from(""),
            sent: self.start.elapsed(),
            retries: 0,
            unreachable: 0,
            replies: Vec::new(),
            key: Arc::from(""),
            repeat: None,
        };
        match arrival.operation {
            Operation::Completion(shape) => self.send_completion(arrival, shape, &mut record),
            Operation::Write => self.send_write(arrival, &mut record),
            Operation::Read => self.send_read(arrival, &mut record),
        }
        record
    }

    fn send_completion(
        &self,
        arrival: &Arrival,
        shape: CompletionShape,
        record: &mut RequestRecord,
    ) {
        let prompt = shape.prompt(arrival.seed);
        let models = &self.deployment.models;
        let model = models.get(shape.model % models.len().max(1)).map_or("", String::as_str);
        let direct = self.settings.route.direct(record.index);
        let request = format!("{}-{}", self.run, record.index);
        self.with_retries(record, |record| {
            let send = |target: &str, key: &str| {
                self.client.complete(&CompletionParams {
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
                return send(target, "");
            }
            self.try_entries(arrival, record, send)
        });
    }

    fn send_write(&self, arrival: &Arrival, record: &mut RequestRecord) {
        record.key = arrival.key(&self.run);
        let body = format!("{{\"entry\":\"{}\"}}", record.key);
        let key = record.key.clone();
        let mut text = String::new();
        self.with_retries(record, |record| {
            let reply = self.call_service(arrival, record, &key, &body)?;
            text = reply.body;
            Some(reply.reply)
        });
        if record.is_success() && arrival.seed.is_multiple_of(REPEAT_EVERY) {
            let repeat = self.call_service(arrival, record, &key, &body);
            record.repeat = repeat.map(|repeat| compare_repeat(repeat.reply, &repeat.body, &text));
        }
    }

    fn send_read(&self, arrival: &Arrival, record: &mut RequestRecord) {
        self.with_retries(record, |record| {
            self.call_service(arrival, record, "", "").map(|reply| reply.reply)
        });
    }

    fn call_service(
        &self,
        arrival: &Arrival,
        record: &mut RequestRecord,
        idempotency_key: &str,
        body: &str,
    ) -> Option<crate::client::ServiceReply> {
        let service = plain_service(&self.deployment).unwrap_or_default();
        self.try_entries(arrival, record, |target, key| {
            self.client.call(&ServiceParams { target, key, service, idempotency_key, body })
        })
    }

    /// Tries the caller's cached entries in order until one can be reached.
    fn try_entries<T>(
        &self,
        arrival: &Arrival,
        record: &mut RequestRecord,
        mut send: impl FnMut(&str, &str) -> Option<T>,
    ) -> Option<T> {
        let key = &self.deployment.customers[arrival.customer].key;
        let slot = record.index % CACHES_PER_CUSTOMER;
        let cache = &self.entry_caches[arrival.customer * CACHES_PER_CUSTOMER + slot];
        for target in cache.entries(&self.client, key) {
            record.target = target.clone();
            if let Some(reply) = send(&target, key) {
                return Some(reply);
            }
            record.unreachable += 1;
        }
        cache.invalidate();
        None
    }

    /// Sends a request, and retries it up to `max_retries` times after refusals with a delay.
    fn with_retries(
        &self,
        record: &mut RequestRecord,
        mut send: impl FnMut(&mut RequestRecord) -> Option<Reply>,
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
                Outcome::Refused(refusal) => refusal.retry_after,
                _ => None,
            };
            record.replies.push(reply);
            match wait {
                Some(wait) if record.retries < self.settings.max_retries => {
                    record.retries += 1;
                    thread::sleep(wait.min(MAX_RETRY_DELAY));
                }
                _ => return,
            }
        }
    }
}

/// Marks the reply to a repeated write as wrong if its body differs from the first response.
fn compare_repeat(mut reply: Reply, body: &str, first: &str) -> Reply {
    if reply.outcome == Outcome::Success && body != first {
        reply.outcome = Outcome::Wrong;
    }
    reply
}
