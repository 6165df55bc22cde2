//! Test rig: a real entry process with stand-ins and a fake control process.

#![allow(dead_code)]

pub mod caller;
pub mod control;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use agatestair_schema::platform::PlatformFaults;
use agatestair_schema::settings::StandinSettings;
use agatestair_schema::standins::{EndpointFaults, RunPage, RunRecord};
use agatestair_standins::{Recorder, StandinDeployment};
use agatestair_testbed::PortBlock;
use serde::Serialize;
use serde_json::{Value, json};

use self::control::FakeControl;

/// Timeout for expected events.
pub const EVENT_TIMEOUT: Duration = Duration::from_secs(30);
/// Model of the stand-in engines.
pub const MODEL: &str = "m1";
/// API key of the test's customer.
pub const API_KEY: &str = "test-key";
/// Key of the links.
pub const LINK_KEY: &str = "link-key";

/// Settings of a rig.
pub struct RigSettings {
    /// Number of engines.
    pub engines: usize,
    /// Number of endpoints of the plain service.
    pub services: usize,
    /// Time of one decode step in milliseconds.
    pub step_ms: f64,
    /// Duration of a call in milliseconds.
    pub work_ms: u64,
    /// The service's rule for keyed calls while the store is down.
    pub store_down: &'static str,
    /// Disabled protections.
    pub disabled: &'static [&'static str],
    /// Lifetime of a `GET /v1/entries` response in milliseconds.
    pub answer_ms: u64,
    /// Target time to the first token of a completion in milliseconds.
    pub first_ms: u64,
    /// Deadline of a completion in milliseconds.
    pub deadline_ms: u64,
    /// Deadline of a call in milliseconds.
    pub call_ms: u64,
    /// Time allowed for a shutdown in milliseconds.
    pub patience_ms: u64,
    /// Whether warnings and errors are logged to a file, as JSON.
    pub keep_log: bool,
    /// Time without confirmed lists after which requests are refused, in milliseconds.
    pub stale_ms: u64,
}

impl Default for RigSettings {
    fn default() -> Self {
        Self {
            engines: 2,
            services: 2,
            step_ms: 4.0,
            work_ms: 10,
            store_down: "refuse",
            disabled: &[],
            answer_ms: 500,
            first_ms: 5000,
            deadline_ms: 25_000,
            call_ms: 4000,
            patience_ms: 30_000,
            keep_log: false,
            stale_ms: 3000,
        }
    }
}

/// A real entry process with stand-ins for the platform and the endpoints.
pub struct Rig {
    /// Records of the stand-ins.
    pub recorder: Arc<Recorder>,
    /// Address of the recorder's HTTP interface.
    pub record: SocketAddr,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Addresses of the engines.
    pub engines: Vec<SocketAddr>,
    /// The fake control process of the first entry.
    pub control: FakeControl,
    /// The first entry.
    pub entry: Entry,
    settings: RigSettings,
}

/// One entry process; killed when dropped.
pub struct Entry {
    /// Address for callers.
    pub address: SocketAddr,
    child: Child,
    log: PathBuf,
}

impl Entry {
    /// Process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process at once.
    pub fn kill(&mut self) {
        self.child.kill().expect("child can be waited for");
        self.child.wait().expect("child can be waited for");
    }

    /// Asks the process to shut down.
    pub fn terminate(&self) {
        let status = Command::new("kill").arg(self.pid().to_string()).status();
        assert!(status.expect("kill runs").success(), "the entry has already exited");
    }

    /// Log records of one event; the rig must keep the log.
    pub fn logged(&self, event: u64) -> Vec<Value> {
        let log = std::fs::read_to_string(&self.log).expect("the log is kept");
        let records = log.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok());
        records.filter(|record| record["event"] == event).collect()
    }

    /// Waits for the end of the process.
    pub fn wait(&mut self) -> ExitStatus {
        let start = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("child can be waited for") {
                return status;
            }
            assert!(start.elapsed() < EVENT_TIMEOUT, "the entry does not exit");
            std::thread::sleep(Duration::from_millis(10));
        }
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Rig {
    /// Starts the stand-ins, the fake control process and the entry, and waits until it is ready.
    pub fn start(settings: RigSettings) -> Self {
        let platform = free_address();
        let record = free_address();
        let engines: Vec<SocketAddr> = (0..settings.engines).map(|_| free_address()).collect();
        let services: Vec<SocketAddr> = (0..settings.services).map(|_| free_address()).collect();
        let standins = standin_settings(&settings, platform, record, &engines, &services);
        let deployment = StandinDeployment::start(&standins).expect("stand-ins start");
        let control = FakeControl::start(&settings, &engines, &services);
        let entry = start_entry("e1", &settings, platform, control.address);
        let rig = Self {
            recorder: deployment.recorder,
            engines,
            record,
            platform,
            control,
            entry,
            settings,
        };
        rig.wait_ready(rig.entry.address);
        rig
    }

    /// Starts another entry on the same stand-ins, with its own fake control process.
    pub fn start_entry(&self, name: &str) -> (FakeControl, Entry) {
        let control = self.control.sibling();
        let entry = start_entry(name, &self.settings, self.platform, control.address);
        self.wait_ready(entry.address);
        (control, entry)
    }

    fn wait_ready(&self, address: SocketAddr) {
        wait_until("the entry is ready", || caller::status(address, "/readyz") == Some(200));
    }

    /// Sets the faults of an endpoint, replacing earlier ones.
    pub fn set_endpoint_faults(&self, endpoint: &str, faults: &Value) {
        let faults: EndpointFaults =
            serde_json::from_value(faults.clone()).expect("faults are valid");
        post(self.record, &format!("/faults/{endpoint}"), &faults);
    }

    /// Sets the faults of the platform, replacing earlier ones.
    pub fn set_platform_faults(&self, faults: &Value) {
        let faults: PlatformFaults =
            serde_json::from_value(faults.clone()).expect("faults are valid");
        post(self.platform, "/faults", &faults);
    }

    /// Releases all operations held by the stand-ins.
    pub fn release_holds(&self) {
        post(self.record, "/release", &json!({}));
    }

    /// Records of the work that reached the endpoints.
    pub fn runs(&self) -> Vec<RunRecord> {
        let page: RunPage = caller::get_json(self.record, "/runs?after=0&limit=100000");
        page.runs
    }
}

fn post<T: Serialize>(address: SocketAddr, path: &str, value: &T) {
    let response = ureq::post(format!("http://{address}{path}")).send_json(value);
    assert!(response.is_ok(), "{path}: {response:?}");
}

/// Waits until `condition` holds.
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < EVENT_TIMEOUT, "timed out waiting until {what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// A free local address from the block of ports reserved by this process.
pub fn free_address() -> SocketAddr {
    static BLOCK: Mutex<Option<PortBlock>> = Mutex::new(None);
    let mut block = BLOCK.lock().expect("no test panics with the lock");
    let block =
        block.get_or_insert_with(|| PortBlock::reserve().expect("a block of ports is free"));
    let address = block.allocate_address().expect("the block has ports left");
    address.parse().expect("an address")
}

fn standin_settings(
    settings: &RigSettings,
    platform: SocketAddr,
    record: SocketAddr,
    engines: &[SocketAddr],
    services: &[SocketAddr],
) -> StandinSettings {
    let engines: Vec<Value> = engines
        .iter()
        .enumerate()
        .map(|(index, address)| {
            json!({
                "service": "models", "prefix": format!("engine{index}-"), "domains": ["a"],
                "region": "r", "first_port": address.port(), "count": 1, "models": [MODEL],
                "step_ms": settings.step_ms,
            })
        })
        .collect();
    let services: Vec<Value> = services
        .iter()
        .enumerate()
        .map(|(index, address)| {
            json!({
                "service": "ledger", "prefix": format!("ledger{index}-"), "domains": ["a"],
                "region": "r", "first_port": address.port(), "count": 1,
                "work_ms": settings.work_ms,
            })
        })
        .collect();
    let document = json!({
        "platform": platform.to_string(), "record": record.to_string(), "seed": 1,
        "engines": engines, "services": services,
    });
    serde_json::from_value(document).expect("settings are valid")
}

fn start_entry(
    name: &str,
    settings: &RigSettings,
    platform: SocketAddr,
    control: SocketAddr,
) -> Entry {
    static COUNT: AtomicU32 = AtomicU32::new(0);
    let address = free_address();
    let level = if settings.keep_log { "warning" } else { "error" };
    let level = std::env::var("AGATESTAIR_TEST_LOG").unwrap_or_else(|_| level.to_owned());
    let format = if settings.keep_log { "json" } else { "text" };
    let document = json!({
        "instance": {"name": name, "region": "r", "domain": "a"},
        "listen": address.to_string(),
        "control": control.to_string(),
        "platform": {"address": platform.to_string(), "timeout_ms": 500},
        "link": {"key": LINK_KEY},
        "log": {"level": level, "format": format},
        "services": [{"name": "models"}, {"name": "ledger"}],
        "answer_ms": settings.answer_ms,
        "patience_ms": settings.patience_ms,
        "stale_ms": settings.stale_ms,
        "max_body": 65_536,
        "disabled": settings.disabled,
    });
    let count = COUNT.fetch_add(1, Ordering::Relaxed);
    let file = format!("entry-{}-{count}.json", std::process::id());
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(file);
    std::fs::write(&path, document.to_string()).expect("temporary folder is writable");
    let log = path.with_extension("log");
    let stderr = if settings.keep_log {
        Stdio::from(std::fs::File::create(&log).expect("temporary folder is writable"))
    } else {
        Stdio::inherit()
    };
    let child = Command::new(env!("CARGO_BIN_EXE_agatestair-entry"))
        .arg("--config")
        .arg(&path)
        .stdin(Stdio::null())
        .stderr(stderr)
        .spawn()
        .expect("entry starts");
    Entry { address, child, log }
}
