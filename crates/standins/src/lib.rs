//! Stand-ins for model engines, plain services and the platform for tests, and a fault-injecting
//! proxy.
//!
//! [`StandinDeployment`] serves every endpoint and the platform of one settings file from one
//! process. The [`Recorder`] keeps records of their work for test checkers. [`start_routes`] starts
//! the proxy, which relays TCP connections and injects faults into them. `docs/STANDINS.md`
//! describes the control API.

mod clock;
mod deployment;
mod engine;
mod events;
mod faults;
mod http;
mod plain;
mod platform;
mod proxy;
mod record_api;
mod recorder;

pub use deployment::{StandinDeployment, StartError};
pub use events::{ALL, LISTEN_FAILED, PROXY_STARTED, STARTED, STOPPED};
pub use http::{ListenerFaults, serve};
pub use proxy::{ProxyRoutes, Route, proxy_handler, start_routes};
pub use recorder::Recorder;
