//! The link node of a process.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use agatestair_runtime::log_event;
use agatestair_schema::link::LinkMessage;
use agatestair_schema::settings::LinkSettings;
use slog::Logger;
use slotmap::SlotMap;
use tokio::net::TcpListener;
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use tokio_util::sync::CancellationToken;

use crate::accept::accept_all;
use crate::dial::keep_connected;
use crate::error::LinkError;
use crate::events::{LINK_DOWN, LINK_FAILED, LINK_NO_KEY, LINK_UP, QUEUE_FULL};
use crate::handshake::{Identity, Keys};
use crate::peer::{LinkEvent, LinkKey, PeerRole};

/// Flow-control window of a link in bytes.
pub const WINDOW_BYTES: u32 = 1024 * 1024;

/// Settings of a [`LinkNode`].
#[derive(Clone)]
pub struct NodeSettings {
    /// Name of the instance.
    pub instance: Arc<str>,
    /// Failure domain.
    pub domain: Arc<str>,
    /// Identifier of this run of the process.
    pub boot: Arc<str>,
    /// Type of process.
    pub role: PeerRole,
    /// Address on which links are accepted; `None` to only dial.
    pub listen: Option<SocketAddr>,
    /// Keys, ping interval and timeout.
    pub link: LinkSettings,
    /// Log.
    pub log: Logger,
}

/// Callback for link events; called on the node's thread.
type Sink = Box<dyn Fn(LinkEvent) + Send + Sync>;

/// Send queues of the open links.
type Senders = SlotMap<LinkKey, mpsc::Sender<LinkMessage>>;

/// State shared by the tasks of a node.
pub struct Shared {
    /// Identity sent to peers.
    pub identity: Identity,
    /// Interval of pings.
    pub ping: Duration,
    /// Cancelled when the node shuts down.
    pub token: CancellationToken,
    limit: Duration,
    keys: Mutex<Keys>,
    senders: Mutex<Senders>,
    sink: Sink,
    log: Logger,
}

impl Shared {
    /// Timeout of connection attempts, the handshake, writes and pings.
    pub fn timeout(&self) -> Duration {
        self.limit
    }

    /// Current keys.
    pub fn keys(&self) -> Keys {
        lock(&self.keys).clone()
    }

    /// Registers an open link.
    pub fn add_link(&self, sender: mpsc::Sender<LinkMessage>) -> LinkKey {
        lock(&self.senders).insert(sender)
    }

    /// Removes a closed link.
    pub fn remove_link(&self, link: LinkKey) {
        lock(&self.senders).remove(link);
    }

    /// Logs an event and passes it to the sink.
    pub fn emit(&self, event: LinkEvent) {
        match &event {
            LinkEvent::Up { peer, .. } => {
                log_event!(self.log, LINK_UP, "peer" => &*peer.instance, "role" => peer.role.name());
            }
            LinkEvent::Down { peer, error, .. } => {
                log_event!(self.log, LINK_DOWN, "peer" => &*peer.instance,
                    "role" => peer.role.name(), "error" => error.to_string());
            }
            LinkEvent::Message { .. } => {}
        }
        (self.sink)(event);
    }

    /// Logs why a link could not be opened or was closed.
    pub fn log_failure(&self, side: &'static str, error: &LinkError) {
        log_event!(self.log, LINK_FAILED, "side" => side, "error" => error.to_string());
    }
}

/// Locks a mutex. Poisoning is ignored, since locks are held for single operations only.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Command to the node's thread.
enum Command {
    Dial(SocketAddr),
    Disconnect(SocketAddr),
}

/// Handle of the links of a process. Dropping it does not close them; cancelling its token does.
#[derive(Clone)]
pub struct LinkNode {
    shared: Arc<Shared>,
    commands: UnboundedSender<Command>,
}

impl LinkNode {
    /// Starts the thread that runs the links, and listens if an address is set.
    ///
    /// `sink` is called on that thread for each event; it must not block.
    ///
    /// # Errors
    ///
    /// The operating system's error if it cannot listen on the address or start the thread.
    pub fn start(
        settings: NodeSettings,
        token: CancellationToken,
        sink: impl Fn(LinkEvent) + Send + Sync + 'static,
    ) -> io::Result<Self> {
        if settings.link.key.is_empty() {
            log_event!(settings.log, LINK_NO_KEY);
        }
        let listener = settings.listen.map(bind).transpose()?;
        let shared = Arc::new(new_shared(settings, token, Box::new(sink)));
        let (commands, receiver) = mpsc::unbounded_channel();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let node = Self { shared: shared.clone(), commands };
        thread::Builder::new().name("links".to_owned()).spawn(move || {
            runtime.block_on(run(listener, receiver, shared));
        })?;
        Ok(node)
    }

    /// Keeps a link to `address` open until [`Self::disconnect`].
    pub fn dial(&self, address: SocketAddr) {
        // Fails only if the node's thread has ended.
        let _ = self.commands.send(Command::Dial(address));
    }

    /// Closes the dialled link to `address` and stops redialling.
    pub fn disconnect(&self, address: SocketAddr) {
        let _ = self.commands.send(Command::Disconnect(address));
    }

    /// Queues a message. Returns whether the link is open and its queue had room; delivery is not
    /// guaranteed.
    pub fn send(&self, link: LinkKey, message: LinkMessage) -> bool {
        let senders = lock(&self.shared.senders);
        let Some(sender) = senders.get(link) else {
            return false;
        };
        let sent = sender.try_send(message).is_ok();
        if !sent {
            log_event!(self.shared.log, QUEUE_FULL);
        }
        sent
    }

    /// Replaces the keys for new handshakes; open links are kept.
    pub fn set_keys(&self, settings: &LinkSettings) {
        *lock(&self.shared.keys) = new_keys(settings);
    }
}

fn bind(address: SocketAddr) -> io::Result<std::net::TcpListener> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

fn new_keys(settings: &LinkSettings) -> Keys {
    Keys { current: settings.key.as_str().into(), previous: settings.previous_key.as_str().into() }
}

fn new_shared(settings: NodeSettings, token: CancellationToken, sink: Sink) -> Shared {
    Shared {
        identity: Identity {
            instance: settings.instance,
            domain: settings.domain,
            boot: settings.boot,
            role: settings.role,
        },
        ping: Duration::from_millis(settings.link.ping_ms),
        limit: Duration::from_millis(settings.link.timeout_ms),
        keys: Mutex::new(new_keys(&settings.link)),
        senders: Mutex::new(SlotMap::with_key()),
        token,
        sink,
        log: settings.log,
    }
}

/// Runs the node until its token is cancelled.
async fn run(
    listener: Option<std::net::TcpListener>,
    mut commands: UnboundedReceiver<Command>,
    shared: Arc<Shared>,
) {
    if let Some(listener) = listener.and_then(|l| TcpListener::from_std(l).ok()) {
        tokio::spawn(accept_all(listener, shared.clone()));
    }
    let mut dialled: BTreeMap<SocketAddr, CancellationToken> = BTreeMap::new();
    loop {
        let command = tokio::select! {
            command = commands.recv() => command,
            () = shared.token.cancelled() => return,
        };
        match command {
            Some(Command::Dial(address)) => {
                dialled.entry(address).or_insert_with(|| {
                    let token = shared.token.child_token();
                    tokio::spawn(keep_connected(address, shared.clone(), token.clone()));
                    token
                });
            }
            Some(Command::Disconnect(address)) => {
                if let Some(token) = dialled.remove(&address) {
                    token.cancel();
                }
            }
            None => shared.token.cancelled().await,
        }
    }
}
