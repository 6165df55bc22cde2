//! Tests that arrivals are deterministic for a seed and a fleet, and follow the offered load.

use std::time::Duration;

use agatestair_load::{
    Arrival, ArrivalSettings, CallerCounts, Class, CostModel, Fleet, Operation, SCENARIOS,
    draw_arrivals, find_scenario,
};
use googletest::prelude::*;

fn fleet(name: &str) -> Fleet {
    let cost = CostModel { engines: 14, prompt_s: 30e-6, output_s: 900e-6 };
    Fleet { name: name.to_owned(), cost, engines: 14, entries: 7, has_service: true }
}

fn draw(scenario: &str, seed: u64) -> Vec<Arrival> {
    let scenario = find_scenario(scenario).expect("the scenario exists");
    let plan = (scenario.build)(&fleet("lexicon"));
    draw_arrivals(&ArrivalSettings {
        seed,
        duration: plan.length,
        customers: &[1.0, 2.0],
        models: 1,
        offer: &*plan.offer,
    })
}

/// Load of the engines between two times as a share of their capacity, and the prefill share of it.
fn load(arrivals: &[Arrival], from_s: u64, to_s: u64) -> (f64, f64) {
    let cost = fleet("lexicon").cost;
    let (mut prompt, mut output) = (0.0, 0.0);
    let range = Duration::from_secs(from_s)..Duration::from_secs(to_s);
    for arrival in arrivals.iter().filter(|arrival| range.contains(&arrival.at)) {
        if let Operation::Completion(shape) = arrival.operation {
            prompt += cost.request_s(f64::from(shape.prompt_tokens()), 0.0);
            output += cost.request_s(0.0, f64::from(shape.max_tokens));
        }
    }
    #[allow(clippy::cast_precision_loss)]
    let seconds = (to_s - from_s) as f64 * f64::from(cost.engines);
    ((prompt + output) / seconds, prompt / (prompt + output))
}

#[gtest]
fn same_seed_gives_same_arrivals() {
    for scenario in &SCENARIOS {
        let first = draw(scenario.name, 3);
        expect_that!(first, not(is_empty()), "{}", scenario.name);
        expect_that!(first == draw(scenario.name, 3), eq(true), "{}", scenario.name);
        expect_that!(first == draw(scenario.name, 4), eq(false), "{}", scenario.name);
        expect_that!(first.is_sorted_by_key(|arrival| arrival.at), eq(true), "{}", scenario.name);
    }
}

#[gtest]
fn offered_load_follows_the_scenario() {
    struct Case {
        scenario: &'static str,
        from_s: u64,
        to_s: u64,
        load: f64,
        prefill: Option<f64>,
    }
    let case =
        |scenario, from_s, to_s, load, prefill| Case { scenario, from_s, to_s, load, prefill };
    let cases = [
        case("crest", 0, 6, 0.6, None),
        case("crest", 8, 18, 2.0, None),
        case("mix-shift", 0, 10, 0.9, Some(0.2)),
        case("mix-shift", 12, 22, 0.9, Some(0.6)),
        case("mix-shift", 24, 34, 0.9, Some(0.2)),
        case("slow-endpoints", 0, 22, 0.5, None),
    ];
    for case in cases {
        let (load, prefill) = load(&draw(case.scenario, 1), case.from_s, case.to_s);
        let name = format!("{} {}..{}", case.scenario, case.from_s, case.to_s);
        expect_that!(load, near(case.load, case.load * 0.12), "{name}");
        if let Some(expected) = case.prefill {
            expect_that!(prefill, near(expected, 0.05), "{name}");
        }
    }
}

#[gtest]
fn short_request_rate_is_the_same_alone_and_in_the_mix() {
    let arrivals = draw("short-behind-long", 2);
    let count = |from_s: u64, to_s: u64| {
        let range = Duration::from_secs(from_s)..Duration::from_secs(to_s);
        let short = arrivals.iter().filter(|a| a.class == Class::Short && range.contains(&a.at));
        f64::from(u32::try_from(short.count()).unwrap_or(0))
    };
    expect_that!(count(0, 8) / count(8, 16), near(1.0, 0.2));
}

#[gtest]
fn late_sends_are_reported() {
    let on_time = CallerCounts { requests: 10, ..CallerCounts::default() };
    let late = CallerCounts { sent_late: 1, ..on_time.clone() };
    expect_that!(on_time.late_note(), none());
    expect_that!(late.late_note(), some(contains_substring("1 of 10 requests were sent late")));
}
