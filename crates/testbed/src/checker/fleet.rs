//! Checks the promises on orders, leaving endpoints and lists.

use std::collections::HashMap;

use agatestair_schema::standins::{LeaveRecord, LeaveSource, OrderRecord, RunRecord};

use super::promises::{Promise, PromiseCounts};
use super::records::Records;

/// Time after which a leaving endpoint must not receive new work, in milliseconds.
const LEAVE_LIMIT_MS: u64 = 5000;

/// Checks orders, work sent to leaving endpoints, and that list revisions only increase.
pub fn check_fleet(records: &Records, counts: &mut PromiseCounts) {
    for order in &records.orders {
        check_order(order, counts);
    }
    check_leaves(records, counts);
    for pair in records.lists.windows(2) {
        let reverted = pair[1].revision <= pair[0].revision;
        let detail = || format!("revision {} after {}", pair[1].revision, pair[0].revision);
        counts.observe(Promise::ConfigRevert, reverted.then(detail));
    }
}

fn check_order(order: &OrderRecord, counts: &mut PromiseCounts) {
    let concurrent = !order.during.is_empty() && order.during_holder != order.holder;
    let conflicts = concurrent && !order.repeat && order.result != "stale";
    counts.observe(Promise::ConflictingOrder, conflicts.then(|| describe(order)));
    let stale = order.fencing < order.highest;
    let took_effect = stale && !order.repeat && matches!(order.result.as_str(), "done" | "started");
    counts.observe(Promise::StaleOrder, took_effect.then(|| describe(order)));
}

fn describe(order: &OrderRecord) -> String {
    format!(
        "{} {} to {} by {} with fencing {} (highest {}), during {:?} of {:?}: {}",
        order.kind,
        order.argument,
        order.endpoint,
        order.holder,
        order.fencing,
        order.highest,
        order.during,
        order.during_holder,
        order.result
    )
}

fn check_leaves(records: &Records, counts: &mut PromiseCounts) {
    let mut leaves: HashMap<&str, Vec<&LeaveRecord>> = HashMap::new();
    for leave in records.leaves.iter().filter(|leave| leave.source == LeaveSource::Wish) {
        leaves.entry(&leave.endpoint).or_default().push(leave);
    }
    for run in &records.runs {
        let Some(leaves) = leaves.get(run.endpoint.as_str()) else {
            continue;
        };
        let last = leaves.iter().rev().find(|leave| leave.at_ms <= run.received_ms);
        if let Some(leave) = last.filter(|leave| leave.leaving) {
            counts.observe(Promise::WorkAfterLeave, late_detail(run, leave));
        }
    }
    for leaves in leaves.values() {
        let is_leaving = leaves.last().is_some_and(|leave| leave.leaving);
        if is_leaving {
            counts.observe(Promise::WorkAfterLeave, None);
        }
    }
}

fn late_detail(run: &RunRecord, leave: &LeaveRecord) -> Option<String> {
    let after_ms = run.received_ms - leave.at_ms;
    let detail = || format!("{} got request {} {after_ms} ms later", run.endpoint, run.request);
    (after_ms > LEAVE_LIMIT_MS).then(detail)
}
