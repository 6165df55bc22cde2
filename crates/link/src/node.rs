//! The links of one process.

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
use crate::dial::keep_dialled;
use crate::error::LinkError;
use crate::events::{LINK_DOWN, LINK_FAILED, LINK_FULL, LINK_OPEN_KEY, LINK_UP};
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
    /// Identifier of this run.
    pub boot: Arc<str>,
    /// Process.
    pub role: PeerRole,
    /// Address to accept links on, if any.
    pub listen: Option<SocketAddr>,
    /// Key and times.
    pub link: LinkSettings,
    /// Log.
    pub log: Logger,
}

/// Receives what happens on links; called on the links' thread.
type Sink = Box<dyn Fn(LinkEvent) + Send + Sync>;

/// Links by key, with the queue of each.
type Senders = SlotMap<LinkKey, mpsc::Sender<LinkMessage>>;

/// What the tasks of a node share.
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
    /// Longest wait for an answer of a peer.
    pub fn timeout(&self) -> Duration {
        self.limit
    }

    /// Keys in force.
    pub fn keys(&self) -> Keys {
        hold(&self.keys).clone()
    }

    /// Registers an open link.
    pub fn add_link(&self, sender: mpsc::Sender<LinkMessage>) -> LinkKey {
        hold(&self.senders).insert(sender)
    }

    /// Forgets a link.
    pub fn remove_link(&self, link: LinkKey) {
        hold(&self.senders).remove(link);
    }

    /// Logs and passes on what happened.
    pub fn tell(&self, event: LinkEvent) {
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

    /// Logs why a link could not be opened or ended.
    pub fn log_failure(&self, side: &'static str, error: &LinkError) {
        log_event!(self.log, LINK_FAILED, "side" => side, "error" => error.to_string());
    }
}

/// Takes a lock that is held for single operations only.
fn hold<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// What the node's thread is asked to do.
enum Command {
    Dial(SocketAddr),
    Forget(SocketAddr),
}

/// The links of one process. Dropping it does not end them; its token does.
#[derive(Clone)]
pub struct LinkNode {
    shared: Arc<Shared>,
    commands: UnboundedSender<Command>,
}

impl LinkNode {
    /// Starts the thread that carries the links and, if set, listens.
    ///
    /// `sink` is called on that thread for each event and must not block.
    ///
    /// # Errors
    ///
    /// The operating system's error if the address cannot be listened on or no thread started.
    pub fn start(
        settings: NodeSettings,
        token: CancellationToken,
        sink: impl Fn(LinkEvent) + Send + Sync + 'static,
    ) -> io::Result<Self> {
        if settings.link.key.is_empty() {
            log_event!(settings.log, LINK_OPEN_KEY);
        }
        let listener = settings.listen.map(bind).transpose()?;
        let shared = Arc::new(shared_of(settings, token, Box::new(sink)));
        let (commands, receiver) = mpsc::unbounded_channel();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let node = Self { shared: shared.clone(), commands };
        thread::Builder::new().name("links".to_owned()).spawn(move || {
            runtime.block_on(run(listener, receiver, shared));
        })?;
        Ok(node)
    }

    /// Keeps a link to `address` open until [`Self::forget`].
    pub fn dial(&self, address: SocketAddr) {
        // The thread has ended if this fails; there is nothing left to dial from.
        let _ = self.commands.send(Command::Dial(address));
    }

    /// Closes the dialled link to `address` and dials it no more.
    pub fn forget(&self, address: SocketAddr) {
        let _ = self.commands.send(Command::Forget(address));
    }

    /// Queues a message. Returns whether the link is open and had room; delivery is not certain.
    pub fn send(&self, link: LinkKey, message: LinkMessage) -> bool {
        let senders = hold(&self.shared.senders);
        let Some(sender) = senders.get(link) else {
            return false;
        };
        let sent = sender.try_send(message).is_ok();
        if !sent {
            log_event!(self.shared.log, LINK_FULL);
        }
        sent
    }

    /// Replaces the keys; open links stay, new handshakes use them.
    pub fn set_keys(&self, settings: &LinkSettings) {
        *hold(&self.shared.keys) = keys_of(settings);
    }
}

fn bind(address: SocketAddr) -> io::Result<std::net::TcpListener> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

fn keys_of(settings: &LinkSettings) -> Keys {
    Keys { current: settings.key.as_str().into(), previous: settings.previous_key.as_str().into() }
}

fn shared_of(settings: NodeSettings, token: CancellationToken, sink: Sink) -> Shared {
    Shared {
        identity: Identity {
            instance: settings.instance,
            domain: settings.domain,
            boot: settings.boot,
            role: settings.role,
        },
        ping: Duration::from_millis(settings.link.ping_ms),
        limit: Duration::from_millis(settings.link.timeout_ms),
        keys: Mutex::new(keys_of(&settings.link)),
        senders: Mutex::new(SlotMap::with_key()),
        token,
        sink,
        log: settings.log,
    }
}

/// Runs on the node's thread until its token is cancelled.
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
                    tokio::spawn(keep_dialled(address, shared.clone(), token.clone()));
                    token
                });
            }
            Some(Command::Forget(address)) => {
                if let Some(token) = dialled.remove(&address) {
                    token.cancel();
                }
            }
            None => shared.token.cancelled().await,
        }
    }
}
