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
