//! Event loop, shutdown, logs, metrics and HTTP listening shared by the processes.
//!
//! A process keeps all of its state in stakker actors on one thread, driven by [`EventLoop`].
//! Threads that block on input or output send typed messages in through a stakker `Channel`.

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
pub use http::{Keepalive, bind, bound_unsent, configure_stream, listen, respond, respond_json};
pub use log::open_log;
pub use metrics::{MetricsHandle, install_metrics};
pub use shutdown::cancel_on_signal;
pub use start::{EXIT_USAGE, load_settings, print_settings, start_settings};
