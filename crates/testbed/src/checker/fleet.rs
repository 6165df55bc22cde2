//! Promises on orders, leaving endpoints and lists.

use std::collections::HashMap;

use agatestair_schema::standins::{LeaveRecord, LeaveSource, OrderRecord, RunRecord};

use super::promises::{Promise, PromiseCounts};
use super::records::Records;

/// Time after which a leaving endpoint receives no new work, in milliseconds.
const LEAVE_BOUND_MS: u64 = 5000;

/// Checks the orders, the work of leaving endpoints and the order of accepted lists.
pub fn check_fleet(records: &Records, counts: &mut PromiseCounts) {
    for order in &records.orders {
        check_order(order, counts);
    }
    check_leaves(records, counts);
    for pair in records.lists.windows(2) {
        let reverted = pair[1].revision <= pair[0].revision;
        let detail = || format!("revision {} after {}", pair[1].revision, pair[0].revision);
        counts.note(Promise::ConfigRevert, reverted.then(detail));
    }
}

fn check_order(order: &OrderRecord, counts: &mut PromiseCounts) {
    let other = !order.during.is_empty() && order.during_holder != order.holder;
    let conflicts = other && !order.repeat && order.result != "stale";
    counts.note(Promise::ConflictingOrder, conflicts.then(|| describe(order)));
    let stale = order.fencing < order.highest;
    let effect = stale && !order.repeat && matches!(order.result.as_str(), "done" | "started");
    counts.note(Promise::StaleOrder, effect.then(|| describe(order)));
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
            counts.note(Promise::WorkAfterLeave, late(run, leave));
        }
    }
    for leaves in leaves.values() {
        let left = leaves.last().is_some_and(|leave| leave.leaving);
        if left {
            counts.note(Promise::WorkAfterLeave, None);
        }
    }
}

fn late(run: &RunRecord, leave: &LeaveRecord) -> Option<String> {
    let after_ms = run.received_ms - leave.at_ms;
    let detail = || format!("{} got request {} {after_ms} ms later", run.endpoint, run.request);
    (after_ms > LEAVE_BOUND_MS).then(detail)
}
