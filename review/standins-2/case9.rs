//! A runner sends further answers, some of them with a wrong byte, where the next answer is expected.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::children::{Front, Runner, append};
use crate::http::{Client, Request, wait};
use crate::store::Store;

/// Share of the answers that a runner sends a second time: that of `garble extra late` in the site
/// file.
const SHARE: f64 = 0.03;

/// Runners, and those of them with the disruption: a share of 0.57.
const RUNNERS: usize = 14;
const FAULTY: usize = 8;

/// The disruption lasts so long each time, and begins anew after this time.
const SPAN: Duration = Duration::from_secs(5);
const PERIOD: Duration = Duration::from_millis(7500);

/// How long the clients send requests.
const LENGTH: Duration = Duration::from_secs(100);

/// Clients at a time, and the pause of each between two requests.
const CLIENTS: usize = 8;
const PAUSE: Duration = Duration::from_millis(10);

/// Time that a runner works on a request.
const WORK: Duration = Duration::from_millis(5);

/// Time in which the front gets to know the runners.
const START_LIMIT: Duration = Duration::from_secs(10);

const CONFIGURATION: &str = r#"{"version":5,"routes":[
{"name":"reply","host":"shop.example","prefix":"/reply/","kind":"streaming","timeoutMs":3000,
"targetLatencyMs":300,"gapAimMs":150,"priority":0,"service":"models","maxAttempts":1}],
"services":[{"name":"models","healthPath":"/health","maxConns":170}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

/// Draws numbers from a seed.
#[derive(Clone)]
struct Draw(u64);

impl Draw {
    fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    fn share(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1_u64 << 53) as f64
    }
}

/// The events of the answer to a request.
fn body(id: &str) -> String {
    (1..=4)
        .map(|index| format!("id: {index}\ndata: part {index} of the reply to {id}\n\n"))
        .collect()
}

/// Serves as the runner `name`; `seed` is 0 for one that is not disturbed.
pub fn serve(name: &str, address: SocketAddr, seed: u64) -> ExitCode {
    let listener = TcpListener::bind(address).expect("the address is free");
    let (draw, begun) = (Arc::new(Mutex::new(Draw(seed))), Instant::now());
    for stream in listener.incoming().flatten() {
        let (name, draw) = (name.to_owned(), draw.clone());
        thread::spawn(move || answer(&name, stream, &draw, begun));
    }
    ExitCode::SUCCESS
}

fn answer(name: &str, mut stream: TcpStream, draw: &Mutex<Draw>, begun: Instant) -> Option<()> {
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let mut further: Option<Vec<u8>> = None;
    while let Some(request) = Request::read(&mut reader) {
        let id = request.header("x-agatestair-request-id")?.to_owned();
        let mut text = Vec::new();
        if let Some(bytes) = further.take() {
            println!("runner {name} sends a second answer before that to {id}");
            text = bytes;
        }
        thread::sleep(WORK);
        println!("runner {name} runs {id}");
        let content = body(&id);
        let own = format!(
            "HTTP/1.1 200 OK\r\nX-Agatestair-Request-Id: {id}\r\nX-Agatestair-Server-Stamp: {name}\r\n\
             Keep-Alive: timeout=10\r\nContent-Type: text/event-stream\r\nContent-Length: {}\r\n\r\n{content}",
            content.len()
        );
        text.extend_from_slice(own.as_bytes());
        stream.write_all(&text).ok()?;
        let mut draw = draw.lock().ok()?;
        let disturbed =
            draw.0 != 0 && begun.elapsed().as_millis() % PERIOD.as_millis() < SPAN.as_millis();
        if disturbed && draw.share() < SHARE {
            let mut bytes = own.into_bytes();
            let place = draw.next() as usize % bytes.len();
            let wrong = b"abcdefghijklmnopqrstuvwxyz"[draw.next() as usize % 26];
            bytes[place] = wrong;
            further = Some(bytes);
        }
    }
    None
}

/// Plays the case; the exit code is that of `run.sh`.
pub fn play(record: &Path) -> ExitCode {
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    std::fs::write(record, format!("trouble: {trouble}\n")).expect("the folder is writable");
    let store = Store::start();
    store.put("op", "config", CONFIGURATION);
    let front = Front::start("front-a-1", store.address);
    let runners: Vec<Runner> = (1..=RUNNERS)
        .map(|number| {
            let seed = if trouble && number <= FAULTY { 100 + number as u64 } else { 0 };
            let id = format!("i-{number}");
            Runner::start_with(&["runner9", &seed.to_string()], &id, record)
        })
        .collect();
    for runner in &runners {
        store.put("servers", &runner.id, &runner.entry("models", "ready", ""));
    }
    let callers = front.callers;
    let headers = |id: &str| {
        format!(
            "Host: shop.example\r\nX-Agatestair-Request-Id: {id}\r\nX-Agatestair-Deadline-Ms: 3000\r\n"
        )
    };
    let connect = move || Client::connect(callers, Duration::from_secs(6));
    let known = wait(START_LIMIT, || {
        let answer =
            connect().map(|mut client| client.send("POST", "/reply/now", &headers("known"), ""));
        answer.is_some_and(|answer| answer.status == 200)
    });
    if !known {
        eprintln!("the front does not serve");
        return ExitCode::from(2);
    }
    let begun = Instant::now();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let mut record = append(record);
            thread::spawn(move || {
                let (mut sent, mut served, mut broken) = (0, 0, 0);
                let mut client = None;
                while begun.elapsed() < LENGTH {
                    thread::sleep(PAUSE);
                    let Some(mut open) = client.take().or_else(connect) else { continue };
                    let id = format!("c{number}-{sent}");
                    let answer = open.send("POST", "/reply/now", &headers(&id), "please");
                    sent += 1;
                    if answer.status == 200 && answer.complete && answer.body == body(&id) {
                        served += 1;
                    } else {
                        let wrong = (200..300).contains(&answer.status) && answer.complete;
                        broken += usize::from(wrong);
                        let verdict = if wrong { "BROKEN" } else { "no success" };
                        let first = answer
                            .body
                            .lines()
                            .find(|line| line.starts_with("data"))
                            .unwrap_or_default();
                        let names = answer.header("x-agatestair-request-id");
                        let status = answer.status;
                        let line =
                            format!("client {id}: {status}, id {names:?}, {first:?}: {verdict}\n");
                        record.write_all(line.as_bytes()).ok();
                    }
                    client = (answer.status > 0 && answer.complete).then_some(open);
                }
                (sent, served, broken)
            })
        })
        .collect();
    let (mut sent, mut served, mut broken) = (0, 0, 0);
    for client in clients {
        let counts = client.join().expect("no client panics");
        (sent, served, broken) = (sent + counts.0, served + counts.1, broken + counts.2);
    }
    let text = std::fs::read_to_string(record).unwrap_or_default();
    let further = text.matches("sends a second answer").count();
    let summary = format!(
        "{sent} requests, {served} served, {further} second answers, {broken} break the rule"
    );
    writeln!(append(record), "{summary}").ok();
    println!("{summary}");
    match (trouble && further == 0, broken) {
        (true, _) => ExitCode::from(2),
        (false, 0) => ExitCode::SUCCESS,
        (false, _) => ExitCode::from(1),
    }
}
