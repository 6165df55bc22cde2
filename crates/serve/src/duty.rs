//! Duties that one instance at a time performs at the platform's API, and their holder.
//!
//! An act is a transaction that records what is about to be sent, under the condition that this
//! instance is still the holder, followed by the call.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use agatestair_policy::{HolderRow, Moment, Tenure, TenureStep, Tenures};
use agatestair_runtime::{log_event, unix_ms};
use agatestair_schema::settings::DutyKind;
use bytes::Bytes;
use http::header::HOST;
use http::{HeaderValue, Request, StatusCode};
use http_body_util::Full;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::time::{sleep, timeout};

use crate::connection::{Connection, ConnectionSettings, exchange_on};
use crate::datagram::{Datagram, PulseDuty};
use crate::events::{DUTIES_LOST, DUTIES_RELEASED, DUTIES_TAKEN, DUTY_CALLED, DUTY_FAILED};
use crate::proof::boot_now;
use crate::pulse::send_all;
use crate::shared::Shared;
use crate::store::{Row, RowKey, StoreError, Table, Transaction};
use crate::wire::WireCall;

/// Key of the row that names the holder.
const HOLDER_KEY: &str = "holder";

/// Time between two decisions about the duties.
const CHECK: Duration = Duration::from_millis(100);

/// Time between two announcements of the holder.
const ANNOUNCE: Duration = Duration::from_secs(1);

/// Longest time from the confirmation of a tenure to a call under it.
const ACT_TIME: Duration = Duration::from_millis(500);

/// Timeout of a call. Its connection is then reset, so that nothing of it is delivered later.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Share of the calls that the API accepts per second that the holder makes, since the API may
/// count them in other intervals.
const CALL_SHARE: f64 = 0.8;

/// Longest pause between two calls, so that a call is made while its confirmation is valid.
const MAX_CALL_PAUSE: Duration = Duration::from_millis(100);

/// Largest response of the platform's API that is read, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1024;

/// Largest number of characters of a failure that are logged.
const MAX_SHOWN: usize = 200;

/// Longest time to find out whether the holder's process still accepts connections.
const GONE_TIME: Duration = Duration::from_millis(100);

/// Longest time for the release of the duties at a shutdown.
const RELEASE_TIME: Duration = Duration::from_secs(1);

/// The holder's row in the store.
#[derive(Deserialize, Serialize)]
struct StoredHolder {
    holder: String,
    born: u64,
    fencing: u64,
    #[serde(default)]
    released: bool,
}

impl From<&HolderRow> for StoredHolder {
    fn from(row: &HolderRow) -> Self {
        let HolderRow { holder, born, fencing, released } = row.clone();
        Self { holder: holder.to_string(), born, fencing, released }
    }
}

impl From<StoredHolder> for HolderRow {
    fn from(stored: StoredHolder) -> Self {
        let StoredHolder { holder, born, fencing, released } = stored;
        Self { holder: holder.into(), born, fencing, released }
    }
}

/// Why a duty could not be performed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DutyError {
    /// This instance is no longer the holder.
    Lost,
    /// A row does not have the expected version.
    Conflict,
    /// The store did not confirm the transaction; it may have been applied.
    Store(StoreError),
    /// Too much time has passed since the transaction; nothing was sent.
    Late,
    /// The platform's API did not answer; the call may be carried out later.
    Unanswered(String),
}

impl fmt::Display for DutyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Lost => write!(f, "another instance holds the duties; it carries on"),
            Self::Conflict => write!(f, "a row has changed; read it again"),
            Self::Store(error) => write!(f, "{error}"),
            Self::Late => write!(f, "the process was held up; confirm the tenure again"),
            Self::Unanswered(cause) => {
                write!(f, "no answer from the platform's API ({cause}); repeat the call")
            }
        }
    }
}

impl std::error::Error for DutyError {}

/// Confirmation by the store that this instance was the holder.
#[derive(Clone, Copy, Debug)]
pub struct Confirmed {
    tenure: Tenure,
    /// From before the transaction was sent.
    at: Moment,
}

/// Whether the settings assign a duty to the instances.
pub fn has_duty(shared: &Shared, kind: DutyKind) -> bool {
    shared.settings().duties.as_ref().is_some_and(|duties| duties.kinds.contains(&kind))
}

/// The right to act, if this instance is the holder.
pub fn tenure(shared: &Shared) -> Option<Tenure> {
    shared.hub.ask(|node, _| node.tenures.as_ref()?.current(boot_now()))
}

/// The tenure of this instance, also one that may not act yet.
fn held(shared: &Shared) -> Option<Tenure> {
    shared.hub.ask(|node, _| node.tenures.as_ref().and_then(Tenures::held))
}

/// All rows of the duties.
///
/// # Errors
///
/// [`DutyError::Store`].
pub async fn rows(shared: &Shared) -> Result<Vec<Row>, DutyError> {
    let reply = (shared.store.read)(Table::Duties).await;
    shared.settle(reply).map(|changes| changes.rows).map_err(DutyError::Store)
}

/// Commits writes and removals of rows of the duties, if this instance is still the holder.
///
/// # Errors
///
/// [`DutyError::Lost`], [`DutyError::Conflict`] if another expected version does not hold, or
/// [`DutyError::Store`].
pub async fn commit(
    shared: &Shared,
    tenure: Tenure,
    expected: Vec<(RowKey, u64)>,
    writes: Vec<(RowKey, Vec<u8>)>,
    removals: Vec<RowKey>,
) -> Result<Confirmed, DutyError> {
    let mut all = vec![(HOLDER_KEY.into(), tenure.version)];
    all.extend(expected);
    let transaction = Transaction { table: Table::Duties, expected: all, writes, removals };
    let at = boot_now();
    let reply = (shared.store.commit)(transaction).await;
    match shared.settle(reply) {
        Ok(_) => {
            shared.hub.ask(move |node, _| {
                node.tenures
                    .iter_mut()
                    .for_each(|known| known.note_confirmed(tenure, at, boot_now()));
            });
            Ok(Confirmed { tenure, at })
        }
        Err(StoreError::Conflict) => {
            read_holder(shared).await?;
            let held = held(shared);
            Err(if held == Some(tenure) { DutyError::Conflict } else { DutyError::Lost })
        }
        Err(error) => Err(DutyError::Store(error)),
    }
}

/// Calls the platform's API under a tenure that the store has just confirmed.
///
/// # Errors
///
/// [`DutyError::Late`] or [`DutyError::Unanswered`].
pub async fn call(
    shared: &Shared,
    confirmed: &Confirmed,
    kind: DutyKind,
    call: WireCall,
) -> Result<StatusCode, DutyError> {
    let settings = shared.settings();
    let address = settings.duties.as_ref().map(|duties| duties.address.parse::<SocketAddr>());
    let Some(Ok(address)) = address else {
        let cause = "setting `duties.address` is not an address".to_owned();
        return Err(DutyError::Unanswered(cause));
    };
    let mut request = Request::new(Full::new(Bytes::from(call.body)));
    *request.method_mut() = call.method;
    *request.headers_mut() = call.headers;
    let host = HeaderValue::from_str(&address.to_string()).expect("addresses are valid headers");
    request.headers_mut().insert(HOST, host);
    let path = call.path.parse();
    *request.uri_mut() = path.map_err(|_| DutyError::Unanswered("malformed path".to_owned()))?;
    let fencing = confirmed.tenure.fencing;
    (shared.wire.write_tenure)(&settings.instance.name, fencing, request.headers_mut());
    pace(shared).await;
    let connection = ConnectionSettings { connect: ACT_TIME, reset: true, ..Default::default() };
    let opened = Connection::open(address, &connection).await.map_err(|error| error.to_string());
    // The time counts once the connection is open, so that a process that was suspended while it
    // connected does not send a call of a former holder.
    if opened.is_ok() && boot_now().since(confirmed.at) > ACT_TIME {
        return Err(DutyError::Late);
    }
    if tenure(shared) != Some(confirmed.tenure) {
        return Err(DutyError::Lost);
    }
    let response = match opened {
        Ok(open) => exchange_on(open, request, CALL_TIMEOUT, MAX_RESPONSE_BYTES).await,
        Err(error) => Err(error),
    };
    let status = response
        .as_ref()
        .map_or("none".to_owned(), |response| response.status().as_str().to_owned());
    metrics::counter!("agatestair_serve_duty_calls_total", "duty" => kind.to_string(),
        "status" => status)
    .increment(1);
    match response {
        Ok(response) => {
            let failed = !response.status().is_success();
            let cause = failed.then(|| shorten(response.body()));
            log_event!(shared.log, DUTY_CALLED, "duty" => kind.to_string(), "path" => &call.path,
                "status" => response.status().as_u16(), "fencing" => fencing, "cause" => cause);
            Ok(response.status())
        }
        Err(error) => {
            log_event!(shared.log, DUTY_FAILED, "duty" => kind.to_string(),
                "path" => &call.path, "fencing" => fencing, "error" => &error);
            Err(DutyError::Unanswered(error))
        }
    }
}

/// Waits until the API accepts a further call of this instance.
async fn pace(shared: &Shared) {
    let calls_s = shared.settings().duties.as_ref().map_or(0.0, |duties| duties.calls_s);
    let pause = Duration::try_from_secs_f64(1.0 / (calls_s * CALL_SHARE)).unwrap_or_default();
    let pause = pause.min(MAX_CALL_PAUSE);
    let now = boot_now();
    let at = shared.hub.ask(move |node, _| {
        let at = node.next_call.map_or(now, |next| next.max(now));
        node.next_call = Some(at + pause);
        at
    });
    sleep(at.since(now)).await;
}

/// The beginning of a response that explains a failure.
fn shorten(body: &[u8]) -> String {
    String::from_utf8_lossy(body).chars().take(MAX_SHOWN).collect()
}

/// Ends the tenure of this instance, since a higher fencing token was seen.
pub fn give_up(shared: &Shared, cause: &str) {
    shared.hub.ask(|node, _| {
        let now = boot_now();
        node.tenures.iter_mut().for_each(|tenures| tenures.lose(now));
    });
    note_lost(shared, cause);
}

fn note_lost(shared: &Shared, cause: &str) {
    metrics::counter!("agatestair_serve_duties_lost_total").increment(1);
    log_event!(shared.log, DUTIES_LOST, "cause" => cause);
}

/// Takes the duties over when their holder is gone, and announces this instance while it holds them.
pub async fn keep_duties(shared: Rc<Shared>, socket: Rc<UdpSocket>) {
    let leaving = shared.leaving.clone();
    if shared.hub.ask(|node, _| node.tenures.is_none()) {
        return;
    }
    let mut announced: Option<Moment> = None;
    let mut round = 0;
    while !leaving.is_cancelled() {
        let wanted = shared.settings().duties.is_some();
        let expired = shared
            .hub
            .ask(|node, _| node.tenures.as_mut().is_some_and(|known| known.expire(boot_now())));
        if expired {
            note_lost(&shared, "the store does not confirm the tenure");
        }
        let step = shared.hub.ask(move |node, now| {
            let ahead = node.rank_position(now);
            let tenures = node.tenures.as_ref().filter(|_| wanted);
            tenures.map_or(TenureStep::Wait, |known| known.step(ahead, unix_ms(), boot_now()))
        });
        match step {
            TenureStep::Wait => {}
            TenureStep::Read => {
                if let Err(error) = read_holder(&shared).await {
                    log_event!(shared.log, DUTY_FAILED, "duty" => "holder",
                        "error" => error.to_string());
                    sleep(ANNOUNCE).await;
                }
            }
            TenureStep::Take { row, version } => take(&shared, row, version).await,
        }
        let held = shared.hub.ask(|node, _| node.tenures.as_ref()?.announced(boot_now()));
        let due = wanted && announced.is_none_or(|at| boot_now().since(at) >= ANNOUNCE);
        if let Some(held) = held.filter(|_| due) {
            announced = Some(boot_now());
            let audience =
                shared.hub.ask(move |node, now| node.members.broadcast_audience(round, now));
            let news = shared.hub.ask(move |node, _| {
                // Also after a transaction whose outcome was unknown took the duties.
                node.holder = Some((node.name_hash, held.fencing));
                PulseDuty {
                    sender: node.name_hash,
                    fencing: held.fencing,
                    settled: node.usage.settled,
                }
            });
            send_all(&shared, &socket, &Datagram::Duty(news), &audience).await;
            round += 1;
        }
        tokio::select! {
            () = sleep(CHECK) => {}
            () = leaving.cancelled() => {}
        }
    }
    if leaving.is_cancelled() {
        // The others find out by themselves if this does not succeed.
        drop(timeout(RELEASE_TIME, release(&shared)).await);
    }
}

/// Handles the announcement of another holder.
pub fn handle_duty(shared: &Shared, news: PulseDuty) {
    let (lost, holder) = shared.hub.ask(move |node, _| {
        let other = news.sender != node.name_hash;
        let now = boot_now();
        let lost = other
            && node.tenures.as_mut().is_some_and(|known| known.note_announced(news.fencing, now));
        // A former holder may announce itself until it learns that it was replaced.
        if other && node.holder.is_none_or(|(_, fencing)| fencing <= news.fencing) {
            node.holder = Some((news.sender, news.fencing));
        }
        if let Some(settled) = news.settled {
            node.usage.settle(settled);
        }
        (lost, node.members.name(news.sender))
    });
    if lost {
        metrics::counter!("agatestair_serve_duties_lost_total").increment(1);
        log_event!(shared.log, DUTIES_LOST, "cause" => "another instance holds them",
            "holder" => holder.as_deref(), "fencing" => news.fencing);
    }
}

/// Reads the row that names the holder.
async fn read_holder(shared: &Shared) -> Result<(), DutyError> {
    let rows = rows(shared).await?;
    let found = rows.into_iter().find(|row| &*row.key == HOLDER_KEY);
    let version = found.as_ref().map_or(0, |row| row.version);
    let value = found.and_then(|row| row.value);
    // A row that cannot be read is replaced after the lease like that of a silent holder.
    let row = value.map(|value| match serde_json::from_slice::<StoredHolder>(&value) {
        Ok(stored) => HolderRow::from(stored),
        Err(_) => HolderRow { holder: "".into(), born: 0, fencing: 0, released: false },
    });
    let gone = match &row {
        Some(row) if *row.holder != *shared.settings().instance.name => is_gone(shared, row).await,
        _ => false,
    };
    let (lost, holder) = (row.clone(), row.as_ref().map(|row| row.holder.to_string()));
    let lost = shared.hub.ask(move |node, _| {
        let now = boot_now();
        node.tenures.as_mut().is_some_and(|known| known.note_row(lost, version, gone, now))
    });
    if lost {
        metrics::counter!("agatestair_serve_duties_lost_total").increment(1);
        log_event!(shared.log, DUTIES_LOST, "cause" => "the store names another holder",
            "holder" => holder);
    }
    Ok(())
}

/// Whether the process that the row names has certainly ended: it was started again, or nothing
/// listens at its address.
async fn is_gone(shared: &Shared, row: &HolderRow) -> bool {
    let name = row.holder.clone();
    let member = shared.hub.ask(move |node, _| node.members.find(&name));
    let Some(member) = member else { return false };
    if member.born > row.born {
        return true;
    }
    let settings = ConnectionSettings { connect: GONE_TIME, ..ConnectionSettings::default() };
    let opened = Connection::open(member.callers, &settings).await;
    opened.is_err_and(|error| error.kind() == io::ErrorKind::ConnectionRefused)
}

async fn take(shared: &Shared, row: HolderRow, version: u64) {
    let value = serde_json::to_vec(&StoredHolder::from(&row)).expect("numbers and text serialize");
    let transaction = Transaction {
        table: Table::Duties,
        expected: vec![(HOLDER_KEY.into(), version)],
        writes: vec![(HOLDER_KEY.into(), value)],
        removals: Vec::new(),
    };
    let reply = (shared.store.commit)(transaction).await;
    match shared.settle(reply) {
        Ok(committed) => {
            let fencing = row.fencing;
            shared.hub.ask(move |node, _| {
                let now = boot_now();
                if let Some(known) = &mut node.tenures {
                    known.note_taken(&row, committed.version, now);
                }
                node.holder = Some((node.name_hash, fencing));
            });
            metrics::counter!("agatestair_serve_duties_taken_total").increment(1);
            log_event!(shared.log, DUTIES_TAKEN, "fencing" => fencing, "former" => version,
                "row" => committed.version);
        }
        Err(error) => {
            log_event!(shared.log, DUTY_FAILED, "duty" => "holder", "error" => error.to_string());
            shared.hub.ask(move |node, _| {
                node.tenures.iter_mut().for_each(|known| known.note_attempted(&row));
            });
            // The transaction may have been applied, which the row shows.
            if let Err(error) = read_holder(shared).await {
                log_event!(shared.log, DUTY_FAILED, "duty" => "holder",
                    "error" => error.to_string());
            }
        }
    }
}

/// Gives the duties up at a shutdown, so that another instance takes them over at once.
async fn release(shared: &Shared) {
    let released = shared.hub.ask(|node, _| node.tenures.as_mut()?.release());
    let Some((row, held)) = released else { return };
    let value = serde_json::to_vec(&StoredHolder::from(&row)).expect("numbers and text serialize");
    let writes = vec![(HOLDER_KEY.into(), value)];
    let outcome = commit(shared, held, Vec::new(), writes, Vec::new()).await;
    log_event!(shared.log, DUTIES_RELEASED, "fencing" => held.fencing,
        "error" => outcome.err().map(|error| error.to_string()));
}
