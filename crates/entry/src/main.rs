//! `agatestair-entry`: the process that serves callers.

use std::path::PathBuf;
use std::process::ExitCode;

use agatestair_runtime::{install_metrics, open_log, start_settings};
use agatestair_schema::settings::EntrySettings;

mod flags {
    #![allow(missing_docs)]

    use std::path::PathBuf;

    xflags::xflags! {
        /// Serves callers over HTTP and places their requests on endpoints.
        ///
        /// Exit codes: 0 after a graceful shutdown, 1 if it could not start, 2 for invalid settings
        /// or arguments.
        cmd agatestair-entry {
            /// Settings file, JSON with comments.
            required --config path: PathBuf
            /// Check the settings and exit.
            optional --check-config
            /// Print the settings with their defaults and exit.
            optional --print-config
        }
    }
}

fn main() -> ExitCode {
    let flags = match flags::AgatestairEntry::from_env() {
        Ok(flags) => flags,
        Err(error) => error.exit(),
    };
    let path: PathBuf = flags.config;
    let settings = start_settings(&path, "EntrySettings", flags.check_config, flags.print_config);
    let settings: EntrySettings = match settings {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    serve(settings)
}

fn serve(settings: EntrySettings) -> ExitCode {
    let log = open_log(settings.log.as_ref(), "entry", &settings.instance.name);
    let metrics = match install_metrics() {
        Ok(metrics) => metrics,
        Err(error) => {
            eprintln!("cannot set up metrics: {error}; report this as a defect");
            return ExitCode::FAILURE;
        }
    };
    match agatestair_entry::run(settings, metrics, &log) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::FAILURE
        }
    }
}
