//! Starts and controls a deployment of real processes.

use std::fs;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use agatestair_schema::platform::{InstanceKind, InstanceRecord, InstanceState, PlatformFaults};
use agatestair_schema::settings::PolicyName;
use agatestair_schema::standins::{EndpointFaults, ProxyFaults};
use agatestair_schema::testbed::{
    CapacityHint, CustomerKey, Deployment, EndpointPlace, EntryPlace, PlaceKind, PlacementPolicy,
};

use crate::child::{ChildCommand, ChildProcess, binary_folder};
use crate::client::Client;
use crate::error::TestbedError;
use crate::layout::DOMAIN_COUNT;
use crate::lists::{parse_lists, write_lists};
use crate::options::TestbedOptions;
use crate::ports::{PortBlock, address};
use crate::settings_files::{DeploymentAddresses, InstanceAddresses, write_settings};

/// Polling interval while waiting for a process to become ready.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);

static FOLDER_COUNT: AtomicU32 = AtomicU32::new(0);

/// The two processes of an entry instance.
pub struct Instance {
    /// Name and addresses.
    pub addresses: InstanceAddresses,
    /// The entry process.
    pub entry: ChildProcess,
    /// The control process.
    pub control: ChildProcess,
}

/// A running deployment; dropping it kills its processes and removes its folder.
pub struct Testbed {
    /// Options that it was started with.
    pub options: TestbedOptions,
    /// Addresses of all processes.
    pub addresses: DeploymentAddresses,
    /// Process with the stand-ins of the platform and the endpoints.
    pub standins: ChildProcess,
    /// Fault proxy, if connections are routed through it.
    pub proxy: Option<ChildProcess>,
    /// Entry instances with their processes.
    pub instances: Vec<Instance>,
    /// HTTP client for the control interfaces.
    pub client: Client,
    folder: PathBuf,
    keep_folder: bool,
    _ports: PortBlock,
}

impl Testbed {
    /// Starts a deployment and waits until all of its processes are ready.
    ///
    /// # Errors
    ///
    /// [`TestbedError`] if a process cannot be started or does not become ready; all processes are
    /// then killed.
    pub fn start(options: TestbedOptions) -> Result<Self, TestbedError> {
        let mut ports = PortBlock::reserve()?;
        let addresses = DeploymentAddresses::new(&options, &mut ports)?;
        let folder = create_folder()?;
        let standins = start_process(
            &folder,
            "agatestair-standins",
            "standins",
            &["serve"],
            &addresses.standin_settings(&options),
        )?;
        let mut testbed = Self {
            options,
            addresses,
            standins,
            proxy: None,
            instances: Vec::new(),
            client: Client::default(),
            folder,
            keep_folder: std::env::var_os("AGATESTAIR_KEEP").is_some(),
            _ports: ports,
        };
        testbed.start_remaining()?;
        Ok(testbed)
    }

    fn start_remaining(&mut self) -> Result<(), TestbedError> {
        let (platform, recorder) =
            (self.addresses.platform.clone(), self.addresses.recorder.clone());
        self.wait_healthy(&self.standins, &platform, "/healthz")?;
        self.wait_healthy(&self.standins, &recorder, "/healthz")?;
        if self.options.proxied {
            let settings = self.addresses.proxy_settings(&self.options.layout);
            let proxy =
                start_process(&self.folder, "agatestair-standins", "proxy", &["proxy"], &settings)?;
            self.wait_healthy(&proxy, &self.addresses.proxy, "/healthz")?;
            self.proxy = Some(proxy);
        }
        self.write_lists(self.options.layout.plans, self.options.layout.allowances)?;
        for index in 0..self.addresses.instances.len() {
            let instance = self.start_instance(index)?;
            self.instances.push(instance);
        }
        self.wait_ready()?;
        write_settings(&self.folder, "ctl", &self.addresses.ctl_settings())?;
        Ok(())
    }

    fn start_instance(&self, index: usize) -> Result<Instance, TestbedError> {
        let addresses = self.addresses.instances[index].clone();
        let control = self.start_control(&addresses)?;
        let entry = self.start_entry(&addresses)?;
        Ok(Instance { addresses, entry, control })
    }

    fn start_control(&self, addresses: &InstanceAddresses) -> Result<ChildProcess, TestbedError> {
        let settings = self.addresses.control_settings(&self.options, addresses);
        let name = format!("{}-control", addresses.name);
        start_process(&self.folder, "agatestair-control", &name, &[], &settings)
    }

    fn start_entry(&self, addresses: &InstanceAddresses) -> Result<ChildProcess, TestbedError> {
        let settings = self.addresses.entry_settings(&self.options, addresses);
        start_process(&self.folder, "agatestair-entry", &addresses.name, &[], &settings)
    }

    /// Kills the entry process of an instance, starts it again and waits until it is ready.
    ///
    /// # Errors
    ///
    /// [`TestbedError`] if it cannot be started or does not become ready.
    pub fn restart_entry(&mut self, index: usize) -> Result<(), TestbedError> {
        self.spawn_entry(index)?;
        let instance = &self.instances[index];
        self.wait_healthy(&instance.entry, &instance.addresses.listen, "/readyz")
    }

    /// Kills the control process of an instance, starts it again and waits until it is ready.
    ///
    /// # Errors
    ///
    /// [`TestbedError`] if it cannot be started or does not become ready.
    pub fn restart_control(&mut self, index: usize) -> Result<(), TestbedError> {
        self.spawn_control(index)?;
        let instance = &self.instances[index];
        self.wait_healthy(&instance.control, &instance.addresses.admin, "/readyz")
    }

    /// Kills the control process of an instance and starts it again without waiting for readiness.
    ///
    /// # Errors
    ///
    /// [`TestbedError`] if it cannot be started.
    pub fn spawn_control(&mut self, index: usize) -> Result<(), TestbedError> {
        self.instances[index].control.kill();
        let addresses = self.instances[index].addresses.clone();
        self.instances[index].control = self.start_control(&addresses)?;
        Ok(())
    }

    /// Kills the entry process of an instance and starts it again without waiting for readiness.
    ///
    /// # Errors
    ///
    /// [`TestbedError`] if it cannot be started.
    pub fn spawn_entry(&mut self, index: usize) -> Result<(), TestbedError> {
        self.instances[index].entry.kill();
        let addresses = self.instances[index].addresses.clone();
        self.instances[index].entry = self.start_entry(&addresses)?;
        Ok(())
    }

    /// Waits until both processes of every entry instance are ready.
    ///
    /// # Errors
    ///
    /// [`TestbedError::NotReady`] for the first process that is not ready in time.
    pub fn wait_ready(&self) -> Result<(), TestbedError> {
        for instance in &self.instances {
            let addresses = &instance.addresses;
            self.wait_healthy(&instance.control, &addresses.admin, "/readyz")?;
            self.wait_healthy(&instance.entry, &addresses.listen, "/readyz")?;
        }
        Ok(())
    }

    /// Polls a path of a process until it responds with status 200; fails at once if the process
    /// has exited.
    fn wait_healthy(
        &self,
        process: &ChildProcess,
        address: &str,
        path: &str,
    ) -> Result<(), TestbedError> {
        let deadline = Instant::now() + self.options.ready_timeout;
        while Instant::now() < deadline && !process.has_ended() {
            if self.client.status(address, path) == Some(200) {
                return Ok(());
            }
            thread::sleep(READY_POLL_INTERVAL);
        }
        let name = format!("{} ({address}{path})", process.command().name);
        Err(TestbedError::NotReady { name, log: process.log_tail() })
    }

    /// Commits the plans and allowances lists; returns the new revision.
    ///
    /// # Errors
    ///
    /// [`TestbedError`] if the lists are invalid, the platform cannot be reached, or another
    /// operator committed a revision first.
    pub fn write_lists(&self, plans: &str, allowances: &str) -> Result<u64, TestbedError> {
        let (plans, allowances) = parse_lists(plans, allowances)?;
        write_lists(&self.client, &self.addresses.platform, plans, allowances)
    }

    /// Sets the faults of the platform, replacing earlier ones.
    ///
    /// # Errors
    ///
    /// [`TestbedError::Request`] if the platform cannot be reached.
    pub fn set_platform_faults(&self, faults: &PlatformFaults) -> Result<(), TestbedError> {
        self.client.post(&self.addresses.platform, "/faults", faults).map(drop)
    }

    /// Sets the faults of an endpoint, replacing earlier ones.
    ///
    /// # Errors
    ///
    /// [`TestbedError::Request`] if the endpoint does not exist.
    pub fn set_endpoint_faults(
        &self,
        name: &str,
        faults: &EndpointFaults,
    ) -> Result<(), TestbedError> {
        self.client.post(&self.addresses.recorder, &format!("/faults/{name}"), faults).map(drop)
    }

    /// Sets the faults of a route of the fault proxy, replacing earlier ones.
    ///
    /// # Errors
    ///
    /// [`TestbedError::Request`] if the route does not exist or there is no proxy.
    pub fn set_route_faults(&self, name: &str, faults: &ProxyFaults) -> Result<(), TestbedError> {
        self.client.post(&self.addresses.proxy, &format!("/routes/{name}"), faults).map(drop)
    }

    /// Releases all operations held by the stand-ins.
    ///
    /// # Errors
    ///
    /// [`TestbedError::Request`] if the recorder cannot be reached.
    pub fn release_holds(&self) -> Result<(), TestbedError> {
        self.client.post(&self.addresses.recorder, "/release", &()).map(drop)
    }

    /// Sets the state in which the platform lists an instance.
    ///
    /// # Errors
    ///
    /// [`TestbedError::Request`] if the platform cannot be reached.
    pub fn set_instance_state(
        &self,
        index: usize,
        state: InstanceState,
    ) -> Result<(), TestbedError> {
        let addresses = &self.addresses.instances[index];
        let record = InstanceRecord {
            address: addresses.address.clone(),
            boot: String::new(),
            control: Some(addresses.control.clone()),
            domain: addresses.domain.clone(),
            kind: InstanceKind::Entry,
            name: addresses.name.clone(),
            region: self.options.layout.region.to_owned(),
            service: String::new(),
            state,
        };
        self.client.put(
            &self.addresses.platform,
            &format!("/instances/{}", addresses.name),
            &record,
        )
    }

    /// Folder with the settings and logs of the processes.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Keeps the folder when the deployment is dropped.
    pub fn keep_folder(&mut self) {
        self.keep_folder = true;
    }

    /// Names of all engines.
    pub fn engine_names(&self) -> Vec<String> {
        let layout = &self.options.layout;
        (1..=layout.engines).map(|number| format!("{}-{number}", layout.models_service)).collect()
    }

    /// Names of all endpoints of the plain service.
    pub fn plain_names(&self) -> Vec<String> {
        let layout = &self.options.layout;
        (1..=layout.plain).map(|number| format!("{}-{number}", layout.plain_service)).collect()
    }

    /// Describes the deployment for other tools, and writes the lists to files beside the settings.
    ///
    /// # Errors
    ///
    /// [`TestbedError::Io`] if the lists cannot be written.
    pub fn describe(&self) -> Result<Deployment, TestbedError> {
        let layout = &self.options.layout;
        let customers = layout.customers.iter().map(|customer| CustomerKey {
            name: customer.name.to_owned(),
            plan: customer.plan.to_owned(),
            key: customer.key(),
        });
        let speed = layout.speed;
        Ok(Deployment {
            name: layout.name.to_owned(),
            policy: placement_policy(self.options.policy),
            entries: self.instances.iter().map(describe_instance).collect(),
            platform: self.addresses.platform.clone(),
            recorder: self.addresses.recorder.clone(),
            proxy: self.addresses.proxy.clone(),
            endpoints: self.describe_endpoints(),
            customers: customers.collect(),
            models: layout.models.map(str::to_owned).to_vec(),
            capacity: vec![CapacityHint {
                service: layout.models_service.to_owned(),
                engines: layout.engines,
                prefill_us: speed.prefill_us,
                step_ms: speed.step_ms,
                sequence_us: speed.sequence_us,
                max_batch: speed.max_batch,
            }],
            plans: self.write_text("plans.jsonc", layout.plans)?,
            allowances: self.write_text("allowances.jsonc", layout.allowances)?,
            ctl: self.folder.join("ctl.jsonc").display().to_string(),
        })
    }

    fn write_text(&self, name: &str, text: &str) -> Result<String, TestbedError> {
        let path = self.folder.join(name);
        fs::write(&path, text).map_err(|cause| TestbedError::io(name, cause))?;
        Ok(path.display().to_string())
    }

    /// Describes all endpoints with their addresses and failure domains.
    pub fn describe_endpoints(&self) -> Vec<EndpointPlace> {
        let layout = &self.options.layout;
        let describe =
            |name: String, service: &str, kind, first: u16, index: usize| EndpointPlace {
                name,
                service: service.to_owned(),
                kind,
                address: address(first + u16::try_from(index).unwrap_or(0)),
                control: self.addresses.recorder.clone(),
                domain: layout.domains[index % DOMAIN_COUNT].to_owned(),
            };
        let engines = self.engine_names().into_iter().enumerate().map(|(index, name)| {
            describe(name, layout.models_service, PlaceKind::Engine, self.addresses.engines, index)
        });
        let plain = self.plain_names().into_iter().enumerate().map(|(index, name)| {
            describe(name, layout.plain_service, PlaceKind::Service, self.addresses.plain, index)
        });
        engines.chain(plain).collect()
    }
}

impl Drop for Testbed {
    fn drop(&mut self) {
        for instance in &self.instances {
            instance.entry.kill();
            instance.control.kill();
        }
        if let Some(proxy) = &self.proxy {
            proxy.kill();
        }
        self.standins.kill();
        if self.keep_folder || thread::panicking() {
            eprintln!("kept logs and settings in {}", self.folder.display());
        } else {
            // A leftover temporary folder does no harm.
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

fn describe_instance(instance: &Instance) -> EntryPlace {
    EntryPlace {
        name: instance.addresses.name.clone(),
        address: instance.addresses.address.clone(),
        admin: instance.addresses.admin.clone(),
        control: instance.addresses.control.clone(),
        domain: instance.addresses.domain.clone(),
        entry_pid: instance.entry.id(),
        control_pid: instance.control.id(),
    }
}

fn placement_policy(policy: PolicyName) -> PlacementPolicy {
    match policy {
        PolicyName::Own => PlacementPolicy::Own,
        PolicyName::RoundRobin => PlacementPolicy::RoundRobin,
        PolicyName::LeastReported => PlacementPolicy::LeastReported,
    }
}

fn start_process<T: serde::Serialize>(
    folder: &Path,
    binary: &str,
    name: &str,
    args: &[&str],
    settings: &T,
) -> Result<ChildProcess, TestbedError> {
    let path = write_settings(folder, name, settings)?;
    let mut args: Vec<String> = args.iter().map(|arg| (*arg).to_owned()).collect();
    args.extend(["--config".to_owned(), path.display().to_string()]);
    ChildProcess::start(ChildCommand {
        name: name.to_owned(),
        program: binary_folder()?.join(binary),
        args,
        folder: folder.to_owned(),
        logs_output: false,
    })
}

fn create_folder() -> Result<PathBuf, TestbedError> {
    let number = FOLDER_COUNT.fetch_add(1, Ordering::Relaxed);
    let name = format!("agatestair-testbed-{}-{number}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    fs::create_dir_all(&folder)
        .map_err(|cause| TestbedError::io(folder.display().to_string(), cause))?;
    Ok(folder)
}
