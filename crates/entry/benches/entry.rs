//! Measures one entry process with stand-ins: memory per stream, latency added to the first token,
//! and store writes per claimed call. Prints one JSON object per line.

#[path = "../tests/support/mod.rs"]
mod support;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Barrier};
use std::thread;
use std::time::{Duration, Instant};

use agatestair_schema::standins::PlatformStats;
use serde_json::json;

use self::support::caller::{EventStream, get_json, send};
use self::support::{MODEL, Rig, RigSettings};

/// Concurrently open streams.
const STREAMS: usize = 1000;
/// Number of first-token measurements, directly and through the entry.
const FIRST_TOKENS: usize = 300;
/// Duration of one claim measurement.
const CLAIM_TIME: Duration = Duration::from_secs(4);
/// Numbers of concurrent keyed calls.
const IN_FLIGHT: [usize; 3] = [1, 8, 64];

fn main() {
    measure_memory();
    measure_first_token();
    for in_flight in IN_FLIGHT {
        measure_claims(in_flight);
    }
}

/// Resident memory of a process in KiB.
fn resident_kib(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("process runs");
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).expect("has VmRSS");
    line.split_whitespace().nth(1).and_then(|text| text.parse().ok()).expect("is a number")
}

fn measure_memory() {
    let rig = Rig::start(RigSettings { engines: 40, step_ms: 100.0, ..RigSettings::default() });
    let idle = resident_kib(rig.entry.pid());
    let opened = Arc::new(Barrier::new(STREAMS + 1));
    let measured = Arc::new(Barrier::new(STREAMS + 1));
    let readers: Vec<_> = (0..STREAMS)
        .map(|index| {
            let (opened, measured) = (opened.clone(), measured.clone());
            let address = rig.entry.address;
            let reader = thread::Builder::new().stack_size(256 * 1024);
            let reader = reader.spawn(move || {
                let mut stream = EventStream::open(address, &format!("stream {index}"), 200);
                stream.read_piece();
                opened.wait();
                measured.wait();
            });
            reader.expect("thread starts")
        })
        .collect();
    opened.wait();
    let open = resident_kib(rig.entry.pid());
    measured.wait();
    for reader in readers {
        reader.join().expect("reader ends");
    }
    println!(
        "{}",
        json!({"measure": "memory", "idle_kib": idle, "streams": STREAMS,
        "open_kib": open, "stream_kib": (open - idle) as f64 / STREAMS as f64})
    );
}

fn measure_first_token() {
    let rig = Rig::start(RigSettings { engines: 1, ..RigSettings::default() });
    let engine: SocketAddr = rig.engines[0];
    let mut direct = Vec::new();
    let mut through = Vec::new();
    for index in 0..FIRST_TOKENS {
        direct.push(first_token(|| open_engine(engine, index)));
        through.push(first_token(|| {
            EventStream::open(rig.entry.address, &format!("through {index}"), 2)
        }));
    }
    let (direct, through) = (Summary::from(direct), Summary::from(through));
    println!(
        "{}",
        json!({"measure": "first_token", "direct_p50_ms": direct.p50,
        "direct_p99_ms": direct.p99, "through_p50_ms": through.p50,
        "through_p99_ms": through.p99, "added_p50_ms": through.p50 - direct.p50})
    );
}

fn open_engine(engine: SocketAddr, index: usize) -> EventStream {
    let body = json!({"model": MODEL, "prompt": format!("direct {index}"), "max_tokens": 2,
        "request": format!("d{index}"), "attempt": format!("d{index}.1")});
    EventStream::open_with(engine, &body.to_string())
}

fn first_token(open: impl FnOnce() -> EventStream) -> f64 {
    let start = Instant::now();
    let mut stream = open();
    stream.read_piece();
    let elapsed = start.elapsed().as_secs_f64() * 1e3;
    stream.read_to_end();
    elapsed
}

struct Summary {
    p50: f64,
    p99: f64,
}

impl From<Vec<f64>> for Summary {
    fn from(mut times: Vec<f64>) -> Self {
        times.sort_by(f64::total_cmp);
        Self { p50: times[times.len() / 2], p99: times[times.len() * 99 / 100] }
    }
}

fn measure_claims(in_flight: usize) {
    let rig = Rig::start(RigSettings { work_ms: 2, services: 3, ..RigSettings::default() });
    let before: PlatformStats = get_json(rig.platform, "/stats");
    let (stop, calls) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    let callers: Vec<_> = (0..in_flight)
        .map(|caller| {
            let (stop, calls, address) = (stop.clone(), calls.clone(), rig.entry.address);
            thread::spawn(move || {
                let mut index = 0;
                while !stop.load(Ordering::Relaxed) {
                    let key = format!("{caller}-{index}");
                    let headers = [("Idempotency-Key", key.as_str())];
                    let path = "/v1/services/ledger/scores";
                    let response = send(address, "POST", path, &headers, "body");
                    calls.fetch_add(u64::from(response.status == 200), Ordering::Relaxed);
                    index += 1;
                }
            })
        })
        .collect();
    let start = Instant::now();
    thread::sleep(CLAIM_TIME);
    stop.store(true, Ordering::Relaxed);
    let (done, elapsed) = (calls.load(Ordering::Relaxed), start.elapsed().as_secs_f64());
    let after: PlatformStats = get_json(rig.platform, "/stats");
    for caller in callers {
        caller.join().expect("caller ends");
    }
    let writes = (after.transactions - before.transactions) as f64;
    println!(
        "{}",
        json!({"measure": "claims", "in_flight": in_flight,
        "calls_s": done as f64 / elapsed, "store_writes_s": writes / elapsed,
        "writes_per_call": writes / done.max(1) as f64})
    );
}
