//! Event loop, startup, shutdown, logging, metrics and HTTP server shared by the processes.
//!
//! A process keeps all of its state in stakker actors on one thread, driven by [`EventLoop`].
//! Threads that do blocking I/O send typed messages to the actors through a stakker `Channel`.

mod buffer;
mod clock;
mod event;
mod event_loop;
mod http;
mod log;
mod metrics;
mod shutdown;
mod start;

pub use buffer::{LogBuffer, open_buffered_log};
pub use clock::{BootClock, unix_ms};
pub use event::Event;
pub use event_loop::EventLoop;
pub use http::{Keepalive, bind, configure_stream, listen, respond, respond_json, set_send_buffer};
pub use log::open_log;
pub use metrics::{MetricsHandle, install_metrics};
pub use shutdown::cancel_on_signal;
pub use start::{EXIT_USAGE, load_settings, print_settings, start_settings};
