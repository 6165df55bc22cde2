//! A runner that is being taken away ends while it writes answers without a length.

use std::thread::{self, sleep};
use std::time::Duration;

use crate::client::Client;
use crate::front::Front;
use crate::record::Record;
use crate::runner::{whole_answer, whole_stream, RunnerProcess};
use crate::store::{configuration, entry, route, Store};

/// Time between the requests and the notice that the runner leaves.
const UNTIL_NOTICE: Duration = Duration::from_millis(500);

/// Time between the notice and the end of the runner: the default of `scale_in` with `spot`.
const NOTICE: Duration = Duration::from_secs(2);

/// Names of the runners. The first one leaves: a quarter of them, the largest share of the site
/// file.
const RUNNERS: [&str; 4] = ["i-leaving", "i-2", "i-3", "i-4"];

/// Number of requests of each kind.
const REQUESTS: usize = 8;

pub fn run(folder: &str, trouble: bool) -> Result<bool, String> {
    let record = Record::create(folder)?;
    let store = Store::start();
    let mut runners = Vec::new();
    for name in RUNNERS {
        let runner = RunnerProcess::start("unframed", name, &record)?;
        store.put("servers", name, &entry("ledger", runner.address, 12, "ready"));
        runners.push(runner);
    }
    let objective = "\"targetLatencyMs\":500,\"maxAttempts\":1";
    let stream = format!("{objective},\"gapAimMs\":300,\"resumable\":false");
    let routes = [
        route("submit", "non_idempotent", "ledger", 5000, objective),
        route("read", "idempotent", "ledger", 5000, objective),
        route("stream", "streaming", "ledger", 5000, &stream),
    ];
    store.put("op", "config", &configuration(5, &routes, &["ledger"]));
    let front = Front::start("front-1", store.address)?;
    let clients: Vec<_> = ["submit", "read", "stream"]
        .iter()
        .flat_map(|kind| (0..REQUESTS).map(move |number| (*kind, format!("{kind}-{number}"))))
        .map(|(kind, id)| {
            let client = Client::new(front.callers, Duration::from_secs(5));
            let record = record.clone();
            record.line(format!("client sends {id}"));
            let method = if kind == "read" { "GET" } else { "POST" };
            thread::spawn(move || {
                let response = client.send(method, &format!("/{kind}/x"), &id, b"");
                (kind, id, response)
            })
        })
        .collect();
    if trouble {
        sleep(UNTIL_NOTICE);
        let draining = entry("ledger", runners[0].address, 12, "draining");
        store.put("servers", RUNNERS[0], &draining);
        record.line("i-leaving is draining");
        sleep(NOTICE);
        runners[0].kill();
        record.line("i-leaving is gone");
    }
    let mut held = true;
    for client in clients {
        let (kind, id, response) = client.join().map_err(|_| "a client failed".to_owned())?;
        let whole = if kind == "stream" { whole_stream(&id) } else { whole_answer(&id) };
        let verdict = match &response {
            Ok(response) if (200..300).contains(&response.status) && response.complete => {
                let is_whole = response.text() == whole;
                held &= is_whole;
                if is_whole {
                    "whole"
                } else {
                    "BROKEN: a part of the answer, as a complete success"
                }
            }
            Ok(_) => "no complete success",
            Err(_) => "no answer",
        };
        match response {
            Ok(response) => record.line(format!(
                "client gets {id}: status {}, {} of {} bytes, ended in good order: {}; {verdict}",
                response.status,
                response.body.len(),
                whole.len(),
                response.complete
            )),
            Err(error) => record.line(format!("client gets {id}: {error}; {verdict}")),
        }
    }
    Ok(held)
}
