//! The example lists match the layouts; deployments of stand-ins start and stop completely.

use std::thread;
use std::time::{Duration, Instant};

use agatestair_schema::standins::{EndpointFaults, Summary};
use agatestair_testbed::{Layout, Testbed, TestbedOptions, build_binaries, parse_lists};
use googletest::prelude::*;
use sha2::{Digest, Sha256};

fn layouts() -> Vec<Layout> {
    vec![Layout::lexicon(), Layout::fitline()]
}

#[googletest::test]
fn example_lists_match_layouts() {
    for layout in layouts() {
        let (plans, allowances) = parse_lists(layout.plans, layout.allowances).unwrap();
        for customer in layout.customers {
            let hash: String =
                Sha256::digest(customer.key()).iter().map(|byte| format!("{byte:02x}")).collect();
            let listed = plans.customers.iter().find(|listed| listed.name == customer.name);
            let listed = listed.unwrap_or_else(|| panic!("{} is not listed", customer.name));
            expect_that!(listed.keys, contains(eq(&hash)));
            expect_that!(listed.plan, eq(customer.plan));
        }
        for plan in &plans.plans {
            let allowance = allowances.allowances.iter().find(|a| a.plan == plan.name);
            let allowance = allowance.unwrap_or_else(|| panic!("{} has no allowance", plan.name));
            expect_that!(allowance.models, eq(&layout.models.map(str::to_owned).to_vec()));
        }
    }
}

#[googletest::test]
fn dropped_deployment_stops_processes_and_removes_folder() {
    build_binaries().unwrap();
    for layout in layouts() {
        let endpoints = layout.engines + layout.plain;
        let options = TestbedOptions { layout, entries: 0, proxied: true, ..Default::default() };
        let testbed = Testbed::start(options).unwrap();
        let summary: Summary = testbed.client.get(&testbed.addresses.recorder, "/summary").unwrap();
        expect_that!(summary.endpoints.len(), eq(endpoints as usize));
        let described = testbed.describe().unwrap();
        expect_that!(described.endpoints.len(), eq(endpoints as usize));
        expect_that!(testbed.standins.has_ended(), eq(false));
        let (recorder, folder) = (testbed.addresses.recorder.clone(), testbed.folder().to_owned());
        let client = testbed.client.clone();
        drop(testbed);
        expect_that!(client.status(&recorder, "/healthz"), none());
        expect_that!(folder.exists(), eq(false));
    }
}

#[googletest::test]
fn crashed_endpoint_restarts_with_new_boot() {
    build_binaries().unwrap();
    let options = TestbedOptions { entries: 0, ..Default::default() };
    let testbed = Testbed::start(options).unwrap();
    let name = &testbed.engine_names()[0];
    let boots = || -> u32 {
        let summary: Summary = testbed.client.get(&testbed.addresses.recorder, "/summary").unwrap();
        summary.endpoints.iter().find(|e| &e.endpoint == name).map_or(0, |e| e.boots)
    };
    expect_that!(boots(), eq(1));
    let faults = EndpointFaults { crash_ms: 100, ..Default::default() };
    testbed.set_endpoint_faults(name, &faults).unwrap();
    let deadline = Instant::now() + Duration::from_secs(10);
    while boots() < 2 && Instant::now() < deadline {
        thread::sleep(Duration::from_millis(10));
    }
    expect_that!(boots(), eq(2));
}
