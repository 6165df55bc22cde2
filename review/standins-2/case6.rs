//! A runner is taken away while it sends answers that have no length.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::ExitCode;
use std::thread;
use std::time::{Duration, Instant};

use crate::children::{Front, Runner, append};
use crate::http::{Answer, Request, send, wait};
use crate::store::Store;

/// Time between two parts of an answer; the route allows for pauses of 150 ms.
const PAUSE: Duration = Duration::from_millis(100);

/// Parts of an answer, which takes 3.2 s. The clients wait for 5 and 4 s.
const PARTS: usize = 32;

/// Time from the start of the requests to the notice.
const BEFORE_NOTICE: Duration = Duration::from_millis(300);

/// Time from the notice to the end of the process: `drainMs` is 2,000.
const NOTICE: Duration = Duration::from_millis(2300);

/// The runners; the first one, a quarter of them, is taken away.
const NAMES: [&str; 4] = ["i-leaves", "i-two", "i-three", "i-four"];

/// Requests of each kind.
const REQUESTS: usize = 12;

/// Time in which the front gets to know all runners.
const START_LIMIT: Duration = Duration::from_secs(10);

const CONFIGURATION: &str = r#"{"version":5,"routes":[
{"name":"advice","host":"shop.example","prefix":"/advice/","kind":"streaming","timeoutMs":5000,
"targetLatencyMs":600,"gapAimMs":150,"priority":1,"service":"fitting","maxAttempts":1},
{"name":"booking","host":"shop.example","prefix":"/booking/","kind":"non_idempotent","timeoutMs":4000,
"targetLatencyMs":300,"priority":2,"service":"fitting","maxAttempts":1}],
"services":[{"name":"fitting","healthPath":"/health","maxConns":200}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

fn part(path: &str, id: &str, index: usize) -> String {
    match path {
        "/advice/now" => format!("id: {index}\ndata: word {index} for {id}\n\n"),
        _ => format!("line {index} of the booking {id}\n"),
    }
}

fn whole(path: &str, id: &str) -> String {
    (1..=PARTS).map(|index| part(path, id, index)).collect()
}

/// Serves as the runner `name`: all its answers end with their connection.
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
    let request = Request::read(&mut reader)?;
    let id = request.header("x-agatestair-request-id")?;
    if request.header("x-agatestair-expect-instance") != Some(name) {
        let head = "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n";
        return stream
            .write_all(format!("{head}X-Agatestair-Request-Id: {id}\r\n\r\n").as_bytes())
            .ok();
    }
    println!("runner {name} runs {id}");
    let media = if request.path == "/advice/now" { "text/event-stream" } else { "text/plain" };
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Agatestair-Request-Id: {id}\r\nX-Agatestair-Server-Stamp: {name}\r\n\
         Content-Type: {media}\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).ok()?;
    let parts = if id.starts_with("known") { 1 } else { PARTS };
    for index in 1..=parts {
        thread::sleep(PAUSE);
        stream.write_all(part(&request.path, id, index).as_bytes()).ok()?;
    }
    println!("runner {name} has sent the whole answer to {id}");
    Some(())
}

fn call(front: SocketAddr, path: &str, id: &str) -> Answer {
    let deadline = if path == "/advice/now" { 5000 } else { 4000 };
    let headers = format!(
        "Host: shop.example\r\nX-Agatestair-Request-Id: {id}\r\nX-Agatestair-Deadline-Ms: {deadline}\r\n"
    );
    send(front, "POST", path, &headers, "please")
}

/// Plays the case; the exit code is that of `run.sh`.
pub fn play(record: &Path) -> ExitCode {
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    std::fs::write(record, format!("trouble: {trouble}\n")).expect("the folder is writable");
    let store = Store::start();
    store.put("op", "config", CONFIGURATION);
    let front = Front::start("front-a-1", store.address);
    let mut runners = NAMES.map(|id| Runner::start("runner6", id, record));
    for runner in &runners {
        store.put("servers", &runner.id, &runner.entry("fitting", "ready", ""));
    }
    let leaving = &mut runners[0];
    let mut number = 0;
    let known = wait(START_LIMIT, || {
        number += 1;
        call(front.callers, "/booking/now", &format!("known-{number}"));
        let text = std::fs::read_to_string(record).unwrap_or_default();
        NAMES.iter().all(|name| text.contains(&format!("runner {name} runs")))
    });
    if !known {
        eprintln!("the front did not use all runners");
        return ExitCode::from(2);
    }
    let begun = Instant::now();
    let clients: Vec<_> = (0..2 * REQUESTS)
        .map(|index| {
            let path = if index % 2 == 0 { "/advice/now" } else { "/booking/now" };
            let (id, callers) = (format!("r{index}"), front.callers);
            thread::spawn(move || (path, id.clone(), call(callers, path, &id), begun.elapsed()))
        })
        .collect();
    if trouble {
        thread::sleep(BEFORE_NOTICE);
        let draining = leaving.entry("fitting", "draining", ",\"spot\":true,\"leaves_ms\":2000");
        store.put("servers", &leaving.id, &draining);
        thread::sleep(NOTICE);
        leaving.process.kill();
        writeln!(append(record), "runner i-leaves was taken away at {:?}", begun.elapsed()).ok();
    }
    let mut broken = 0;
    for client in clients {
        let (path, id, answer, at) = client.join().expect("no client panics");
        let expected = whole(path, &id);
        let looks_whole = answer.status == 200 && answer.complete;
        let verdict = match looks_whole {
            true if answer.body == expected => "whole",
            true => "BROKEN: a success whose body is not the runner's whole body",
            false => "no success, or seen to be cut",
        };
        broken += usize::from(verdict.starts_with("BROKEN"));
        writeln!(
            append(record),
            "client {path} {id}: status {}, complete {}, {} of {} bytes, stamp {:?}, {at:?}: {verdict}",
            answer.status,
            answer.complete,
            answer.body.len(),
            expected.len(),
            answer.header("x-agatestair-server-stamp"),
        )
        .ok();
    }
    let text = std::fs::read_to_string(record).unwrap_or_default();
    let hit =
        (0..2 * REQUESTS).any(|index| text.contains(&format!("runner i-leaves runs r{index}\n")));
    writeln!(append(record), "{broken} answers break the rule").ok();
    match (hit, broken) {
        (false, _) => ExitCode::from(2),
        (true, 0) => ExitCode::SUCCESS,
        (true, _) => ExitCode::from(1),
    }
}
