//! Binary `agatestair-control`.

use std::path::Path;
use std::process::ExitCode;

use agatestair_control::{check_settings, run};
use agatestair_runtime::print_settings;
use agatestair_schema::SETTINGS_SCHEMA;
use agatestair_schema::settings::ControlSettings;
use agatestair_settings::{Definition, SettingsError, read_file};

/// Exit code for invalid settings.
const EXIT_SETTINGS: u8 = 2;

mod flags {
    #![allow(missing_docs)]
    use std::path::PathBuf;

    xflags::xflags! {
        /// Control process of an entry: collects load, holds leases, follows the two lists.
        cmd agatestair-control {
            /// Settings file, JSON with comments.
            required --config config: PathBuf
            /// Check the settings, print all errors and exit.
            optional --check-config
            /// Print the settings with their defaults and exit.
            optional --print-config
        }
    }
}

fn main() -> ExitCode {
    let flags = flags::AgatestairControl::from_env_or_exit();
    let settings = match load(&flags.config) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if flags.print_config {
        return print_settings(&settings);
    }
    if flags.check_config {
        println!("{}: settings are valid", flags.config.display());
        return ExitCode::SUCCESS;
    }
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::FAILURE
        }
    }
}

fn load(path: &Path) -> Result<ControlSettings, SettingsError> {
    let definition = Definition { schema: SETTINGS_SCHEMA, name: "ControlSettings" };
    let document = read_file::<ControlSettings>(path, definition)?;
    let faults = check_settings(&document);
    if faults.is_empty() { Ok(document.value) } else { Err(SettingsError::Invalid(faults)) }
}
