//! Starts the entry and runs it until it has shut down.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use agatestair_link::{LinkNode, NodeSettings, PeerRole};
use agatestair_runtime::{EventLoop, MetricsHandle, bind, cancel_on_signal, log_event};
use agatestair_schema::settings::{EntrySettings, LinkSettings};
use agatestair_store::PlatformClient;
use error_stack::{Report, ResultExt};
use slog::Logger;
use stakker::sync::Channel;
use stakker::{ActorOwn, actor, ret_shutdown};
use tokio::sync::{Semaphore, watch};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::claims::Claims;
use crate::core::actor::{ActorParts, EntryActor};
use crate::core::message::EntryMessage;
use crate::events::{PROTECTION_DISABLED, STARTED};
use crate::http::server::start_server;
use crate::http::state::ServerState;
use crate::protections::{Protections, unknown_names};
use crate::snapshots::SnapshotWriter;
use crate::view::View;

/// Why the entry could not start.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StartError {
    /// A setting is not a socket address.
    Address {
        /// Name of the setting.
        name: &'static str,
        /// Its value.
        value: String,
    },
    /// The setting `disabled` contains an unknown name.
    Protection(String),
    /// The address for callers cannot be bound.
    Listen(String),
    /// A thread or a signal handler could not be set up.
    Resources,
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Address { name, value } => {
                write!(f, "setting `{name}`: `{value}` is not an address; use the form `IP:port`")
            }
            Self::Protection(name) => {
                write!(f, "setting `disabled`: unknown name `{name}`; see docs/CALLERS.md")
            }
            Self::Listen(address) => write!(
                f,
                "cannot listen on {address}; check that it is a local address and not in use"
            ),
            Self::Resources => {
                f.write_str("cannot start a thread; raise the limits on processes and open files")
            }
        }
    }
}

impl std::error::Error for StartError {}

/// Runs the entry until it has shut down.
///
/// # Errors
///
/// [`StartError`] if it could not start.
pub fn run(
    settings: EntrySettings,
    metrics: MetricsHandle,
    log: &Logger,
) -> Result<(), Report<StartError>> {
    let settings = Arc::new(settings);
    let boot: Arc<str> = format!("{:08x}", rand::random::<u32>()).into();
    let listen = parse_address("listen", &settings.listen)?;
    let control = parse_address("control", &settings.control)?;
    let protections = check_protections(&settings, log)?;
    let listener = bind(listen).change_context(StartError::Listen(settings.listen.clone()))?;
    let platform = PlatformClient::new(&settings.platform);
    let claims = Claims::start(&platform, log.clone()).change_context(StartError::Resources)?;
    let (snapshots, writer) =
        SnapshotWriter::start(platform, &settings.instance, &boot, log.clone())
            .change_context(StartError::Resources)?;
    let [closing, ending, done] = std::array::from_fn(|_| CancellationToken::new());
    let (view, published) = watch::channel(View::default());
    let mut event_loop = EventLoop::new();
    let links = LinkChannel::default();
    let node = start_links(&settings, &boot, links.clone(), done.clone(), log)?;
    let parts = ActorParts {
        settings: settings.clone(),
        boot: boot.clone(),
        protections,
        node: node.clone(),
        view,
        closing: closing.clone(),
        ending: ending.clone(),
        done: done.clone(),
        snapshots: Some(snapshots),
        log: log.clone(),
    };
    let (_actor, channel) = start_actor(&mut event_loop, parts);
    links.open(channel.clone());
    node.dial(control);
    watch_signals(channel.clone()).change_context(StartError::Resources)?;
    let server = Arc::new(ServerState {
        permits: Arc::new(Semaphore::new(settings.max_open as usize)),
        settings: settings.clone(),
        boot,
        channel,
        view: published,
        claims,
        tracker: TaskTracker::new(),
        ending,
        metrics,
        log: log.clone(),
        next_request: AtomicU64::new(1),
    });
    start_server(listener, server, closing).change_context(StartError::Resources)?;
    log_event!(log, STARTED, "listen" => &settings.listen);
    event_loop.run(&done);
    // Fails only if the writer thread panicked, which was reported then.
    let _ = writer.join();
    Ok(())
}

fn parse_address(name: &'static str, value: &str) -> Result<SocketAddr, Report<StartError>> {
    let fault = || StartError::Address { name, value: value.to_owned() };
    value.parse().change_context_lazy(fault)
}

fn check_protections(
    settings: &EntrySettings,
    log: &Logger,
) -> Result<Protections, Report<StartError>> {
    if let Some(name) = unknown_names(settings).first() {
        return Err(Report::new(StartError::Protection((*name).to_owned())));
    }
    if !settings.disabled.is_empty() {
        log_event!(log, PROTECTION_DISABLED, "names" => settings.disabled.join(", "));
    }
    Ok(Protections::from(settings))
}

fn start_actor(
    event_loop: &mut EventLoop,
    parts: ActorParts,
) -> (ActorOwn<EntryActor>, Channel<EntryMessage>) {
    let (sender, receiver) = std::sync::mpsc::channel();
    let ready = Box::new(move |channel| {
        sender.send(channel).expect("receiver is alive until the actor has started");
    });
    let stakker = &mut event_loop.stakker;
    let actor = actor!(stakker, EntryActor::init(parts, ready), ret_shutdown!(stakker));
    stakker.run(std::time::Instant::now(), false);
    (actor, receiver.recv().expect("the actor has started"))
}

/// Channel to the actor, set when the actor starts, which is after the links.
#[derive(Clone, Default)]
struct LinkChannel {
    channel: Arc<std::sync::OnceLock<Channel<EntryMessage>>>,
}

impl LinkChannel {
    fn open(&self, channel: Channel<EntryMessage>) {
        // Called once, so the cell is empty.
        let _ = self.channel.set(channel);
    }
}

fn start_links(
    settings: &EntrySettings,
    boot: &Arc<str>,
    links: LinkChannel,
    token: CancellationToken,
    log: &Logger,
) -> Result<LinkNode, Report<StartError>> {
    let node = NodeSettings {
        instance: settings.instance.name.as_str().into(),
        domain: settings.instance.domain.as_str().into(),
        boot: boot.clone(),
        role: PeerRole::Entry,
        listen: None,
        link: settings.link.clone().unwrap_or_else(default_link),
        log: log.clone(),
    };
    let sink = move |event| {
        if let Some(channel) = links.channel.get() {
            channel.send(EntryMessage::Link(event));
        }
    };
    LinkNode::start(node, token, sink).change_context(StartError::Resources)
}

fn default_link() -> LinkSettings {
    serde_json::from_str("{}").expect("all link settings have defaults")
}

/// Starts the shutdown on the first termination signal.
fn watch_signals(channel: Channel<EntryMessage>) -> std::io::Result<()> {
    let shutdown = CancellationToken::new();
    cancel_on_signal(&shutdown)?;
    let runtime = tokio::runtime::Builder::new_current_thread().build()?;
    std::thread::Builder::new().name("shutdown".to_owned()).spawn(move || {
        runtime.block_on(shutdown.cancelled());
        channel.send(EntryMessage::Shutdown);
    })?;
    Ok(())
}
