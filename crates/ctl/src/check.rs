//! Validation of the two lists beyond the schema, such as references between them.

use std::collections::BTreeMap;
use std::path::Path;

use agatestair_schema::LISTS_SCHEMA;
use agatestair_schema::lists::{AllowancesList, PlansList};
use agatestair_settings::{Definition, Document, Fault, SettingsError, read_file};

/// Length of a SHA-256 hash in hexadecimal digits.
const HASH_DIGITS: usize = 64;
/// Tolerance for rounding errors in the sum of the fleet shares.
const SHARE_TOLERANCE: f64 = 1e-9;

/// Both lists as read from their files.
#[derive(Clone, Debug)]
pub struct ListFiles {
    /// Plans and customers.
    pub plans: Document<PlansList>,
    /// Allowances of the plans and rules of the services.
    pub allowances: Document<AllowancesList>,
}

/// Reads both files and validates them against the schema and each other.
///
/// # Errors
///
/// [`SettingsError`] with every error in both files.
pub fn read_lists(plans: &Path, allowances: &Path) -> Result<ListFiles, SettingsError> {
    let plans =
        read_file::<PlansList>(plans, Definition { schema: LISTS_SCHEMA, name: "PlansList" });
    let allowances = read_file::<AllowancesList>(
        allowances,
        Definition { schema: LISTS_SCHEMA, name: "AllowancesList" },
    );
    let files = match (plans, allowances) {
        (Ok(plans), Ok(allowances)) => ListFiles { plans, allowances },
        (Err(SettingsError::Invalid(mut first)), Err(SettingsError::Invalid(second))) => {
            first.extend(second);
            return Err(SettingsError::Invalid(first));
        }
        (Err(error), _) | (_, Err(error)) => return Err(error),
    };
    let faults = check_lists(&files);
    if faults.is_empty() { Ok(files) } else { Err(SettingsError::Invalid(faults)) }
}

/// Finds all errors that the schema cannot express.
pub fn check_lists(files: &ListFiles) -> Vec<Fault> {
    let mut faults = Vec::new();
    check_plans(&files.plans, &mut faults);
    check_customers(&files.plans, &mut faults);
    check_allowances(files, &mut faults);
    check_services(&files.allowances, &mut faults);
    faults
}

fn check_plans(document: &Document<PlansList>, faults: &mut Vec<Fault>) {
    let plans = &document.value.plans;
    let names = plans.iter().map(|plan| plan.name.as_str());
    check_names(document, "/plans", "name", names, faults);
    for (index, plan) in plans.iter().enumerate() {
        if plan.first_ms > plan.deadline_ms {
            faults.push(document.fault(
                &format!("/plans/{index}/first_ms"),
                &plan.first_ms.to_string(),
                "the target exceeds the deadline",
                &format!("give at most `deadline_ms` ({})", plan.deadline_ms),
            ));
        }
        for (name, value) in [("first_ms", plan.first_ms), ("token_ms", plan.token_ms)] {
            if value == 0 {
                faults.push(document.fault(
                    &format!("/plans/{index}/{name}"),
                    "0",
                    "no request can meet this target",
                    "give at least 1",
                ));
            }
        }
    }
}

fn check_customers(document: &Document<PlansList>, faults: &mut Vec<Fault>) {
    let list = &document.value;
    let names = list.customers.iter().map(|customer| customer.name.as_str());
    check_names(document, "/customers", "name", names, faults);
    let mut owners: BTreeMap<&str, &str> = BTreeMap::new();
    for (index, customer) in list.customers.iter().enumerate() {
        if !list.plans.iter().any(|plan| plan.name == customer.plan) {
            let known: Vec<&str> = list.plans.iter().map(|plan| plan.name.as_str()).collect();
            faults.push(document.fault(
                &format!("/customers/{index}/plan"),
                &customer.plan,
                "unknown plan",
                &format!("known plans: {}", known.join(", ")),
            ));
        }
        for (position, key) in customer.keys.iter().enumerate() {
            let path = format!("/customers/{index}/keys/{position}");
            if !is_hash(key) {
                faults.push(document.fault(
                    &path,
                    "a redacted value",
                    "not a SHA-256 hash in lower-case hexadecimal",
                    "store the hash that `agatestairctl key` prints, never the key itself",
                ));
            }
            if let Some(other) = owners.insert(key, &customer.name) {
                faults.push(document.fault(
                    &path,
                    key,
                    &format!("customer `{other}` already has this key"),
                    "use a different key for each customer",
                ));
            }
        }
    }
}

fn check_allowances(files: &ListFiles, faults: &mut Vec<Fault>) {
    let document = &files.allowances;
    let allowances = &document.value.allowances;
    let plans = &files.plans.value.plans;
    let names = allowances.iter().map(|allowance| allowance.plan.as_str());
    check_names(document, "/allowances", "plan", names, faults);
    for (index, allowance) in allowances.iter().enumerate() {
        if !plans.iter().any(|plan| plan.name == allowance.plan) {
            faults.push(document.fault(
                &format!("/allowances/{index}/plan"),
                &allowance.plan,
                "unknown plan",
                &format!("add it to {} or remove the allowance", files.plans.file),
            ));
        }
    }
    for (index, plan) in plans.iter().enumerate() {
        if !allowances.iter().any(|allowance| allowance.plan == plan.name) {
            faults.push(files.plans.fault(
                &format!("/plans/{index}/name"),
                &plan.name,
                "the plan has no allowance",
                &format!("add one to {}", document.file),
            ));
        }
    }
    let sum: f64 = allowances.iter().map(|allowance| allowance.fleet_share).sum();
    if sum > 1.0 + SHARE_TOLERANCE {
        faults.push(document.fault(
            "/allowances",
            &format!("{sum:.4}"),
            "the sum of the fleet shares exceeds 1",
            "lower `fleet_share` of one or more plans",
        ));
    }
}

fn check_services(document: &Document<AllowancesList>, faults: &mut Vec<Fault>) {
    let rules = &document.value.services;
    let names = rules.iter().map(|rule| rule.service.as_str());
    check_names(document, "/services", "service", names, faults);
    for (index, rule) in rules.iter().enumerate() {
        if rule.target_ms > rule.deadline_ms {
            faults.push(document.fault(
                &format!("/services/{index}/target_ms"),
                &rule.target_ms.to_string(),
                "the target exceeds the deadline",
                &format!("give at most `deadline_ms` ({})", rule.deadline_ms),
            ));
        }
    }
}

/// Finds empty and duplicate names in the array at `path`.
fn check_names<'a, T>(
    document: &Document<T>,
    path: &str,
    field: &str,
    names: impl Iterator<Item = &'a str>,
    faults: &mut Vec<Fault>,
) {
    let mut seen: BTreeMap<&str, usize> = BTreeMap::new();
    for (index, name) in names.enumerate() {
        let pointer = format!("{path}/{index}/{field}");
        if name.trim().is_empty() {
            faults.push(document.fault(&pointer, name, "the name is empty", "enter a name"));
        }
        if let Some(first) = seen.insert(name, index) {
            faults.push(document.fault(
                &pointer,
                name,
                &format!("the name is already used at {path}/{first}"),
                "remove or rename one of the two items",
            ));
        }
    }
}

fn is_hash(text: &str) -> bool {
    let hexadecimal = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    text.len() == HASH_DIGITS && text.bytes().all(hexadecimal)
}
