//! Common start of the binaries: reads the settings file and prints it with its defaults.

use std::path::Path;
use std::process::ExitCode;

use agatestair_schema::SETTINGS_SCHEMA;
use agatestair_settings::{Definition, SettingsError, read_file};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Reads and checks the settings in `path` against the definition `name` of the settings schema.
///
/// # Errors
///
/// [`SettingsError`] with every fault of the file.
pub fn load_settings<T: DeserializeOwned>(
    path: &Path,
    name: &'static str,
) -> Result<T, SettingsError> {
    let definition = Definition { schema: SETTINGS_SCHEMA, name };
    read_file(path, definition).map(|document| document.value)
}

/// Exit code for faulty settings or arguments.
pub const EXIT_USAGE: u8 = 2;

/// Reads the settings of a process that is to serve, or checks or prints them as its flags ask.
///
/// # Errors
///
/// The exit code of a process that does not serve: its settings are faulty, which is printed, or
/// were only to be checked or printed.
pub fn start_settings<T: DeserializeOwned + Serialize>(
    path: &Path,
    name: &'static str,
    check: bool,
    print: bool,
) -> Result<T, ExitCode> {
    let settings: T = load_settings(path, name).map_err(|error| {
        eprintln!("{error}");
        ExitCode::from(EXIT_USAGE)
    })?;
    if print {
        return Err(print_settings(&settings));
    }
    if check {
        println!("{}: settings are valid", path.display());
        return Err(ExitCode::SUCCESS);
    }
    Ok(settings)
}

/// Prints the settings in force, defaults included.
pub fn print_settings<T: Serialize>(settings: &T) -> ExitCode {
    match serde_json::to_string_pretty(settings) {
        Ok(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("cannot print the settings: {error}; report this as a defect");
            ExitCode::FAILURE
        }
    }
}
