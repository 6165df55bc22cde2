//! Startup shared by the binaries: reads, validates and prints the settings.

use std::path::Path;
use std::process::ExitCode;

use agatestair_schema::SETTINGS_SCHEMA;
use agatestair_settings::{Definition, SettingsError, read_file};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Reads the settings file at `path` and validates it against definition `name` of the schema.
///
/// # Errors
///
/// [`SettingsError`] with every error in the file.
pub fn load_settings<T: DeserializeOwned>(
    path: &Path,
    name: &'static str,
) -> Result<T, SettingsError> {
    let definition = Definition { schema: SETTINGS_SCHEMA, name };
    read_file(path, definition).map(|document| document.value)
}

/// Exit code for invalid settings or arguments.
pub const EXIT_USAGE: u8 = 2;

/// Loads the settings at startup, or only validates (`check`) or prints (`print`) them.
///
/// # Errors
///
/// The exit code if the process must not start: its settings are invalid, which is printed to
/// standard error, or `check` or `print` is set.
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

/// Prints the effective settings, including defaults, as JSON.
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
