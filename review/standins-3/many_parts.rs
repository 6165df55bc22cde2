//! Clients list their prompts in many small parts, while ordinary clients look something up.

mod common;

use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use common::*;

const ENGINES: usize = 14;
/// Memory of an engine in tokens, as on the sheet.
const KV_TOKENS: u32 = 359_733;
/// Tokens of a prompt.
const PROMPT: u32 = 2600;
/// Parts of a prompt; their list and the rest of the head stay below `maxHeaderBytes` (16,384).
const PARTS: u32 = 1600;
/// Clients that list their prompts in small parts, one request at a time each.
const LISTING: u64 = 8;
const LOOKING: u64 = 8;
const TIMEOUT: Duration = Duration::from_millis(1500);
/// Time in which an answer still comes in time, as the rule has it.
const SLACK: Duration = Duration::from_millis(500);
const PLAY: Duration = Duration::from_secs(75);

fn configuration() -> String {
    let route = |name: &str, kind: &str, service: &str, timeout: u128| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"shop.example\",\"prefix\":\"/{name}/\",\
             \"kind\":\"{kind}\",\"timeoutMs\":{timeout},\"targetLatencyMs\":600,\"gapAimMs\":150,\
             \"priority\":0,\"service\":\"{service}\",\"maxAttempts\":1,\"sticky\":true}}"
        )
    };
    let routes = [
        route("rule", "streaming", "models", 5000),
        route("look", "idempotent", "ledger", TIMEOUT.as_millis()),
    ];
    format!(
        "{{\"version\":3,\"routes\":[{}],\"services\":[{{\"name\":\"models\",\
         \"healthPath\":\"/health\",\"maxConns\":170,\"engine\":{{\"kvTokens\":{KV_TOKENS},\
         \"kvBytes\":131072,\"linkMbps\":740000,\"stride\":1}}}},{{\"name\":\"ledger\",\
         \"healthPath\":\"/health\",\"maxConns\":110}}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        routes.join(",")
    )
}

fn main() -> ExitCode {
    let output = std::env::args().nth(1).expect("the folder of the case");
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(&Path::new(&output).join("record.txt"));
    let folder = Folder::create();
    match play(&folder.0, trouble, &record) {
        Ok(true) => {
            println!("CONFIG is broken");
            ExitCode::from(1)
        }
        Ok(false) => {
            record.add("the rule held");
            ExitCode::SUCCESS
        }
        Err(cause) => {
            record.add(format!("the case could not run: {cause}"));
            println!("the case could not run: {cause}");
            ExitCode::from(2)
        }
    }
}

/// Plays the case; returns whether the rule was broken.
fn play(folder: &Path, trouble: bool, record: &Record) -> Result<bool, String> {
    let (store, runs): (Store, Runs) = (Store::new(), Arc::new(Mutex::new(Vec::new())));
    for index in 0..ENGINES + 3 {
        let (name, service) = match index < ENGINES {
            true => (format!("i-model-{index}"), "models"),
            false => (format!("i-ledger-{index}"), "ledger"),
        };
        let runner = Runner::start(&name, service, &runs, record);
        store.put("servers", &name, Some(&runner.entry("ready")));
    }
    store.put("op", "config", Some(&configuration()));
    let bounds = Bounds { contact_ms: 3000, grace_s: 8 };
    let machine = Machine::start(0, folder, store.open(0), &free_ports(1), bounds);
    let begun = Instant::now();
    while !machine.is_ready() {
        if begun.elapsed() > Duration::from_secs(15) {
            return Err("the machine did not become ready".to_owned());
        }
        sleep(Duration::from_millis(50));
    }
    sleep(Duration::from_secs(4));
    let stop = Arc::new(AtomicBool::new(false));
    let (prompts, late) = (Arc::new(AtomicU64::new(0)), Arc::new(Mutex::new(Vec::new())));
    let mut clients = Vec::new();
    for client in 0..LISTING {
        let (stop, prompts, front) = (stop.clone(), prompts.clone(), machine.front);
        clients.push(thread::spawn(move || {
            let mut serial = 0_u64;
            while !stop.load(Ordering::Relaxed) {
                serial += 1;
                list(front, client, serial, trouble);
                prompts.fetch_add(1, Ordering::Relaxed);
            }
        }));
    }
    for client in 0..LOOKING {
        let (stop, late, record) = (stop.clone(), late.clone(), record.clone());
        let front = machine.front;
        clients.push(thread::spawn(move || {
            let mut serial = 0;
            while !stop.load(Ordering::Relaxed) {
                serial += 1;
                let id = format!("look-{client}-{serial}");
                let (answered, what) = look(front, &id);
                if answered > TIMEOUT {
                    record.add(format!("lookup {id}: {what} after {} ms", answered.as_millis()));
                    late.lock().unwrap().push(answered);
                }
                sleep(Duration::from_millis(250));
            }
        }));
    }
    let begun = Instant::now();
    while begun.elapsed() < PLAY {
        sleep(Duration::from_secs(5));
        let (late, prompts) = (late.lock().unwrap().len(), prompts.load(Ordering::Relaxed));
        record.add(format!("{prompts} prompts; {late} lookups late so far"));
    }
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| drop(client.join()));
    let late = late.lock().unwrap();
    let unanswered = late.iter().filter(|time| **time > TIMEOUT + SLACK).count();
    record.add(format!(
        "{} lookups had no answer at timeoutMs, {unanswered} of them none half a second later",
        late.len()
    ));
    let served = runs.lock().unwrap().iter().filter(|ran| ran.service == "ledger").count();
    record.add(format!("{served} lookups ran"));
    Ok(late.len() >= 8 && unanswered * 2 > late.len())
}

/// Sends a prompt whose parts are listed one by one, or as two parts.
fn list(front: SocketAddr, client: u64, serial: u64, small: bool) {
    // A multiplicative generator: the parts of two prompts are seldom the same.
    let mut state = (client + 1) << 40 | serial << 8 | 1;
    let mut draw = || {
        state = state.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        state >> 44
    };
    let parts: Vec<String> = match small {
        true => (0..PARTS).map(|_| format!("{:x}:1", draw())).collect(),
        false => vec![format!("{:x}:{PARTS}", draw())],
    };
    // The last part is the request's own.
    let own = format!("{:x}:{}", draw(), PROMPT - PARTS);
    let request = format!(
        "POST /rule/x HTTP/1.1\r\nHost: shop.example\r\nX-Agatestair-Request-Id: p-{client}-{serial}\r\n\
         X-Agatestair-Deadline-Ms: 5000\r\nX-Agatestair-Model: m\r\n\
         X-Agatestair-Token-Usage: {PROMPT},11\r\nX-Agatestair-Prompt-Prefix: {},{own}\r\n\
         Content-Length: 2\r\nConnection: close\r\n\r\n{{}}",
        parts.join(",")
    );
    assert!(request.len() < 16_384, "the head is within the limits");
    drop(call(front, &request, Duration::from_secs(20)));
}

/// Looks something up; returns the time until the answer, or until the client gives up.
fn look(front: SocketAddr, id: &str) -> (Duration, String) {
    let request = format!(
        "GET /look/x HTTP/1.1\r\nHost: shop.example\r\nX-Agatestair-Request-Id: {id}\r\n\
         X-Agatestair-Deadline-Ms: 20000\r\nConnection: close\r\n\r\n"
    );
    let sent = Instant::now();
    let answer = call(front, &request, Duration::from_secs(20));
    (sent.elapsed(), answer.map_or_else(|error| error, |answer| answer.status().to_string()))
}
