//! A process is stopped, and streams that it has taken meanwhile last longer than the ones before.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::front::Front;
use crate::http::{read_response, Response};
use crate::record::Record;
use crate::runner::start;
use crate::store::{configuration_with, engine_entry, route, Store, ENGINE};

/// Deadline of the clients and timeout of the route.
const DEADLINE_MS: u32 = 5000;

/// Time between two events of a stream.
const STEP: Duration = Duration::from_millis(107);

/// Numbers of events of a usual stream, and of a long one: the mean of the sheet, rounded down, and its
/// maximum.
const USUAL: u32 = 10;
const LONG: u32 = 43;

/// Tokens of an event. All requests allow for as many as a long stream has.
const TOKENS: u32 = 11;

/// Usual streams before the stop.
const BEFORE: u32 = 40;

/// Time between the signal and the streams, and the time between two of them.
const AFTER: Duration = Duration::from_millis(3100);
const PAUSE: Duration = Duration::from_millis(10);

/// Streams after the signal; each second one is long.
const CLIENTS: u32 = 10;

/// A connection of a client, open since before the stop.
struct Kept {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Kept {
    fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(Duration::from_secs(10)))?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Self { stream, reader })
    }

    fn send(&mut self, id: &str) -> io::Result<Response> {
        let text = format!(
            "POST /rule/x HTTP/1.1\r\nHost: shop.example\r\nX-Agatestair-Request-Id: {id}\r\n\
             X-Agatestair-Model: m\r\nX-Agatestair-Token-Usage: 400,{}\r\n\
             X-Agatestair-Prompt-Prefix: 5c1e07a2:198,{}:202\r\n\
             X-Agatestair-Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: 0\r\n\r\n",
            LONG * TOKENS,
            id.len()
        );
        self.stream.write_all(text.as_bytes())?;
        read_response(&mut self.reader)
    }
}

/// Serves a stream whose identifier tells its number of events.
fn serve(record: &Record, exchange: &mut crate::runner::Exchange<'_>) -> io::Result<()> {
    if exchange.request.target.starts_with("/api/") {
        let list = "{\"epoch\":1,\"next\":1,\"held\":[]}";
        return exchange.answer("200 OK", "Content-Type: application/json\r\n", list);
    }
    let id = exchange.request.id().to_owned();
    let events = if id.starts_with("long") { LONG } else { USUAL };
    exchange.head("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")?;
    record.line(format!("a runner begins {id}"));
    for number in 1..=events {
        sleep(STEP);
        if let Err(error) =
            exchange.chunk(&format!("id: {number}\ndata: piece {number} of {events} for {id}\n\n"))
        {
            record.line(format!("a runner stops {id} before event {number} of {events}: {error}"));
            return Err(error);
        }
    }
    record.line(format!("a runner ends {id}"));
    exchange.chunk("")
}

pub fn run(folder: &str, trouble: bool) -> Result<bool, String> {
    let record = Record::create(folder)?;
    let store = Store::start();
    let rest = "\"targetLatencyMs\":600,\"maxAttempts\":1,\"gapAimMs\":150,\"resumable\":false";
    let routes = [route("rule", "streaming", "models", DEADLINE_MS, rest)];
    store.put("op", "config", &configuration_with(5, &routes, &[("models", ENGINE)]));
    for number in 0..4 {
        let log = record.clone();
        let address = start(move |exchange| serve(&log, exchange));
        let entry = engine_entry("models", address, 12, "decode");
        store.put("servers", &format!("i-{number}"), &entry);
    }
    let mut front = Front::start("front-1", store.address)?;
    let _other = Front::start("front-2", store.address)?;
    let address = front.callers;
    let mut kept = Vec::new();
    for number in 0..BEFORE {
        let mut connection = Kept::open(address).map_err(|error| error.to_string())?;
        let id = format!("usual-{number}");
        kept.push(thread::spawn(move || {
            connection.send(&id).map(|response| (connection, response))
        }));
        sleep(Duration::from_millis(100));
    }
    let mut connections = Vec::new();
    for thread in kept {
        let outcome = thread.join().map_err(|_| "a client failed".to_owned())?;
        let (connection, response) = outcome.map_err(|error| error.to_string())?;
        if response.status != 200 || !response.complete {
            return Err("a usual stream before the stop is not served".to_owned());
        }
        connections.push(connection);
    }
    record.line(format!("{BEFORE} usual streams are served"));
    let stopped = Instant::now();
    if trouble {
        front.terminate()?;
        record.line("front-1 gets SIGTERM");
    }
    sleep(AFTER);
    let mut clients = Vec::new();
    for (number, mut connection) in (0..CLIENTS).zip(connections) {
        let kind = if number % 2 == 0 { "usual" } else { "long" };
        let id = format!("{kind}-after-{number}");
        record.line(format!(
            "client sends {id}, {} ms after the signal",
            stopped.elapsed().as_millis()
        ));
        clients.push(thread::spawn(move || (connection.send(&id), id, Instant::now())));
        sleep(PAUSE);
    }
    let mut lost = 0;
    for client in clients {
        let (response, id, ended) = client.join().map_err(|_| "a client failed".to_owned())?;
        let time = ended.duration_since(stopped).as_millis();
        match response {
            Ok(response) if response.complete => record.line(format!(
                "client of {id}: status {}, complete, at {time} ms",
                response.status
            )),
            Ok(response) => {
                lost += 1;
                record.line(format!(
                    "client of {id}: status {}, {} bytes, then the connection ends at {time} ms; BROKEN",
                    response.status,
                    response.body.len()
                ));
            }
            // The connection ended without the request having been read.
            Err(error) => record.line(format!("client of {id}: no answer at {time} ms: {error}")),
        }
    }
    record.line(format!("{lost} requests that were passed on have no complete answer"));
    Ok(lost == 0)
}
