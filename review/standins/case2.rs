//! Engines run requests and their answers are lost, while others are preempted in mid-stream.

use std::collections::{HashMap, HashSet};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::client::Client;
use crate::front::Front;
use crate::record::Record;
use crate::runner::{start, Exchange};
use crate::store::{configuration_with, engine_entry, route, Store, ENGINE};

/// Number of engines that read prompts, and of those that generate.
const PREFILL: usize = 2;
const DECODE: usize = 5;

/// Number of engines that lose answers: 0.6 of all 7, rounded down.
const LOSING: usize = 4;

/// Which answers of a losing engine are lost: 0.4 of them.
const LOST: [bool; 5] = [true, false, true, false, false];

/// Duration of the trouble.
const LENGTH: Duration = Duration::from_secs(6);

/// Time between two requests.
const PAUSE: Duration = Duration::from_millis(50);

/// Number of events of a stream, and the time between two.
const EVENTS: u32 = 12;
const STEP: Duration = Duration::from_millis(50);

/// Event before which a run is preempted, and for how long. Clients wait for 2.4 s: four times the
/// objective of 600 ms.
const PREEMPTED_AT: u32 = 4;
const PREEMPTED: Duration = Duration::from_millis(1900);

/// Time for which two engines may work on a request.
const ALLOWED: Duration = Duration::from_millis(400);

/// A run of a request at an engine.
struct Run {
    id: String,
    engine: usize,
    begun: Instant,
    ended: Option<Instant>,
}

/// What the engines share.
struct Engines {
    record: Record,
    addresses: Mutex<HashMap<SocketAddr, usize>>,
    /// Identifiers and engines of copies.
    copies: Mutex<HashSet<(String, usize)>>,
    runs: Mutex<Vec<Run>>,
    answers: Mutex<HashMap<usize, usize>>,
    /// Until when answers are lost, once requests are sent.
    trouble_until: Mutex<Option<Instant>>,
}

impl Engines {
    fn serve(&self, engine: usize, exchange: &mut Exchange<'_>) -> io::Result<()> {
        let request = exchange.request;
        if request.target.starts_with("/api/") {
            let list = "{\"epoch\":1,\"next\":1,\"held\":[]}";
            return exchange.answer("200 OK", "Content-Type: application/json\r\n", list);
        }
        let id = request.id().to_owned();
        let is_prefill = request.header("x-agatestair-stage") == Some("prefill");
        if is_prefill || engine < PREFILL {
            // The prompts are short: no engine has to read one for another.
            return exchange.answer(
                "421 Misdirected Request",
                "X-Agatestair-Not-Executed: 1\r\n",
                "",
            );
        }
        if let Some(source) = request.header("x-agatestair-kv-source") {
            let copied = source.ends_with(&format!("/{id}"));
            let copied = copied
                && self.copies.lock().expect("no holder panics").contains(&(id.clone(), engine));
            if !copied {
                return exchange.answer(
                    "503 Service Unavailable",
                    "X-Agatestair-Not-Executed: 1\r\n",
                    "",
                );
            }
        }
        if let Some(backup) = request.header("x-agatestair-kv-backup") {
            let address = backup.parse().ok();
            let target = address
                .and_then(|it| self.addresses.lock().expect("no holder panics").get(&it).copied());
            if let Some(target) = target {
                self.copies.lock().expect("no holder panics").insert((id.clone(), target));
            }
        }
        let last: Option<u32> = request.header("last-event-id").and_then(|last| last.parse().ok());
        let troubled = self
            .trouble_until
            .lock()
            .expect("no holder panics")
            .is_some_and(|it| Instant::now() < it);
        let lost = troubled && engine >= PREFILL + DECODE - LOSING && {
            let mut answers = self.answers.lock().expect("no holder panics");
            let number = answers.entry(engine).or_insert(0);
            *number += 1;
            LOST[(*number - 1) % LOST.len()]
        };
        let run = {
            let mut runs = self.runs.lock().expect("no holder panics");
            runs.push(Run { id: id.clone(), engine, begun: Instant::now(), ended: None });
            runs.len() - 1
        };
        self.record.line(format!(
            "engine {engine} begins {id} after event {}{}; its answer is lost: {lost}",
            last.unwrap_or(0),
            if request.header("x-agatestair-kv-source").is_some() { ", from its copy" } else { "" },
        ));
        let outcome = generate(exchange, &id, last, lost);
        self.runs.lock().expect("no holder panics")[run].ended = Some(Instant::now());
        let end = if outcome.is_ok() { "ends" } else { "drops" };
        self.record.line(format!("engine {engine} {end} {id}"));
        outcome
    }
}

/// Generates the events of a stream; stops at once when the connection is closed.
fn generate(
    exchange: &mut Exchange<'_>,
    id: &str,
    last: Option<u32>,
    lost: bool,
) -> io::Result<()> {
    if !lost {
        exchange.head("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")?;
    }
    for number in last.unwrap_or(0) + 1..=EVENTS {
        let preempted = number == PREEMPTED_AT && last.is_none();
        work(exchange.stream, if preempted { PREEMPTED } else { STEP })?;
        if !lost {
            exchange.chunk(&format!("id: {number}\ndata: piece {number} for {id}\n\n"))?;
        }
    }
    if lost {
        // The connection stays silent until the other end closes it.
        return work(exchange.stream, Duration::from_secs(30));
    }
    exchange.chunk("")
}

/// Waits while the connection is open.
fn work(stream: &TcpStream, time: Duration) -> io::Result<()> {
    let end = Instant::now() + time;
    stream.set_nonblocking(true)?;
    let mut outcome = Ok(());
    while Instant::now() < end && outcome.is_ok() {
        sleep(Duration::from_millis(5).min(end.saturating_duration_since(Instant::now())));
        outcome = match stream.peek(&mut [0]) {
            Ok(0) => Err(io::ErrorKind::ConnectionAborted.into()),
            Err(error) if error.kind() != io::ErrorKind::WouldBlock => Err(error),
            _ => Ok(()),
        };
    }
    stream.set_nonblocking(false)?;
    outcome
}

pub fn run(folder: &str, trouble: bool) -> Result<bool, String> {
    let record = Record::create(folder)?;
    let store = Store::start();
    let engines = Arc::new(Engines {
        record: record.clone(),
        addresses: Mutex::default(),
        copies: Mutex::default(),
        runs: Mutex::default(),
        answers: Mutex::default(),
        trouble_until: Mutex::default(),
    });
    let rest = "\"targetLatencyMs\":600,\"maxAttempts\":1,\"gapAimMs\":300,\"resumable\":false";
    let routes = [route("ask", "streaming", "models", 8000, rest)];
    store.put("op", "config", &configuration_with(5, &routes, &[("models", ENGINE)]));
    for engine in 0..PREFILL + DECODE {
        let shared = engines.clone();
        let address = start(move |exchange| shared.serve(engine, exchange));
        engines.addresses.lock().expect("no holder panics").insert(address, engine);
        let stage = if engine < PREFILL { "prefill" } else { "decode" };
        let entry = engine_entry("models", address, 64, stage);
        store.put("servers", &format!("i-{engine}"), &entry);
    }
    let front = Front::start("front-1", store.address)?;
    // The process asks the engines for their caches after its start.
    sleep(Duration::from_secs(1));
    let begun = Instant::now();
    if trouble {
        *engines.trouble_until.lock().expect("no holder panics") = Some(begun + LENGTH);
    }
    let mut clients = Vec::new();
    for number in 0.. {
        if begun.elapsed() >= LENGTH {
            break;
        }
        let client = Client {
            extra: format!(
                "X-Agatestair-Model: m\r\nX-Agatestair-Token-Usage: 400,120\r\n\
                 X-Agatestair-Prompt-Prefix: 5c1e07a2:119,91bd3f06:79,{number:x}:202\r\n"
            ),
            ..Client::new(front.callers, Duration::from_secs(8))
        };
        clients.push(thread::spawn(move || {
            let id = format!("ask-{number}");
            let response = client.send("POST", "/ask/x", &id, b"prompt");
            (id, response)
        }));
        sleep(PAUSE);
    }
    for client in clients {
        let (id, response) = client.join().map_err(|_| "a client failed".to_owned())?;
        match response {
            Ok(response) => record.line(format!(
                "client gets {id}: status {}, {} bytes, complete: {}",
                response.status,
                response.body.len(),
                response.complete
            )),
            Err(error) => record.line(format!("client gets {id}: {error}")),
        }
    }
    drop(front);
    sleep(Duration::from_millis(100));
    let runs = engines.runs.lock().expect("no holder panics");
    let (mut second, mut broken) = (0, 0);
    for (index, next) in runs.iter().enumerate() {
        let former = runs[..index].iter().rev().find(|run| run.id == next.id);
        let Some(former) = former else { continue };
        second += 1;
        let until = former.ended.unwrap_or_else(Instant::now);
        // Only as long as both are at work.
        let both = until.min(next.ended.unwrap_or_else(Instant::now));
        let overlap = both.saturating_duration_since(next.begun);
        let is_broken =
            until.saturating_duration_since(next.begun) >= ALLOWED && overlap >= ALLOWED;
        broken += u32::from(is_broken);
        record.line(format!(
            "{}: engine {} goes on while engine {} works on it for another {} ms{}",
            next.id,
            next.engine,
            former.engine,
            overlap.as_millis(),
            if is_broken { "; BROKEN" } else { "" }
        ));
    }
    record.line(format!(
        "{} runs, {second} of them second ones, {broken} beside the first",
        runs.len()
    ));
    Ok(broken == 0)
}
