//! Follows the tables of the platform's store.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use agatestair_runtime::log_event;
use rand::Rng;
use tokio::time::{Instant, sleep};

use crate::events::{
    CONFIGURED, ENDPOINT_CHANGED, ENDPOINT_GONE, ENDPOINT_LAPSED, READY, ROW_MALFORMED, STORE_LOST,
    STORE_REGAINED,
};
use crate::front::Front;
use crate::node::Node;
use crate::store::{Changes, Row, StoreFault, Table};

/// How much shorter than the time after which an instance must keep all bounds again the store
/// holds a call that waits for changes: the client's slack, a new connection and an answer.
const WAIT_MARGIN: Duration = Duration::from_millis(900);

/// Time after which a lapsed entry's time is surely over.
const DUE_MARGIN: Duration = Duration::from_millis(10);

/// Shortest such wait.
const MIN_WAIT: Duration = Duration::from_millis(500);

/// The same at instances that would learn from others of a change that their call missed.
const LONG_WAIT: Duration = Duration::from_secs(12);

/// Pause after changes, so that several in a row cost one call.
const GATHER: Duration = Duration::from_millis(400);

/// First pause after a failed call.
const MIN_PAUSE: Duration = Duration::from_millis(60);

/// Longest pause after failed calls; a configuration must be in force within seconds of the
/// store's return.
const MAX_PAUSE: Duration = Duration::from_millis(500);

/// Key of the configuration's row.
const CONFIGURATION_KEY: &str = "config";

/// Follows one table until the process ends.
pub async fn follow(front: Rc<Front>, table: Table) {
    let mut cursor = None;
    let mut failures = 0;
    let mut lost_at: Option<Instant> = None;
    loop {
        let answer = match cursor {
            None => (front.store.read)(table).await,
            Some(version) if table == Table::Configuration => {
                let reader = front.hub.ask(|node, now| node.is_reader(now));
                let wait = if reader { wait(&front) } else { LONG_WAIT };
                tokio::select! {
                    answer = (front.store.follow)(table, version, wait) => answer,
                    // Another instance knows more than the call that is waiting.
                    () = front.behind.notified() => (front.store.read)(table).await,
                }
            }
            Some(version) => {
                // The store is asked again just when lapsed entries have had their time.
                let due = front.hub.ask(|node, now| node.fleet.due(now));
                let due = due.map_or(Duration::MAX, |due| due + DUE_MARGIN);
                (front.store.follow)(table, version, wait(&front).min(due)).await
            }
        };
        match answer {
            Ok(changes) => {
                if let Some(since) = lost_at.take() {
                    log_event!(front.log, STORE_REGAINED, "table" => table.label(),
                        "ms" => since.elapsed().as_millis() as u64);
                }
                failures = 0;
                front.hub.ask(|node, now| node.fleet.note_back(now));
                expire(&front);
                let whole = cursor.is_none();
                let version = changes.version;
                let changed = !changes.rows.is_empty();
                apply(&front, table, changes, whole);
                cursor = cursor.max(Some(version));
                if changed {
                    sleep(GATHER).await;
                }
            }
            Err(fault) => {
                failures += 1;
                if fault == StoreFault::Forgotten {
                    cursor = None;
                } else {
                    front.hub.ask(|node, now| node.fleet.note_away(now));
                }
                if lost_at.is_none() {
                    lost_at = Some(Instant::now());
                    log_event!(front.log, STORE_LOST, "table" => table.label(),
                        "error" => fault.to_string());
                }
                sleep(pause(failures)).await;
            }
        }
    }
}

/// Removes the endpoints whose entries lapsed and did not come back.
fn expire(front: &Front) {
    for name in front.hub.ask(Node::tick) {
        log_event!(front.log, ENDPOINT_GONE, "endpoint" => &*name, "cause" => "lapsed");
    }
}

/// Time for which the store holds a call, so that a silent connection is found before all bounds
/// hold again.
fn wait(front: &Front) -> Duration {
    let contact = Duration::from_secs_f64(front.settings().bounds.contact_ms / 1000.0);
    contact.saturating_sub(WAIT_MARGIN).max(MIN_WAIT)
}

/// Pause after a number of failures in a row, spread so that instances do not call together.
fn pause(failures: u32) -> Duration {
    let most = (MIN_PAUSE * (1 << failures.min(4))).min(MAX_PAUSE);
    most.mul_f64(0.5 + 0.5 * rand::rng().random::<f64>())
}

fn apply(front: &Front, table: Table, changes: Changes, whole: bool) {
    let was_ready = front.hub.ask(|node, _| node.is_ready());
    match table {
        Table::Configuration => changes.rows.into_iter().for_each(|row| configure(front, row)),
        Table::Endpoints => apply_endpoints(front, changes.rows, whole),
        Table::Instances => {}
    }
    if !was_ready && front.hub.ask(|node, _| node.is_ready()) {
        log_event!(front.log, READY);
    }
}

fn configure(front: &Front, row: Row) {
    let Some(value) = row.value.filter(|_| &*row.key == CONFIGURATION_KEY) else { return };
    match (front.dialect.read_configuration)(&value) {
        Ok(configuration) => {
            let version = configuration.version;
            if front.hub.ask(move |node, _| node.adopt(configuration)) {
                log_event!(front.log, CONFIGURED, "version" => version, "row" => row.version);
            }
        }
        Err(fault) => log_event!(front.log, ROW_MALFORMED, "table" => "configuration",
            "error" => fault.to_string()),
    }
}

fn apply_endpoints(front: &Front, rows: Vec<Row>, whole: bool) {
    let names: Vec<Arc<str>> = rows.iter().map(|row| row.key.clone()).collect();
    for row in rows {
        match row.value {
            Some(value) => note_endpoint(front, &row.key, &value),
            None => drop_endpoint(front, &row.key),
        }
    }
    if whole {
        let gone = front.hub.ask(move |node, now| {
            node.fleet.known = true;
            node.retain_endpoints(&names, now)
        });
        gone.iter().for_each(|name| log_event!(front.log, ENDPOINT_GONE, "endpoint" => &**name));
    }
}

fn note_endpoint(front: &Front, name: &Arc<str>, value: &[u8]) {
    match (front.dialect.read_endpoint)(name, value) {
        Ok(facts) => {
            let noted = facts.clone();
            front.hub.ask(move |node, _| node.note_endpoint(noted));
            log_event!(front.log, ENDPOINT_CHANGED, "endpoint" => &**name,
                "service" => &*facts.service, "leaving" => facts.leaving,
                "stage" => format!("{:?}", facts.stage), "address" => facts.address.to_string());
        }
        Err(fault) => {
            log_event!(front.log, ROW_MALFORMED, "table" => "endpoints", "row" => &**name,
                "error" => fault.to_string());
            drop_endpoint(front, name);
        }
    }
}

fn drop_endpoint(front: &Front, name: &Arc<str>) {
    let key = name.clone();
    let gone = front.hub.ask(move |node, now| node.drop_endpoint(&key, now));
    if gone {
        log_event!(front.log, ENDPOINT_GONE, "endpoint" => &**name);
    } else {
        log_event!(front.log, ENDPOINT_LAPSED, "endpoint" => &**name);
    }
}
