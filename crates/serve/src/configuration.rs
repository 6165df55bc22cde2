//! The operators' configuration: routes, services and limits.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::customers::Customers;

/// Shortest time after which callers abandon a stream that has not begun. The time of a route is
/// the longest of this one, [`PATIENCE_OBJECTIVES`] times the objective and [`PATIENCE_GAPS`]
/// times the longest gap.
const MIN_PATIENCE: Duration = Duration::from_secs(2);
const PATIENCE_OBJECTIVES: u32 = 4;
const PATIENCE_GAPS: u32 = 8;

/// Size of a request head that is always accepted, in bytes.
const MIN_HEAD_BYTES: usize = 8192;

/// Whether requests of a route may be retried, and the form of their responses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once.
    Once,
    /// The response is a stream of events.
    Stream {
        /// Whether a stream may be resumed at another endpoint.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request may be retried after an attempt that may have been executed.
    pub fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A weighted target service of a route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// Name of the service.
    pub service: Arc<str>,
    /// Share of the requests, relative to the other targets.
    pub weight: u32,
}

/// Rule for requests with a host and a path prefix.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: Arc<str>,
    /// Host of the requests.
    pub host: Arc<str>,
    /// Prefix of the path, with a slash at both ends.
    pub prefix: Arc<str>,
    /// Kind of the requests.
    pub kind: RouteKind,
    /// Time limit for a complete response.
    pub timeout: Duration,
    /// Latency objective of a response or of the first event of a stream.
    pub objective: Duration,
    /// Longest time between two stream events that still counts as on time.
    pub max_gap: Duration,
    /// Priority, 0 is the highest.
    pub rank: u8,
    /// Services that the requests are distributed to.
    pub targets: Vec<Target>,
    /// Largest number of endpoints that one request is sent to.
    pub attempts: u32,
    /// Whether requests need no API key.
    pub public: bool,
}

impl Route {
    /// Time after which callers abandon a stream that has not begun.
    pub fn caller_patience(&self) -> Duration {
        let bounds = [self.objective * PATIENCE_OBJECTIVES, self.max_gap * PATIENCE_GAPS];
        bounds.into_iter().fold(MIN_PATIENCE, Duration::max)
    }

    /// Selects the target of a request by weight; `draw` is a random number from 0 to 1.
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

/// Properties of the model engines of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineFacts {
    /// Capacity of the KV cache in tokens.
    pub kv_tokens: u32,
    /// Bytes of KV cache per token.
    pub token_bytes: u32,
    /// Bandwidth of an engine's link in megabits per second.
    pub link_mbps: f64,
    /// Tokens per event of a stream.
    pub stride: u32,
}

impl EngineFacts {
    /// Milliseconds to transfer the KV cache of one token to another engine of the same failure
    /// domain.
    pub fn transfer_ms(&self) -> f64 {
        f64::from(self.token_bytes) * 8.0 / (self.link_mbps.max(1.0) * 1000.0)
    }
}

/// A service that requests are sent to.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: Arc<str>,
    /// Number of connections that one endpoint accepts in total, if the service names one.
    pub connections: Option<u32>,
    /// Properties of its engines, if it is a model service.
    pub engine: Option<EngineFacts>,
    /// How many of its endpoints may be ordered, if they can be.
    pub scaling: Option<Scaling>,
}

/// How many endpoints of a service may be ordered, and at what price.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Scaling {
    /// Smallest number in each failure domain.
    pub least: u32,
    /// Largest number in each failure domain.
    pub most: u32,
    /// Time until a new endpoint serves.
    pub boot: Duration,
    /// Price of an endpoint that may be reclaimed, relative to that of a standing one.
    pub reclaimable_price: f64,
    /// Relative price of an endpoint, by failure domain.
    pub prices: HashMap<Arc<str>, f64>,
}

/// Limits on requests of callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Largest request head in bytes.
    pub head_bytes: usize,
    /// Largest request body in bytes.
    pub body_bytes: usize,
    /// Timeout for receiving the request head.
    pub head_time: Duration,
    /// Timeout of idle keep-alive connections.
    pub idle_time: Duration,
}

impl Default for Limits {
    /// Limits used until a configuration is known.
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}

impl Limits {
    /// Size from which on heads are refused, in bytes. Callers may count the bytes in another way.
    pub fn longest_head(&self) -> usize {
        self.head_bytes.max(MIN_HEAD_BYTES) * 2
    }
}

/// One version of the operators' configuration.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    /// Version, which increases with each change.
    pub version: u64,
    /// Services by name.
    pub services: HashMap<Arc<str>, Arc<Service>>,
    /// Limits on requests.
    pub limits: Limits,
    /// Customers, if requests need an API key.
    pub customers: Option<Customers>,
    hosts: HashMap<Arc<str>, Vec<Arc<Route>>>,
}

/// Result of the route lookup of a request.
#[derive(Clone, Debug)]
pub enum RouteMatch {
    /// No configuration is known yet.
    Unknown,
    /// No route matches, or the service of the route does not exist.
    Missing,
    /// A route matches.
    Found {
        /// Version of the configuration.
        version: u64,
        /// The matching route.
        route: Arc<Route>,
        /// The service selected for the request.
        service: Arc<Service>,
    },
}

impl Configuration {
    /// Creates a configuration. Routes of a host are sorted by descending length of their prefix.
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
        Self { version, services, limits, customers: None, hosts }
    }

    /// All routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.values().flatten()
    }

    /// The route of a host with the longest prefix that matches the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, port)| {
            if port.bytes().all(|byte| byte.is_ascii_digit()) { name } else { host }
        });
        let routes = self.hosts.get(name.to_ascii_lowercase().as_str())?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }
}
