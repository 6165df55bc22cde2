//! A runner reports a load figure that is no finite number.

use std::collections::HashSet;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::client::Client;
use crate::front::Front;
use crate::http::{read_response, Response};
use crate::record::Record;
use crate::runner::{start, Exchange};
use crate::store::{configuration, entry, route, Store};

/// Duration of the trouble: the longest of `garble` in the site file.
const TROUBLE: Duration = Duration::from_millis(5500);

/// Number of runners, and of those that spoil answers: 0.6 of them, rounded down.
const RUNNERS: usize = 7;
const FAULTY: usize = 4;

/// One in this many answers of a faulty runner is spoilt: 0.05 of them.
const SPOILT_ONE_IN: u32 = 20;

/// Time between two short requests, and between two long streams.
const SHORT_PAUSE: Duration = Duration::from_millis(7);
const STREAM_PAUSE: Duration = Duration::from_millis(25);

/// Time for which a run is preempted in the middle of its stream.
const PREEMPTED: Duration = Duration::from_millis(900);

/// Number of events of a long stream.
const EVENTS: u32 = 6;

/// Number of closed connections that the rule allows.
const ALLOWED: usize = 3;

/// What the runners share with the scenario.
struct Runners {
    record: Record,
    /// Long streams that a sound runner has begun, and those that a faulty one has.
    begun: Mutex<HashSet<String>>,
    begun_faulty: Mutex<HashSet<String>>,
    /// Number of answers of the faulty runners.
    answers: AtomicU32,
    trouble: bool,
}

impl Runners {
    /// Serves a stream; the first run of a long one is preempted in its middle.
    fn serve(&self, name: &str, faulty: bool, exchange: &mut Exchange<'_>) -> io::Result<()> {
        let id = exchange.request.id().to_owned();
        let long = id.starts_with("long");
        let last = exchange.request.header("last-event-id").and_then(|last| last.parse().ok());
        if long {
            self.record
                .line(format!("runner {name} begins {id} after event {}", last.unwrap_or(0)));
        }
        if long {
            let begun = if faulty { &self.begun_faulty } else { &self.begun };
            begun.lock().expect("no holder panics").insert(id.clone());
        }
        let spoilt = faulty && self.trouble && {
            let number = self.answers.fetch_add(1, Ordering::Relaxed);
            number % SPOILT_ONE_IN == SPOILT_ONE_IN - 1
        };
        let pace = if spoilt { "inf" } else { "100" };
        exchange.head(&format!(
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
             X-Agatestair-Server-Load: 1,0,12,{pace}\r\n"
        ))?;
        let events = if long { EVENTS } else { 1 };
        for number in last.unwrap_or(0) + 1..=events {
            if number == 3 && last.is_none() {
                sleep(PREEMPTED);
            }
            exchange.chunk(&format!("id: {number}\ndata: piece {number} for {id}\n\n"))?;
            sleep(Duration::from_millis(20));
        }
        exchange.chunk("")
    }
}

/// Sends a short request and then a long one on the same connection.
fn stream_on_kept_connection(address: SocketAddr, number: u32) -> io::Result<(String, Response)> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    let mut reader = BufReader::new(stream.try_clone()?);
    // Refused requests come back, on the same connection.
    for attempt in 0..40 {
        let id = format!("short-k{number}-{attempt}");
        stream.write_all(request(&id).as_bytes())?;
        if read_response(&mut reader)?.status == 200 {
            break;
        }
        sleep(Duration::from_millis(30));
    }
    let id = format!("long-{number}");
    stream.write_all(request(&id).as_bytes())?;
    Ok((id, read_response(&mut reader)?))
}

fn request(id: &str) -> String {
    format!(
        "POST /turn/x HTTP/1.1\r\nHost: shop.example\r\nX-Agatestair-Request-Id: {id}\r\n\
         X-Agatestair-Deadline-Ms: 5000\r\nContent-Length: 0\r\n\r\n"
    )
}

pub fn run(folder: &str, trouble: bool) -> Result<bool, String> {
    let record = Record::create(folder)?;
    let store = Store::start();
    let runners = Arc::new(Runners {
        record: record.clone(),
        begun: Mutex::default(),
        begun_faulty: Mutex::default(),
        answers: AtomicU32::new(0),
        trouble,
    });
    let rest = "\"targetLatencyMs\":300,\"maxAttempts\":2,\"gapAimMs\":150,\"resumable\":true";
    let routes = [route("turn", "streaming", "models", 5000, rest)];
    store.put("op", "config", &configuration(5, &routes, &["models"]));
    for number in 0..RUNNERS {
        let (shared, faulty) = (runners.clone(), number < FAULTY);
        let name = format!("i-{}-{number}", if faulty { "faulty" } else { "sound" });
        let known = name.clone();
        let address = start(move |exchange| shared.serve(&known, faulty, exchange));
        store.put("servers", &name, &entry("models", address, 12, "ready"));
    }
    let front = Front::start("front-1", store.address)?;
    let address = front.callers;
    let begun = Instant::now();
    record.line(format!("load figures are spoilt: {trouble}"));
    let background = thread::spawn(move || {
        let mut statuses = Vec::new();
        for number in 0.. {
            if begun.elapsed() >= TROUBLE {
                break;
            }
            let client = Client::new(address, Duration::from_secs(3));
            statuses.push(thread::spawn(move || {
                client.send("POST", "/turn/x", &format!("short-{number}"), b"").map(|it| it.status)
            }));
            sleep(SHORT_PAUSE);
        }
        statuses.into_iter().filter_map(|status| status.join().ok()?.ok()).collect::<Vec<u16>>()
    });
    let mut streams = Vec::new();
    for number in 0.. {
        if begun.elapsed() + Duration::from_secs(2) >= TROUBLE {
            break;
        }
        streams.push(thread::spawn(move || stream_on_kept_connection(address, number)));
        sleep(STREAM_PAUSE);
    }
    let (mut closed, mut whole, mut refused) = (0, 0, 0);
    for stream in streams {
        match stream.join().map_err(|_| "a client failed".to_owned())? {
            Ok((_, response)) if response.status == 200 && response.complete => whole += 1,
            Ok((id, response)) if response.status == 200 => {
                let has = |begun: &Mutex<HashSet<String>>| {
                    begun.lock().expect("no holder panics").contains(&id)
                };
                let sound = has(&runners.begun) && !has(&runners.begun_faulty);
                closed += usize::from(sound);
                record.line(format!(
                    "client of {id}: the connection is closed after {} bytes of a stream; {}",
                    response.body.len(),
                    if sound { "BROKEN: a sound runner was at work on it" } else { "not counted" }
                ));
            }
            Ok((id, response)) => {
                refused += 1;
                record.line(format!("client of {id}: status {}", response.status));
            }
            Err(error) => record.line(format!("a client: {error}")),
        }
    }
    let statuses = background.join().map_err(|_| "the clients failed".to_owned())?;
    let short = |status: u16| statuses.iter().filter(|other| **other == status).count();
    record.line(format!("streams: {whole} whole, {refused} refused or failed, {closed} closed"));
    record.line(format!(
        "short requests: {} of {} with 200, {} with 503",
        short(200),
        statuses.len(),
        short(503)
    ));
    record.line(format!(
        "panics on the standard error of the process: {}",
        front.errors_with("panicked at")
    ));
    Ok(closed <= ALLOWED)
}
