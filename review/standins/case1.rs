//! A runner sends additional bytes after a complete answer: late, and in the form of a refusal.

use std::collections::{HashMap, HashSet};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::client::Client;
use crate::front::Front;
use crate::record::Record;
use crate::runner::{start, Exchange};
use crate::store::{configuration, entry, route, Store};

/// Duration of the trouble: the longest of `garble` in the site file.
const TROUBLE: Duration = Duration::from_millis(5500);

/// Number of runners; the first one is faulty: 0.33 of them.
const RUNNERS: usize = 3;

/// One in this many answers of the faulty runner is followed by additional bytes: 0.05 of them.
const ONE_IN: usize = 20;

/// Work of a request.
const WORK: Duration = Duration::from_millis(15);

/// Number of clients, and the pause of each between two requests.
const CLIENTS: usize = 10;
const PAUSE: Duration = Duration::from_millis(25);

/// The additional bytes. They name no request, so they belong to none.
const ADDITIONAL: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\n\
    X-Agatestair-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

/// What the runners share with the scenario.
struct Runners {
    record: Record,
    /// Runners that have run a request, by its identifier.
    runs: Mutex<HashMap<String, Vec<usize>>>,
    /// Number of answers of the faulty runner.
    answers: Mutex<usize>,
    /// The other ends of its connections on which additional bytes are due.
    due: Mutex<HashSet<SocketAddr>>,
    begun: Instant,
    trouble: bool,
}

impl Runners {
    fn serve(&self, runner: usize, exchange: &mut Exchange<'_>) -> io::Result<()> {
        let id = exchange.request.id().to_owned();
        self.record.line(format!("runner {runner} runs {id}"));
        self.runs.lock().expect("no holder panics").entry(id.clone()).or_default().push(runner);
        let peer = exchange.stream.peer_addr()?;
        if self.due.lock().expect("no holder panics").remove(&peer) {
            // They arrive where the answer to this request is expected.
            exchange.stream.write_all(ADDITIONAL)?;
            self.record.line(format!("runner {runner}: additional bytes, while it runs {id}"));
        }
        sleep(WORK);
        exchange.answer("200 OK", "", &format!("recorded {id}"))?;
        if runner == 0 && self.trouble && self.begun.elapsed() < TROUBLE {
            let mut answers = self.answers.lock().expect("no holder panics");
            *answers += 1;
            if *answers % ONE_IN == 0 {
                self.due.lock().expect("no holder panics").insert(peer);
            }
        }
        Ok(())
    }
}

pub fn run(folder: &str, trouble: bool) -> Result<bool, String> {
    let record = Record::create(folder)?;
    let store = Store::start();
    let rest = "\"targetLatencyMs\":100,\"maxAttempts\":1";
    let routes = [route("submit", "non_idempotent", "ledger", 800, rest)];
    store.put("op", "config", &configuration(5, &routes, &["ledger"]));
    let runners = Arc::new(Runners {
        record: record.clone(),
        runs: Mutex::default(),
        answers: Mutex::default(),
        due: Mutex::default(),
        begun: Instant::now(),
        trouble,
    });
    for runner in 0..RUNNERS {
        let shared = runners.clone();
        let address = start(move |exchange| shared.serve(runner, exchange));
        store.put("servers", &format!("i-{runner}"), &entry("ledger", address, 6, "ready"));
    }
    let front = Front::start("front-1", store.address)?;
    let (address, begun) = (front.callers, Instant::now());
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let record = record.clone();
            thread::spawn(move || {
                for number in 0.. {
                    if begun.elapsed() >= TROUBLE {
                        return;
                    }
                    let id = format!("submit-{client}-{number}");
                    let sender = Client::new(address, Duration::from_millis(1500));
                    match sender.send("POST", "/submit/x", &id, b"a score") {
                        Ok(response) => record.line(format!(
                            "client gets {id}: status {}, {}",
                            response.status,
                            response.text().trim_end()
                        )),
                        Err(error) => record.line(format!("client gets {id}: {error}")),
                    }
                    sleep(PAUSE);
                }
            })
        })
        .collect();
    for client in clients {
        client.join().map_err(|_| "a client failed".to_owned())?;
    }
    // Runs whose answer nobody awaits end, too.
    sleep(WORK * 4);
    let runs = runners.runs.lock().expect("no holder panics");
    let twice: Vec<_> = runs.iter().filter(|(_, runners)| runners.len() > 1).collect();
    for (id, runners) in &twice {
        record.line(format!("BROKEN: {id}, which may run once, ran at the runners {runners:?}"));
    }
    record.line(format!("{} requests ran, {} of them twice", runs.len(), twice.len()));
    Ok(twice.is_empty())
}
