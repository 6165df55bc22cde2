//! The memory of a front whose metrics nobody fetches, under many small requests.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::children::{Front, append};
use crate::http::{Client, send, wait};
use crate::store::Store;

/// Memory of the smallest machine on the pages.
const MEMORY_MB: u64 = 120;

/// Longest time of the crowd, and the time without it.
const LENGTH: Duration = Duration::from_secs(100);
const CALM_LENGTH: Duration = Duration::from_secs(30);

/// Connections of the crowd, and requests that each sends at a time.
const CROWD: usize = 4;
const BATCH: usize = 50;

/// Ordinary requests: about 30 a second, as a machine of a small deployment gets them.
const ORDINARY_PAUSE: Duration = Duration::from_millis(33);

/// Time between two lines of the record, and between two readings of the metrics.
const PERIOD: Duration = Duration::from_secs(5);

const START_LIMIT: Duration = Duration::from_secs(10);

/// A configuration without runners: an ordinary request gets 503 at once, one of the crowd 404.
const CONFIGURATION: &str = r#"{"version":5,"routes":[
{"name":"lookup","host":"shop.example","prefix":"/lookup/","kind":"idempotent","timeoutMs":4000,
"targetLatencyMs":300,"priority":2,"service":"fitting","maxAttempts":1}],
"services":[{"name":"fitting","healthPath":"/health","maxConns":100}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

/// Sends small requests until `ended`, and counts them.
fn press(front: SocketAddr, ended: &AtomicBool, count: &AtomicU64) -> Option<()> {
    let mut stream = TcpStream::connect(front).ok()?;
    let batch = "GET /none/x HTTP/1.1\r\nHost: shop.example\r\n\r\n".repeat(BATCH);
    let (mut buffer, mut text) = ([0; 65536], Vec::new());
    while !ended.load(Ordering::Relaxed) {
        stream.write_all(batch.as_bytes()).ok()?;
        let mut answers = 0;
        while answers < BATCH {
            let read = stream.read(&mut buffer).ok().filter(|read| *read > 0)?;
            text.extend_from_slice(&buffer[..read]);
            answers += text.windows(9).filter(|part| part == b"no route\n").count();
            text.drain(..text.len().saturating_sub(8));
        }
        count.fetch_add(BATCH as u64, Ordering::Relaxed);
    }
    Some(())
}

fn order(front: SocketAddr, ended: &AtomicBool, count: &AtomicU64) {
    let headers =
        "Host: shop.example\r\nX-Agatestair-Request-Id: o\r\nX-Agatestair-Deadline-Ms: 4000\r\n";
    let mut client = None;
    while !ended.load(Ordering::Relaxed) {
        thread::sleep(ORDINARY_PAUSE);
        let connect = || Client::connect(front, Duration::from_secs(5));
        let Some(mut open) = client.take().or_else(connect) else { continue };
        if open.send("GET", "/lookup/x", headers, "").status > 0 {
            count.fetch_add(1, Ordering::Relaxed);
            client = Some(open);
        }
    }
}

/// Plays the case; the exit code is that of `run.sh`.
pub fn play(record: &Path) -> ExitCode {
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let reads_metrics = std::env::var("METRICS").as_deref() == Ok("1");
    std::fs::write(record, format!("trouble: {trouble}, metrics are fetched: {reads_metrics}\n"))
        .expect("the folder is writable");
    let store = Store::start();
    store.put("op", "config", CONFIGURATION);
    let mut front = Front::start_on("front-a-1", store.address, MEMORY_MB);
    let (callers, metrics) = (front.callers, front.metrics);
    if !wait(START_LIMIT, || {
        send(callers, "GET", "/none/x", "Host: shop.example\r\n", "").status == 404
    }) {
        eprintln!("the front does not answer");
        return ExitCode::from(2);
    }
    let ended = Arc::new(AtomicBool::new(false));
    let counts: [Arc<AtomicU64>; 2] = Default::default();
    let mut clients = Vec::new();
    for number in 0..=CROWD {
        let is_ordinary = number == CROWD;
        if is_ordinary || trouble {
            let (ended, count) = (ended.clone(), counts[usize::from(is_ordinary)].clone());
            clients.push(thread::spawn(move || match is_ordinary {
                true => order(callers, &ended, &count),
                false => drop(press(callers, &ended, &count)),
            }));
        }
    }
    let begun = Instant::now();
    let (mut noted, mut peak) = (Duration::ZERO, 0);
    let length = if trouble { LENGTH } else { CALM_LENGTH };
    let mut broken = false;
    while begun.elapsed() < length && !broken {
        thread::sleep(Duration::from_millis(100));
        let memory = front.process.memory_kb();
        peak = peak.max(memory);
        broken = memory > MEMORY_MB * 1024 || !front.process.is_running();
        if begun.elapsed() - noted >= PERIOD || broken {
            noted = begun.elapsed();
            let [crowd, ordinary] =
                [0, 1].map(|index: usize| counts[index].load(Ordering::Relaxed));
            writeln!(
                append(record),
                "{:.1} s: {crowd} requests of the crowd and {ordinary} others answered, {memory} kB",
                noted.as_secs_f64()
            )
            .ok();
            if reads_metrics {
                send(metrics, "GET", "/metrics", "Host: metrics\r\n", "");
            }
        }
    }
    ended.store(true, Ordering::Relaxed);
    let verdict = if broken {
        "BROKEN: more than the memory of the machine"
    } else {
        "within the memory of the machine"
    };
    writeln!(append(record), "at most {peak} kB, limit {} kB: {verdict}", MEMORY_MB * 1024).ok();
    front.process.kill();
    clients.into_iter().for_each(|client| client.join().expect("no client panics"));
    ExitCode::from(u8::from(broken))
}
