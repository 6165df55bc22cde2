//! Follows the tables of the platform's store.

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
use crate::node::{Duty, Node};
use crate::store::{Changes, Row, StoreFault, Table};
use crate::watchers::probe_pause;

/// How much shorter than the time after which an instance must keep all bounds again the store
/// holds a call that waits for changes: the client's slack, a new connection and an answer.
const WAIT_MARGIN: Duration = Duration::from_millis(900);

/// Time after which a lapsed entry's time is surely over.
const DUE_MARGIN: Duration = Duration::from_millis(10);

/// Shortest such wait.
const MIN_WAIT: Duration = Duration::from_millis(500);

/// The same at instances that would learn from others of a change that their call missed.
const LONG_WAIT: Duration = Duration::from_secs(12);

/// The same at instances that follow the store for others, which ask it themselves once the last
/// answer that they hear of is [`STALE`](crate::watchers::STALE).
const WATCH_WAIT: Duration = Duration::from_millis(1200);

/// Time for which a change that others know of may be on its way before the store is asked for it.
const CATCH_UP: Duration = Duration::from_millis(250);

/// Time after which an instance that relies on others asks the store all the same.
const SAFETY: Duration = Duration::from_secs(60);

/// Longest time between two looks whether the store is to be asked.
const LOOK: Duration = Duration::from_millis(200);

/// Pause after changes, so that several in a row cost one call.
const GATHER: Duration = Duration::from_millis(400);

/// First pause after a failed call.
const MIN_PAUSE: Duration = Duration::from_millis(60);

/// Longest pause after failed calls; a configuration must be in force within seconds of the
/// store's return.
const MAX_PAUSE: Duration = Duration::from_millis(500);

/// Key of the configuration's row.
const CONFIGURATION_KEY: &str = "config";

/// A call that is due at the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StoreCall {
    Whole,
    Changes { after: u64, wait: Duration },
}

/// Follows one table until the process ends.
pub async fn follow(front: Rc<Front>, table: Table) {
    let mut failures = 0;
    let mut lost_at: Option<Instant> = None;
    let mut asked = Instant::now();
    loop {
        let call = due_call(&front, table, asked).await;
        asked = Instant::now();
        let (call, answer) = tokio::select! {
            answer = ask(&front, table, call) => (call, answer),
            // Another instance knows more than the call that is waiting.
            next = missed(&front, table) => (next, ask(&front, table, next).await),
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
                note_answer(&front, table, changes, call == StoreCall::Whole);
                // A store that answers from an old state is not asked in a rush either.
                let behind = front.hub.ask(move |node, _| node.cursor(table).behind().is_some());
                if changed || behind {
                    sleep(GATHER).await;
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
                let pause = pause(&front, failures);
                tokio::select! {
                    () = sleep(pause) => {}
                    // Others have the store back, and know of a change that is missing here.
                    () = front.behind.notified(table) => {}
                }
            }
        }
    }
}

async fn ask(front: &Front, table: Table, call: StoreCall) -> Result<Changes, StoreFault> {
    match call {
        StoreCall::Whole => (front.store.read)(table).await,
        StoreCall::Changes { after, wait } => (front.store.follow)(table, after, wait).await,
    }
}

/// Waits until the store is to be asked for a table that was last asked for at a time.
async fn due_call(front: &Front, table: Table, asked: Instant) -> StoreCall {
    loop {
        let (known, behind, duty, due) = front.hub.ask(move |node, now| {
            let duty = node.duty(table, now);
            let cursor = node.cursor(table);
            (cursor.known, cursor.behind().map(|since| now.since(since)), duty, node.fleet.due(now))
        });
        let Some(after) = known else { return StoreCall::Whole };
        if behind.is_some_and(|behind| behind >= CATCH_UP) {
            return catch_up(front, table).unwrap_or(StoreCall::Whole);
        }
        // The store is asked again just when lapsed entries have had their time.
        let due = due.filter(|_| table == Table::Endpoints);
        let due = due.map_or(Duration::MAX, |due| due + DUE_MARGIN);
        let wait = match duty {
            Duty::Loose => LONG_WAIT,
            Duty::Close => wait(front),
            Duty::Rest if asked.elapsed() >= SAFETY => Duration::ZERO,
            Duty::Rest => {
                let rest = behind.map_or(LOOK, |behind| CATCH_UP - behind);
                tokio::select! {
                    () = sleep(rest) => {}
                    () = front.behind.notified(table) => {}
                }
                continue;
            }
        };
        return StoreCall::Changes { after, wait: wait.min(due) };
    }
}

/// The call that brings a change that others know of, `None` if none is missing.
fn catch_up(front: &Front, table: Table) -> Option<StoreCall> {
    front.hub.ask(move |node, _| {
        let cursor = node.cursor(table);
        cursor.behind()?;
        if cursor.is_doubtful() {
            return Some(StoreCall::Whole);
        }
        cursor.known.map(|after| StoreCall::Changes { after, wait: Duration::ZERO })
    })
}

/// Waits until others know of a change that does not arrive here.
async fn missed(front: &Front, table: Table) -> StoreCall {
    loop {
        front.behind.notified(table).await;
        if front.hub.ask(|node, _| !node.members.is_large()) {
            return StoreCall::Whole;
        }
        sleep(CATCH_UP).await;
        if let Some(call) = catch_up(front, table) {
            return call;
        }
    }
}

/// Removes the endpoints whose entries lapsed and did not come back.
pub fn expire(front: &Front) {
    for name in front.hub.ask(Node::tick) {
        log_event!(front.log, ENDPOINT_GONE, "endpoint" => &*name, "cause" => "lapsed");
    }
}

/// Time for which the store holds a call, so that a silent connection is found before all bounds
/// hold again.
fn wait(front: &Front) -> Duration {
    let contact = Duration::from_secs_f64(front.settings().bounds.contact_ms / 1000.0);
    let wait = contact.saturating_sub(WAIT_MARGIN).max(MIN_WAIT);
    if front.hub.ask(|node, _| node.members.is_large()) { wait.min(WATCH_WAIT) } else { wait }
}

/// Pause after a number of failures in a row, spread so that instances do not call together.
///
/// While nobody reaches the store, most instances leave it to others to find out that it is back.
fn pause(front: &Front, failures: u32) -> Duration {
    let most = (MIN_PAUSE * (1 << failures.min(4))).min(MAX_PAUSE);
    let probe = front.hub.ask(|node, now| {
        let relies = node.cursor(Table::Endpoints).known.is_some() && !node.is_first(now);
        let probes = relies && node.members.is_large() && !node.watchers.hears(now);
        if probes { probe_pause(node.members.count(now)) } else { Duration::ZERO }
    });
    most.max(probe).mul_f64(0.5 + 0.5 * rand::rng().random::<f64>())
}

/// Takes over an answer of the store, and has others told of its news.
fn note_answer(front: &Front, table: Table, changes: Changes, whole: bool) {
    let (known, news) = front.hub.ask({
        let changes = changes.clone();
        move |node, _| {
            let cursor = node.cursor(table);
            (cursor.known, cursor.note_answer(&changes, whole))
        }
    });
    // The configuration is one row, so that a whole reading of it is news that all can go on from.
    let news = news.or_else(|| {
        let rows = changes.rows.clone();
        let whole = whole && table == Table::Configuration && !rows.is_empty();
        whole.then_some(TableNews { since: 0, upto: changes.version, rows })
    });
    // Rows of instances are read once and told to nobody.
    let told = BulletinTable::try_from(table).ok();
    if let Some((table, news)) = told.zip(news) {
        front.changes.push(BulletinNews::new(table, news));
    }
    let mut rows = changes.rows;
    // Bulletins may have told of some while the call was waiting.
    rows.retain(|row| whole || known.is_none_or(|known| row.version > known));
    apply(front, table, rows, whole, "store");
}

/// Takes over rows of a table.
pub fn apply(front: &Front, table: Table, rows: Vec<Row>, whole: bool, source: &'static str) {
    let was_ready = front.hub.ask(|node, _| node.is_ready());
    match table {
        Table::Configuration => rows.into_iter().for_each(|row| configure(front, row, source)),
        Table::Endpoints => apply_endpoints(front, rows, whole, source),
        Table::Instances => {}
    }
    if !was_ready && front.hub.ask(|node, _| node.is_ready()) {
        log_event!(front.log, READY);
    }
}

fn configure(front: &Front, row: Row, source: &str) {
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

fn apply_endpoints(front: &Front, rows: Vec<Row>, whole: bool, source: &str) {
    let names: Vec<Arc<str>> = rows.iter().map(|row| row.key.clone()).collect();
    for row in rows {
        match row.value {
            Some(value) => note_endpoint(front, &row.key, &value, source),
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
