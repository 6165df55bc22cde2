//! Differences between two revisions of the lists.

use std::collections::BTreeMap;
use std::fmt;

use agatestair_schema::lists::{AllowancesList, PlansList};
use serde::Serialize;
use serde_json::Value;

/// One plan, customer, allowance or service rule that differs.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Difference {
    /// Kind and name of the item, such as `customer acme`.
    pub what: String,
    /// Value before; absent if new.
    pub before: Option<Value>,
    /// Value after; absent if removed.
    pub after: Option<Value>,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.before, &self.after) {
            (None, Some(after)) => write!(f, "+ {} {after}", self.what),
            (Some(before), None) => write!(f, "- {} {before}", self.what),
            (Some(before), Some(after)) => write!(f, "~ {} {before} -> {after}", self.what),
            (None, None) => write!(f, "  {}", self.what),
        }
    }
}

/// Compares two pairs of lists, matching items by kind and name.
pub fn compare_lists(
    before: (&PlansList, &AllowancesList),
    after: (&PlansList, &AllowancesList),
) -> Vec<Difference> {
    let old = items_of(before.0, before.1);
    let new = items_of(after.0, after.1);
    let mut names: Vec<&String> = old.keys().chain(new.keys()).collect();
    names.sort_unstable();
    names.dedup();
    names
        .into_iter()
        .filter(|name| old.get(*name) != new.get(*name))
        .map(|name| Difference {
            what: name.clone(),
            before: old.get(name).cloned(),
            after: new.get(name).cloned(),
        })
        .collect()
}

fn items_of(plans: &PlansList, allowances: &AllowancesList) -> BTreeMap<String, Value> {
    let plan = plans.plans.iter().map(|item| (format!("plan {}", item.name), value_of(item)));
    let customers =
        plans.customers.iter().map(|item| (format!("customer {}", item.name), value_of(item)));
    let allowed = allowances
        .allowances
        .iter()
        .map(|item| (format!("allowance {}", item.plan), value_of(item)));
    let rules = allowances
        .services
        .iter()
        .map(|item| (format!("service {}", item.service), value_of(item)));
    plan.chain(customers).chain(allowed).chain(rules).collect()
}

fn value_of<T: Serialize>(item: &T) -> Value {
    serde_json::to_value(item).expect("wire types have string keys")
}
