//! Startup and shutdown of the process.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;

use agatestair_link::{LinkNode, NodeSettings, PeerRole};
use agatestair_runtime::{
    EventLoop, MetricsHandle, cancel_on_signal, install_metrics, open_log, unix_ms,
};
use agatestair_schema::settings::{ControlSettings, LinkSettings};
use error_stack::{Report, ResultExt};
use stakker::sync::Channel;
use stakker::{StopCause, actor, ret_shutdown};
use tokio_util::sync::CancellationToken;

use crate::admin::start_admin;
use crate::control::{Control, ControlParts};
use crate::event::Event;
use crate::peers::Peers;

/// Error that prevents the process from running.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ControlError {
    /// The metrics recorder could not be installed.
    Metrics,
    /// The signal handlers could not be installed.
    Signals,
    /// An address could not be listened on, or a thread could not be started.
    Start,
}

impl fmt::Display for ControlError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Metrics => "cannot set up metrics; report this as a defect",
            Self::Signals => "cannot install the signal handlers; report this as a defect",
            Self::Start => {
                "cannot start; check that `listen` and `admin` are local addresses and not in use"
            }
        })
    }
}

impl std::error::Error for ControlError {}

/// Runs the process until it is asked to shut down.
///
/// # Errors
///
/// [`ControlError`] if the process could not start.
pub fn run(settings: ControlSettings) -> Result<(), Report<ControlError>> {
    let metrics = install_metrics().change_context(ControlError::Metrics)?;
    let shutdown = CancellationToken::new();
    cancel_on_signal(&shutdown).change_context(ControlError::Signals)?;
    let links = CancellationToken::new();
    let mut event_loop = EventLoop::new();
    let stakker = &mut event_loop.stakker;
    let start = {
        let links = links.clone();
        move |events: Channel<Event>| start_parts(settings, &events, &links, &shutdown, &metrics)
    };
    let control = actor!(stakker, Control::init(start), ret_shutdown!(stakker));
    event_loop.run(&CancellationToken::new());
    links.cancel();
    drop(control);
    match event_loop.stakker.shutdown_reason() {
        Some(StopCause::Failed(error)) => {
            Err(Report::new(ControlError::Start).attach(error.to_string()))
        }
        _ => Ok(()),
    }
}

fn start_parts(
    settings: ControlSettings,
    events: &Channel<Event>,
    links: &CancellationToken,
    shutdown: &CancellationToken,
    metrics: &MetricsHandle,
) -> io::Result<ControlParts> {
    let log = open_log(settings.log.as_ref(), "control", &settings.instance.name);
    let boot: Arc<str> = format!("{:013}-{:08x}", unix_ms(), rand::random::<u32>()).into();
    let node_settings = NodeSettings {
        instance: settings.instance.name.as_str().into(),
        domain: settings.instance.domain.as_str().into(),
        boot: boot.clone(),
        role: PeerRole::Control,
        listen: Some(parse_address(&settings.listen)?),
        link: settings.link.clone().unwrap_or_else(default_link),
        log: log.clone(),
    };
    let sink = events.clone();
    let node = LinkNode::start(node_settings, links.clone(), move |event| {
        // Fails only if the actor has ended.
        let _ = sink.send(Event::Link(event));
    })?;
    if !settings.admin.is_empty() {
        start_admin(parse_address(&settings.admin)?, events, metrics)?;
    }
    forward_shutdown(shutdown.clone(), events.clone())?;
    Ok(ControlParts { settings, boot, peers: Peers::new(node), log })
}

/// Sends [`Event::Shutdown`] to the actor once `shutdown` is cancelled.
fn forward_shutdown(shutdown: CancellationToken, events: Channel<Event>) -> io::Result<()> {
    let wait = async move { shutdown.cancelled_owned().await };
    let runtime = tokio::runtime::Builder::new_current_thread().build()?;
    thread::Builder::new().name("shutdown".to_owned()).spawn(move || {
        runtime.block_on(wait);
        events.send(Event::Shutdown);
    })?;
    Ok(())
}

fn parse_address(text: &str) -> io::Result<SocketAddr> {
    text.parse().map_err(|_| {
        let problem = format!("`{text}` is not an address; use the form `IP:port`");
        io::Error::new(io::ErrorKind::InvalidInput, problem)
    })
}

fn default_link() -> LinkSettings {
    serde_json::from_str("{}").expect("all link settings have defaults")
}
