//! Starts all stand-ins of one settings file in this process.

use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU32};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use agatestair_schema::platform::{InstanceKind, InstanceRecord, InstanceState};
use agatestair_schema::settings::{EngineSettings, PlainSettings, StandinSettings};

use crate::engine::{
    Command, EngineShared, KvStore, Reports, TokenTimes, Worker, WorkerSettings, engine_handler,
    first_report,
};
use crate::faults::FaultBox;
use crate::http::{Gate, serve};
use crate::plain::{PlainEndpoint, ServiceStore, plain_handler, plain_report};
use crate::platform::{Instances, Platform, PlatformOptions, WeightStore, platform_handler};
use crate::record_api::{FaultTarget, record_handler};
use crate::recorder::Recorder;

/// Stack of an engine's worker thread, in bytes.
const WORKER_STACK_BYTES: usize = 512 * 1024;
/// Lag of the load reports of plain services.
const PLAIN_REPORT_LAG: Duration = Duration::from_millis(200);

/// An address that cannot be listened on, or a thread that cannot be started.
#[derive(Debug)]
pub struct StartError {
    /// Address concerned.
    pub address: String,
    /// Cause given by the operating system.
    pub cause: io::Error,
}

impl std::fmt::Display for StartError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "cannot listen on {}: {}; choose a free address", self.address, self.cause)
    }
}

impl std::error::Error for StartError {}

/// All stand-ins of a deployment, listening.
pub struct StandinDeployment {
    /// Records of what they saw.
    pub recorder: Arc<Recorder>,
}

impl StandinDeployment {
    /// Starts the platform, all endpoints and the recorder's interface.
    ///
    /// # Errors
    ///
    /// [`StartError`] for the first address that cannot be listened on.
    pub fn start(settings: &StandinSettings) -> Result<Self, StartError> {
        let platform = parse(&settings.platform)?;
        let mut starter = Starter::new(settings, platform.ip());
        for (group, engines) in settings.engines.iter().enumerate() {
            starter.start_engines(engines, settings.seed.wrapping_add((group as u64) << 16))?;
        }
        for plain in &settings.services {
            starter.start_services(plain, settings.seed)?;
        }
        starter.start_platform(settings, platform)?;
        let recorder = starter.recorder.clone();
        if !settings.record.is_empty() {
            let handler = record_handler(recorder.clone(), Arc::new(starter.targets));
            let address = parse(&settings.record)?;
            serve(address, Arc::default(), handler).map_err(|cause| failed(address, cause))?;
        }
        Ok(Self { recorder })
    }
}

struct Starter {
    ip: IpAddr,
    recorder: Arc<Recorder>,
    kv_store: Arc<KvStore>,
    weights: Arc<WeightStore>,
    instances: Instances,
    targets: BTreeMap<String, FaultTarget>,
}

impl Starter {
    fn new(settings: &StandinSettings, ip: IpAddr) -> Self {
        Self {
            ip,
            recorder: Arc::default(),
            kv_store: Arc::default(),
            weights: Arc::new(WeightStore::new(settings.weights_s)),
            instances: Instances::default(),
            targets: BTreeMap::new(),
        }
    }

    fn start_engines(&mut self, group: &EngineSettings, seed: u64) -> Result<(), StartError> {
        for index in 0..group.count {
            let address = self.address(group.first_port, index);
            let name = format!("{}{}", group.prefix, index + 1);
            let domain = pick(&group.domains, index);
            let listed = self.listed(group.first_port, group.listed_port, index);
            let place = Place {
                name: &name,
                service: &group.service,
                region: &group.region,
                address: listed,
            };
            self.list(place, domain, InstanceKind::Engine);
            self.start_engine(group, name, address, seed.wrapping_add(u64::from(index)))?;
        }
        Ok(())
    }

    fn start_engine(
        &mut self,
        group: &EngineSettings,
        name: String,
        address: SocketAddr,
        seed: u64,
    ) -> Result<(), StartError> {
        let lag = Duration::from_millis(group.report_lag);
        let shared = Arc::new(EngineShared {
            reports: Reports::new(first_report(&name, group), lag),
            name: name.clone(),
            service: group.service.clone(),
            address: address.to_string(),
            block_tokens: group.block_tokens,
            faults: Arc::new(FaultBox::new(seed)),
            gate: Arc::default(),
            recorder: self.recorder.clone(),
            kv_store: self.kv_store.clone(),
        });
        let (commands, inbox) = channel();
        let worker = Worker::new(self.worker_settings(group), shared.clone(), inbox);
        thread::Builder::new()
            .name(name.clone())
            .stack_size(WORKER_STACK_BYTES)
            .spawn(move || worker.run())
            .map_err(|cause| failed(address, cause))?;
        let gate = shared.gate.clone();
        let target = FaultTarget {
            faults: shared.faults.clone(),
            gate: gate.clone(),
            crash: crash_engine(gate.clone(), Mutex::new(commands.clone())),
        };
        self.targets.insert(name, target);
        let handler = engine_handler(shared, commands);
        serve(address, gate, handler).map_err(|cause| failed(address, cause))
    }

    fn worker_settings(&self, group: &EngineSettings) -> WorkerSettings {
        let weights = self.weights.clone();
        WorkerSettings {
            times: TokenTimes::from(group),
            max_batch: group.max_batch.max(1) as usize,
            chunk_tokens: group.chunk_tokens.max(1),
            kv_tokens: group.kv_tokens,
            role_time: Duration::from_millis(group.role_ms),
            load_time: Duration::from_millis(group.load_ms),
            event_loss: group.event_loss,
            models: group.models.clone(),
            fenced: group.fenced,
            weights: Box::new(move |_model| weights.take()),
        }
    }

    fn start_services(&mut self, group: &PlainSettings, seed: u64) -> Result<(), StartError> {
        let store: Arc<ServiceStore> = Arc::default();
        for index in 0..group.count {
            let address = self.address(group.first_port, index);
            let name = format!("{}{}", group.prefix, index + 1);
            let domain = pick(&group.domains, index);
            let listed = self.listed(group.first_port, group.listed_port, index);
            let place = Place {
                name: &name,
                service: &group.service,
                region: &group.region,
                address: listed,
            };
            self.list(place, domain, InstanceKind::Service);
            let endpoint = Arc::new(PlainEndpoint {
                reports: Reports::new(plain_report(&name, 0), PLAIN_REPORT_LAG),
                name: name.clone(),
                service: group.service.clone(),
                address: address.to_string(),
                work: Duration::from_millis(group.work_ms),
                store: store.clone(),
                faults: Arc::new(FaultBox::new(seed.wrapping_add(u64::from(index)))),
                gate: Arc::default(),
                recorder: self.recorder.clone(),
                boots: AtomicU32::new(1),
                active: AtomicU32::new(0),
                draining: AtomicBool::new(false),
            });
            self.start_service(name, endpoint, address)?;
        }
        Ok(())
    }

    fn start_service(
        &mut self,
        name: String,
        endpoint: Arc<PlainEndpoint>,
        address: SocketAddr,
    ) -> Result<(), StartError> {
        let boot = endpoint.boot_name();
        self.recorder.note_boot(&name, &endpoint.service, &endpoint.address, &boot);
        let crashed = endpoint.clone();
        let target = FaultTarget {
            faults: endpoint.faults.clone(),
            gate: endpoint.gate.clone(),
            crash: Box::new(move |time| crashed.crash(time)),
        };
        self.targets.insert(name, target);
        serve(address, endpoint.gate.clone(), plain_handler(endpoint))
            .map_err(|cause| failed(address, cause))
    }

    fn start_platform(
        &mut self,
        settings: &StandinSettings,
        address: SocketAddr,
    ) -> Result<(), StartError> {
        for entry in &settings.entries {
            self.instances.insert(InstanceRecord {
                address: entry.address.clone(),
                boot: String::new(),
                control: Some(entry.control.clone()),
                domain: entry.domain.clone(),
                kind: InstanceKind::Entry,
                name: entry.name.clone(),
                region: entry.region.clone(),
                service: String::new(),
                state: InstanceState::Live,
            });
        }
        let platform = Arc::new(Platform::new(PlatformOptions {
            recorder: self.recorder.clone(),
            weights: self.weights.clone(),
            instances: std::mem::take(&mut self.instances),
            list_lag: Duration::from_millis(settings.list_lag),
        }));
        serve(address, Arc::default(), platform_handler(platform))
            .map_err(|cause| failed(address, cause))
    }

    fn address(&self, first_port: u16, index: u32) -> SocketAddr {
        let offset = u16::try_from(index).unwrap_or(u16::MAX);
        SocketAddr::new(self.ip, first_port.saturating_add(offset))
    }

    /// Address under which the platform lists an endpoint.
    fn listed(&self, first_port: u16, listed_port: u16, index: u32) -> SocketAddr {
        self.address(if listed_port == 0 { first_port } else { listed_port }, index)
    }

    fn list(&mut self, place: Place<'_>, domain: String, kind: InstanceKind) {
        self.instances.insert(InstanceRecord {
            address: place.address.to_string(),
            boot: String::new(),
            control: None,
            domain,
            kind,
            name: place.name.to_owned(),
            region: place.region.to_owned(),
            service: place.service.to_owned(),
            state: InstanceState::Live,
        });
    }
}

/// Where an endpoint stands.
#[derive(Clone, Copy)]
struct Place<'a> {
    name: &'a str,
    service: &'a str,
    region: &'a str,
    address: SocketAddr,
}

/// Closes the engine's connections at once, then has its worker lose everything.
fn crash_engine(
    gate: Arc<Gate>,
    commands: Mutex<std::sync::mpsc::Sender<Command>>,
) -> Box<dyn Fn(Duration) + Send + Sync> {
    Box::new(move |time| {
        gate.crash(time);
        if let Ok(commands) = commands.lock() {
            // The worker runs as long as the process.
            let _ = commands.send(Command::Crash(time));
        }
    })
}

fn pick(domains: &[String], index: u32) -> String {
    let count = domains.len().max(1);
    domains.get(index as usize % count).cloned().unwrap_or_default()
}

fn parse(address: &str) -> Result<SocketAddr, StartError> {
    address.parse().map_err(|_| StartError {
        address: address.to_owned(),
        cause: io::Error::new(io::ErrorKind::InvalidInput, "not an address of the form IP:port"),
    })
}

fn failed(address: SocketAddr, cause: io::Error) -> StartError {
    StartError { address: address.to_string(), cause }
}
