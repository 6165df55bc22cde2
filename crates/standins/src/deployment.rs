//! Starts all stand-ins described by one settings file.

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
use crate::faults::FaultInjector;
use crate::http::{ListenerFaults, serve};
use crate::plain::{PlainEndpoint, ServiceStore, plain_handler, plain_report};
use crate::platform::{Instances, Platform, PlatformOptions, WeightStore, platform_handler};
use crate::record_api::{FaultTarget, record_handler};
use crate::recorder::Recorder;

/// Stack size of an engine's worker thread in bytes.
const WORKER_STACK_BYTES: usize = 512 * 1024;
/// Age of the load reports that plain services serve.
const PLAIN_REPORT_LAG: Duration = Duration::from_millis(200);

/// Invalid address, failure to listen on it, or failure to start a thread for it.
#[derive(Debug)]
pub struct StartError {
    /// Address of the stand-in that failed to start.
    pub address: String,
    /// Parse error, or the error of the operating system.
    pub cause: io::Error,
}

impl std::fmt::Display for StartError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "cannot listen on {}: {}; choose a free address", self.address, self.cause)
    }
}

impl std::error::Error for StartError {}

/// The running stand-ins of a deployment.
pub struct StandinDeployment {
    /// Records of all stand-ins.
    pub recorder: Arc<Recorder>,
}

impl StandinDeployment {
    /// Starts the platform, all endpoints and the recorder's API.
    ///
    /// # Errors
    ///
    /// [`StartError`] of the first stand-in that cannot be started.
    pub fn start(settings: &StandinSettings) -> Result<Self, StartError> {
        let platform = parse_address(&settings.platform)?;
        let mut launcher = Launcher::new(settings, platform.ip());
        for (group, engines) in settings.engines.iter().enumerate() {
            launcher.start_engines(engines, settings.seed.wrapping_add((group as u64) << 16))?;
        }
        for plain in &settings.services {
            launcher.start_services(plain, settings.seed)?;
        }
        launcher.start_platform(settings, platform)?;
        let recorder = launcher.recorder.clone();
        if !settings.record.is_empty() {
            let handler = record_handler(recorder.clone(), Arc::new(launcher.targets));
            let address = parse_address(&settings.record)?;
            serve(address, Arc::default(), handler).map_err(|cause| start_error(address, cause))?;
        }
        Ok(Self { recorder })
    }
}

struct Launcher {
    ip: IpAddr,
    recorder: Arc<Recorder>,
    kv_store: Arc<KvStore>,
    weights: Arc<WeightStore>,
    instances: Instances,
    targets: BTreeMap<String, FaultTarget>,
}

impl Launcher {
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
            let domain = pick_domain(&group.domains, index);
            let listed = self.listed_address(group.first_port, group.listed_port, index);
            let listing = Listing {
                name: &name,
                service: &group.service,
                region: &group.region,
                address: listed,
            };
            self.list_instance(listing, domain, InstanceKind::Engine);
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
            faults: Arc::new(FaultInjector::new(seed)),
            listener_faults: Arc::default(),
            recorder: self.recorder.clone(),
            kv_store: self.kv_store.clone(),
        });
        let (commands, receiver) = channel();
        let worker = Worker::new(self.worker_settings(group), shared.clone(), receiver);
        thread::Builder::new()
            .name(name.clone())
            .stack_size(WORKER_STACK_BYTES)
            .spawn(move || worker.run())
            .map_err(|cause| start_error(address, cause))?;
        let listener_faults = shared.listener_faults.clone();
        let target = FaultTarget {
            faults: shared.faults.clone(),
            listener_faults: listener_faults.clone(),
            crash: crash_engine(listener_faults.clone(), Mutex::new(commands.clone())),
        };
        self.targets.insert(name, target);
        let handler = engine_handler(shared, commands);
        serve(address, listener_faults, handler).map_err(|cause| start_error(address, cause))
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
            weights: Box::new(move |_model| weights.try_acquire()),
        }
    }

    fn start_services(&mut self, group: &PlainSettings, seed: u64) -> Result<(), StartError> {
        let store: Arc<ServiceStore> = Arc::default();
        for index in 0..group.count {
            let address = self.address(group.first_port, index);
            let name = format!("{}{}", group.prefix, index + 1);
            let domain = pick_domain(&group.domains, index);
            let listed = self.listed_address(group.first_port, group.listed_port, index);
            let listing = Listing {
                name: &name,
                service: &group.service,
                region: &group.region,
                address: listed,
            };
            self.list_instance(listing, domain, InstanceKind::Service);
            let endpoint = Arc::new(PlainEndpoint {
                reports: Reports::new(plain_report(&name, 0), PLAIN_REPORT_LAG),
                name: name.clone(),
                service: group.service.clone(),
                address: address.to_string(),
                work: Duration::from_millis(group.work_ms),
                store: store.clone(),
                faults: Arc::new(FaultInjector::new(seed.wrapping_add(u64::from(index)))),
                listener_faults: Arc::default(),
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
        self.recorder.record_boot(&name, &endpoint.service, &endpoint.address, &boot);
        let crashing = endpoint.clone();
        let target = FaultTarget {
            faults: endpoint.faults.clone(),
            listener_faults: endpoint.listener_faults.clone(),
            crash: Box::new(move |time| crashing.crash(time)),
        };
        self.targets.insert(name, target);
        serve(address, endpoint.listener_faults.clone(), plain_handler(endpoint))
            .map_err(|cause| start_error(address, cause))
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
            .map_err(|cause| start_error(address, cause))
    }

    fn address(&self, first_port: u16, index: u32) -> SocketAddr {
        let offset = u16::try_from(index).unwrap_or(u16::MAX);
        SocketAddr::new(self.ip, first_port.saturating_add(offset))
    }

    /// Address of an endpoint in the platform's instance list.
    fn listed_address(&self, first_port: u16, listed_port: u16, index: u32) -> SocketAddr {
        self.address(if listed_port == 0 { first_port } else { listed_port }, index)
    }

    fn list_instance(&mut self, listing: Listing<'_>, domain: String, kind: InstanceKind) {
        self.instances.insert(InstanceRecord {
            address: listing.address.to_string(),
            boot: String::new(),
            control: None,
            domain,
            kind,
            name: listing.name.to_owned(),
            region: listing.region.to_owned(),
            service: listing.service.to_owned(),
            state: InstanceState::Live,
        });
    }
}

/// Fields of an endpoint's record in the instance list.
#[derive(Clone, Copy)]
struct Listing<'a> {
    name: &'a str,
    service: &'a str,
    region: &'a str,
    address: SocketAddr,
}

/// Returns a function that closes the engine's connections and makes its worker drop its state.
fn crash_engine(
    listener_faults: Arc<ListenerFaults>,
    commands: Mutex<std::sync::mpsc::Sender<Command>>,
) -> Box<dyn Fn(Duration) + Send + Sync> {
    Box::new(move |time| {
        listener_faults.crash(time);
        if let Ok(commands) = commands.lock() {
            // Cannot fail: the worker runs until the process exits.
            let _ = commands.send(Command::Crash(time));
        }
    })
}

fn pick_domain(domains: &[String], index: u32) -> String {
    let count = domains.len().max(1);
    domains.get(index as usize % count).cloned().unwrap_or_default()
}

fn parse_address(address: &str) -> Result<SocketAddr, StartError> {
    address.parse().map_err(|_| StartError {
        address: address.to_owned(),
        cause: io::Error::new(io::ErrorKind::InvalidInput, "not an address of the form IP:port"),
    })
}

fn start_error(address: SocketAddr, cause: io::Error) -> StartError {
    StartError { address: address.to_string(), cause }
}
