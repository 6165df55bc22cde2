//! A running deployment of real processes.

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
use crate::layout::DOMAINS;
use crate::lists::{parse_lists, write_lists};
use crate::options::TestbedOptions;
use crate::ports::{PortBlock, address};
use crate::settings_files::{AddressPlan, InstancePlan, write_settings};

/// Time between two looks at a process that is not ready yet.
const READY_POLL: Duration = Duration::from_millis(20);

static COUNT: AtomicU32 = AtomicU32::new(0);

/// The two processes of an entry instance.
pub struct Instance {
    /// Its addresses.
    pub plan: InstancePlan,
    /// Entry process.
    pub entry: ChildProcess,
    /// Control process.
    pub control: ChildProcess,
}

/// A running deployment; dropping it ends its processes and removes its folder.
pub struct Testbed {
    /// What it was started with.
    pub options: TestbedOptions,
    /// Its addresses.
    pub plan: AddressPlan,
    /// Stand-ins of the platform and the endpoints.
    pub standins: ChildProcess,
    /// Fault proxy.
    pub proxy: Option<ChildProcess>,
    /// Entry instances.
    pub instances: Vec<Instance>,
    /// Client of the control interfaces.
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
    /// [`TestbedError`]; what was started is ended.
    pub fn start(options: TestbedOptions) -> Result<Self, TestbedError> {
        let mut ports = PortBlock::reserve()?;
        let plan = AddressPlan::new(&options, &mut ports)?;
        let folder = make_folder()?;
        let standins = start_process(
            &folder,
            "agatestair-standins",
            "standins",
            &["serve"],
            &plan.standin_settings(&options),
        )?;
        let mut testbed = Self {
            options,
            plan,
            standins,
            proxy: None,
            instances: Vec::new(),
            client: Client::default(),
            folder,
            keep_folder: std::env::var_os("AGATESTAIR_KEEP").is_some(),
            _ports: ports,
        };
        testbed.start_others()?;
        Ok(testbed)
    }

    fn start_others(&mut self) -> Result<(), TestbedError> {
        let (platform, recorder) = (self.plan.platform.clone(), self.plan.recorder.clone());
        self.wait_healthy(&self.standins, &platform, "/healthz")?;
        self.wait_healthy(&self.standins, &recorder, "/healthz")?;
        if self.options.proxied {
            let settings = self.plan.proxy_settings(&self.options.layout);
            let proxy =
                start_process(&self.folder, "agatestair-standins", "proxy", &["proxy"], &settings)?;
            self.wait_healthy(&proxy, &self.plan.proxy, "/healthz")?;
            self.proxy = Some(proxy);
        }
        self.write_lists(self.options.layout.plans, self.options.layout.allowances)?;
        for index in 0..self.plan.instances.len() {
            let instance = self.start_instance(index)?;
            self.instances.push(instance);
        }
        self.wait_ready()?;
        write_settings(&self.folder, "ctl", &self.plan.ctl_settings())?;
        Ok(())
    }

    fn start_instance(&self, index: usize) -> Result<Instance, TestbedError> {
        let plan = self.plan.instances[index].clone();
        let control = self.start_control(&plan)?;
        let entry = self.start_entry(&plan)?;
        Ok(Instance { plan, entry, control })
    }

    fn start_control(&self, plan: &InstancePlan) -> Result<ChildProcess, TestbedError> {
        let settings = self.plan.control_settings(&self.options, plan);
        let name = format!("{}-control", plan.name);
        start_process(&self.folder, "agatestair-control", &name, &[], &settings)
    }

    fn start_entry(&self, plan: &InstancePlan) -> Result<ChildProcess, TestbedError> {
        let settings = self.plan.entry_settings(&self.options, plan);
        start_process(&self.folder, "agatestair-entry", &plan.name, &[], &settings)
    }

    /// Ends the entry process of an instance at once and starts it anew.
    ///
    /// # Errors
    ///
    /// [`TestbedError`] if it cannot be started or does not become ready.
    pub fn restart_entry(&mut self, index: usize) -> Result<(), TestbedError> {
        self.spawn_entry(index)?;
        let instance = &self.instances[index];
        self.wait_healthy(&instance.entry, &instance.plan.listen, "/readyz")
    }

    /// Ends the control process of an instance at once and starts it anew.
    ///
    /// # Errors
    ///
    /// [`TestbedError`] if it cannot be started or does not become ready.
    pub fn restart_control(&mut self, index: usize) -> Result<(), TestbedError> {
        self.spawn_control(index)?;
        let instance = &self.instances[index];
        self.wait_healthy(&instance.control, &instance.plan.admin, "/readyz")
    }

    /// Ends the control process of an instance and starts it anew without waiting for it.
    ///
    /// # Errors
    ///
    /// [`TestbedError`] if it cannot be started.
    pub fn spawn_control(&mut self, index: usize) -> Result<(), TestbedError> {
        self.instances[index].control.kill();
        let plan = self.instances[index].plan.clone();
        self.instances[index].control = self.start_control(&plan)?;
        Ok(())
    }

    /// Ends the entry process of an instance and starts it anew without waiting for it.
    ///
    /// # Errors
    ///
    /// [`TestbedError`] if it cannot be started.
    pub fn spawn_entry(&mut self, index: usize) -> Result<(), TestbedError> {
        self.instances[index].entry.kill();
        let plan = self.instances[index].plan.clone();
        self.instances[index].entry = self.start_entry(&plan)?;
        Ok(())
    }

    /// Waits until all entry instances are ready.
    ///
    /// # Errors
    ///
    /// [`TestbedError::NotReady`] for the first that is not in time.
    pub fn wait_ready(&self) -> Result<(), TestbedError> {
        for instance in &self.instances {
            let plan = &instance.plan;
            self.wait_healthy(&instance.control, &plan.admin, "/readyz")?;
            self.wait_healthy(&instance.entry, &plan.listen, "/readyz")?;
        }
        Ok(())
    }

    /// Waits until a process answers with success; fails at once when it has ended.
    fn wait_healthy(
        &self,
        process: &ChildProcess,
        address: &str,
        path: &str,
    ) -> Result<(), TestbedError> {
        let deadline = Instant::now() + self.options.ready_time;
        while Instant::now() < deadline && !process.has_ended() {
            if self.client.status(address, path) == Some(200) {
                return Ok(());
            }
            thread::sleep(READY_POLL);
        }
        let name = format!("{} ({address}{path})", process.command().name);
        Err(TestbedError::NotReady { name, log: process.log_tail() })
    }

    /// Writes the two lists; returns the new revision.
    ///
    /// # Errors
    ///
    /// [`TestbedError`] for faulty lists or a platform that cannot be reached.
    pub fn write_lists(&self, plans: &str, allowances: &str) -> Result<u64, TestbedError> {
        let (plans, allowances) = parse_lists(plans, allowances)?;
        write_lists(&self.client, &self.plan.platform, plans, allowances)
    }

    /// Replaces the faults of the platform.
    ///
    /// # Errors
    ///
    /// [`TestbedError::Request`] if the platform cannot be reached.
    pub fn fault_platform(&self, faults: &PlatformFaults) -> Result<(), TestbedError> {
        self.client.post(&self.plan.platform, "/faults", faults).map(drop)
    }

    /// Replaces the faults of an endpoint.
    ///
    /// # Errors
    ///
    /// [`TestbedError::Request`] if there is no such endpoint.
    pub fn fault_endpoint(&self, name: &str, faults: &EndpointFaults) -> Result<(), TestbedError> {
        self.client.post(&self.plan.recorder, &format!("/faults/{name}"), faults).map(drop)
    }

    /// Replaces the faults of a route of the proxy.
    ///
    /// # Errors
    ///
    /// [`TestbedError::Request`] if there is no such route or no proxy.
    pub fn fault_route(&self, name: &str, faults: &ProxyFaults) -> Result<(), TestbedError> {
        self.client.post(&self.plan.proxy, &format!("/routes/{name}"), faults).map(drop)
    }

    /// Lets everything held by the stand-ins go on.
    ///
    /// # Errors
    ///
    /// [`TestbedError::Request`] if the recorder cannot be reached.
    pub fn release(&self) -> Result<(), TestbedError> {
        self.client.post(&self.plan.recorder, "/release", &()).map(drop)
    }

    /// Has the platform list an instance in another state.
    ///
    /// # Errors
    ///
    /// [`TestbedError::Request`] if the platform cannot be reached.
    pub fn list_instance(&self, index: usize, state: InstanceState) -> Result<(), TestbedError> {
        let plan = &self.plan.instances[index];
        let record = InstanceRecord {
            address: plan.address.clone(),
            boot: String::new(),
            control: Some(plan.control.clone()),
            domain: plan.domain.clone(),
            kind: InstanceKind::Entry,
            name: plan.name.clone(),
            region: self.options.layout.region.to_owned(),
            service: String::new(),
            state,
        };
        self.client.put(&self.plan.platform, &format!("/instances/{}", plan.name), &record)
    }

    /// Folder of the settings and logs.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Keeps the folder when the deployment ends.
    pub fn keep_folder(&mut self) {
        self.keep_folder = true;
    }

    /// Names of the engines.
    pub fn engine_names(&self) -> Vec<String> {
        let layout = &self.options.layout;
        (1..=layout.engines).map(|number| format!("{}-{number}", layout.models_service)).collect()
    }

    /// Names of the plain service's endpoints.
    pub fn plain_names(&self) -> Vec<String> {
        let layout = &self.options.layout;
        (1..=layout.plain).map(|number| format!("{}-{number}", layout.plain_service)).collect()
    }

    /// Description of the deployment for other tools; the lists are written beside the settings.
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
            policy: placement(self.options.policy),
            entries: self.instances.iter().map(describe_instance).collect(),
            platform: self.plan.platform.clone(),
            recorder: self.plan.recorder.clone(),
            proxy: self.plan.proxy.clone(),
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

    /// Endpoints with their addresses.
    pub fn describe_endpoints(&self) -> Vec<EndpointPlace> {
        let layout = &self.options.layout;
        let place = |name: String, service: &str, kind, first: u16, index: usize| EndpointPlace {
            name,
            service: service.to_owned(),
            kind,
            address: address(first + u16::try_from(index).unwrap_or(0)),
            control: self.plan.recorder.clone(),
            domain: layout.domains[index % DOMAINS].to_owned(),
        };
        let engines = self.engine_names().into_iter().enumerate().map(|(index, name)| {
            place(name, layout.models_service, PlaceKind::Engine, self.plan.engines, index)
        });
        let plain = self.plain_names().into_iter().enumerate().map(|(index, name)| {
            place(name, layout.plain_service, PlaceKind::Service, self.plan.plain, index)
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
            eprintln!("logs and settings are kept in {}", self.folder.display());
        } else {
            // A folder that cannot be removed does no harm.
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

fn describe_instance(instance: &Instance) -> EntryPlace {
    EntryPlace {
        name: instance.plan.name.clone(),
        address: instance.plan.address.clone(),
        admin: instance.plan.admin.clone(),
        control: instance.plan.control.clone(),
        domain: instance.plan.domain.clone(),
        entry_pid: instance.entry.id(),
        control_pid: instance.control.id(),
    }
}

fn placement(policy: PolicyName) -> PlacementPolicy {
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

fn make_folder() -> Result<PathBuf, TestbedError> {
    let count = COUNT.fetch_add(1, Ordering::Relaxed);
    let name = format!("agatestair-testbed-{}-{count}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    fs::create_dir_all(&folder)
        .map_err(|cause| TestbedError::io(folder.display().to_string(), cause))?;
    Ok(folder)
}
