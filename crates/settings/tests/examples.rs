//! The example settings are valid.

use std::path::Path;

use agatestair_schema::SETTINGS_SCHEMA;
use agatestair_schema::settings::{ControlSettings, CtlSettings, EntrySettings, ServeSettings};
use agatestair_settings::{Definition, read_file};
use googletest::prelude::*;
use serde::de::DeserializeOwned;

/// Folders of `examples`, one per deployment.
const DEPLOYMENTS: [&str; 2] = ["fitline", "lexicon"];

fn check<T: DeserializeOwned>(file: &str, name: &'static str) {
    let definition = Definition { schema: SETTINGS_SCHEMA, name };
    for deployment in DEPLOYMENTS {
        let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
        let path = examples.join(deployment).join(file);
        let error = read_file::<T>(&path, definition).map(|_| ()).err();
        expect_that!(error, none(), "{deployment}/{file}");
    }
}

#[gtest]
fn example_settings_are_valid() {
    check::<ControlSettings>("control.jsonc", "ControlSettings");
    check::<CtlSettings>("ctl.jsonc", "CtlSettings");
    check::<EntrySettings>("entry.jsonc", "EntrySettings");
    check::<ServeSettings>("front.jsonc", "ServeSettings");
}
