//! Generates the traffic of one cell.

use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::caller::{Caller, CompletionRequest, ServiceCall, Target};
use crate::checker::{CallKind, CallerRecord, Outcome};
use crate::deployment::Testbed;
use crate::layout::Layout;

/// Number of output tokens of a completion.
pub const OUTPUT_TOKENS: u32 = 24;
/// Timeout of one attempt.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(8);
/// Time limit for a request to be settled, over all attempts.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Delay between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Consecutive responses with an unknown outcome after which a request is not retried again.
const MAX_UNKNOWN_RESPONSES: usize = 40;
/// Error code of a response that leaves open whether the request ran.
pub const UNKNOWN_CODE: &str = "outcome_unknown";
/// Number of completions in a cell.
const COMPLETIONS: usize = 6;
/// Number of writes with an idempotency key in a cell.
const KEYED_WRITES: usize = 4;
/// Number of writes without an idempotency key in a cell.
const UNKEYED_WRITES: usize = 3;
/// Number of reads in a cell.
const READS: usize = 2;

/// All attempts of one request.
pub struct Attempts {
    /// Attempts in the order in which they were sent.
    pub records: Vec<CallerRecord>,
    /// Whether the last attempt ended the request, so that it needs no retry.
    pub settled: bool,
}

/// Requests in flight, one thread each.
pub struct Traffic {
    threads: Vec<JoinHandle<Attempts>>,
}

/// One request that is retried until it is settled.
struct Request {
    caller: Caller,
    targets: Vec<Target>,
    first_target: usize,
}

impl Traffic {
    /// Starts the requests of a cell, distributed over the entries.
    pub fn start(testbed: &Testbed, seed: u64) -> Self {
        let layout = testbed.options.layout.clone();
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut threads = Vec::new();
        for index in 0..COMPLETIONS {
            let request = Request::new(testbed, index);
            let completion = completion_request(&layout, &mut random, &format!("s{seed}-c{index}"));
            threads.push(thread::spawn(move || request.complete(&completion)));
        }
        for index in 0..KEYED_WRITES + UNKEYED_WRITES + READS {
            let request = Request::new(testbed, index);
            let call = service_call(&layout, index, &format!("s{seed}-w{index}"));
            threads.push(thread::spawn(move || request.call(&call)));
        }
        Self { threads }
    }

    /// Waits until all requests have ended.
    pub fn join(self) -> Vec<Attempts> {
        self.threads.into_iter().filter_map(|thread| thread.join().ok()).collect()
    }
}

impl Request {
    fn new(testbed: &Testbed, index: usize) -> Self {
        let customers = testbed.options.layout.customers;
        let key = customers[index % customers.len()].key();
        Self {
            caller: Caller::new(&key, RESPONSE_TIMEOUT),
            targets: targets(testbed),
            first_target: index % testbed.addresses.instances.len(),
        }
    }

    fn complete(&self, completion: &CompletionRequest) -> Attempts {
        self.retry(
            |target| self.caller.complete(target, completion),
            |record| matches!(record.outcome, Outcome::Complete | Outcome::Wrong),
        )
    }

    /// Retries reads and keyed writes until they get a complete response; sends other writes once.
    fn call(&self, call: &ServiceCall) -> Attempts {
        let once = call.kind == CallKind::Unkeyed;
        self.retry(
            |target| self.caller.call(target, call),
            |record| once || matches!(record.outcome, Outcome::Complete | Outcome::Wrong),
        )
    }

    fn retry(
        &self,
        mut send: impl FnMut(&Target) -> CallerRecord,
        is_settled: impl Fn(&CallerRecord) -> bool,
    ) -> Attempts {
        let deadline = Instant::now() + SETTLE_TIMEOUT;
        let mut records = Vec::new();
        while Instant::now() < deadline {
            let target = &self.targets[(self.first_target + records.len()) % self.targets.len()];
            let record = send(target);
            let settled = is_settled(&record);
            records.push(record);
            if settled || stays_unknown(&records) {
                return Attempts { records, settled };
            }
            thread::sleep(RETRY_DELAY);
        }
        Attempts { records, settled: false }
    }
}

/// Whether the last attempts all got a response with an unknown outcome.
fn stays_unknown(records: &[CallerRecord]) -> bool {
    let last = records.iter().rev().take(MAX_UNKNOWN_RESPONSES);
    records.len() >= MAX_UNKNOWN_RESPONSES
        && last.into_iter().all(|record| record.code == UNKNOWN_CODE)
}

/// The entry instances of a deployment, by their addresses for callers.
pub fn targets(testbed: &Testbed) -> Vec<Target> {
    let instances = testbed.addresses.instances.iter();
    instances
        .map(|instance| Target { entry: instance.name.clone(), address: instance.address.clone() })
        .collect()
}

/// A completion request with a unique prompt of random length.
pub fn completion_request(
    layout: &Layout,
    random: &mut ChaCha8Rng,
    name: &str,
) -> CompletionRequest {
    let words = random.random_range(10..400);
    let mut prompt = name.to_owned();
    for _ in 0..words {
        prompt.push_str(&format!(" {:05x}", random.random_range(0..0x10_0000)));
    }
    CompletionRequest { model: layout.models[0].to_owned(), prompt, max_tokens: OUTPUT_TOKENS }
}

/// A call to the plain service; `index` selects keyed writes first, then unkeyed ones, then reads.
pub fn service_call(layout: &Layout, index: usize, name: &str) -> ServiceCall {
    let kind = match index {
        index if index < KEYED_WRITES => CallKind::Keyed,
        index if index < KEYED_WRITES + UNKEYED_WRITES => CallKind::Unkeyed,
        _ => CallKind::Read,
    };
    let key = if kind == CallKind::Keyed { format!("key-{name}") } else { String::new() };
    let body = if kind == CallKind::Read { String::new() } else { format!("body-{name}") };
    ServiceCall {
        kind,
        service: layout.plain_service.to_owned(),
        path: "/lines".to_owned(),
        key,
        body,
    }
}
