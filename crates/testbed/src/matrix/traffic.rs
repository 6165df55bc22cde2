//! Traffic of one cell.

use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::caller::{Ask, Caller, ServiceCall, Target};
use crate::checker::{CallKind, CallerRecord, Seen};
use crate::deployment::Testbed;
use crate::layout::Layout;

/// Output tokens of a completion.
pub const TOKENS: u32 = 24;
/// Longest wait for one answer.
const ANSWER_TIME: Duration = Duration::from_secs(8);
/// Longest time until a request is settled, over all attempts.
const SETTLE_TIME: Duration = Duration::from_secs(20);
/// Time between two attempts.
const RETRY_TIME: Duration = Duration::from_millis(100);
/// Answers in a row after which an unknown outcome is taken for the last word.
const UNKNOWN_ANSWERS: usize = 40;
/// Code of a refusal whose outcome is not known.
pub const UNKNOWN_CODE: &str = "outcome_unknown";
/// Completions in a cell.
const COMPLETIONS: usize = 6;
/// Keyed writes in a cell.
const KEYED: usize = 4;
/// Unkeyed writes in a cell.
const UNKEYED: usize = 3;
/// Reads in a cell.
const READS: usize = 2;

/// What became of one request over all of its attempts.
pub struct Settled {
    /// Attempts in order.
    pub records: Vec<CallerRecord>,
    /// Whether the last one ended as the request needs.
    pub settled: bool,
}

/// Requests under way.
pub struct Traffic {
    threads: Vec<JoinHandle<Settled>>,
}

/// One request that repeats itself until it is settled.
struct Request {
    caller: Caller,
    targets: Vec<Target>,
    first: usize,
}

impl Traffic {
    /// Starts the requests of a cell, spread over the entries.
    pub fn start(testbed: &Testbed, seed: u64) -> Self {
        let layout = testbed.options.layout.clone();
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut threads = Vec::new();
        for index in 0..COMPLETIONS {
            let request = Request::new(testbed, index);
            let ask = ask(&layout, &mut random, &format!("s{seed}-c{index}"));
            threads.push(thread::spawn(move || request.complete(&ask)));
        }
        for index in 0..KEYED + UNKEYED + READS {
            let request = Request::new(testbed, index);
            let call = call(&layout, index, &format!("s{seed}-w{index}"));
            threads.push(thread::spawn(move || request.call(&call)));
        }
        Self { threads }
    }

    /// Waits for all requests.
    pub fn join(self) -> Vec<Settled> {
        self.threads.into_iter().filter_map(|thread| thread.join().ok()).collect()
    }
}

impl Request {
    fn new(testbed: &Testbed, index: usize) -> Self {
        let customers = testbed.options.layout.customers;
        let key = customers[index % customers.len()].key();
        Self {
            caller: Caller::new(&key, ANSWER_TIME),
            targets: targets(testbed),
            first: index % testbed.plan.instances.len(),
        }
    }

    fn complete(&self, ask: &Ask) -> Settled {
        self.repeat(
            |target| self.caller.complete(target, ask),
            |record| matches!(record.seen, Seen::Whole | Seen::Wrong),
        )
    }

    /// Repeats reads and keyed writes until they are answered; other writes are sent once.
    fn call(&self, call: &ServiceCall) -> Settled {
        let once = call.kind == CallKind::Unkeyed;
        self.repeat(
            |target| self.caller.call(target, call),
            |record| once || matches!(record.seen, Seen::Whole | Seen::Wrong),
        )
    }

    fn repeat(
        &self,
        mut send: impl FnMut(&Target) -> CallerRecord,
        ended: impl Fn(&CallerRecord) -> bool,
    ) -> Settled {
        let deadline = Instant::now() + SETTLE_TIME;
        let mut records = Vec::new();
        while Instant::now() < deadline {
            let target = &self.targets[(self.first + records.len()) % self.targets.len()];
            let record = send(target);
            let settled = ended(&record);
            records.push(record);
            if settled || stays_unknown(&records) {
                return Settled { records, settled };
            }
            thread::sleep(RETRY_TIME);
        }
        Settled { records, settled: false }
    }
}

/// Whether the last answers all said that the outcome is not known.
fn stays_unknown(records: &[CallerRecord]) -> bool {
    let last = records.iter().rev().take(UNKNOWN_ANSWERS);
    records.len() >= UNKNOWN_ANSWERS && last.into_iter().all(|record| record.code == UNKNOWN_CODE)
}

/// The entries of a deployment.
pub fn targets(testbed: &Testbed) -> Vec<Target> {
    let plans = testbed.plan.instances.iter();
    plans.map(|plan| Target { entry: plan.name.clone(), address: plan.address.clone() }).collect()
}

/// A completion with a prompt of its own.
pub fn ask(layout: &Layout, random: &mut ChaCha8Rng, name: &str) -> Ask {
    let words = random.random_range(10..400);
    let mut prompt = name.to_owned();
    for _ in 0..words {
        prompt.push_str(&format!(" {:05x}", random.random_range(0..0x10_0000)));
    }
    Ask { model: layout.models[0].to_owned(), prompt, max_tokens: TOKENS }
}

/// A call of the plain service: keyed writes first, then others, then reads.
pub fn call(layout: &Layout, index: usize, name: &str) -> ServiceCall {
    let kind = match index {
        index if index < KEYED => CallKind::Keyed,
        index if index < KEYED + UNKEYED => CallKind::Unkeyed,
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
