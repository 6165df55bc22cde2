//! Fakes of engines, services and the platform, and a fault-injecting proxy.
//!
//! [`StandinDeployment`] serves every endpoint and the platform of one settings file from one
//! process. What a checker needs is kept by the [`Recorder`]. [`start_routes`] relays connections
//! with faults. `docs/STANDINS.md` describes the control interface.

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
pub use http::{Gate, serve};
pub use proxy::{ProxyRoutes, Route, proxy_handler, start_routes};
pub use recorder::Recorder;
