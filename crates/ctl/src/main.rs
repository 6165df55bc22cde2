//! Binary `agatestairctl`.

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
        /// Operators' command line of agatestair.
        ///
        /// Exit codes: 0 done; 1 platform or instances unreachable; 2 faulty settings, lists or
        /// arguments; 3 another change came first; 4 accepted but not in force in time; 5 outcome
        /// not known. With --json each result and failure is one JSON object on standard output.
        cmd agatestairctl {
            /// Settings file (`CtlSettings`); not needed for `check` and `key`.
            optional --config config: PathBuf
            /// Print JSON.
            optional --json

            /// Check the two lists and print every fault with file, line and remedy.
            cmd check {
                /// File of customers' plans.
                required plans: PathBuf
                /// File of allowances.
                required allowances: PathBuf
            }
            /// Show what `apply` would change.
            cmd diff {
                /// File of customers' plans.
                required plans: PathBuf
                /// File of allowances.
                required allowances: PathBuf
            }
            /// Check the two lists and put them in force.
            cmd apply {
                /// File of customers' plans.
                required plans: PathBuf
                /// File of allowances.
                required allowances: PathBuf
                /// Revision that the files are based on; refused if another is in force.
                optional --on on: u64
                /// Check and show the differences only.
                optional --dry-run
                /// Wait until all live instances have it in force.
                optional --wait
                /// Longest wait in seconds, 30 if not given.
                optional --patience patience: u64
            }
            /// Print the lists in force, or of an earlier revision, as JSON.
            cmd get {
                /// Revision to print.
                optional --revision revision: u64
                /// Directory to write `plans.jsonc` and `allowances.jsonc` into.
                optional --into into: PathBuf
            }
            /// List the accepted changes.
            cmd history { }
            /// Put an earlier revision in force under a new number.
            cmd rollback {
                /// Revision to return to.
                required revision: u64
                /// Revision that must be in force now.
                optional --on on: u64
                /// Wait until all live instances have it in force.
                optional --wait
                /// Longest wait in seconds, 30 if not given.
                optional --patience patience: u64
            }
            /// Change what is wanted of an endpoint.
            cmd endpoint {
                /// Take no new work and stay.
                cmd drain {
                    /// Name of the endpoint.
                    required name: String
                    /// Wait until it is drained.
                    optional --wait
                    /// Longest wait in seconds, 30 if not given.
                    optional --patience patience: u64
                }
                /// Let a successor take its place: it takes work until the successor is ready.
                cmd replace {
                    /// Name of the endpoint.
                    required name: String
                    /// Name of the successor.
                    required --by by: String
                    /// Wait until it can be switched off.
                    optional --wait
                    /// Longest wait in seconds, 30 if not given.
                    optional --patience patience: u64
                }
                /// Finish its work and leave for good.
                cmd withdraw {
                    /// Name of the endpoint.
                    required name: String
                    /// Wait until it can be switched off.
                    optional --wait
                    /// Longest wait in seconds, 30 if not given.
                    optional --patience patience: u64
                }
                /// Undo a drain, replacement or withdrawal, also while it runs.
                cmd undo {
                    /// Name of the endpoint.
                    required name: String
                    /// Wait until it serves.
                    optional --wait
                    /// Longest wait in seconds, 30 if not given.
                    optional --patience patience: u64
                }
            }
            /// Show instances, endpoints and leases, with the age of each fact.
            cmd status {
                /// Show again each second until interrupted.
                optional --watch
            }
            /// Wait until a revision is in force at all live instances.
            cmd wait {
                /// Revision.
                required revision: u64
                /// Longest wait in seconds, 30 if not given.
                optional --patience patience: u64
            }
            /// Print the hash of an API key, read from standard input, for the list of plans.
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

/// Reads the settings that most commands need.
fn load_settings(path: Option<&Path>) -> Result<CtlSettings, CtlError> {
    let path = path.ok_or_else(|| CtlError::Missing {
        what: "a settings file".to_owned(),
        remedy: "name it with `--config FILE` before the command".to_owned(),
    })?;
    let definition = Definition { schema: SETTINGS_SCHEMA, name: "CtlSettings" };
    read_file::<CtlSettings>(path, definition)
        .map(|document| document.value)
        .map_err(|error: SettingsError| error.into())
}
