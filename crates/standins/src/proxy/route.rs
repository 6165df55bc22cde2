//! Routes of the fault proxy and their faults.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

use agatestair_schema::settings::RouteSettings;
use agatestair_schema::standins::{ProxyFaults, RouteState};
use tokio::net::TcpListener as AsyncListener;
use tokio::runtime::Builder;
use tokio::sync::watch;

use super::relay::relay;

/// Faults in force on a route, with the connections that they concern.
#[derive(Clone, Debug, Default)]
pub struct RouteFaults {
    /// Faults as set.
    pub set: ProxyFaults,
    /// Connections below this number are closed.
    pub cut_below: u64,
    /// Connections below this number are silent; above it too unless `existing_only` is set.
    pub silent_below: u64,
}

/// One route of the proxy.
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Address that it listens on.
    pub listen: SocketAddr,
    /// Address that it dials.
    pub target: SocketAddr,
    /// Number of the next connection.
    pub accepted: AtomicU64,
    /// Connections open now.
    pub open: AtomicU64,
    /// Faults in force.
    pub faults: watch::Sender<RouteFaults>,
}

/// Routes by name.
pub type ProxyRoutes = Arc<BTreeMap<String, Arc<Route>>>;

impl Route {
    /// Replaces the faults in force.
    pub fn set(&self, set: &ProxyFaults) {
        let next = self.accepted.load(Ordering::SeqCst);
        self.faults.send_modify(|faults| {
            if set.cut {
                faults.cut_below = next;
            }
            if !(faults.set.silence_up || faults.set.silence_down) {
                faults.silent_below = next;
            }
            faults.set = ProxyFaults { cut: false, ..set.clone() };
        });
    }

    /// What the route does now.
    pub fn state(&self) -> RouteState {
        RouteState {
            name: self.name.clone(),
            listen: self.listen.to_string(),
            target: self.target.to_string(),
            open: self.open.load(Ordering::Relaxed),
            accepted: self.accepted.load(Ordering::SeqCst),
            faults: self.faults.borrow().set.clone(),
        }
    }
}

impl RouteFaults {
    /// Whether the connection numbered `id` passes nothing in a direction that `silence` concerns.
    pub fn is_silent(&self, id: u64, silence: bool) -> bool {
        silence && (id < self.silent_below || !self.set.existing_only)
    }
}

/// Listens on all routes and relays their connections on one thread.
///
/// # Errors
///
/// The operating system's error for an address that cannot be parsed or listened on.
pub fn start_routes(settings: &[RouteSettings]) -> io::Result<ProxyRoutes> {
    let mut routes = BTreeMap::new();
    let mut listeners = Vec::new();
    for route in settings {
        let listen = parse(&route.listen)?;
        let listener = TcpListener::bind(listen)
            .map_err(|error| io::Error::new(error.kind(), format!("{listen}: {error}")))?;
        listener.set_nonblocking(true)?;
        let route = Arc::new(Route {
            name: route.name.clone(),
            listen,
            target: parse(&route.target)?,
            accepted: AtomicU64::new(0),
            open: AtomicU64::new(0),
            faults: watch::Sender::new(RouteFaults::default()),
        });
        routes.insert(route.name.clone(), route.clone());
        listeners.push((listener, route));
    }
    let runtime = Builder::new_current_thread().enable_all().build()?;
    thread::Builder::new().name("proxy".to_owned()).spawn(move || {
        runtime.block_on(async {
            for (listener, route) in listeners {
                tokio::spawn(accept(listener, route));
            }
            std::future::pending::<()>().await;
        });
    })?;
    Ok(Arc::new(routes))
}

async fn accept(listener: TcpListener, route: Arc<Route>) {
    let Ok(listener) = AsyncListener::from_std(listener) else {
        return;
    };
    while let Ok((stream, _)) = listener.accept().await {
        if route.faults.borrow().set.refuse {
            continue;
        }
        let id = route.accepted.fetch_add(1, Ordering::SeqCst);
        let route = route.clone();
        tokio::spawn(async move {
            route.open.fetch_add(1, Ordering::Relaxed);
            relay(stream, &route, id).await;
            route.open.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

fn parse(address: &str) -> io::Result<SocketAddr> {
    let problem = || format!("{address} is not an address of the form IP:port");
    address.parse().map_err(|_| io::Error::new(io::ErrorKind::InvalidInput, problem()))
}
