//! `agatestair-entry`: serves callers.

use std::path::PathBuf;
use std::process::ExitCode;

use agatestair_runtime::{install_metrics, load_settings, open_log, print_settings};
use agatestair_schema::settings::EntrySettings;

mod flags {
    #![allow(missing_docs)]

    use std::path::PathBuf;

    xflags::xflags! {
        /// Serves callers over HTTP and places their requests on endpoints.
        ///
        /// Exit codes: 0 after a graceful shutdown, 1 if it could not start, 2 for faulty settings
        /// or arguments.
        cmd agatestair-entry {
            /// Settings file, JSON with comments.
            required --config path: PathBuf
            /// Checks the settings and exits.
            optional --check-config
            /// Prints the settings with their defaults and exits.
            optional --print-config
        }
    }
}

/// Exit code for faulty settings or arguments.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let flags = match flags::AgatestairEntry::from_env() {
        Ok(flags) => flags,
        Err(error) => error.exit(),
    };
    let path: PathBuf = flags.config;
    let settings: EntrySettings = match load_settings(&path, "EntrySettings") {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if flags.print_config {
        return print_settings(&settings);
    }
    if flags.check_config {
        println!("{}: settings are valid", path.display());
        return ExitCode::SUCCESS;
    }
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
