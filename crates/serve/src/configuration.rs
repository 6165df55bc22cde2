//! The operators' configuration: routes, services and limits.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Time after which callers leave a stream that pauses or has not begun: the longest of this time, so
/// many times the objective, and so many of the route's pauses.
const MIN_PATIENCE: Duration = Duration::from_secs(2);
const PATIENCE_OBJECTIVES: u32 = 4;
const PATIENCE_PAUSES: u32 = 8;

/// What may be repeated of a route's requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once.
    Once,
    /// The answer is a stream of events.
    Stream {
        /// Whether a stream may go on at another endpoint.
        resumable: bool,
    },
}

impl Kind {
    /// Whether a request may run again after one of its attempts may have run.
    pub fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service that a route's requests may go to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// Name of the service.
    pub service: Arc<str>,
    /// Share of the requests, relative to the other targets.
    pub weight: u32,
}

/// Rule for the requests of one host and path.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// Name.
    pub name: Arc<str>,
    /// Host that callers ask.
    pub host: Arc<str>,
    /// Start of the path, with a slash at both ends.
    pub prefix: Arc<str>,
    /// What may be repeated.
    pub kind: Kind,
    /// Longest time to a final answer.
    pub timeout: Duration,
    /// Time within which an answer, or the first event of a stream, is on time.
    pub objective: Duration,
    /// Longest pause between two events of a stream that is on time.
    pub pause: Duration,
    /// Urgency, 0 is the most urgent.
    pub rank: u8,
    /// Where the requests go.
    pub targets: Vec<Target>,
    /// Endpoints that one request may run on.
    pub attempts: u32,
}

impl Route {
    /// Time after which callers leave a stream that has not begun.
    pub fn first_patience(&self) -> Duration {
        let bounds = [self.objective * PATIENCE_OBJECTIVES, self.pause * PATIENCE_PAUSES];
        bounds.into_iter().fold(MIN_PATIENCE, Duration::max)
    }

    /// The target of a request; `draw` is a number from 0 to 1 that is drawn for it.
    pub fn target(&self, draw: f64) -> Option<&Arc<str>> {
        let total: u64 = self.targets.iter().map(|target| u64::from(target.weight)).sum();
        let mut left = draw * total as f64;
        for target in &self.targets {
            left -= f64::from(target.weight);
            if left < 0.0 {
                return Some(&target.service);
            }
        }
        self.targets.last().map(|target| &target.service)
    }
}

/// What model engines of a service can do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineFacts {
    /// Tokens that the memory holds.
    pub memory: u32,
    /// Bytes of a token's memory.
    pub token_bytes: u32,
    /// Bandwidth of an engine's link in megabits a second.
    pub link_mbps: f64,
    /// Tokens of one event.
    pub stride: u32,
}

impl EngineFacts {
    /// Milliseconds to move a token's memory to another engine of the same failure domain.
    pub fn transfer_ms(&self) -> f64 {
        f64::from(self.token_bytes) * 8.0 / (self.link_mbps.max(1.0) * 1000.0)
    }
}

/// A service that requests are sent to.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name.
    pub name: Arc<str>,
    /// Connections that one endpoint accepts from all callers.
    pub connections: u32,
    /// Facts of its engines, if it generates.
    pub engine: Option<EngineFacts>,
}

/// Bounds on what callers may send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time for a request's head.
    pub head_time: Duration,
    /// Time that a kept connection may stay idle.
    pub idle_time: Duration,
}

impl Default for Limits {
    /// Bounds while no configuration is known.
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}

/// One version of the operators' configuration.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    /// Version, which only rises.
    pub version: u64,
    /// Services by name.
    pub services: HashMap<Arc<str>, Arc<Service>>,
    /// Bounds on requests.
    pub limits: Limits,
    hosts: HashMap<Arc<str>, Vec<Arc<Route>>>,
}

/// Outcome of the search for a request's route.
#[derive(Clone, Debug)]
pub enum Match {
    /// No configuration is known yet.
    Unknown,
    /// The configuration has no such route.
    Missing,
    /// The route.
    Found {
        /// Version of the configuration.
        version: u64,
        /// The route.
        route: Arc<Route>,
        /// The service that the request goes to.
        service: Arc<Service>,
    },
}

impl Configuration {
    /// Creates a configuration; within a host the longest prefixes come first.
    pub fn new(version: u64, routes: Vec<Route>, services: Vec<Service>, limits: Limits) -> Self {
        let mut hosts: HashMap<Arc<str>, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            let host: Arc<str> = route.host.to_ascii_lowercase().into();
            hosts.entry(host).or_default().push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let services = services.into_iter().map(|s| (s.name.clone(), Arc::new(s))).collect();
        Self { version, services, limits, hosts }
    }

    /// The route with the longest prefix that starts the path of a host.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, port)| {
            if port.bytes().all(|byte| byte.is_ascii_digit()) { name } else { host }
        });
        let routes = self.hosts.get(name.to_ascii_lowercase().as_str())?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }
}
