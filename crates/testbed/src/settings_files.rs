//! Addresses and settings files of a deployment's processes.

use std::fs;
use std::path::{Path, PathBuf};

use agatestair_schema::settings::{
    ControlSettings, CtlSettings, EntrySettings, InstanceRecord, InstanceSettings, LinkSettings,
    LogFormat, LogLevel, LogSettings, PlatformSettings, ProxySettings, RouteSettings,
    ServiceSettings, StandinSettings,
};
use serde::Serialize;

use crate::error::TestbedError;
use crate::layout::{DOMAIN_COUNT, Layout};
use crate::options::TestbedOptions;
use crate::ports::{PortBlock, address};

/// Key that authenticates links in test deployments.
const LINK_KEY: &str = "test-link-key-of-the-testbed-0001";

/// Addresses of one entry instance.
#[derive(Clone, Debug)]
pub struct InstanceAddresses {
    /// Name of the instance.
    pub name: String,
    /// Failure domain.
    pub domain: String,
    /// Address that the entry listens on.
    pub listen: String,
    /// Address that callers use: that of the fault proxy if there is one.
    pub address: String,
    /// Address that the control process listens on for links.
    pub control_listen: String,
    /// Address that other instances connect to for links.
    pub control: String,
    /// Address of the operators' interface of the control process.
    pub admin: String,
    /// Address at which this instance reaches the platform.
    pub platform: String,
}

/// Addresses of a deployment.
#[derive(Clone, Debug)]
pub struct DeploymentAddresses {
    /// Address of the platform.
    pub platform: String,
    /// Address of the recorder.
    pub recorder: String,
    /// Address of the fault proxy's control interface; empty for none.
    pub proxy: String,
    /// First port of the engines.
    pub engines: u16,
    /// First port of the engines in the platform's list; 0 if the same as `engines`.
    pub engines_listed: u16,
    /// First port of the plain service's endpoints.
    pub plain: u16,
    /// First port of the plain service in the platform's list; 0 if the same as `plain`.
    pub plain_listed: u16,
    /// Addresses of the entry instances.
    pub instances: Vec<InstanceAddresses>,
}

impl DeploymentAddresses {
    /// Allocates all ports of a deployment from a block.
    ///
    /// # Errors
    ///
    /// [`TestbedError::NoPorts`] if the block is too small.
    pub fn new(options: &TestbedOptions, ports: &mut PortBlock) -> Result<Self, TestbedError> {
        let layout = &options.layout;
        let engines = u16::try_from(layout.engines).unwrap_or(u16::MAX);
        let plain = u16::try_from(layout.plain).unwrap_or(u16::MAX);
        let mut addresses = Self {
            platform: ports.allocate_address()?,
            recorder: ports.allocate_address()?,
            proxy: String::new(),
            engines: ports.allocate(engines)?,
            engines_listed: 0,
            plain: ports.allocate(plain)?,
            plain_listed: 0,
            instances: Vec::new(),
        };
        if options.proxied {
            addresses.proxy = ports.allocate_address()?;
            addresses.engines_listed = ports.allocate(engines)?;
            addresses.plain_listed = ports.allocate(plain)?;
        }
        for index in 0..options.entries {
            let instance = addresses.allocate_instance(options, index, ports)?;
            addresses.instances.push(instance);
        }
        Ok(addresses)
    }

    fn allocate_instance(
        &self,
        options: &TestbedOptions,
        index: usize,
        ports: &mut PortBlock,
    ) -> Result<InstanceAddresses, TestbedError> {
        let listen = ports.allocate_address()?;
        let control_listen = ports.allocate_address()?;
        let admin = ports.allocate_address()?;
        let mut addresses = InstanceAddresses {
            name: format!("entry-{}", index + 1),
            domain: options.layout.domains[index % DOMAIN_COUNT].to_owned(),
            address: listen.clone(),
            control: control_listen.clone(),
            platform: self.platform.clone(),
            listen,
            control_listen,
            admin,
        };
        if options.proxied {
            addresses.address = ports.allocate_address()?;
            addresses.control = ports.allocate_address()?;
            addresses.platform = ports.allocate_address()?;
        }
        Ok(addresses)
    }

    /// Settings of the fault proxy.
    pub fn proxy_settings(&self, layout: &Layout) -> ProxySettings {
        let mut routes = Vec::new();
        let mut add = |name: String, listen: &str, target: &str| {
            routes.push(RouteSettings {
                name,
                listen: listen.to_owned(),
                target: target.to_owned(),
            });
        };
        for index in 0..layout.engines {
            let name = format!("endpoint/{}-{}", layout.models_service, index + 1);
            let offset = u16::try_from(index).unwrap_or(0);
            add(name, &address(self.engines_listed + offset), &address(self.engines + offset));
        }
        for index in 0..layout.plain {
            let name = format!("endpoint/{}-{}", layout.plain_service, index + 1);
            let offset = u16::try_from(index).unwrap_or(0);
            add(name, &address(self.plain_listed + offset), &address(self.plain + offset));
        }
        for instance in &self.instances {
            let name = &instance.name;
            add(format!("caller/{name}"), &instance.address, &instance.listen);
            add(format!("link/{name}"), &instance.control, &instance.control_listen);
            add(format!("platform/{name}"), &instance.platform, &self.platform);
        }
        ProxySettings { control: self.proxy.clone(), routes, log: None }
    }

    /// Settings of the stand-ins of the platform and the endpoints.
    pub fn standin_settings(&self, options: &TestbedOptions) -> StandinSettings {
        let layout = &options.layout;
        let entries = self.instances.iter().map(|instance| InstanceRecord {
            name: instance.name.clone(),
            domain: instance.domain.clone(),
            region: layout.region.to_owned(),
            address: instance.address.clone(),
            control: instance.control.clone(),
        });
        StandinSettings {
            platform: self.platform.clone(),
            record: self.recorder.clone(),
            seed: options.seed,
            list_lag: options.list_lag,
            weights_s: 4.0,
            engines: vec![layout.engine_settings(self.engines, self.engines_listed)],
            services: vec![layout.plain_settings(self.plain, self.plain_listed)],
            entries: entries.collect(),
            log: None,
        }
    }

    /// Settings of the entry process of an instance.
    pub fn entry_settings(
        &self,
        options: &TestbedOptions,
        instance: &InstanceAddresses,
    ) -> EntrySettings {
        let timing = options.timing;
        EntrySettings {
            instance: instance_settings(options, instance),
            listen: instance.listen.clone(),
            control: instance.control_listen.clone(),
            platform: platform_settings(&instance.platform),
            link: Some(link_settings(options)),
            log: Some(log_settings(options)),
            services: service_settings(&options.layout),
            policy: options.policy,
            answer_ms: timing.answer_ms,
            patience_ms: timing.patience_ms,
            stale_ms: timing.stale_ms,
            disabled: disabled_protections(options, false),
            ..entry_defaults()
        }
    }

    /// Settings of the control process of an instance.
    pub fn control_settings(
        &self,
        options: &TestbedOptions,
        instance: &InstanceAddresses,
    ) -> ControlSettings {
        let timing = options.timing;
        ControlSettings {
            instance: instance_settings(options, instance),
            listen: instance.control_listen.clone(),
            entry: instance.address.clone(),
            admin: instance.admin.clone(),
            platform: platform_settings(&instance.platform),
            link: Some(link_settings(options)),
            log: Some(log_settings(options)),
            services: service_settings(&options.layout),
            poll_ms: timing.poll_ms,
            lists_ms: timing.lists_ms,
            lease_ms: timing.lease_ms,
            margin_ms: timing.margin_ms,
            patience_ms: timing.patience_ms,
            plan_roles: options.plan_roles,
            disabled: disabled_protections(options, true),
            ..control_defaults()
        }
    }

    /// Settings of `agatestairctl`, the operators' command-line tool.
    pub fn ctl_settings(&self) -> CtlSettings {
        CtlSettings {
            platform: platform_settings(&self.platform),
            operator: "testbed".to_owned(),
            instances: self.instances.iter().map(|instance| instance.admin.clone()).collect(),
        }
    }
}

/// Protections that the control process implements; all others are in the entry process.
const CONTROL_PROTECTIONS: [&str; 5] =
    ["fencing", "former_holder_ack", "lease_margin", "order_record", "revision_guard"];

/// Disabled protections of the control process if `control` is set, else of the entry process.
fn disabled_protections(options: &TestbedOptions, control: bool) -> Vec<String> {
    let selected = |name: &&String| CONTROL_PROTECTIONS.contains(&name.as_str()) == control;
    options.disabled.iter().filter(selected).cloned().collect()
}

/// Entry settings with defaults for all optional ones.
fn entry_defaults() -> EntrySettings {
    let text = r#"{
        "instance": { "name": "", "domain": "", "region": "" },
        "listen": "", "control": "", "platform": { "address": "" }, "services": []
    }"#;
    serde_json::from_str(text).expect("the JSON contains every required setting")
}

/// Control settings with defaults for all optional ones.
fn control_defaults() -> ControlSettings {
    let text = r#"{
        "instance": { "name": "", "domain": "", "region": "" },
        "listen": "", "entry": "", "platform": { "address": "" }, "services": []
    }"#;
    serde_json::from_str(text).expect("the JSON contains every required setting")
}

fn instance_settings(options: &TestbedOptions, instance: &InstanceAddresses) -> InstanceSettings {
    InstanceSettings {
        name: instance.name.clone(),
        domain: instance.domain.clone(),
        region: options.layout.region.to_owned(),
    }
}

fn platform_settings(address: &str) -> PlatformSettings {
    let text = serde_json::json!({ "address": address });
    serde_json::from_value(text).expect("the JSON contains every required setting")
}

fn link_settings(options: &TestbedOptions) -> LinkSettings {
    let timing = options.timing;
    LinkSettings {
        key: LINK_KEY.to_owned(),
        ping_ms: timing.ping_ms,
        timeout_ms: timing.link_timeout,
        ..LinkSettings::default()
    }
}

fn log_settings(options: &TestbedOptions) -> LogSettings {
    let level = if options.verbose { LogLevel::Debug } else { LogLevel::Info };
    LogSettings { format: LogFormat::Text, level }
}

fn service_settings(layout: &Layout) -> Vec<ServiceSettings> {
    vec![
        ServiceSettings { name: layout.models_service.to_owned(), fenced: layout.fenced },
        ServiceSettings { name: layout.plain_service.to_owned(), fenced: false },
    ]
}

/// Writes settings as JSON to `{name}.jsonc` in the folder; returns the path.
///
/// # Errors
///
/// [`TestbedError::Io`] if the file cannot be written.
pub fn write_settings<T: Serialize>(
    folder: &Path,
    name: &str,
    settings: &T,
) -> Result<PathBuf, TestbedError> {
    let path = folder.join(format!("{name}.jsonc"));
    let text = serde_json::to_string_pretty(settings).unwrap_or_default();
    let written = fs::write(&path, text);
    written.map_err(|cause| TestbedError::io(path.display().to_string(), cause))?;
    Ok(path)
}
