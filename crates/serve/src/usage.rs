//! Usage reports: the requests of each customer that endpoints began to run, by window.
//!
//! Instances send their sums to the holder of the duties until the report of a window is settled.
//! The holder settles a report by a row of the store before it sends it, so that any later holder
//! repeats exactly that.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use agatestair_policy::{
    Moment, Tenure, UsageCounts, UsageLedger, UsageMeter, UsageWindows, usage_total,
};
use agatestair_runtime::{log_event, unix_ms};
use agatestair_schema::settings::DutyKind;
use http::StatusCode;
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep};

use crate::datagram::{Datagram, PulseUsage, PulseUsageAck};
use crate::duty::{DutyError, call, commit, give_up, has_duty, rows, tenure};
use crate::events::{DUTY_FAILED, USAGE_SETTLED};
use crate::proof::boot_now;
use crate::pulse::{encode, send_bytes};
use crate::shared::Shared;
use crate::store::RowKey;

/// Prefix of the keys of settled reports.
const KEY_PREFIX: &str = "usage/";

/// Time between two decisions about what to send or to report.
const CHECK: Duration = Duration::from_millis(200);

/// Time between two datagrams with the sums of the current window.
const OPEN_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two datagrams with the sums of a window that has ended.
const CLOSED_INTERVAL: Duration = Duration::from_millis(400);

/// Time after the end of a window in which requests that began in it are still being answered.
const CLOSE_DELAY: Duration = Duration::from_millis(1000);

/// Part of the time until a report is due for which the holder waits for instances that have not
/// sent all of their requests.
const WAIT_SHARE: f64 = 0.3;

/// Windows before the current one that are reported after an outage.
const MAX_MISSED: u64 = 12;

/// Rows of settled reports that are kept, for a holder that repeats them.
const KEPT_ROWS: u64 = 3;

/// First pause after a call that failed, doubled each time.
const MIN_PAUSE: Duration = Duration::from_millis(300);

/// Longest pause after a call that failed.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// Number of times that a process sends its sums when it exits, since datagrams may be lost.
const FLUSHES: u32 = 3;

/// Time between two of these.
const FLUSH_PAUSE: Duration = Duration::from_millis(40);

/// Largest number of customers in one datagram.
const MAX_ENTRIES: usize = 250;

/// Time from an endpoint to this instance and back, by which a run begins before its response.
const TRANSIT: Duration = Duration::from_millis(2);

/// Usage as one instance knows it.
#[derive(Debug, Default)]
pub struct Usage {
    /// Requests of this instance.
    pub meter: UsageMeter,
    /// Requests of all instances, if this one is the holder.
    pub ledger: UsageLedger,
    /// Windows whose sums the holder has, with the total and the holder's fencing token.
    acked: BTreeMap<u64, (u64, u64)>,
    /// When the sums of a window were last sent.
    sent: BTreeMap<u64, Moment>,
    /// Last window whose report is settled.
    pub settled: Option<u64>,
}

impl Usage {
    /// Usage of a process that starts now.
    pub fn new(windows: UsageWindows) -> Self {
        Self { meter: UsageMeter::new(windows.of(unix_ms())), ..Self::default() }
    }

    /// Records that the reports up to a window are settled.
    pub fn settle(&mut self, window: u64) {
        self.settled = self.settled.max(Some(window));
        self.meter.settle(window);
        self.ledger.settle(window);
        self.acked.retain(|known, _| *known > window);
        self.sent.retain(|known, _| *known > window);
    }
}

/// The windows of the reports.
pub fn windows(shared: &Shared) -> UsageWindows {
    UsageWindows::new(shared.settings().bounds.report_window_s)
}

/// Counts a request of a customer that an endpoint began to run at `began`.
pub fn note_run(shared: &Shared, customer: &Arc<str>, began: Instant) {
    if !has_duty(shared, DutyKind::UsageReport) {
        return;
    }
    let ago = u64::try_from((began.elapsed() + TRANSIT).as_millis()).unwrap_or(0);
    let window = windows(shared).of(unix_ms().saturating_sub(ago));
    let customer = customer.clone();
    shared.hub.ask(move |node, _| node.usage.meter.note(window, &customer));
}

/// A datagram about one window, and the holder that it goes to.
struct Parcel {
    window: u64,
    counts: UsageCounts,
    total: u64,
    closed: bool,
}

/// Sends the sums of this instance to the holder, as long as the holder lacks them.
pub async fn send_usage(shared: Rc<Shared>, socket: Rc<UdpSocket>) {
    loop {
        sleep(CHECK).await;
        if has_duty(&shared, DutyKind::UsageReport) {
            send_due(&shared, &socket, false).await;
        }
    }
}

/// Sends all sums that are not settled, since the process exits.
pub async fn flush_usage(shared: &Shared, socket: &UdpSocket) {
    if has_duty(shared, DutyKind::UsageReport) {
        // Nothing repeats them later.
        for _ in 0..FLUSHES {
            send_due(shared, socket, true).await;
            sleep(FLUSH_PAUSE).await;
        }
    }
}

async fn send_due(shared: &Shared, socket: &UdpSocket, last: bool) {
    let (windows, now_ms) = (windows(shared), unix_ms());
    let (parcels, holder, process) = shared.hub.ask(move |node, _| {
        let parcels = node.usage_parcels(windows, now_ms, last, boot_now());
        (parcels, node.holder_address(), (node.name_hash, node.own().0.born))
    });
    let Some(holder) = holder else { return };
    for parcel in parcels {
        let Parcel { window, counts, total, closed } = parcel;
        let entries: Vec<(String, u32)> =
            counts.iter().map(|(name, count)| (name.to_string(), *count)).collect();
        let empty = entries.is_empty().then(Vec::new);
        let chunks = entries.chunks(MAX_ENTRIES).map(<[(String, u32)]>::to_vec).chain(empty);
        for counts in chunks {
            let (sender, born) = process;
            let news = PulseUsage { sender, born, window, total, closed, counts };
            match holder {
                Holder::Own => drop(receive(shared, news)),
                Holder::Other(address) => {
                    let Some(bytes) = encode(shared, &Datagram::Usage(news)) else { continue };
                    send_bytes(shared, socket, &bytes, address).await;
                }
            }
        }
    }
}

/// Where the holder of the duties is.
#[derive(Clone, Copy, Debug)]
pub enum Holder {
    /// It is this instance.
    Own,
    /// It receives datagrams at this address.
    Other(SocketAddr),
}

impl crate::node::Node {
    fn holder_address(&self) -> Option<Holder> {
        let (holder, _) = self.holder?;
        if holder == self.name_hash {
            return Some(Holder::Own);
        }
        self.members.peer_address(holder).map(Holder::Other)
    }

    fn usage_parcels(
        &mut self,
        windows: UsageWindows,
        now_ms: u64,
        last: bool,
        now: Moment,
    ) -> Vec<Parcel> {
        let Some((_, fencing)) = self.holder else { return Vec::new() };
        let current = windows.of(now_ms);
        let first = self.usage.meter.first().max(current.saturating_sub(MAX_MISSED));
        let usage = &mut self.usage;
        let mut parcels = Vec::new();
        for window in first..=current {
            let ended = windows.since_end(window, now_ms);
            let closed = last || ended.is_some_and(|ms| u128::from(ms) >= CLOSE_DELAY.as_millis());
            let counts = usage.meter.counts(window);
            let total = usage_total(&counts);
            let known = usage.acked.get(&window) == Some(&(total, fencing));
            let interval = if ended.is_some() { CLOSED_INTERVAL } else { OPEN_INTERVAL };
            let due = usage.sent.get(&window).is_none_or(|at| now.since(*at) >= interval);
            let waits = ended.is_some() && !closed;
            if last || (due && !known && !waits) {
                usage.sent.insert(window, now);
                parcels.push(Parcel { window, counts, total, closed });
            }
        }
        parcels
    }
}

/// Records sums of an instance at the holder; returns the acknowledgement if all are known.
fn receive(shared: &Shared, news: PulseUsage) -> Option<PulseUsageAck> {
    let PulseUsage { sender, born, window, total, closed, counts } = news;
    let counts: UsageCounts =
        counts.into_iter().map(|(name, count)| (Arc::from(name), count)).collect();
    // Windows of a clock that runs ahead would displace those that are open.
    let latest = windows(shared).of(unix_ms()) + 1;
    shared.hub.ask(move |node, _| {
        let (holder, fencing) = node.holder?;
        if window > latest {
            return None;
        }
        let is_late = node.usage.settled.is_some_and(|settled| window <= settled);
        if holder != node.name_hash || is_late {
            return None;
        }
        let complete = node.usage.ledger.note(window, (sender, born), &counts, total, closed);
        let ack = complete.then_some(PulseUsageAck { window, total, fencing, closed });
        if let Some(ack) = ack.filter(|_| sender == node.name_hash) {
            note_ack(&mut node.usage, ack);
        }
        ack
    })
}

/// Records that the holder has all sums of a window. Those of a window that may still grow are sent
/// again when it has ended.
fn note_ack(usage: &mut Usage, ack: PulseUsageAck) {
    if ack.closed {
        usage.acked.insert(ack.window, (ack.total, ack.fencing));
        usage.meter.close(ack.window);
    }
}

/// Handles sums of another instance.
pub async fn handle_usage(shared: &Shared, socket: &UdpSocket, news: PulseUsage, from: SocketAddr) {
    let Some(ack) = receive(shared, news) else { return };
    let Some(bytes) = encode(shared, &Datagram::UsageAck(ack)) else { return };
    send_bytes(shared, socket, &bytes, from).await;
}

/// Handles an acknowledgement of the holder.
pub fn handle_usage_ack(shared: &Shared, ack: PulseUsageAck) {
    shared.hub.ask(move |node, _| note_ack(&mut node.usage, ack));
}

/// A settled report.
#[derive(Clone, Debug)]
struct Report {
    window: u64,
    body: Vec<u8>,
}

/// What the holder has reported in its tenure.
struct Reporter {
    tenure: Tenure,
    /// The next window to settle.
    next: u64,
    /// Settled reports that the platform's API has not accepted.
    pending: Vec<Report>,
    /// Windows whose rows are in the store.
    rows: Vec<u64>,
    failures: u32,
    retry: Moment,
}

/// Reports usage while this instance holds the duties.
pub async fn report_usage(shared: Rc<Shared>) {
    let mut reporter: Option<Reporter> = None;
    loop {
        sleep(CHECK).await;
        if !has_duty(&shared, DutyKind::UsageReport) {
            continue;
        }
        let Some(tenure) = tenure(&shared) else {
            reporter = None;
            continue;
        };
        let current = match reporter.take().filter(|known| known.tenure == tenure) {
            Some(current) => Ok(current),
            None => load(&shared, tenure).await,
        };
        let outcome = match current {
            Ok(current) => step(&shared, current).await,
            Err(error) => Err(error),
        };
        match outcome {
            Ok(next) => reporter = Some(next),
            Err(error) => {
                log_event!(shared.log, DUTY_FAILED, "duty" => "usage_report",
                    "error" => error.to_string());
                sleep(MIN_PAUSE).await;
            }
        }
    }
}

/// Reads what former holders have settled.
async fn load(shared: &Shared, tenure: Tenure) -> Result<Reporter, DutyError> {
    let mut pending = Vec::new();
    for row in rows(shared).await? {
        let window = row.key.strip_prefix(KEY_PREFIX).and_then(|text| text.parse().ok());
        if let (Some(window), Some(body)) = (window, row.value) {
            pending.push(Report { window, body });
        }
    }
    pending.sort_by_key(|report| report.window);
    let current = windows(shared).of(unix_ms());
    let last = pending.last().map(|report| report.window);
    // The windows that this instance knows to be settled count too: the rows of a store that was
    // restored from a copy end earlier. Without rows, the first window is that of its own start.
    let (started, settled) =
        shared.hub.ask(|node, _| (node.usage.meter.first(), node.usage.settled));
    let next = last.max(settled).map_or(started.min(current), |last| last + 1);
    let next = next.max(current.saturating_sub(MAX_MISSED));
    let rows = pending.iter().map(|report| report.window).collect();
    if let Some(last) = last {
        shared.hub.ask(move |node, _| node.usage.settle(last));
    }
    Ok(Reporter { tenure, next, pending, rows, failures: 0, retry: boot_now() })
}

async fn step(shared: &Shared, mut reporter: Reporter) -> Result<Reporter, DutyError> {
    if let Some(report) = reporter.pending.first().cloned() {
        if boot_now() >= reporter.retry {
            let none = (Vec::new(), Vec::new(), Vec::new());
            let confirmed = commit(shared, reporter.tenure, none.0, none.1, none.2).await?;
            let sent = call(
                shared,
                &confirmed,
                DutyKind::UsageReport,
                (shared.wire.report_usage)(&report.body),
            );
            note_sent(shared, &mut reporter, sent.await.ok());
        }
        return Ok(reporter);
    }
    // The counts of windows before these are no longer known.
    let earliest = windows(shared).of(unix_ms()).saturating_sub(MAX_MISSED);
    reporter.next = reporter.next.max(earliest);
    let window = reporter.next;
    if !is_due(shared, window) {
        return Ok(reporter);
    }
    let counts = shared.hub.ask(move |node, _| node.usage.ledger.counts(window));
    let body = (shared.wire.write_usage)(window, &counts);
    let key: RowKey = format!("{KEY_PREFIX}{window}").into();
    let old = reporter.rows.extract_if(.., |known| *known + KEPT_ROWS <= window);
    let removals = old.map(|known| RowKey::from(format!("{KEY_PREFIX}{known}"))).collect();
    let (expected, writes) = (vec![(key.clone(), 0)], vec![(key, body.clone())]);
    let confirmed = commit(shared, reporter.tenure, expected, writes, removals).await?;
    let (requests, customers) = (usage_total(&counts), counts.len());
    log_event!(shared.log, USAGE_SETTLED, "window" => window, "requests" => requests,
        "customers" => customers, "fencing" => reporter.tenure.fencing);
    shared.hub.ask(move |node, _| node.usage.settle(window));
    reporter.next = window + 1;
    reporter.rows.push(window);
    reporter.pending.push(Report { window, body: body.clone() });
    let request = (shared.wire.report_usage)(&body);
    let sent = call(shared, &confirmed, DutyKind::UsageReport, request).await;
    note_sent(shared, &mut reporter, sent.ok());
    Ok(reporter)
}

/// Whether a window can be settled: all instances that are alive have sent their requests, or the
/// report would come too late.
fn is_due(shared: &Shared, window: u64) -> bool {
    let Some(ended) = windows(shared).since_end(window, unix_ms()) else { return false };
    let ended = Duration::from_millis(ended);
    let late = Duration::from_secs_f64(shared.settings().bounds.report_late_s);
    if ended < CLOSE_DELAY {
        return false;
    }
    ended >= late.mul_f64(WAIT_SHARE).max(CLOSE_DELAY)
        || shared.hub.ask(move |node, now| {
            let own = node.name_hash;
            let alive = node.members.alive(now).chain([own]).collect::<Vec<u64>>();
            node.usage.ledger.is_complete(window, alive)
        })
}

/// Records the status of the response to the first pending report; `call` logs what went wrong.
fn note_sent(shared: &Shared, reporter: &mut Reporter, status: Option<StatusCode>) {
    if status.is_some_and(|status| status.is_success()) {
        reporter.pending.remove(0);
        (reporter.failures, reporter.retry) = (0, boot_now());
        return;
    }
    if status == Some(StatusCode::CONFLICT) {
        give_up(shared, "the platform's API has seen a higher fencing token");
    }
    let pause = MIN_PAUSE.saturating_mul(1 << reporter.failures.min(4)).min(MAX_PAUSE);
    reporter.failures += 1;
    reporter.retry = boot_now() + pause;
}
