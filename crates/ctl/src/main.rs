//! Command line tool `agatestairctl`.

mod commands;

use std::path::Path;

use agatestair_ctl::{CtlError, Output};
use agatestair_schema::SETTINGS_SCHEMA;
use agatestair_schema::settings::CtlSettings;
use agatestair_settings::{Definition, SettingsError, read_file};

mod flags {
    #![allow(missing_docs)]
    use std::path::PathBuf;

    xflags::xflags! {
        /// Manages the lists and endpoints of an agatestair deployment.
        ///
        /// Exit codes: 0 success; 1 platform or instances unreachable; 2 invalid settings, lists or
        /// arguments; 3 conflict with another change; 4 accepted but not applied before the
        /// timeout; 5 outcome unknown. With --json each result and error is one JSON object on
        /// standard output.
        cmd agatestairctl {
            /// Settings file (`CtlSettings`); not needed for `check` and `key`.
            optional --config config: PathBuf
            /// Print results and errors as JSON.
            optional --json

            /// Validate the two lists and print every error with file, line and remedy.
            cmd check {
                /// File with the plans and customers.
                required plans: PathBuf
                /// File with the allowances.
                required allowances: PathBuf
            }
            /// Show what `apply` would change.
            cmd diff {
                /// File with the plans and customers.
                required plans: PathBuf
                /// File with the allowances.
                required allowances: PathBuf
            }
            /// Validate the two lists and apply them as a new revision.
            cmd apply {
                /// File with the plans and customers.
                required plans: PathBuf
                /// File with the allowances.
                required allowances: PathBuf
                /// Revision that the files are based on; rejected if another one is current.
                optional --on on: u64
                /// Validate and show the differences without applying them.
                optional --dry-run
                /// Wait until all live instances have applied it.
                optional --wait
                /// Timeout of the wait in seconds (default 30).
                optional --patience patience: u64
            }
            /// Print the current lists, or an earlier revision, as JSON.
            cmd get {
                /// Revision to print.
                optional --revision revision: u64
                /// Directory to write `plans.jsonc` and `allowances.jsonc` into.
                optional --into into: PathBuf
            }
            /// List the accepted changes.
            cmd history { }
            /// Apply the lists of an earlier revision as a new revision.
            cmd rollback {
                /// Revision to restore.
                required revision: u64
                /// Revision that must be current; rejected if another one is.
                optional --on on: u64
                /// Wait until all live instances have applied it.
                optional --wait
                /// Timeout of the wait in seconds (default 30).
                optional --patience patience: u64
            }
            /// Change the desired state of an endpoint.
            cmd endpoint {
                /// Stop sending new requests to it and keep it registered.
                cmd drain {
                    /// Name of the endpoint.
                    required name: String
                    /// Wait until it is draining.
                    optional --wait
                    /// Timeout of the wait in seconds (default 30).
                    optional --patience patience: u64
                }
                /// Replace it by a successor; it receives requests until the successor is ready.
                cmd replace {
                    /// Name of the endpoint.
                    required name: String
                    /// Name of the successor.
                    required --by by: String
                    /// Wait until it can be shut down.
                    optional --wait
                    /// Timeout of the wait in seconds (default 30).
                    optional --patience patience: u64
                }
                /// Let it finish its requests and remove it permanently.
                cmd withdraw {
                    /// Name of the endpoint.
                    required name: String
                    /// Wait until it can be shut down.
                    optional --wait
                    /// Timeout of the wait in seconds (default 30).
                    optional --patience patience: u64
                }
                /// Cancel a drain, replacement or withdrawal, even while it is in progress.
                cmd undo {
                    /// Name of the endpoint.
                    required name: String
                    /// Wait until it is serving.
                    optional --wait
                    /// Timeout of the wait in seconds (default 30).
                    optional --patience patience: u64
                }
            }
            /// Show instances, endpoints and leases, with the age of each record.
            cmd status {
                /// Refresh every second until interrupted.
                optional --watch
            }
            /// Wait until all live instances have applied a revision.
            cmd wait {
                /// Revision to wait for.
                required revision: u64
                /// Timeout of the wait in seconds (default 30).
                optional --patience patience: u64
            }
            /// Hash an API key from standard input for the list of plans.
            cmd key { }
        }
    }
}

fn main() -> std::process::ExitCode {
    let flags = flags::Agatestairctl::from_env_or_exit();
    let output = Output { json: flags.json };
    match commands::run(&flags, output) {
        Ok(()) => std::process::ExitCode::SUCCESS,
        Err(error) => {
            output.fail(&error);
            std::process::ExitCode::from(error.exit_code() as u8)
        }
    }
}

/// Reads the settings file, which all commands but `check` and `key` need.
fn load_settings(path: Option<&Path>) -> Result<CtlSettings, CtlError> {
    let path = path.ok_or_else(|| CtlError::Missing {
        what: "a settings file".to_owned(),
        remedy: "pass `--config FILE` before the command".to_owned(),
    })?;
    let definition = Definition { schema: SETTINGS_SCHEMA, name: "CtlSettings" };
    read_file::<CtlSettings>(path, definition)
        .map(|document| document.value)
        .map_err(|error: SettingsError| error.into())
}
