//! After an outage of the store, machines go on by an old configuration.

mod common;

use std::path::Path;
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

use common::*;

const MACHINES: usize = 7;
/// `contactMs`, `configApplyMs` and `graceS` of a small deployment.
const CONTACT: Duration = Duration::from_millis(3000);
const APPLY: Duration = Duration::from_millis(2000);
const GRACE_S: u64 = 8;
/// Length of the outage, `for_s` of `platform_down (silent)`.
const OUTAGE: Duration = Duration::from_millis(4500);
/// Pause between the machines that are stopped in turn, `gap_s` of `roll_term`.
const GAP: Duration = Duration::from_millis(1000);
/// Long polls of this wait and more are those of machines that rely on others.
const LONG_WAIT_MS: u64 = 5000;

fn route(name: &str, service: &str, timeout_ms: u32) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"shop.example\",\"prefix\":\"/{name}/\",\
         \"kind\":\"non_idempotent\",\"timeoutMs\":{timeout_ms},\"targetLatencyMs\":300,\
         \"priority\":0,\"service\":\"{service}\",\"maxAttempts\":1,\"sticky\":false}}"
    )
}

fn configuration(version: u32, routes: &[String]) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[\
         {{\"name\":\"alpha\",\"healthPath\":\"/health\",\"maxConns\":100}},\
         {{\"name\":\"beta\",\"healthPath\":\"/health\",\"maxConns\":100}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        routes.join(",")
    )
}

/// Sends one request and returns the status, or 0 without an answer.
fn ask(machine: &Machine, route: &str, id: &str, record: &Record) -> u16 {
    record.add(format!("sent   {id} /{route}/x to {}", machine.name));
    let request = format!(
        "POST /{route}/x HTTP/1.1\r\nHost: shop.example\r\nX-Agatestair-Request-Id: {id}\r\n\
         X-Agatestair-Deadline-Ms: 1500\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{{}}"
    );
    match call(machine.front, &request, Duration::from_millis(2500)) {
        Ok(answer) => {
            let body = String::from_utf8_lossy(&answer.body).trim().to_owned();
            record.add(format!("answer {id} {} {body}", answer.status()));
            answer.status()
        }
        Err(error) => {
            record.add(format!("answer {id} none: {error}"));
            0
        }
    }
}

fn wait_until(limit: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let begun = Instant::now();
    while !holds() {
        if begun.elapsed() > limit {
            return false;
        }
        sleep(Duration::from_millis(20));
    }
    true
}

fn sleep_until(moment: Instant) {
    sleep(moment.saturating_duration_since(Instant::now()));
}

fn main() -> ExitCode {
    let output = std::env::args().nth(1).expect("the folder of the case");
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(&Path::new(&output).join("record.txt"));
    let folder = Folder::create();
    match play(&folder.0, trouble, &record) {
        Ok(0) => {
            record.add("the rule held");
            ExitCode::SUCCESS
        }
        Ok(broken) => {
            record.add(format!("CONFIG is broken by {broken} requests"));
            println!("CONFIG is broken by {broken} requests");
            ExitCode::from(1)
        }
        Err(cause) => {
            record.add(format!("the case could not run: {cause}"));
            println!("the case could not run: {cause}");
            ExitCode::from(2)
        }
    }
}

/// Plays the case; returns how many requests were handled as only an older version allows.
fn play(folder: &Path, trouble: bool, record: &Record) -> Result<usize, String> {
    let (store, runs): (Store, Runs) = (Store::new(), Arc::new(Mutex::new(Vec::new())));
    let names = [
        ("i-alpha-1", "alpha"),
        ("i-alpha-2", "alpha"),
        ("i-beta-1", "beta"),
        ("i-beta-2", "beta"),
    ];
    for (name, service) in names {
        let runner = Runner::start(name, service, &runs, record);
        store.put("servers", name, Some(&runner.entry("ready")));
    }
    let routes = [route("main", "alpha", 3000), route("former", "alpha", 3000)];
    store.put("op", "config", Some(&configuration(3, &routes)));
    record.add("operator: version 3: /main/ and /former/ go to alpha");
    let ports = free_ports(MACHINES);
    let bounds = Bounds { contact_ms: CONTACT.as_millis() as u64, grace_s: GRACE_S };
    let start = |index| Machine::start(index, folder, store.open(index), &ports, bounds);
    let mut machines: Vec<Machine> = (0..MACHINES).map(start).collect();
    if !wait_until(Duration::from_secs(15), || machines.iter().all(Machine::is_ready)) {
        return Err("not all machines became ready".to_owned());
    }
    record.add("all machines are ready");
    sleep(Duration::from_secs(4));
    for machine in &machines {
        if ask(machine, "main", &format!("calm-{}", machine.name), record) != 200 {
            return Err("a request in calm was not served".to_owned());
        }
    }

    // A change makes all machines begin to wait for the next one at about the same time.
    let routes = [route("main", "alpha", 2500), route("former", "alpha", 2500)];
    store.put("op", "config", Some(&configuration(7, &routes)));
    record.add("operator: version 7: other timeouts");
    sleep(Duration::from_millis(1200));
    let polls = store.polls("op");
    for (machine, age, wait) in &polls {
        let (name, age) = (&machines[*machine].name, age.as_millis());
        record.add(format!(
            "{name} waits for changes of the configuration since {age} ms, for {wait} ms"
        ));
    }
    let relying =
        |index: usize| polls.iter().any(|(at, _, wait)| *at == index && *wait >= LONG_WAIT_MS);
    let leaving: Vec<usize> = (0..MACHINES).filter(|index| !relying(*index)).collect();
    let staying: Vec<usize> = (0..MACHINES).filter(|index| relying(*index)).collect();
    if leaving.len() > 3 || staying.is_empty() {
        return Err(format!("{} machines follow the store by short polls", leaving.len()));
    }

    let begun = Instant::now();
    let outage = begun + Duration::from_millis(300);
    // Planned work: three of seven machines are stopped in turn and leave.
    for (turn, index) in leaving.iter().enumerate() {
        if turn == 1 && trouble {
            sleep_until(outage);
            (0..MACHINES).for_each(|machine| store.set_mode(machine, Mode::Silent));
            record.add("the store is silent");
        }
        sleep_until(begun + GAP * turn as u32);
        machines[*index].signal(SIGTERM);
        record.add(format!("SIGTERM to {}", machines[*index].name));
    }
    if trouble {
        sleep_until(outage + OUTAGE);
        (0..MACHINES).for_each(|machine| store.set_mode(machine, Mode::Normal));
        record.add("the store answers again");
    }
    let left = wait_until(Duration::from_secs(GRACE_S + 4), || {
        leaving.iter().all(|index| machines[*index].has_ended())
    });
    if !left {
        return Err("a machine outlived its grace period".to_owned());
    }
    record.add("the stopped machines have left");
    // The store is stable, and the machines that stay are in touch, from here on.
    sleep_until(outage + OUTAGE + CONTACT + Duration::from_millis(100));

    let routes = [route("main", "beta", 2500), route("later", "beta", 2500)];
    store.put("op", "config", Some(&configuration(12, &routes)));
    let acknowledged = Instant::now();
    record.add("operator: version 12 acknowledged: /main/ goes to beta, /former/ is dropped, /later/ is new");
    sleep_until(acknowledged + APPLY + Duration::from_millis(50));
    record.add("configApplyMs is over");
    let mut broken = 0;
    for round in 0..12 {
        for index in &staying {
            let machine = &machines[*index];
            for (name, allowed) in [("main", 200), ("former", 404), ("later", 200)] {
                let id = format!("late-{round}-{name}-{}", machine.name);
                let status = ask(machine, name, &id, record);
                let by_alpha =
                    runs.lock().unwrap().iter().any(|ran| ran.id == id && ran.service == "alpha");
                let wrong = by_alpha || (allowed == 200 && status == 404);
                if wrong {
                    let what = if by_alpha { "run by the old service" } else { "refused with 404" };
                    let ms = acknowledged.elapsed().as_millis();
                    record.add(format!("BROKEN {id}: {what}, {ms} ms after the acknowledgement"));
                    broken += 1;
                }
            }
        }
        sleep(Duration::from_millis(500));
    }
    Ok(broken)
}
