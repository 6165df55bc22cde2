//! Follows the tables of the platform's store by long polling, and applies their changes.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use agatestair_runtime::log_event;
use rand::Rng;
use tokio::time::{Instant, sleep};

use crate::cursor::TableNews;
use crate::datagram::{BulletinNews, BulletinTable};
use crate::events::{
    CONFIGURED, ENDPOINT_CHANGED, ENDPOINT_GONE, ENDPOINT_LAPSED, READY, ROW_MALFORMED, STORE_LOST,
    STORE_REGAINED,
};
use crate::front::Front;
use crate::node::{FollowMode, Node};
use crate::store::{Changes, Row, StoreFault, Table};
use crate::watchers::probe_pause;

/// A long poll is this much shorter than `bounds.contact_ms`, the time without faults after which
/// an instance must keep all bounds again. The margin covers the client's slack, a new connection
/// and an answer.
const POLL_MARGIN: Duration = Duration::from_millis(900);

/// Time added to the expiry of a lapsed entry, so that the next call is made after it.
const DUE_MARGIN: Duration = Duration::from_millis(10);

/// Shortest long poll.
const MIN_POLL: Duration = Duration::from_millis(500);

/// Long poll of instances that learn from others of a change that their poll missed.
const RELAXED_POLL: Duration = Duration::from_secs(12);

/// Longest long poll of watchers. Other instances call the store themselves once the last answer
/// that they know of is older than [`STALE`](crate::watchers::STALE).
const WATCHER_POLL: Duration = Duration::from_millis(1200);

/// Time for which a change that others know of may still arrive from them before the store is asked
/// for it.
const CATCH_UP_DELAY: Duration = Duration::from_millis(250);

/// Time after which an instance that relies on bulletins calls the store in any case.
const FALLBACK_INTERVAL: Duration = Duration::from_secs(60);

/// Longest time between two checks whether a call is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Pause after changes, so that one call returns several successive changes.
const COALESCE_PAUSE: Duration = Duration::from_millis(400);

/// Base of the exponential pause after failed calls.
const MIN_PAUSE: Duration = Duration::from_millis(60);

/// Longest pause after failed calls. A configuration must be applied within seconds after the store
/// becomes reachable again.
const MAX_PAUSE: Duration = Duration::from_millis(500);

/// Key of the configuration's row.
const CONFIGURATION_KEY: &str = "config";

/// A read of a table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StoreCall {
    Full,
    Changes { after: u64, wait: Duration },
}

/// Follows one table until the process ends.
pub async fn follow(front: Rc<Front>, table: Table) {
    let mut failures = 0;
    let mut lost_at: Option<Instant> = None;
    let mut last_call = Instant::now();
    loop {
        let call = due_call(&front, table, last_call).await;
        last_call = Instant::now();
        let (call, answer) = tokio::select! {
            answer = read(&front, table, call) => (call, answer),
            // Another instance has seen a change that the pending call has not returned.
            next = missed_change(&front, table) => (next, read(&front, table, next).await),
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
                let changed = !changes.rows.is_empty();
                handle_answer(&front, table, changes, call == StoreCall::Full);
                // A store that returns an old state is not called in a tight loop either.
                let behind = front.hub.ask(move |node, _| node.cursor(table).behind().is_some());
                if changed || behind {
                    sleep(COALESCE_PAUSE).await;
                }
            }
            Err(fault) => {
                failures += 1;
                if fault == StoreFault::Forgotten {
                    front.hub.ask(move |node, _| node.cursor(table).forget());
                } else {
                    front.hub.ask(|node, now| node.fleet.note_away(now));
                }
                if lost_at.is_none() {
                    lost_at = Some(Instant::now());
                    log_event!(front.log, STORE_LOST, "table" => table.label(),
                        "error" => fault.to_string());
                }
                let pause = retry_pause(&front, failures);
                tokio::select! {
                    () = sleep(pause) => {}
                    // Another instance reaches the store, and has seen a change that is missing
                    // here.
                    () = front.behind.notified(table) => {}
                }
            }
        }
    }
}

async fn read(front: &Front, table: Table, call: StoreCall) -> Result<Changes, StoreFault> {
    match call {
        StoreCall::Full => (front.store.read)(table).await,
        StoreCall::Changes { after, wait } => (front.store.follow)(table, after, wait).await,
    }
}

/// Waits until a call for a table is due and returns it.
async fn due_call(front: &Front, table: Table, last_call: Instant) -> StoreCall {
    loop {
        let (known, behind, mode, due) = front.hub.ask(move |node, now| {
            let mode = node.follow_mode(table, now);
            let cursor = node.cursor(table);
            (cursor.known, cursor.behind().map(|since| now.since(since)), mode, node.fleet.due(now))
        });
        let Some(after) = known else { return StoreCall::Full };
        if behind.is_some_and(|behind| behind >= CATCH_UP_DELAY) {
            return catch_up(front, table).unwrap_or(StoreCall::Full);
        }
        // The poll ends just after the first lapsed entry expires.
        let due = due.filter(|_| table == Table::Endpoints);
        let due = due.map_or(Duration::MAX, |due| due + DUE_MARGIN);
        let wait = match mode {
            FollowMode::Relaxed => RELAXED_POLL,
            FollowMode::Active => poll_time(front),
            FollowMode::Passive if last_call.elapsed() >= FALLBACK_INTERVAL => Duration::ZERO,
            FollowMode::Passive => {
                let pause = behind.map_or(CHECK_INTERVAL, |behind| CATCH_UP_DELAY - behind);
                tokio::select! {
                    () = sleep(pause) => {}
                    () = front.behind.notified(table) => {}
                }
                continue;
            }
        };
        return StoreCall::Changes { after, wait: wait.min(due) };
    }
}

/// The call that returns a change that other instances have seen; `None` if none is missing.
fn catch_up(front: &Front, table: Table) -> Option<StoreCall> {
    front.hub.ask(move |node, _| {
        let cursor = node.cursor(table);
        cursor.behind()?;
        if cursor.is_doubtful() {
            return Some(StoreCall::Full);
        }
        cursor.known.map(|after| StoreCall::Changes { after, wait: Duration::ZERO })
    })
}

/// Waits until a change that other instances have seen is missing here; returns the call for it.
async fn missed_change(front: &Front, table: Table) -> StoreCall {
    loop {
        front.behind.notified(table).await;
        if front.hub.ask(|node, _| !node.members.is_large()) {
            return StoreCall::Full;
        }
        sleep(CATCH_UP_DELAY).await;
        if let Some(call) = catch_up(front, table) {
            return call;
        }
    }
}

/// Removes the endpoints whose lapsed entries were not written again in time.
pub fn expire(front: &Front) {
    for name in front.hub.ask(Node::tick) {
        log_event!(front.log, ENDPOINT_GONE, "endpoint" => &*name, "cause" => "lapsed");
    }
}

/// Duration of a long poll, short enough to detect a dead connection before all bounds must hold
/// again.
fn poll_time(front: &Front) -> Duration {
    let contact = Duration::from_secs_f64(front.settings().bounds.contact_ms / 1000.0);
    let time = contact.saturating_sub(POLL_MARGIN).max(MIN_POLL);
    if front.hub.ask(|node, _| node.members.is_large()) { time.min(WATCHER_POLL) } else { time }
}

/// Pause after a number of consecutive failures, with jitter so that instances do not retry in
/// step.
///
/// While no instance reaches the store, most instances of a large fleet retry only rarely, since
/// any of them can detect that the store is reachable again.
fn retry_pause(front: &Front, failures: u32) -> Duration {
    let backoff = (MIN_PAUSE * (1 << failures.min(4))).min(MAX_PAUSE);
    let probe = front.hub.ask(|node, now| {
        let relies = node.cursor(Table::Endpoints).known.is_some() && !node.is_preferred(now);
        let probes = relies && node.members.is_large() && !node.watchers.hears(now);
        if probes { probe_pause(node.members.count(now)) } else { Duration::ZERO }
    });
    backoff.max(probe).mul_f64(0.5 + 0.5 * rand::rng().random::<f64>())
}

/// Applies an answer of the store, and queues its changes for other instances.
fn handle_answer(front: &Front, table: Table, changes: Changes, full: bool) {
    let (known, news) = front.hub.ask({
        let changes = changes.clone();
        move |node, _| {
            let cursor = node.cursor(table);
            (cursor.known, cursor.note_answer(&changes, full))
        }
    });
    // The configuration is a single row, so a full read of it contains all changes since version 0.
    let news = news.or_else(|| {
        let rows = changes.rows.clone();
        let complete = full && table == Table::Configuration && !rows.is_empty();
        complete.then_some(TableNews { since: 0, upto: changes.version, rows })
    });
    // Rows of instances are read once and not sent to other instances.
    let bulletin_table = BulletinTable::try_from(table).ok();
    if let Some((table, news)) = bulletin_table.zip(news) {
        front.changes.push(BulletinNews::new(table, news));
    }
    let mut rows = changes.rows;
    // Some rows may have arrived in bulletins while the call was pending.
    rows.retain(|row| full || known.is_none_or(|known| row.version > known));
    apply(front, table, rows, full, "store");
}

/// Applies rows of a table; `full` tells that these are all rows of the table.
pub fn apply(front: &Front, table: Table, rows: Vec<Row>, full: bool, source: &'static str) {
    let was_ready = front.hub.ask(|node, _| node.is_ready());
    match table {
        Table::Configuration => {
            rows.into_iter().for_each(|row| apply_configuration(front, row, source));
        }
        Table::Endpoints => apply_endpoints(front, rows, full, source),
        Table::Instances => {}
    }
    if !was_ready && front.hub.ask(|node, _| node.is_ready()) {
        log_event!(front.log, READY);
    }
}

fn apply_configuration(front: &Front, row: Row, source: &str) {
    let Some(value) = row.value.filter(|_| &*row.key == CONFIGURATION_KEY) else { return };
    match (front.dialect.read_configuration)(&value) {
        Ok(configuration) => {
            let version = configuration.version;
            if front.hub.ask(move |node, _| node.adopt(configuration)) {
                log_event!(front.log, CONFIGURED, "version" => version, "row" => row.version,
                    "source" => source);
            }
        }
        Err(fault) => log_event!(front.log, ROW_MALFORMED, "table" => "configuration",
            "error" => fault.to_string()),
    }
}

fn apply_endpoints(front: &Front, rows: Vec<Row>, full: bool, source: &str) {
    let names: Vec<Arc<str>> = rows.iter().map(|row| row.key.clone()).collect();
    for row in rows {
        match row.value {
            Some(value) => note_endpoint(front, &row.key, &value, source),
            None => drop_endpoint(front, &row.key),
        }
    }
    if full {
        let gone = front.hub.ask(move |node, now| {
            node.fleet.known = true;
            node.retain_endpoints(&names, now)
        });
        gone.iter().for_each(|name| log_event!(front.log, ENDPOINT_GONE, "endpoint" => &**name));
    }
}

fn note_endpoint(front: &Front, name: &Arc<str>, value: &[u8], source: &str) {
    match (front.dialect.read_endpoint)(name, value) {
        Ok(facts) => {
            let noted = facts.clone();
            front.hub.ask(move |node, _| node.note_endpoint(noted));
            log_event!(front.log, ENDPOINT_CHANGED, "endpoint" => &**name,
                "service" => &*facts.service, "leaving" => facts.leaving,
                "stage" => format!("{:?}", facts.stage), "address" => facts.address.to_string(),
                "source" => source);
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
