//! Runners crash while they answer. Their answers have no length and end with their connection.

mod common;

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::mpsc::channel;
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use common::*;

const MACHINES: usize = 9;
const RUNNERS: usize = 4;
const SLOTS: usize = 12;
/// Events of an answer, and the pause between them; the sheet allows 150 ms.
const EVENTS: u32 = 11;
const PAUSE_MS: u64 = 120;
/// Crashes, one after the other.
const ROUNDS: usize = 16;

struct RunnerProcess {
    name: String,
    address: SocketAddr,
    born: u64,
    child: Child,
}

impl RunnerProcess {
    fn start(name: &str, record: &Record) -> Self {
        let mut command = Command::new("target/review-3/runner");
        command.args([name, &EVENTS.to_string(), &PAUSE_MS.to_string()]);
        command.stdin(Stdio::null()).stdout(Stdio::piped());
        let child = end_with_parent(&mut command).spawn();
        let mut child = child.expect("target/review-3/runner was built");
        let mut lines = BufReader::new(child.stdout.take().expect("a pipe")).lines();
        let line = lines.next().and_then(Result::ok).unwrap_or_default();
        let address = line.strip_prefix("address ").and_then(|text| text.parse().ok());
        let (record, own) = (record.clone(), name.to_owned());
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                record.add(format!("runner {own}: {line}"));
            }
        });
        let address = address.expect("the runner prints its address");
        Self { name: name.to_owned(), address, born: unix_ms(), child }
    }

    fn entry(&self, state: &str) -> String {
        format!(
            "{{\"service\":\"models\",\"address\":\"{}\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":{SLOTS},\
             \"state\":\"{state}\",\"coldLeftMs\":0,\"seqNo\":0,\"born\":{}}}",
            self.address, self.born
        )
    }

    fn crash(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

impl Drop for RunnerProcess {
    fn drop(&mut self) {
        self.crash();
    }
}

fn configuration() -> String {
    let route = |name: &str, kind: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"shop.example\",\"prefix\":\"/{name}/\",\"kind\":\"{kind}\",\
             \"timeoutMs\":5000,\"targetLatencyMs\":600,\"gapAimMs\":150,\"priority\":0,\
             \"service\":\"models\",\"maxAttempts\":1,\"sticky\":false}}"
        )
    };
    let routes = [route("stream", "streaming"), route("plain", "non_idempotent")];
    format!(
        "{{\"version\":3,\"routes\":[{}],\"services\":[{{\"name\":\"models\",\
         \"healthPath\":\"/health\",\"maxConns\":170}}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        routes.join(",")
    )
}

fn main() -> ExitCode {
    let output = std::env::args().nth(1).expect("the folder of the case");
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(&Path::new(&output).join("record.txt"));
    let folder = Folder::create();
    match play(&folder.0, trouble, &record) {
        Ok(0) => {
            record.add("the rules held");
            ExitCode::SUCCESS
        }
        Ok(broken) => {
            record.add(format!("MIXED or ORDER is broken by {broken} answers"));
            println!("MIXED or ORDER is broken by {broken} answers");
            ExitCode::from(1)
        }
        Err(cause) => {
            record.add(format!("the case could not run: {cause}"));
            println!("the case could not run: {cause}");
            ExitCode::from(2)
        }
    }
}

/// Plays the case; returns how many answers ended early and looked complete.
fn play(folder: &Path, trouble: bool, record: &Record) -> Result<usize, String> {
    let store = Store::new();
    let names = (0..RUNNERS).map(|index| format!("i-{index}"));
    let mut runners: Vec<RunnerProcess> =
        names.map(|name| RunnerProcess::start(&name, record)).collect();
    for runner in &runners {
        store.put("servers", &runner.name, Some(&runner.entry("ready")));
    }
    store.put("op", "config", Some(&configuration()));
    let ports = free_ports(MACHINES);
    let bounds = Bounds { contact_ms: 3000, grace_s: 8 };
    let start = |index| Machine::start(index, folder, store.open(index), &ports, bounds);
    let machines: Vec<Machine> = (0..MACHINES).map(start).collect();
    let begun = Instant::now();
    while !machines.iter().all(Machine::is_ready) {
        if begun.elapsed() > Duration::from_secs(15) {
            return Err("not all machines became ready".to_owned());
        }
        sleep(Duration::from_millis(50));
    }
    sleep(Duration::from_secs(4));
    let mut broken = 0;
    for round in 0..ROUNDS {
        let (results, answers) = channel();
        for index in 0..SLOTS * RUNNERS {
            let kind = if index % 2 == 0 { "stream" } else { "plain" };
            let id = format!("r{round}-{kind}-{index}");
            let front = machines[index % MACHINES].front;
            let (results, record) = (results.clone(), record.clone());
            thread::spawn(move || {
                record.add(format!("sent   {id} /{kind}/x"));
                let request = format!(
                    "POST /{kind}/x HTTP/1.1\r\nHost: shop.example\r\nX-Agatestair-Request-Id: {id}\r\n\
                     X-Agatestair-Deadline-Ms: 5000\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{{}}"
                );
                let answer = call(front, &request, Duration::from_secs(6));
                drop(results.send((id, answer)));
            });
        }
        drop(results);
        sleep(Duration::from_millis(300));
        let victim = &mut runners[round % RUNNERS];
        sleep(Duration::from_millis(500));
        if trouble {
            record.add(format!("runner {}: crashes", victim.name));
            victim.crash();
        }
        for (id, answer) in answers {
            match answer {
                Ok(answer) => {
                    let body = String::from_utf8_lossy(&answer.body).into_owned();
                    let pieces = body.matches(&format!(" of {EVENTS}")).count() as u32;
                    let stamp = answer.header("x-agatestair-server-stamp");
                    record.add(format!(
                        "answer {id} {} complete, {pieces} of {EVENTS} pieces, signature `{stamp}`",
                        answer.status()
                    ));
                    if answer.status() == 200 && pieces < EVENTS {
                        record.add(format!("BROKEN {id}: ended early and looks complete"));
                        broken += 1;
                    }
                    if !trouble && (answer.status() != 200 || pieces != EVENTS) {
                        return Err(format!("{id} was not answered in calm"));
                    }
                }
                Err(error) => record.add(format!("answer {id} none or not complete: {error}")),
            }
        }
        // The runner is gone; another one takes its place.
        let old = &mut runners[round % RUNNERS];
        store.put("servers", &old.name, None);
        let new = RunnerProcess::start(&format!("i-{}", RUNNERS + round), record);
        store.put("servers", &new.name, Some(&new.entry("ready")));
        runners[round % RUNNERS] = new;
        sleep(Duration::from_millis(2000));
    }
    Ok(broken)
}
