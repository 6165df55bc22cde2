//! `agatestair-standins`: stand-ins for the platform and the endpoints, and the fault proxy.

use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use agatestair_runtime::{cancel_on_signal, load_settings, log_event, open_log, print_settings};
use agatestair_schema::settings::{ProxySettings, StandinSettings};
use agatestair_standins::{
    LISTEN_FAILED, PROXY_STARTED, STARTED, STOPPED, StandinDeployment, proxy_handler, serve,
    start_routes,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use slog::Logger;
use tokio_util::sync::CancellationToken;

/// Interval between checks for a termination signal.
const SIGNAL_POLL_INTERVAL: Duration = Duration::from_millis(50);

mod flags {
    #![allow(missing_docs)]
    use std::path::PathBuf;

    xflags::xflags! {
        /// Test stand-ins for the platform, engines and services, and a fault-injecting TCP proxy.
        cmd agatestair-standins {
            /// Serve the platform, all engines and all services of one settings file.
            cmd serve {
                /// Settings file (`StandinSettings`).
                required --config config: PathBuf
                /// Check the settings and exit.
                optional --check-config
                /// Print the settings with their defaults and exit.
                optional --print-config
            }
            /// Relay TCP connections and inject faults into them.
            cmd proxy {
                /// Settings file (`ProxySettings`).
                required --config config: PathBuf
                /// Check the settings and exit.
                optional --check-config
                /// Print the settings with their defaults and exit.
                optional --print-config
            }
        }
    }
}

fn main() -> ExitCode {
    match flags::AgatestairStandins::from_env_or_exit().subcommand {
        flags::AgatestairStandinsCmd::Serve(flags) => {
            let config_flags = ConfigFlags { check: flags.check_config, print: flags.print_config };
            with_settings(&flags.config, "StandinSettings", config_flags, serve_standins)
        }
        flags::AgatestairStandinsCmd::Proxy(flags) => {
            let config_flags = ConfigFlags { check: flags.check_config, print: flags.print_config };
            with_settings(&flags.config, "ProxySettings", config_flags, serve_proxy)
        }
    }
}

/// Flags that check or print the settings and exit.
#[derive(Clone, Copy)]
struct ConfigFlags {
    check: bool,
    print: bool,
}

fn with_settings<T: DeserializeOwned + Serialize>(
    path: &Path,
    name: &'static str,
    config_flags: ConfigFlags,
    run: impl FnOnce(&T) -> ExitCode,
) -> ExitCode {
    match load_settings::<T>(path, name) {
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
        Ok(settings) if config_flags.print => print_settings(&settings),
        Ok(_) if config_flags.check => ExitCode::SUCCESS,
        Ok(settings) => run(&settings),
    }
}

fn serve_standins(settings: &StandinSettings) -> ExitCode {
    let log = open_log(settings.log.as_ref(), "standins", "standins");
    match StandinDeployment::start(settings) {
        Ok(_deployment) => {
            log_event!(log, STARTED, "platform" => settings.platform.as_str());
            wait_for_signal(&log)
        }
        Err(error) => {
            log_event!(log, LISTEN_FAILED, "error" => error.to_string());
            ExitCode::FAILURE
        }
    }
}

fn serve_proxy(settings: &ProxySettings) -> ExitCode {
    let log = open_log(settings.log.as_ref(), "proxy", "proxy");
    let control = settings.control.parse::<SocketAddr>().map_err(|error| error.to_string());
    let started = control.and_then(|control| {
        let routes = start_routes(&settings.routes).map_err(|error| error.to_string())?;
        let handler = proxy_handler(routes);
        serve(control, Arc::default(), handler).map_err(|error| error.to_string())
    });
    match started {
        Ok(()) => {
            log_event!(log, PROXY_STARTED, "control" => settings.control.as_str());
            wait_for_signal(&log)
        }
        Err(error) => {
            log_event!(log, LISTEN_FAILED, "error" => error);
            ExitCode::FAILURE
        }
    }
}

fn wait_for_signal(log: &Logger) -> ExitCode {
    let token = CancellationToken::new();
    if let Err(error) = cancel_on_signal(&token) {
        eprintln!("cannot handle signals: {error}; check the process limits");
        return ExitCode::FAILURE;
    }
    while !token.is_cancelled() {
        thread::sleep(SIGNAL_POLL_INTERVAL);
    }
    log_event!(log, STOPPED);
    ExitCode::SUCCESS
}
