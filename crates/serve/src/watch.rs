//! Follows the tables of the platform's store by long polling, and applies their changes.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use agatestair_runtime::log_event;
use rand::Rng;
use tokio::time::{Instant, sleep};

use crate::bulletins::TimedUpdate;
use crate::cursor::TableUpdate;
use crate::customers::Customers;
use crate::datagram::{BulletinTable, BulletinUpdate};
use crate::endpoint_list::Restored;
use crate::events::{
    ANSWER_FORMER, CONFIGURED, CUSTOMERS_MALFORMED, ENDPOINT_CHANGED, ENDPOINT_EXPIRED,
    ENDPOINT_REMOVED, ENTRY_HELD, READY, ROW_MALFORMED, STORE_AVAILABLE, STORE_CALL_FAILED,
    STORE_UNAVAILABLE, TABLE_READ_AGAIN,
};
use crate::node::{FollowMode, Node};
use crate::shared::Shared;
use crate::store::{Changes, Reply, Row, RowKey, StoreError, Table};
use crate::watchers::probe_pause;
use crate::wire::WireError;

/// A long poll is this much shorter than `bounds.contact_ms`, the time without faults after which
/// an instance must keep all bounds again. The margin covers the client's slack, a new connection
/// and a response.
const POLL_MARGIN: Duration = Duration::from_millis(900);

/// Time added until an endpoint with an expired entry is removed, so that the next call is made
/// after it.
const DUE_MARGIN: Duration = Duration::from_millis(10);

/// Shortest long poll.
const MIN_POLL: Duration = Duration::from_millis(500);

/// Long poll of instances that learn from others of a change that their poll missed.
const RELAXED_POLL: Duration = Duration::from_secs(12);

/// Longest long poll of watchers. Other instances call the store themselves once the last response
/// that they know of is older than [`STALE`](crate::watchers::STALE).
const WATCHER_POLL: Duration = Duration::from_millis(1200);

/// Time for which a change that others know of may still arrive from them before the store is
/// queried for it.
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
pub const CONFIGURATION_KEY: &str = "config";

/// A read of a table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StoreCall {
    Full,
    Changes { after: u64, wait: Duration },
}

impl StoreCall {
    /// Whether the store may answer only once there is a change. Any other call already reads what
    /// is missing, and would begin anew.
    fn waits(self) -> bool {
        matches!(self, Self::Changes { wait, .. } if !wait.is_zero())
    }
}

/// Follows one table until the process ends.
pub async fn follow(shared: Rc<Shared>, table: Table) {
    let mut failures = 0;
    let mut lost_at: Option<Instant> = None;
    let mut last_call = Instant::now();
    loop {
        let call = due_call(&shared, table, last_call).await;
        last_call = Instant::now();
        let asked = shared.timeline();
        let (call, reply) = tokio::select! {
            reply = read(&shared, table, call) => (call, reply),
            // Another instance has seen a change that the pending call has not returned.
            next = missed_change(&shared, table), if call.waits() => {
                (next, read(&shared, table, next).await)
            }
            // Versions in the pending call mean nothing any more.
            () = shared.until_restored(asked) => continue,
        };
        if !is_usable(&shared, table, call, asked, &reply) {
            failures += 1;
            if shared.timeline() == asked {
                wait_to_retry(&shared, table, failures, true).await;
            }
            continue;
        }
        match reply.outcome {
            Ok(changes) => {
                if let Some(since) = lost_at.take() {
                    log_event!(shared.log, STORE_AVAILABLE, "table" => table.label(),
                        "ms" => since.elapsed().as_millis() as u64);
                }
                failures = 0;
                shared.hub.ask(|node, now| node.endpoint_list.note_store_up(now));
                expire(&shared);
                let changed = !changes.rows.is_empty();
                handle_response(&shared, table, changes, call == StoreCall::Full);
                // A store that returns an old state is not called in a tight loop either.
                let behind = shared.hub.ask(move |node, _| node.cursor(table).behind().is_some());
                if changed || behind {
                    sleep(COALESCE_PAUSE).await;
                }
            }
            Err(error) => {
                failures += 1;
                let history_lost = error == StoreError::HistoryLost;
                if history_lost {
                    shared.hub.ask(move |node, _| node.cursor(table).reset());
                } else {
                    shared.hub.ask(|node, now| node.endpoint_list.note_store_down(now));
                }
                if lost_at.is_none() {
                    lost_at = Some(Instant::now());
                    log_event!(shared.log, STORE_UNAVAILABLE, "table" => table.label(),
                        "error" => error.to_string());
                }
                metrics::counter!("agatestair_serve_store_calls_failed_total",
                    "table" => table.label())
                .increment(1);
                log_event!(shared.log, STORE_CALL_FAILED, "table" => table.label(),
                    "call" => format!("{call:?}"), "ms" => last_call.elapsed().as_millis() as u64,
                    "failures" => failures, "error" => error.to_string());
                // A store that has lost its history is reachable.
                wait_to_retry(&shared, table, failures, !history_lost).await;
            }
        }
    }
}

/// Reads a table as a whole and applies it, beside the task that follows it.
pub async fn refresh(shared: &Shared, table: Table) {
    let asked = shared.timeline();
    let reply = read(shared, table, StoreCall::Full).await;
    if !is_usable(shared, table, StoreCall::Full, asked, &reply) {
        return;
    }
    match reply.outcome {
        Ok(changes) => handle_response(shared, table, changes, true),
        Err(error) => log_event!(shared.log, STORE_UNAVAILABLE, "table" => table.label(),
            "error" => error.to_string()),
    }
}

/// Records the timeline of a response, and returns whether its versions belong to the one that is
/// followed now.
fn is_usable(
    shared: &Shared,
    table: Table,
    call: StoreCall,
    asked: Option<u64>,
    reply: &Reply<Changes>,
) -> bool {
    shared.note_timeline(reply);
    let named = reply.timeline.as_ref().and_then(|named| named.as_ref().ok()).copied();
    let whole = call == StoreCall::Full && reply.outcome.is_ok();
    let (usable, current) = shared
        .hub
        .ask(move |node, _| (node.timeline.admits(asked, named, whole), node.timeline.current()));
    if !usable {
        metrics::counter!("agatestair_serve_former_answers_total", "source" => "store")
            .increment(1);
        log_event!(shared.log, ANSWER_FORMER, "table" => table.label(), "named" => named,
            "asked" => asked, "timeline" => current);
    }
    usable
}

async fn read(shared: &Shared, table: Table, call: StoreCall) -> Reply<Changes> {
    match call {
        StoreCall::Full => (shared.store.read)(table).await,
        StoreCall::Changes { after, wait } => (shared.store.follow)(table, after, wait).await,
    }
}

/// Waits until a call for a table is due and returns it.
async fn due_call(shared: &Shared, table: Table, last_call: Instant) -> StoreCall {
    loop {
        let (known, restart, behind, mode, due) = shared.hub.ask(move |node, now| {
            let mode = node.follow_mode(table, now);
            let cursor = node.cursor(table);
            (
                cursor.known,
                cursor.restart_due().map_or(Duration::ZERO, |due| due.since(now)),
                cursor.behind().map(|since| now.since(since)),
                mode,
                node.endpoint_list.due(now),
            )
        });
        let Some(after) = known else {
            if restart.is_zero() {
                return StoreCall::Full;
            }
            sleep(restart.min(CHECK_INTERVAL)).await;
            continue;
        };
        if behind.is_some_and(|behind| behind >= CATCH_UP_DELAY) {
            return catch_up(shared, table).unwrap_or(StoreCall::Full);
        }
        // The poll ends just after the first endpoint with an expired entry may be removed.
        let due = due.filter(|_| table == Table::Endpoints);
        let due = due.map_or(Duration::MAX, |due| due + DUE_MARGIN);
        let wait = match mode {
            FollowMode::Relaxed => RELAXED_POLL,
            FollowMode::Active => poll_time(shared),
            FollowMode::Passive if last_call.elapsed() >= FALLBACK_INTERVAL => Duration::ZERO,
            FollowMode::Passive => {
                let pause = behind.map_or(CHECK_INTERVAL, |behind| CATCH_UP_DELAY - behind);
                tokio::select! {
                    () = sleep(pause) => {}
                    () = shared.wakeups.notified(table) => {}
                }
                continue;
            }
        };
        return StoreCall::Changes { after, wait: wait.min(due) };
    }
}

/// The call that returns a change that other instances have seen; `None` if none is missing.
fn catch_up(shared: &Shared, table: Table) -> Option<StoreCall> {
    shared.hub.ask(move |node, _| {
        let cursor = node.cursor(table);
        cursor.behind()?;
        // The changes of a single row are all its former versions, of which only the newest counts.
        if cursor.may_have_skipped() || table == Table::Configuration {
            return Some(StoreCall::Full);
        }
        cursor.known.map(|after| StoreCall::Changes { after, wait: Duration::ZERO })
    })
}

/// Waits until a change that other instances have seen is missing here; returns the call for it.
async fn missed_change(shared: &Shared, table: Table) -> StoreCall {
    loop {
        shared.wakeups.notified(table).await;
        if shared.hub.ask(|node, _| !node.members.is_large()) {
            return StoreCall::Full;
        }
        sleep(CATCH_UP_DELAY).await;
        if let Some(call) = catch_up(shared, table) {
            return call;
        }
    }
}

/// Removes the endpoints whose expired entries were not written again in time.
pub fn expire(shared: &Shared) {
    for name in shared.hub.ask(Node::tick) {
        log_event!(shared.log, ENDPOINT_REMOVED, "endpoint" => &*name, "cause" => "lapsed");
    }
    for name in shared.hub.ask(Node::release_endpoints) {
        log_event!(shared.log, ENDPOINT_CHANGED, "endpoint" => &*name, "source" => "held entry");
    }
}

/// Duration of a long poll, short enough to detect a dead connection before all bounds must hold
/// again.
fn poll_time(shared: &Shared) -> Duration {
    let contact = Duration::from_secs_f64(shared.settings().bounds.contact_ms / 1000.0);
    let time = contact.saturating_sub(POLL_MARGIN).max(MIN_POLL);
    if shared.hub.ask(|node, _| node.members.is_large()) { time.min(WATCHER_POLL) } else { time }
}

/// Pauses after a number of consecutive failures, with jitter so that instances do not retry in
/// step.
///
/// While no instance reaches the store, if it may be `unreachable`, most instances of a large fleet
/// retry only rarely, since any of them can detect that the store is reachable again. The pause
/// ends when a watcher reports that it is.
async fn wait_to_retry(shared: &Shared, table: Table, failures: u32, unreachable: bool) {
    let begun = Instant::now();
    let backoff = (MIN_PAUSE * (1 << failures.min(4))).min(MAX_PAUSE);
    let factor = 0.5 + 0.5 * rand::rng().random::<f64>();
    loop {
        let probe = shared.hub.ask(move |node, now| {
            let relies = node.cursor(Table::Endpoints).known.is_some() && !node.is_preferred(now);
            let probes = relies && node.members.is_large() && !node.watchers.has_fresh_watcher(now);
            if probes && unreachable {
                probe_pause(node.members.count(now))
            } else {
                Duration::ZERO
            }
        });
        let left = backoff.max(probe).mul_f64(factor).saturating_sub(begun.elapsed());
        if left.is_zero() {
            return;
        }
        tokio::select! {
            () = sleep(left.min(CHECK_INTERVAL)) => {}
            // Another instance reaches the store, and has seen a change that is missing here.
            () = shared.wakeups.notified(table) => return,
        }
    }
}

/// Applies a response of the store, and queues its changes for other instances.
fn handle_response(shared: &Shared, table: Table, changes: Changes, full: bool) {
    let (known, restarted, timeline, update) = shared.hub.ask({
        let changes = changes.clone();
        move |node, _| {
            let timeline = node.timeline.current();
            let cursor = node.cursor(table);
            let restarted = cursor.restart_due().is_some();
            (cursor.known, restarted, timeline, cursor.note_response(&changes, full))
        }
    });
    if restarted {
        let in_force = shared.hub.ask(|node, _| node.version());
        log_event!(shared.log, TABLE_READ_AGAIN, "table" => table.label(), "timeline" => timeline,
            "rows" => changes.rows.len(), "version" => changes.version, "in_force" => in_force);
    }
    // The configuration is a single row, so a full read of it contains all changes since version 0.
    let update = update.or_else(|| {
        let rows = changes.rows.clone();
        let complete = full && table == Table::Configuration && !rows.is_empty();
        complete.then_some(TableUpdate { since: 0, upto: changes.version, rows })
    });
    // Rows of instances are read once and not sent to other instances.
    let bulletin_table = BulletinTable::try_from(table).ok();
    if let Some((table, update)) = bulletin_table.zip(update) {
        let update = BulletinUpdate::new(table, update);
        shared.table_updates.push(TimedUpdate { timeline, update });
    }
    let mut rows = changes.rows;
    // Some rows may have arrived in bulletins while the call was pending.
    rows.retain(|row| full || known.is_none_or(|known| row.version > known));
    let extent = match (full, restarted) {
        (false, _) => Extent::Changes,
        (true, false) => Extent::Whole,
        (true, true) => Extent::Restored,
    };
    apply(shared, table, rows, extent, "store");
}

/// What rows of a table are.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Extent {
    /// Changes.
    Changes,
    /// All rows.
    Whole,
    /// All rows in the first reading after a restore, which may be older than known ones.
    Restored,
}

/// Applies rows of a table.
pub fn apply(shared: &Shared, table: Table, rows: Vec<Row>, extent: Extent, source: &'static str) {
    let was_ready = shared.hub.ask(|node, _| node.is_ready());
    match table {
        Table::Configuration => {
            rows.into_iter().for_each(|row| apply_configuration(shared, row, source));
        }
        Table::Endpoints => apply_endpoints(shared, rows, extent, source),
        Table::Instances | Table::Duties => {}
    }
    if !was_ready && shared.hub.ask(|node, _| node.is_ready()) {
        log_event!(shared.log, READY);
    }
}

fn apply_configuration(shared: &Shared, row: Row, source: &str) {
    // The key of a malformed row may be unknown.
    let is_known = &*row.key == CONFIGURATION_KEY || row.key.is_empty();
    let Some(value) = row.value.filter(|_| is_known) else { return };
    let (key, bytes) = (row.key.clone(), value.len());
    match (shared.wire.read_configuration)(&value) {
        Ok(configuration) => {
            let version = configuration.version;
            let keys = configuration.customers.as_ref().map(Customers::len);
            let problems = configuration.customers.as_ref().map(|known| known.problems.clone());
            let row_version = row.version;
            let adopted = shared.hub.ask(move |node, _| {
                node.cursor(Table::Configuration).note_parsed(&key);
                let adopted = node.adopt(configuration);
                if node.version().is_some_and(|known| known >= version) {
                    node.note_configuration_row(row_version);
                }
                adopted
            });
            if adopted {
                log_event!(shared.log, CONFIGURED, "version" => version, "row" => row.version,
                    "bytes" => bytes, "keys" => keys, "source" => source);
                for problem in problems.unwrap_or_default() {
                    log_event!(shared.log, CUSTOMERS_MALFORMED, "version" => version,
                        "problem" => problem);
                }
            }
        }
        Err(error) => note_malformed(shared, Table::Configuration, &key, &error),
    }
}

/// Logs a row that cannot be parsed, unless it could not be parsed before either.
fn note_malformed(shared: &Shared, table: Table, key: &RowKey, error: &WireError) {
    let row = key.clone();
    if shared.hub.ask(move |node, _| node.cursor(table).note_malformed(&row)) {
        log_event!(shared.log, ROW_MALFORMED, "table" => table.label(), "row" => &**key,
            "error" => error.to_string());
    }
}

fn apply_endpoints(shared: &Shared, rows: Vec<Row>, extent: Extent, source: &str) {
    let names: Vec<Arc<str>> = rows.iter().map(|row| row.key.clone()).collect();
    for row in rows {
        match row.value {
            Some(value) => note_endpoint(shared, &row.key, row.version, &value, extent, source),
            None => drop_endpoint(shared, &row.key),
        }
    }
    if extent != Extent::Changes {
        let gone = shared.hub.ask(move |node, now| {
            node.endpoint_list.known = true;
            node.cursor(Table::Endpoints).retain_malformed(&names);
            node.retain_endpoints(&names, now)
        });
        gone.iter()
            .for_each(|name| log_event!(shared.log, ENDPOINT_REMOVED, "endpoint" => &**name));
    }
}

fn note_endpoint(
    shared: &Shared,
    name: &Arc<str>,
    version: u64,
    value: &[u8],
    extent: Extent,
    source: &str,
) {
    match (shared.wire.read_endpoint)(name, value) {
        Ok(facts) => {
            let noted = facts.clone();
            let outcome = shared.hub.ask(move |node, now| {
                node.cursor(Table::Endpoints).note_parsed(&noted.name);
                match extent {
                    Extent::Restored => node.note_restored_endpoint(noted, version, now),
                    Extent::Whole if node.endpoint_list.is_held(&noted.name, version) => {
                        Restored::Held
                    }
                    Extent::Changes | Extent::Whole => {
                        node.note_endpoint(noted);
                        Restored::Used
                    }
                }
            });
            if outcome != Restored::Used {
                log_event!(shared.log, ENTRY_HELD, "endpoint" => &**name, "row" => version,
                    "born" => facts.born, "known" => format!("{outcome:?}"));
                return;
            }
            log_event!(shared.log, ENDPOINT_CHANGED, "endpoint" => &**name,
                "service" => &*facts.service, "leaving" => facts.leaving,
                "stage" => format!("{:?}", facts.stage), "address" => facts.address.to_string(),
                "source" => source);
        }
        Err(error) => {
            note_malformed(shared, Table::Endpoints, name, &error);
            let key = name.clone();
            let discarded =
                move |node: &mut Node, _| node.endpoint_list.discard(&mut node.board, &key);
            if shared.hub.ask(discarded) {
                log_event!(shared.log, ENDPOINT_REMOVED, "endpoint" => &**name,
                    "cause" => "malformed row");
            }
        }
    }
}

fn drop_endpoint(shared: &Shared, name: &Arc<str>) {
    let key = name.clone();
    let gone = shared.hub.ask(move |node, now| {
        node.cursor(Table::Endpoints).note_parsed(&key);
        node.drop_endpoint(&key, now)
    });
    if gone {
        log_event!(shared.log, ENDPOINT_REMOVED, "endpoint" => &**name);
    } else {
        log_event!(shared.log, ENDPOINT_EXPIRED, "endpoint" => &**name);
    }
}
