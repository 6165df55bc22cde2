//! Prompts that are listed in many small parts.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::children::{Front, Runner, append};
use crate::http::{Client, Request, wait};
use crate::store::Store;

/// Tokens of a prompt, and how many of them are listed one by one with the disruption: the line of
/// all parts takes at most 14 KB, and the limit of a head is 16 KB.
const TOKENS: usize = 2600;
const SINGLE: usize = 1600;

/// Clients with such prompts, and the pause of each after an answer.
const PROMPTS: usize = 4;
const PROMPT_PAUSE: Duration = Duration::from_millis(50);

/// Clients with lookups, and the pause of each after an answer.
const LOOKUPS: usize = 8;
const LOOKUP_PAUSE: Duration = Duration::from_millis(200);

/// Time after which a lookup has to be answered, as its route says, and the slack of the rule.
const TIMEOUT: Duration = Duration::from_millis(1500);
const SLACK: Duration = Duration::from_millis(500);

/// Least number of late lookups that count.
const LEAST: usize = 8;

/// Longest time for which a client waits for an answer.
const PATIENCE: Duration = Duration::from_secs(25);

const LENGTH: Duration = Duration::from_secs(60);
const START_LIMIT: Duration = Duration::from_secs(10);

const CONFIGURATION: &str = r#"{"version":5,"routes":[
{"name":"reply","host":"shop.example","prefix":"/reply/","kind":"streaming","timeoutMs":3000,
"targetLatencyMs":300,"gapAimMs":150,"priority":0,"service":"models","maxAttempts":1,"sticky":true},
{"name":"lookup","host":"shop.example","prefix":"/lookup/","kind":"idempotent","timeoutMs":1500,
"targetLatencyMs":100,"priority":2,"service":"desk","maxAttempts":2}],
"services":[{"name":"models","healthPath":"/health","maxConns":200,
"engine":{"kvTokens":444000,"kvBytes":131072,"linkMbps":930000,"stride":1}},
{"name":"desk","healthPath":"/health","maxConns":100}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

/// Serves as the runner `name`, which answers at once.
pub fn serve(name: &str, address: SocketAddr) -> ExitCode {
    let listener = TcpListener::bind(address).expect("the address is free");
    for stream in listener.incoming().flatten() {
        let name = name.to_owned();
        thread::spawn(move || answer(&name, stream));
    }
    ExitCode::SUCCESS
}

fn answer(name: &str, mut stream: TcpStream) -> Option<()> {
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    while let Some(request) = Request::read(&mut reader) {
        let id = request.header("x-agatestair-request-id").unwrap_or_default();
        let (media, body) = match request.path.starts_with("/reply/") {
            true => ("text/event-stream", "id: 1\ndata: yes\n\n"),
            false => ("text/plain", "a free slot\n"),
        };
        let text = format!(
            "HTTP/1.1 200 OK\r\nX-Agatestair-Request-Id: {id}\r\nX-Agatestair-Server-Stamp: {name}\r\n\
             X-Agatestair-Server-Load: 1,0,24\r\nContent-Type: {media}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(text.as_bytes()).ok()?;
    }
    None
}

/// The parts of a prompt: a shared one and its own, or many parts of its own with this many tokens.
fn parts(number: usize, tokens: Option<usize>) -> String {
    let shared = format!("5c1e07a2:{}", TOKENS - SINGLE);
    let Some(tokens) = tokens else { return format!("{shared},{number:x}:{SINGLE}") };
    let own = (0..SINGLE).map(|index| format!(",{:x}:{tokens}", number * SINGLE + index));
    shared + &own.collect::<String>()
}

/// Plays the case; the exit code is that of `run.sh`.
pub fn play(record: &Path) -> ExitCode {
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    // PARTS=0 shows the memory that parts without tokens take.
    let tokens = std::env::var("PARTS").ok().and_then(|text| text.parse().ok()).unwrap_or(1);
    let tokens = trouble.then_some(tokens);
    std::fs::write(record, format!("trouble: {trouble}\n")).expect("the folder is writable");
    let note = |line: String| {
        append(record).write_all(format!("{line}\n").as_bytes()).expect("the record is writable");
    };
    let store = Store::start();
    store.put("op", "config", CONFIGURATION);
    let mut front = Front::start("front-a-1", store.address);
    let runners = ["i-one", "i-two", "i-desk"].map(|id| Runner::start("runner10", id, record));
    for runner in &runners[..2] {
        store.put("servers", &runner.id, &runner.entry("models", "ready", ",\"stage\":\"decode\""));
    }
    store.put("servers", "i-desk", &runners[2].entry("desk", "ready", ""));
    let callers = front.callers;
    let connect = move || Client::connect(callers, PATIENCE);
    let look = |client: &mut Client, id: &str| {
        let headers = format!(
            "Host: shop.example\r\nX-Agatestair-Request-Id: {id}\r\nX-Agatestair-Deadline-Ms: 1500\r\n"
        );
        client.send("GET", "/lookup/x", &headers, "").status
    };
    if !wait(START_LIMIT, || connect().is_some_and(|mut client| look(&mut client, "known") == 200))
    {
        eprintln!("the front does not serve");
        return ExitCode::from(2);
    }
    let begun = Instant::now();
    let ended = Arc::new(AtomicBool::new(false));
    let prompts: Vec<_> = (0..PROMPTS)
        .map(|client| {
            let ended = ended.clone();
            thread::spawn(move || {
                let (mut sent, mut served) = (0, 0);
                let mut kept = None;
                while !ended.load(Ordering::Relaxed) {
                    thread::sleep(PROMPT_PAUSE);
                    let Some(mut open) = kept.take().or_else(connect) else { continue };
                    let number = sent * PROMPTS + client + 1;
                    let headers = format!(
                        "Host: shop.example\r\nX-Agatestair-Request-Id: p{number}\r\n\
                         X-Agatestair-Deadline-Ms: 3000\r\nX-Agatestair-Model: m\r\n\
                         X-Agatestair-Token-Usage: {TOKENS},4\r\nX-Agatestair-Prompt-Prefix: {}\r\n",
                        parts(number, tokens)
                    );
                    let answer = open.send("POST", "/reply/x", &headers, "please");
                    sent += 1;
                    served += usize::from(answer.status == 200);
                    kept = answer.complete.then_some(open);
                }
                (sent, served)
            })
        })
        .collect();
    let lookups: Vec<_> = (0..LOOKUPS)
        .map(|client| {
            thread::spawn(move || {
                let mut times = Vec::new();
                let mut kept = None;
                while begun.elapsed() < LENGTH {
                    thread::sleep(LOOKUP_PAUSE);
                    let Some(mut open) = kept.take().or_else(connect) else { continue };
                    let sent = Instant::now();
                    let status = look(&mut open, &format!("l{client}-{}", times.len()));
                    times.push((begun.elapsed(), sent.elapsed(), status));
                    kept = (status > 0).then_some(open);
                }
                times
            })
        })
        .collect();
    let mut times: Vec<_> =
        lookups.into_iter().flat_map(|client| client.join().expect("no client panics")).collect();
    ended.store(true, Ordering::Relaxed);
    times.sort();
    let running = front.process.is_running();
    let memory = front.process.memory_kb();
    front.process.kill();
    let counts = prompts.into_iter().map(|client| client.join().expect("no client panics"));
    let (sent, served) = counts.fold((0, 0), |sum, count| (sum.0 + count.0, sum.1 + count.1));
    for (at, time, status) in &times {
        note(format!(
            "{:.3} s: a lookup ended {} ms after it was sent, status {status}",
            at.as_secs_f64(),
            time.as_millis()
        ));
    }
    let unanswered = times.iter().filter(|(_, time, _)| *time > TIMEOUT).count();
    let later = times.iter().filter(|(_, time, _)| *time > TIMEOUT + SLACK).count();
    let broken = later >= LEAST && later * 2 > unanswered;
    let summary = format!(
        "{sent} prompts, {served} served; {} lookups, {unanswered} unanswered after 1.5 s, {later} also after \
         2 s; front runs: {running}, {memory} kB: {}",
        times.len(),
        if broken { "BROKEN" } else { "held" }
    );
    note(summary.clone());
    println!("{summary}");
    ExitCode::from(u8::from(broken))
}
