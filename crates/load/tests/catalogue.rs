//! Tests that the documented events and metrics match the code.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

use googletest::prelude::*;

/// Events of all crates that write logs.
fn events() -> Vec<agatestair_runtime::Event> {
    let crates = [
        agatestair_control::events::ALL,
        agatestair_entry::events::ALL,
        agatestair_link::events::ALL,
        agatestair_serve::events::ALL,
        agatestair_standins::ALL,
    ];
    crates.concat()
}

/// Crates that define metrics.
const METRIC_CRATES: [&str; 7] =
    ["control", "entry", "link", "policy", "runtime", "serve", "store"];
/// Common prefix of all metric names.
const METRIC_PREFIX: &str = "agatestair_";

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn page(name: &str) -> String {
    fs::read_to_string(root().join("docs").join(name)).expect("the page is committed")
}

#[gtest]
fn event_numbers_are_unique() {
    let events = events();
    let numbers: BTreeSet<u32> = events.iter().map(|event| event.number).collect();
    expect_that!(numbers.len(), eq(events.len()));
}

#[gtest]
fn events_page_matches_the_code() {
    let code: BTreeSet<String> = events()
        .iter()
        .map(|event| {
            let level = event.level.as_str().to_lowercase();
            format!("{} | {level} | {}", event.number, event.text)
        })
        .collect();
    let page: BTreeSet<String> = page("EVENTS.md")
        .lines()
        .filter(|line| line.starts_with("| ") && line[2..].starts_with(|c: char| c.is_numeric()))
        .map(|line| line[2..].splitn(4, " | ").take(3).collect::<Vec<_>>().join(" | "))
        .collect();
    expect_that!(page.difference(&code).collect::<Vec<_>>(), eq(&Vec::<&String>::new()));
    expect_that!(code.difference(&page).collect::<Vec<_>>(), eq(&Vec::<&String>::new()));
}

#[gtest]
fn metrics_page_matches_the_code() {
    let mut code = BTreeSet::new();
    for name in METRIC_CRATES {
        collect_from_folder(&root().join("crates").join(name).join("src"), &mut code);
    }
    collect_from_folder(&root().join("platform/src"), &mut code);
    let mut page_names = BTreeSet::new();
    let page = page("METRICS.md");
    for line in page.lines().filter(|line| line.starts_with("| `")) {
        page_names.extend(line.split('`').nth(1).map(str::to_owned));
    }
    expect_that!(page_names.difference(&code).collect::<Vec<_>>(), eq(&Vec::<&String>::new()));
    expect_that!(code.difference(&page_names).collect::<Vec<_>>(), eq(&Vec::<&String>::new()));
}

/// Collects the metric names in all Rust sources below `folder`.
fn collect_from_folder(folder: &Path, names: &mut BTreeSet<String>) {
    for entry in fs::read_dir(folder).expect("the folder is readable").flatten() {
        let path = entry.path();
        if path.is_dir() {
            collect_from_folder(&path, names);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            collect_names(&fs::read_to_string(&path).expect("the source is readable"), names);
        }
    }
}

/// Collects the string literals in `source` that are metric names.
fn collect_names(source: &str, names: &mut BTreeSet<String>) {
    for text in source.split('"').filter(|text| text.starts_with(METRIC_PREFIX)) {
        if text.chars().all(|c| c.is_ascii_lowercase() || c == '_') {
            names.insert(text.to_owned());
        }
    }
}
