//! Many large bodies of legal size at once, which stop just short of their end and stay open.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::ExitCode;
use std::thread;
use std::time::{Duration, Instant};

use crate::children::{Front, append};
use crate::http::{send, wait};
use crate::store::Store;

/// Memory of the smallest machine on the pages.
const MEMORY_MB: u64 = 120;

/// Clients with bodies, the size of a body, which is `maxBodyBytes`, and what each keeps back of it.
const CLIENTS: usize = 300;
const BODY_BYTES: usize = 4_194_304;
const KEPT_BYTES: usize = 10;

/// Time for which a client stays open. Then it comes back.
const STAY: Duration = Duration::from_secs(4);

/// Length of the crowd, and of the case.
const CROWD_LENGTH: Duration = Duration::from_secs(25);
const LENGTH: Duration = Duration::from_secs(30);

/// Time between two ordinary requests, and between two lines of the record.
const PERIOD: Duration = Duration::from_millis(500);

const START_LIMIT: Duration = Duration::from_secs(10);

/// A configuration without runners: an ordinary request gets 503 at once.
const CONFIGURATION: &str = r#"{"version":5,"routes":[
{"name":"lookup","host":"shop.example","prefix":"/lookup/","kind":"idempotent","timeoutMs":4000,
"targetLatencyMs":300,"priority":2,"service":"fitting","maxAttempts":1}],
"services":[{"name":"fitting","healthPath":"/health","maxConns":100}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

fn headers(id: &str) -> String {
    format!(
        "Host: shop.example\r\nX-Agatestair-Request-Id: {id}\r\nX-Agatestair-Deadline-Ms: 4000\r\n"
    )
}

/// Sends a body without its last bytes, and stays.
fn press(front: SocketAddr, id: &str, body: &[u8]) -> Option<()> {
    let mut stream = TcpStream::connect(front).ok()?;
    stream.set_write_timeout(Some(STAY)).ok()?;
    stream.set_read_timeout(Some(STAY)).ok()?;
    let head =
        format!("POST /lookup/x HTTP/1.1\r\n{}Content-Length: {BODY_BYTES}\r\n\r\n", headers(id));
    stream.write_all(head.as_bytes()).ok()?;
    stream.write_all(&body[..BODY_BYTES - KEPT_BYTES]).ok()?;
    stream.read_exact(&mut [0; 1024]).ok()
}

/// Bytes that the front counts as held for callers.
fn held(metrics: SocketAddr) -> f64 {
    let text = send(metrics, "GET", "/metrics", "Host: metrics\r\n", "").body;
    let lines = text.lines().filter(|line| line.starts_with("agatestair_serve_held_bytes{"));
    lines.filter_map(|line| line.rsplit_once(' ')?.1.parse::<f64>().ok()).sum()
}

/// Plays the case; the exit code is that of `run.sh`.
pub fn play(record: &Path) -> ExitCode {
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    std::fs::write(record, format!("trouble: {trouble}\n")).expect("the folder is writable");
    let store = Store::start();
    store.put("op", "config", CONFIGURATION);
    let mut front = Front::start_on("front-a-1", store.address, MEMORY_MB);
    let (callers, metrics) = (front.callers, front.metrics);
    let ordinary = |id: &str| send(callers, "GET", "/lookup/x", &headers(id), "").status;
    if !wait(START_LIMIT, || ordinary("known") == 503) {
        eprintln!("the front does not answer");
        return ExitCode::from(2);
    }
    let body: &'static [u8] = vec![b'b'; BODY_BYTES].leak();
    let begun = Instant::now();
    for client in 0..if trouble { CLIENTS } else { 0 } {
        thread::spawn(move || {
            let mut round = 0;
            while begun.elapsed() < CROWD_LENGTH {
                round += 1;
                press(callers, &format!("c{client}-{round}"), body);
                thread::sleep(Duration::from_millis(50));
            }
        });
    }
    let (mut noted, mut peak, mut answered, mut asked) = (Duration::ZERO, 0, 0, 0);
    while begun.elapsed() < LENGTH && front.process.is_running() {
        thread::sleep(Duration::from_millis(20));
        let memory = front.process.memory_kb();
        peak = peak.max(memory);
        if begun.elapsed() - noted >= PERIOD {
            noted = begun.elapsed();
            asked += 1;
            answered += usize::from(ordinary(&format!("o{asked}")) == 503);
            let line = format!(
                "{:.1} s: {memory} kB, of which {:.0} kB are counted as held for callers\n",
                noted.as_secs_f64(),
                held(metrics) / 1024.0
            );
            append(record).write_all(line.as_bytes()).expect("the record is writable");
        }
    }
    let broken = peak > MEMORY_MB * 1024 || !front.process.is_running();
    let summary = format!(
        "at most {peak} kB, limit {} kB; {answered} of {asked} ordinary requests answered: {}",
        MEMORY_MB * 1024,
        if broken { "BROKEN" } else { "held" }
    );
    writeln!(append(record), "{summary}").expect("the record is writable");
    println!("{summary}");
    ExitCode::from(u8::from(broken))
}
