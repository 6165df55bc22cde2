//! Routes of the fault proxy and their faults.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::ops::Deref;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

use agatestair_schema::settings::RouteSettings;
use agatestair_schema::standins::{ProxyFaults, RouteState};
use tokio::net::TcpListener as AsyncListener;
use tokio::runtime::Builder;
use tokio::sync::watch;
use tokio_util::sync::{CancellationToken, DropGuard};

use super::relay::relay;

/// Active faults of a route, and the connections that they apply to.
#[derive(Clone, Debug, Default)]
pub struct RouteFaults {
    /// Faults as last set, without the one-time `cut`.
    pub current: ProxyFaults,
    /// Connections with a lower number are closed.
    pub cut_below: u64,
    /// With `existing_only`, a silence applies only to connections with a lower number.
    pub silent_below: u64,
}

/// One route of the proxy.
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Address that it listens on.
    pub listen: SocketAddr,
    /// Address that it forwards to.
    pub target: SocketAddr,
    /// Number of connections accepted; also the number of the next connection.
    pub accepted: AtomicU64,
    /// Number of open connections.
    pub open: AtomicU64,
    /// Active faults.
    pub faults: watch::Sender<RouteFaults>,
}

/// Routes by name. The proxy closes its ports and connections when the last clone is dropped.
#[derive(Clone)]
pub struct ProxyRoutes {
    routes: Arc<BTreeMap<String, Arc<Route>>>,
    _running: Arc<DropGuard>,
}

impl Deref for ProxyRoutes {
    type Target = BTreeMap<String, Arc<Route>>;

    fn deref(&self) -> &Self::Target {
        &self.routes
    }
}

impl Route {
    /// Replaces the active faults.
    pub fn set_faults(&self, new: &ProxyFaults) {
        let next = self.accepted.load(Ordering::SeqCst);
        self.faults.send_modify(|faults| {
            if new.cut {
                faults.cut_below = next;
            }
            if !(faults.current.silence_up || faults.current.silence_down) {
                faults.silent_below = next;
            }
            faults.current = ProxyFaults { cut: false, ..new.clone() };
        });
    }

    /// Returns the route's addresses, counters and active faults.
    pub fn state(&self) -> RouteState {
        RouteState {
            name: self.name.clone(),
            listen: self.listen.to_string(),
            target: self.target.to_string(),
            open: self.open.load(Ordering::Relaxed),
            accepted: self.accepted.load(Ordering::SeqCst),
            faults: self.faults.borrow().current.clone(),
        }
    }
}

impl RouteFaults {
    /// Whether connection number `id` is blocked in a direction whose silence fault is `silence`.
    pub fn is_silent(&self, id: u64, silence: bool) -> bool {
        silence && (id < self.silent_below || !self.current.existing_only)
    }
}

/// Listens on all routes and relays their connections on a background thread, until the routes are
/// dropped.
///
/// # Errors
///
/// [`io::ErrorKind::InvalidInput`] for an invalid address, or the operating system's error for a
/// failure to listen or to start the thread.
pub fn start_routes(settings: &[RouteSettings]) -> io::Result<ProxyRoutes> {
    let mut routes = BTreeMap::new();
    let mut listeners = Vec::new();
    for route in settings {
        let listen = parse_address(&route.listen)?;
        let listener = TcpListener::bind(listen)
            .map_err(|error| io::Error::new(error.kind(), format!("{listen}: {error}")))?;
        listener.set_nonblocking(true)?;
        let route = Arc::new(Route {
            name: route.name.clone(),
            listen,
            target: parse_address(&route.target)?,
            accepted: AtomicU64::new(0),
            open: AtomicU64::new(0),
            faults: watch::Sender::new(RouteFaults::default()),
        });
        routes.insert(route.name.clone(), route.clone());
        listeners.push((listener, route));
    }
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let running = CancellationToken::new();
    let ended = running.clone();
    thread::Builder::new().name("proxy".to_owned()).spawn(move || {
        runtime.block_on(async {
            for (listener, route) in listeners {
                tokio::spawn(accept(listener, route));
            }
            ended.cancelled().await;
        });
    })?;
    Ok(ProxyRoutes { routes: Arc::new(routes), _running: Arc::new(running.drop_guard()) })
}

async fn accept(listener: TcpListener, route: Arc<Route>) {
    let Ok(listener) = AsyncListener::from_std(listener) else {
        return;
    };
    while let Ok((stream, _)) = listener.accept().await {
        if route.faults.borrow().current.refuse {
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

fn parse_address(address: &str) -> io::Result<SocketAddr> {
    let message = || format!("{address} is not an address of the form IP:port");
    address.parse().map_err(|_| io::Error::new(io::ErrorKind::InvalidInput, message()))
}
