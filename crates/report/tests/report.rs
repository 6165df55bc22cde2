//! Reports on synthetic counters: verdicts and main reasons of faults, restarts, rendering.

use agatestair_report::{
    BurnReport, BurnSettings, Reason, Series, Verdict, burn_report, render_html, render_text,
};
use agatestair_schema::lists::Lists;
use agatestair_schema::push_sample;
use agatestair_schema::slo::{SloCounts, SloKind, SloSample, SloSnapshot};
use googletest::prelude::*;
use serde_json::json;

const MINUTE_MS: u64 = 60_000;
const HOUR_MS: u64 = 60 * MINUTE_MS;
/// End of all windows, not at a whole hour, so that windows cut sampling intervals.
const NOW_MS: u64 = 500_000 * HOUR_MS + 17 * MINUTE_MS;
/// Requests of one instance per minute.
const PER_MINUTE: u64 = 200;

fn lists() -> Lists {
    serde_json::from_value(json!({
        "revision": 7, "operator": "ada", "applied_ms": 1,
        "plans": {
            "plans": [{
                "name": "gold", "priority": 2, "first_ms": 420, "token_ms": 71,
                "deadline_ms": 10000, "objective": 0.99,
            }],
            "customers": [],
        },
        "allowances": {
            "allowances": [],
            "services": [{"service": "match-ledger", "objective": 0.999}],
        },
    }))
    .expect("the lists are complete")
}

/// Misses in one period of the simulated time.
struct Fault {
    from_ms: u64,
    to_ms: u64,
    reason: Reason,
    /// Missed requests per minute.
    misses: u64,
}

fn add_miss(counts: &mut SloCounts, reason: Reason, misses: u64) {
    let count = match reason {
        Reason::Late => &mut counts.late,
        Reason::Refused => &mut counts.refused,
        Reason::Cut => &mut counts.cut,
        Reason::Store => &mut counts.store,
        Reason::Engine => &mut counts.engine,
    };
    *count += misses;
}

/// Counters of one run, sampled every minute and thinned like those of an entry.
fn snapshot(instance: &str, from_ms: u64, to_ms: u64, faults: &[Fault]) -> SloSnapshot {
    let mut counts = SloCounts {
        plan: "gold".to_owned(),
        service: "lexicon-models".to_owned(),
        kind: SloKind::Completion,
        good: 0,
        late: 0,
        refused: 0,
        cut: 0,
        store: 0,
        engine: 0,
    };
    let mut samples = Vec::new();
    let mut at_ms = from_ms;
    while at_ms < to_ms {
        at_ms += MINUTE_MS;
        counts.good += PER_MINUTE;
        for fault in faults.iter().filter(|f| f.from_ms < at_ms && at_ms <= f.to_ms) {
            counts.good -= fault.misses;
            add_miss(&mut counts, fault.reason, fault.misses);
        }
        push_sample(&mut samples, SloSample { at_ms, counts: vec![counts.clone()] });
    }
    SloSnapshot {
        instance: instance.to_owned(),
        boot: format!("{instance}-{from_ms}"),
        domain: "ikeja".to_owned(),
        started_ms: from_ms,
        samples,
    }
}

fn report(snapshots: &[SloSnapshot]) -> BurnReport {
    let settings = BurnSettings { now_ms: NOW_MS, ..BurnSettings::default() };
    burn_report(&Series::merge(snapshots), &lists(), &settings)
}

fn hours_ago(hours: u64) -> u64 {
    NOW_MS - hours * HOUR_MS
}

#[gtest]
fn faults_get_verdict_and_main_reason() {
    struct Case {
        name: &'static str,
        faults: Vec<Fault>,
        verdict: Verdict,
        reason: Option<Reason>,
    }
    let fault = |from, to, reason, misses| Fault {
        from_ms: hours_ago(from),
        to_ms: hours_ago(to),
        reason,
        misses,
    };
    let cases = [
        Case { name: "no fault", faults: vec![], verdict: Verdict::Kept, reason: None },
        Case {
            name: "slow for the last hour",
            faults: vec![fault(1, 0, Reason::Late, 60)],
            verdict: Verdict::FastBurn,
            reason: Some(Reason::Late),
        },
        Case {
            name: "slow for an hour, two hours ago",
            faults: vec![fault(3, 2, Reason::Late, 60)],
            verdict: Verdict::Watch,
            reason: Some(Reason::Late),
        },
        Case {
            name: "few misses because of the store for six hours",
            faults: vec![fault(6, 0, Reason::Store, 16)],
            verdict: Verdict::SlowBurn,
            reason: Some(Reason::Store),
        },
        Case {
            name: "many refusals and a few late requests",
            faults: vec![fault(1, 0, Reason::Refused, 80), fault(1, 0, Reason::Late, 5)],
            verdict: Verdict::FastBurn,
            reason: Some(Reason::Refused),
        },
    ];
    for case in cases {
        let runs = [
            snapshot("n1", hours_ago(72), NOW_MS, &case.faults),
            snapshot("n2", hours_ago(72), NOW_MS, &case.faults),
        ];
        let report = report(&runs);
        let burn = &report.subjects[0];
        expect_that!(burn.verdict, eq(case.verdict), "{}: {}", case.name, render_text(&report));
        expect_that!(burn.main_reason, eq(case.reason), "{}", case.name);
    }
}

#[gtest]
fn slow_hour_consumes_its_share_of_the_budget() {
    let slow = Fault {
        from_ms: hours_ago(1),
        to_ms: NOW_MS,
        reason: Reason::Late,
        misses: PER_MINUTE / 10,
    };
    let with = report(&[snapshot("n1", hours_ago(72), NOW_MS, &[slow])]);
    let without = report(&[snapshot("n1", hours_ago(72), NOW_MS, &[])]);
    let (with, without) = (&with.subjects[0], &without.subjects[0]);
    expect_that!(without.windows.iter().all(|window| window.burn == 0.0), eq(true));
    expect_that!(without.budget_left, near(1.0, 1e-9));
    // 10% missed and 1% is allowed: burn rate 10. One hour is 1/72 of the three-day window.
    expect_that!(with.windows[0].burn, near(10.0, 0.2));
    expect_that!(with.windows[1].burn, near(10.0, 0.5));
    expect_that!(with.windows[3].burn, near(10.0 / 72.0, 0.02));
    expect_that!(with.budget_left, near(1.0 - 10.0 / 72.0, 0.02));
}

#[gtest]
fn restarts_and_replacements_keep_request_counts() {
    let whole = report(&[snapshot("n1", hours_ago(6), NOW_MS, &[])]);
    let parts: Vec<SloSnapshot> = (0..6)
        .map(|hour| {
            let instance = if hour < 3 { "n1" } else { "n8" };
            snapshot(instance, hours_ago(6 - hour), hours_ago(5 - hour), &[])
        })
        .collect();
    let split = report(&parts);
    expect_that!(split.runs, eq(6));
    expect_that!(split.instances, eq(2));
    for (a, b) in whole.subjects[0].windows.iter().zip(&split.subjects[0].windows) {
        expect_that!(a.requests, near(b.requests, a.requests * 0.01));
        expect_that!(b.requests, gt(0.0));
        expect_that!(b.burn, near(0.0, 1e-9));
    }
}

#[gtest]
fn decreasing_counter_is_treated_as_reset() {
    let mut run = snapshot("n1", NOW_MS - 3 * MINUTE_MS, NOW_MS, &[]);
    for (sample, good) in run.samples.iter_mut().zip([100, 30, 50]) {
        sample.counts[0].good = good;
    }
    let report = report(&[run]);
    expect_that!(report.subjects[0].windows[0].requests, near(150.0, 1e-6));
}

#[gtest]
fn page_is_self_contained_and_shows_main_reason() {
    let slow =
        Fault { from_ms: hours_ago(2), to_ms: hours_ago(1), reason: Reason::Engine, misses: 50 };
    let mut snapshots = vec![snapshot("n1", hours_ago(72), NOW_MS, &[slow])];
    snapshots[0].samples[0].counts[0].plan = "<b>gold".to_owned();
    let page = render_html(&report(&snapshots)).expect("the page renders");
    expect_that!(page, contains_substring("<svg"));
    expect_that!(page, contains_substring("main reason for misses <b>engine</b>"));
    expect_that!(page, contains_substring("&lt;b&gt;gold"));
    expect_that!(page, not(contains_substring("src=")));
    expect_that!(page, not(contains_substring("<script")));
}
