//! Validation of the two lists beyond the schema.

use std::path::Path;

use agatestair_ctl::{ListFiles, check_lists, compare_lists, hash_key, read_lists};
use agatestair_schema::LISTS_SCHEMA;
use agatestair_settings::{Definition, read_text};
use googletest::prelude::*;

const PLANS: &str = r#"{
  // Targets in milliseconds.
  "plans": [
    {"name": "gold", "priority": 2, "first_ms": 500, "token_ms": 80, "deadline_ms": 60000},
    {"name": "free", "priority": 0, "first_ms": 2000, "token_ms": 200, "deadline_ms": 60000}
  ],
  "customers": [
    {"name": "board", "plan": "gold", "keys": ["HASH-A"]},
    {"name": "club", "plan": "free", "keys": ["HASH-B"]}
  ]
}"#;

const ALLOWANCES: &str = r#"{
  "allowances": [
    {"plan": "gold", "services": ["match-ledger"], "models": ["m1"], "fleet_share": 0.7},
    {"plan": "free", "services": [], "models": ["m1"], "fleet_share": 0.3}
  ],
  "services": [{"service": "match-ledger", "deadline_ms": 5000, "target_ms": 300}]
}"#;

/// One edit of the lists and the error that it causes.
struct Case {
    name: &'static str,
    change: (&'static str, &'static str),
    in_plans: bool,
    path: &'static str,
    line: usize,
    remedy: &'static str,
}

const CASES: &[Case] = &[
    Case {
        name: "customer with an unknown plan",
        change: (r#""plan": "gold", "keys""#, r#""plan": "glod", "keys""#),
        in_plans: true,
        path: "/customers/0/plan",
        line: 8,
        remedy: "known plans: gold, free",
    },
    Case {
        name: "duplicate plan name",
        change: (r#"{"name": "free", "priority""#, r#"{"name": "gold", "priority""#),
        in_plans: true,
        path: "/plans/1/name",
        line: 5,
        remedy: "rename",
    },
    Case {
        name: "API key in plain text",
        change: ("HASH-A", "sk-secret"),
        in_plans: true,
        path: "/customers/0/keys/0",
        line: 8,
        remedy: "agatestairctl key",
    },
    Case {
        name: "two customers with the same key",
        change: ("HASH-B", "HASH-A"),
        in_plans: true,
        path: "/customers/1/keys/0",
        line: 9,
        remedy: "a different key",
    },
    Case {
        name: "target above the deadline",
        change: (r#""first_ms": 500"#, r#""first_ms": 99000"#),
        in_plans: true,
        path: "/plans/0/first_ms",
        line: 4,
        remedy: "60000",
    },
    Case {
        name: "sum of shares above 1",
        change: (r#""fleet_share": 0.7"#, r#""fleet_share": 0.8"#),
        in_plans: false,
        path: "/allowances",
        line: 2,
        remedy: "lower `fleet_share`",
    },
    Case {
        name: "allowance for an unknown plan",
        change: (r#"{"plan": "free""#, r#"{"plan": "fere""#),
        in_plans: false,
        path: "/allowances/1/plan",
        line: 4,
        remedy: "remove the allowance",
    },
    Case {
        name: "service target above its deadline",
        change: (r#""target_ms": 300"#, r#""target_ms": 6000"#),
        in_plans: false,
        path: "/services/0/target_ms",
        line: 6,
        remedy: "5000",
    },
];

#[gtest]
fn errors_include_line_and_remedy() {
    for case in CASES {
        let (mut plans, mut allowances) = (PLANS.to_owned(), ALLOWANCES.to_owned());
        let text = if case.in_plans { &mut plans } else { &mut allowances };
        *text = text.replacen(case.change.0, case.change.1, 1);
        let faults = check_lists(&read(&plans, &allowances));
        let found = faults.iter().find(|fault| fault.path == case.path);
        let Some(found) = found else {
            panic!("case {}: no error at {} in {faults:?}", case.name, case.path);
        };
        expect_that!(found.line, eq(case.line), "case {}", case.name);
        expect_that!(found.remedy, contains_substring(case.remedy), "case {}", case.name);
        expect_that!(found.value, not(contains_substring("sk-secret")), "case {}", case.name);
    }
}

#[gtest]
fn valid_lists_pass() {
    expect_that!(check_lists(&read(PLANS, ALLOWANCES)), is_empty());
}

#[gtest]
fn differences_match_items_by_name() {
    let before = read(PLANS, ALLOWANCES);
    let after = read(&PLANS.replacen("club", "school", 1), ALLOWANCES);
    let differences = compare_lists(
        (&before.plans.value, &before.allowances.value),
        (&after.plans.value, &after.allowances.value),
    );
    let names: Vec<&str> = differences.iter().map(|d| d.what.as_str()).collect();
    expect_that!(names, elements_are![eq(&"customer club"), eq(&"customer school")]);
}

#[gtest]
fn error_names_missing_file() {
    let error = read_lists(Path::new("no-such-plans"), Path::new("no-such-allowances"));
    expect_that!(error.unwrap_err().to_string(), contains_substring("no-such-plans"));
}

fn read(plans: &str, allowances: &str) -> ListFiles {
    let plans = plans.replace("HASH-A", &hash_key("a")).replace("HASH-B", &hash_key("b"));
    let definition = |name| Definition { schema: LISTS_SCHEMA, name };
    ListFiles {
        plans: read_text("plans.jsonc", &plans, definition("PlansList")).expect("valid plans"),
        allowances: read_text("allowances.jsonc", allowances, definition("AllowancesList"))
            .expect("valid allowances"),
    }
}
