//! Measures the resource use of one control process with many simulated peers and endpoints.
//!
//! This process serves the platform, the endpoints and the peers on loopback addresses. It reads
//! the CPU time and memory of the control process from the operating system, and its counters from
//! `/metrics`. `scripts/control-cost.sh` starts both processes. Prints one JSON object.

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use agatestair_link::{LinkEvent, LinkKey, LinkNode, NodeSettings, PeerRole};
use agatestair_schema::link::{
    DemandReport, EndpointKind, EndpointRole, EndpointState, EndpointView, Heartbeat, LinkMessage,
    LoadBatch, PlanDemand, Presence,
};
use agatestair_schema::settings::LinkSettings;
use serde_json::{Value, json};
use slog::{Discard, Logger, o};
use tiny_http::{Method, Request, Response, Server};
use tokio_util::sync::CancellationToken;

const WARM_UP: Duration = Duration::from_secs(6);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
const PAGE_KB: f64 = 4.0;
const TICKS_PER_SECOND: f64 = 100.0;

mod flags {
    #![allow(missing_docs)]
    xflags::xflags! {
        cmd control-cost {
            /// Process to measure.
            required --pid pid: u32
            /// Number of instances, including the measured one.
            required --instances instances: u16
            /// Number of endpoints.
            required --endpoints endpoints: u32
            /// Number of customers in the lists.
            required --customers customers: u32
            /// Port of the platform; the control process uses the next two.
            required --port port: u16
            /// Duration of the measurement in seconds.
            required --seconds seconds: u64
        }
    }
}

/// Number of calls and bytes by path.
type Calls = Arc<Mutex<BTreeMap<String, (u64, u64)>>>;

struct Platform {
    calls: Calls,
    instances: Mutex<Value>,
    lists: String,
    version: AtomicU64,
}

fn main() {
    let flags = flags::ControlCost::from_env_or_exit();
    let platform = Arc::new(Platform {
        calls: Calls::default(),
        instances: Mutex::new(instances(&flags)),
        lists: lists(flags.customers),
        version: AtomicU64::new(1),
    });
    serve(&platform, flags.port);
    let token = CancellationToken::new();
    let peers: Vec<Peer> = (2..=flags.instances).map(|n| Peer::start(&flags, n, &token)).collect();
    thread::spawn(move || {
        for round in 0_u64.. {
            peers.iter().for_each(|peer| peer.send(round));
            thread::sleep(HEARTBEAT_INTERVAL / 2);
        }
    });
    thread::sleep(WARM_UP);
    let before = Sample::take(&flags, &platform);
    thread::sleep(Duration::from_secs(flags.seconds));
    let after = Sample::take(&flags, &platform);
    println!("{}", report(&flags, &before, &after));
}

/// Cumulative counters at one time.
struct Sample {
    cpu_s: f64,
    memory_mb: f64,
    counters: BTreeMap<String, f64>,
    calls: BTreeMap<String, (u64, u64)>,
}

impl Sample {
    fn take(flags: &flags::ControlCost, platform: &Platform) -> Self {
        let stat = fs::read_to_string(format!("/proc/{}/stat", flags.pid)).unwrap_or_default();
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
        let number = |index: usize| fields.get(index).and_then(|t| t.parse().ok()).unwrap_or(0.0);
        let admin = format!("http://127.0.0.1:{}/metrics", flags.port + 2);
        let text = ureq::get(&admin).call().ok();
        let text = text.and_then(|mut a| a.body_mut().read_to_string().ok()).unwrap_or_default();
        let counters = text.lines().filter(|line| !line.starts_with('#')).filter_map(|line| {
            let (name, value) = line.rsplit_once(' ')?;
            Some((name.to_owned(), value.parse().ok()?))
        });
        Self {
            cpu_s: (number(11) + number(12)) / TICKS_PER_SECOND,
            memory_mb: number(21) * PAGE_KB / 1024.0,
            counters: counters
                .filter(|(name, _): &(String, f64)| name.contains("_total"))
                .collect(),
            calls: platform.calls.lock().expect("no panic").clone(),
        }
    }
}

fn report(flags: &flags::ControlCost, before: &Sample, after: &Sample) -> Value {
    let seconds = flags.seconds as f64;
    let rate = |name: &str, value: f64| {
        let old = before.counters.get(name).copied().unwrap_or(0.0);
        (value - old) / seconds
    };
    let counters: BTreeMap<&String, f64> = after
        .counters
        .iter()
        .map(|(name, value)| (name, rate(name, *value)))
        .filter(|(_, rate)| *rate > 0.0)
        .collect();
    let platform: BTreeMap<&String, Value> = after
        .calls
        .iter()
        .map(|(path, (calls, bytes))| {
            let old = before.calls.get(path).copied().unwrap_or_default();
            let calls_s = (calls - old.0) as f64 / seconds;
            let bytes_s = (bytes - old.1) as f64 / seconds;
            (path, json!({"calls_s": calls_s, "bytes_s": bytes_s}))
        })
        .collect();
    json!({
        "instances": flags.instances, "endpoints": flags.endpoints, "customers": flags.customers,
        "cpu_percent": (after.cpu_s - before.cpu_s) / seconds * 100.0,
        "memory_mb": after.memory_mb, "rates": counters, "platform": platform,
    })
}

/// A simulated peer control process.
struct Peer {
    name: String,
    number: u16,
    node: LinkNode,
    links: Arc<Mutex<Vec<LinkKey>>>,
    views: Vec<EndpointView>,
    broadcast_rounds: u64,
}

impl Peer {
    fn start(flags: &flags::ControlCost, number: u16, token: &CancellationToken) -> Self {
        let links: Arc<Mutex<Vec<LinkKey>>> = Arc::default();
        let known = links.clone();
        let settings = NodeSettings {
            instance: instance_name(number).as_str().into(),
            domain: "domain".into(),
            boot: "0000000000001-peer".into(),
            role: PeerRole::Control,
            listen: Some(SocketAddr::from(([127, 0, 0, 1], peer_port(flags.port, number)))),
            link: LinkSettings { key: "cost".to_owned(), ..LinkSettings::default() },
            log: Logger::root(Discard, o!()),
        };
        let node = LinkNode::start(settings, token.clone(), move |event| {
            let mut links = known.lock().expect("no panic");
            match event {
                LinkEvent::Up { link, .. } => links.push(link),
                LinkEvent::Down { link, .. } => links.retain(|known| *known != link),
                _ => {}
            }
        })
        .expect("the port is free");
        // Same pacing as the control process: 220 bytes per endpoint, at most 6 kB per second.
        let broadcast_ms = (f64::from(flags.endpoints) * 220.0 / 6.0).clamp(250.0, 2000.0);
        let broadcast_rounds = (broadcast_ms / 250.0).round() as u64;
        let own = (0..flags.endpoints)
            .filter(|index| index % u32::from(flags.instances - 1) == u32::from(number - 2));
        Self {
            name: instance_name(number),
            number,
            node,
            links,
            views: own.map(view).collect(),
            broadcast_rounds,
        }
    }

    fn send(&self, round: u64) {
        let links = self.links.lock().expect("no panic").clone();
        for link in links {
            let endpoints =
                self.views.iter().map(|view| EndpointView { report: round, ..view.clone() });
            if round.is_multiple_of(self.broadcast_rounds) {
                let batch =
                    LoadBatch { collector: self.name.clone(), endpoints: endpoints.collect() };
                self.node.send(link, LinkMessage::Load(batch));
            }
            if round.is_multiple_of(2) {
                self.node.send(link, LinkMessage::Heartbeat(self.heartbeat()));
            }
            if round.is_multiple_of(4) {
                self.node.send(link, LinkMessage::Demand(self.demand()));
            }
        }
    }

    fn heartbeat(&self) -> Heartbeat {
        Heartbeat {
            address: format!("127.0.0.1:{}", self.number),
            boot: "0000000000001-peer".to_owned(),
            control: format!("127.0.0.1:{}", self.number),
            domain: "domain".to_owned(),
            instance: self.name.clone(),
            open: 40,
            presence: Presence::Live,
            region: "region".to_owned(),
            revision: 1,
        }
    }

    fn demand(&self) -> DemandReport {
        let plan = |index: u32| PlanDemand {
            decode_demand: 900.0,
            decode_drawn: 900.0,
            plan: format!("plan-{index}"),
            prefill_demand: 900.0,
            prefill_drawn: 900.0,
            waiting: 3,
        };
        DemandReport { instance: self.name.clone(), plans: (0..3).map(plan).collect() }
    }
}

fn view(index: u32) -> EndpointView {
    EndpointView {
        active: 8,
        address: "127.0.0.1:1".to_owned(),
        age_ms: 200,
        changing: false,
        decode_backlog: 1000,
        decode_rate: 900.0,
        domain: "domain".to_owned(),
        kind: EndpointKind::Engine,
        kv_total: 400_000,
        kv_used: 100_000,
        models: vec!["model-1".to_owned(), "model-2".to_owned()],
        name: endpoint_name(index),
        prefill_backlog: 4000,
        prefill_rate: 9000.0,
        queued: 1,
        report: 0,
        role: EndpointRole::Mixed,
        service: "lexicon-models".to_owned(),
        state: EndpointState::Serving,
    }
}

fn instance_name(number: u16) -> String {
    format!("entry-{number:03}")
}

fn endpoint_name(index: u32) -> String {
    format!("engine-{index:04}")
}

fn peer_port(first: u16, number: u16) -> u16 {
    first + 10 + number
}

fn instances(flags: &flags::ControlCost) -> Value {
    let entry = |number: u16| {
        json!({"name": instance_name(number), "kind": "entry", "state": "live", "domain": "domain",
            "region": "region", "address": format!("127.0.0.1:{}", peer_port(flags.port, number)),
            "control": format!("127.0.0.1:{}", peer_port(flags.port, number)),
            "boot": "0000000000001-peer"})
    };
    let endpoint = |index: u32| {
        json!({"name": endpoint_name(index), "kind": "engine", "state": "live", "domain": "domain",
            "region": "region", "address": format!("127.0.0.1:{}", flags.port),
            "service": "lexicon-models"})
    };
    let mut all: Vec<Value> = (2..=flags.instances).map(entry).collect();
    all.extend((0..flags.endpoints).map(endpoint));
    Value::Array(all)
}

fn lists(customers: u32) -> String {
    let customers: Vec<Value> = (0..customers)
        .map(|index| {
            json!({"name": format!("customer-{index:04}"), "plan": "gold",
            "keys": [format!("{index:064x}")]})
        })
        .collect();
    json!({"revision": 1, "operator": "ann", "applied_ms": 1,
        "plans": {"plans": [{"name": "gold", "priority": 1, "first_ms": 420, "token_ms": 71,
            "deadline_ms": 60000}], "customers": customers},
        "allowances": {"allowances": [{"plan": "gold", "services": [], "models": [],
            "fleet_share": 1.0}], "services": []}})
    .to_string()
}

fn serve(platform: &Arc<Platform>, port: u16) {
    let server = Arc::new(Server::http(("127.0.0.1", port)).expect("the port is free"));
    for _ in 0..4 {
        let (server, platform) = (server.clone(), platform.clone());
        thread::spawn(move || {
            while let Ok(request) = server.recv() {
                platform.handle(request);
            }
        });
    }
}

impl Platform {
    fn handle(&self, mut request: Request) {
        let url = request.url().to_owned();
        let mut body = String::new();
        // A body that cannot be read is handled as an empty one.
        let _ = request.as_reader().read_to_string(&mut body);
        let value = self.value(&url, request.method(), &body);
        let text = value.to_string();
        let purpose = url.split('&').next().unwrap_or("").to_owned();
        let mut calls = self.calls.lock().expect("no panic");
        let counted = calls.entry(purpose).or_default();
        counted.0 += 1;
        counted.1 += (text.len() + body.len()) as u64;
        drop(calls);
        // Fails only if the measured process has ended.
        let _ = request.respond(Response::from_string(text));
    }

    fn value(&self, url: &str, method: &Method, body: &str) -> Value {
        if url == "/instances" {
            return json!({"instances": *self.instances.lock().expect("no panic")});
        }
        if *method == Method::Put && url.starts_with("/instances/") {
            let record: Value = serde_json::from_str(body).unwrap_or_default();
            let mut instances = self.instances.lock().expect("no panic");
            if let Value::Array(all) = &mut *instances {
                all.retain(|known| known["name"] != record["name"]);
                all.push(record);
            }
            return json!({});
        }
        match url {
            "/agatestair/load" => json!({"endpoint": "any", "sequence": 1, "age_ms": 200,
                "role": "mixed", "changing": false, "active": 8, "queued": 1,
                "prefill_backlog": 4000, "decode_backlog": 1000, "prefill_rate": 9000.0,
                "decode_rate": 900.0, "kv_used": 100_000, "kv_total": 400_000,
                "models": ["model-1", "model-2"]}),
            "/table/row?key=lists" => json!({"key": "lists", "version": 1, "value": self.lists}),
            "/table/transact" => {
                let asked: Value = serde_json::from_str(body).unwrap_or_default();
                let version = self.version.fetch_add(1, Ordering::Relaxed);
                let writes = asked["writes"].as_array().cloned().unwrap_or_default();
                let rows: Vec<Value> = writes
                    .iter()
                    .map(|write| json!({"key": write["key"], "version": version, "value": ""}))
                    .collect();
                json!({"committed": true, "rows": rows})
            }
            url if url.starts_with("/agatestair/cache-events") => {
                json!({"endpoint": "any", "first": 0, "last": 0, "events": []})
            }
            _ => json!({"rows": []}),
        }
    }
}
