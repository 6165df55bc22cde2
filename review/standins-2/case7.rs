//! A cut between the fronts and a runner refuses connections for a while, and the runner goes on.

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::children::{Front, Runner, append};
use crate::http::{Answer, Request, send, wait};
use crate::reset::reset;
use crate::store::Store;

/// Time between two events of a stream; the route allows for pauses of 150 ms.
const PAUSE: Duration = Duration::from_millis(50);

/// Events of a stream.
const EVENTS: usize = 10;

/// Length of the cut.
const CUT: Duration = Duration::from_secs(2);

/// Time from the end of the cut to the signal: more than `contactMs`, which is 3,000.
const CALM: Duration = Duration::from_secs(5);

/// The runners; the first one, a sixth of them, is cut off.
const NAMES: [&str; 6] = ["i-one", "i-two", "i-three", "i-four", "i-five", "i-six"];

/// Streams that each front gets after the signal, and the time between two: all of them are sent
/// within `configApplyMs`, which is 2,000.
const STREAMS: usize = 36;
const STREAM_PAUSE: Duration = Duration::from_millis(50);

/// Time in which the fronts get to know all runners.
const START_LIMIT: Duration = Duration::from_secs(15);

const CONFIGURATION: &str = r#"{"version":5,"routes":[
{"name":"advice","host":"shop.example","prefix":"/advice/","kind":"streaming","timeoutMs":5000,
"targetLatencyMs":600,"gapAimMs":150,"priority":1,"service":"fitting","maxAttempts":1}],
"services":[{"name":"fitting","healthPath":"/health","maxConns":200}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

fn event(id: &str, index: usize) -> String {
    format!("id: {index}\ndata: word {index} for {id}\n\n")
}

/// Serves as the runner `name`: its streams have no length and end with their connection.
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
    println!("runner {name} runs {id}");
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Agatestair-Request-Id: {id}\r\nX-Agatestair-Server-Stamp: {name}\r\n\
         Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).ok()?;
    let events = if id.starts_with("known") { 1 } else { EVENTS };
    for index in 1..=events {
        thread::sleep(PAUSE);
        stream.write_all(event(id, index).as_bytes()).ok()?;
    }
    println!("runner {name} has sent the whole answer to {id}");
    Some(())
}

/// The path from the fronts to a runner.
#[derive(Clone)]
struct Route {
    address: SocketAddr,
    target: SocketAddr,
    open: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Route {
    fn start(target: SocketAddr) -> Self {
        let address = crate::children::free_address();
        let path = Self { address, target, open: Arc::default(), streams: Arc::default() };
        path.join();
        path
    }

    /// Accepts connections until the cut.
    fn join(&self) {
        let listener = TcpListener::bind(self.address).expect("the address is free");
        self.open.store(true, Ordering::SeqCst);
        let path = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if !path.open.load(Ordering::SeqCst) {
                    return;
                }
                path.forward(stream);
            }
        });
    }

    fn forward(&self, near: TcpStream) -> Option<()> {
        let far = TcpStream::connect(self.target).ok()?;
        let pairs = [(near.try_clone().ok()?, far.try_clone().ok()?), (far, near)];
        for (mut from, mut to) in pairs {
            self.streams.lock().ok()?.push(from.try_clone().ok()?);
            thread::spawn(move || {
                let mut buffer = [0; 16384];
                while let Ok(count @ 1..) = from.read(&mut buffer) {
                    if to.write_all(&buffer[..count]).is_err() {
                        break;
                    }
                }
                drop(to.shutdown(std::net::Shutdown::Write));
            });
        }
        Some(())
    }

    /// Resets all connections and refuses new ones.
    fn cut(&self) {
        self.open.store(false, Ordering::SeqCst);
        // The loop that accepts ends with the next connection.
        while TcpStream::connect(self.address).is_ok() {
            thread::yield_now();
        }
        for stream in self.streams.lock().expect("no thread panics").drain(..) {
            reset(&stream);
        }
    }
}

fn call(front: SocketAddr, id: &str) -> Answer {
    let headers = format!(
        "Host: shop.example\r\nX-Agatestair-Request-Id: {id}\r\nX-Agatestair-Deadline-Ms: 5000\r\n"
    );
    send(front, "POST", "/advice/now", &headers, &format!("please, {id}"))
}

/// Plays the case; the exit code is that of `run.sh`.
pub fn play(record: &Path) -> ExitCode {
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    std::fs::write(record, format!("trouble: {trouble}\n")).expect("the folder is writable");
    let note = |line: String| {
        append(record).write_all(format!("{line}\n").as_bytes()).expect("the record is writable");
    };
    let store = Store::start();
    store.put("op", "config", CONFIGURATION);
    let fronts = ["front-a-1", "front-a-2"].map(|name| Front::start(name, store.address));
    let runners = NAMES.map(|id| Runner::start("runner7", id, record));
    let paths = runners.each_ref().map(|runner| Route::start(runner.address));
    for (runner, path) in runners.iter().zip(&paths) {
        store.put("servers", &runner.id, &runner.entry_at(path.address, "fitting", "ready", ""));
    }
    let text = || std::fs::read_to_string(record).unwrap_or_default();
    let mut number = 0;
    let known = fronts.iter().all(|front| {
        number += 1000;
        let first = number;
        wait(START_LIMIT, || {
            number += 1;
            call(front.callers, &format!("known-{number}"));
            let text = text();
            let mut uses = runners.iter().map(|runner| {
                (first..=number)
                    .any(|number| text.contains(&format!("{} runs known-{number}\n", runner.id)))
            });
            uses.all(|uses| uses)
        })
    });
    if !known {
        eprintln!("the fronts did not use all runners");
        return ExitCode::from(2);
    }
    // The fronts hear of each other within this time.
    thread::sleep(Duration::from_secs(3));
    if trouble {
        let callers = fronts[0].callers;
        let early: Vec<_> = (0..12)
            .map(|index| thread::spawn(move || call(callers, &format!("early-{index}"))))
            .collect();
        thread::sleep(Duration::from_millis(200));
        paths[0].cut();
        note("the path to i-one is cut".to_owned());
        thread::sleep(CUT);
        paths[0].join();
        note("the path to i-one is whole again".to_owned());
        for (index, client) in early.into_iter().enumerate() {
            let answer = client.join().expect("no client panics");
            note(format!(
                "client early-{index}: status {}, complete {}",
                answer.status, answer.complete
            ));
        }
        thread::sleep(CALM);
    }
    fronts.iter().for_each(|front| front.process.hang_up());
    note("both fronts got SIGHUP".to_owned());
    let clients: Vec<_> = (0..STREAMS)
        .flat_map(|index| {
            thread::sleep(STREAM_PAUSE);
            fronts.each_ref().map(|front| (front.callers, index))
        })
        .enumerate()
        .map(|(place, (callers, index))| {
            let id = format!("late-{}-{index}", place % 2 + 1);
            thread::spawn(move || (id.clone(), call(callers, &id)))
        })
        .collect();
    let mut broken = [0; 2];
    let (mut served, mut reached) = (0, false);
    for client in clients {
        let (id, answer) = client.join().expect("no client panics");
        let expected: String = (1..=EVENTS).map(|index| event(&id, index)).collect();
        let text = text();
        let whole = text.contains(&format!("has sent the whole answer to {id}\n"));
        reached |= text.contains(&format!("runner i-one runs {id}\n"));
        let lost = whole && !answer.complete;
        served += usize::from(answer.complete && answer.body == expected);
        broken[usize::from(id.starts_with("late-2"))] += usize::from(lost);
        let verdict = if lost {
            "BROKEN: the runner answered, and the connection ended without the end of the answer"
        } else {
            "-"
        };
        note(format!(
            "client {id}: status {}, complete {}, {} of {} bytes, stamp {:?}: {verdict}",
            answer.status,
            answer.complete,
            answer.body.len(),
            expected.len(),
            answer.header("x-agatestair-server-stamp"),
        ));
    }
    note(format!(
        "{served} of {} served; lost: {} at front-a-1, {} at front-a-2",
        2 * STREAMS,
        broken[0],
        broken[1]
    ));
    match (reached, broken) {
        (false, _) => ExitCode::from(2),
        (true, [0, 0]) => ExitCode::SUCCESS,
        _ => ExitCode::from(1),
    }
}
