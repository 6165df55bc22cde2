//! Finds out whether a run broke because its endpoint's process crashed, and under which prompts.

use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use agatestair_policy::QuarantineChange;
use agatestair_runtime::log_event;

use crate::attempt_guard::AttemptGuard;
use crate::call::Call;
use crate::connection::{Connection, ConnectionSettings};
use crate::events::{
    CRASH_REPORTED, CRASH_WITHDRAWN, ENDPOINT_CRASHED, PART_QUARANTINED, PART_RELEASED,
};
use crate::reach::note_unreachable;
use crate::shared::Shared;

/// Longest time to find out whether a process still accepts connections.
const CHECK_TIME: Duration = Duration::from_millis(50);

/// Longest time in which the end of a connection arrives after a crash, with lost packets.
const END_DELAY: Duration = Duration::from_secs(1);

/// Missed heartbeats after which the platform removes the entry of an endpoint.
const MISSED_HEARTBEATS: u32 = 3;

/// Longest time until an instance knows of a change of the list.
const LIST_DELAY: Duration = Duration::from_secs(2);

/// Time after which an answer that has begun shows that its prompt does not crash the engine.
const SURVIVED_AFTER: Duration = Duration::from_secs(1);

/// Records a run that broke, in case its endpoint's process has crashed; `answering` is the time
/// since its answer began.
pub async fn note_broken(call: &mut Call, guard: &AttemptGuard, answering: Option<Duration>) {
    let shared = call.shared.clone();
    let age = match find_crash(&shared, guard, guard.elapsed()).await {
        None => return,
        // The run shows which prompts were there, but is no further observation.
        Some(Evidence::Recorded(age)) => age,
        Some(Evidence::Refused | Evidence::Replaced) => Duration::ZERO,
    };
    let process = guard.placement.process;
    call.crashes += 1;
    let survived = answering.is_some_and(|time| time >= SURVIVED_AFTER);
    let (service, parts) = (call.service.name.clone(), call.suspects());
    metrics::counter!("agatestair_serve_crashed_runs_total").increment(1);
    log_event!(shared.log, ENDPOINT_CRASHED, "request" => call.forwarded.id.as_deref(),
        "endpoint" => &*guard.placement.name, "parts" => list(&parts), "survived" => survived,
        "answering_ms" => answering.map(|time| time.as_millis() as u64),
        "ms" => guard.elapsed().as_millis() as u64, "crashes" => call.crashes);
    let changes = shared.hub.ask(move |node, now| {
        let mut changes = Vec::new();
        if survived {
            changes.extend(node.note_survived(&service, &parts, now));
        }
        let suspects = if survived { Vec::new() } else { parts };
        changes.extend(node.note_crash(process, &service, suspects, age, now));
        changes
    });
    log_changes(&shared, &changes, None);
}

/// Evidence that the process of an endpoint has crashed.
#[derive(Clone, Copy, Debug)]
enum Evidence {
    /// This or another instance observed this long ago that the endpoint refused connections.
    Recorded(Duration),
    /// The endpoint refuses a new connection.
    Refused,
    /// The platform lists a later process of the endpoint.
    Replaced,
}

impl Evidence {
    fn label(self) -> &'static str {
        match self {
            Self::Recorded(_) => "recorded",
            Self::Refused => "refused",
            Self::Replaced => "replaced",
        }
    }

    /// What ended a body without a length.
    fn cause(self) -> &'static str {
        match self {
            Self::Recorded(_) => {
                "a crash of the endpoint was recorded as it sent a body without a length"
            }
            Self::Refused => "the endpoint crashed as it ended a body without a length",
            Self::Replaced => "the endpoint was replaced as it sent a body without a length",
        }
    }
}

/// Evidence that the process of an endpoint that was not about to exit has crashed within the last
/// `within`, if it has.
///
/// An attempt that began after a recorded crash was answered by a process that was alive then: another
/// one, or the same one if only the path to it refused connections. The record is therefore evidence
/// for attempts that were in progress only.
async fn find_crash(
    shared: &Rc<Shared>,
    guard: &AttemptGuard,
    within: Duration,
) -> Option<Evidence> {
    let (key, process) = (guard.placement.key, guard.placement.process);
    if !shared.hub.ask(move |node, _| node.board.is_open(key)) {
        // It was about to exit, or is no longer listed.
        return None;
    }
    let age = shared.hub.ask(move |node, now| node.quarantine.crash_age(process, now));
    if let Some(age) = age.filter(|age| *age <= within) {
        return Some(Evidence::Recorded(age));
    }
    let error = refusal(shared, guard).await?;
    note_unreachable(shared, &guard.placement, &error);
    Some(Evidence::Refused)
}

/// Why a body that ended with this connection is not whole, if a crash ended it: a process that crashes
/// ends its connections in good order, too.
pub async fn cut_by_crash(
    shared: &Rc<Shared>,
    guard: &AttemptGuard,
    connection: &Connection,
) -> Option<&'static str> {
    let open = connection.progress().open_at().map(|at| at.elapsed() + END_DELAY);
    let within = open.map_or(guard.elapsed(), |open| open.min(guard.elapsed()));
    let process = guard.placement.process;
    let crash = if shared.hub.ask(move |node, _| node.is_replaced(process)) {
        Some(Evidence::Replaced)
    } else {
        find_crash(shared, guard, within).await
    };
    let outcome = crash.map_or("whole", Evidence::label);
    metrics::counter!("agatestair_serve_unframed_total", "outcome" => outcome).increment(1);
    crash.map(Evidence::cause)
}

/// Withdraws the crashes of processes that the platform's list shows to be alive.
pub fn withdraw_crashes(shared: &Shared) {
    let heartbeat = Duration::from_secs_f64(shared.settings().bounds.heartbeat_ms / 1000.0);
    let lifetime = heartbeat * MISSED_HEARTBEATS + LIST_DELAY;
    let changes = shared.hub.ask(move |node, now| node.withdraw_crashes(lifetime, now));
    log_changes(shared, &changes, None);
}

/// Whether no process listens at the endpoint's address any more.
pub async fn is_gone(shared: &Shared, guard: &AttemptGuard) -> bool {
    refusal(shared, guard).await.is_some()
}

/// The error of a new connection if no process listens at the endpoint's address any more.
async fn refusal(shared: &Shared, guard: &AttemptGuard) -> Option<io::Error> {
    let settings = ConnectionSettings { connect: CHECK_TIME, ..ConnectionSettings::default() };
    match Connection::open(guard.placement.address, &settings).await {
        Ok(connection) => {
            shared.keep_connection(guard.placement.key, connection);
            None
        }
        Err(error) => Some(error).filter(|error| error.kind() == io::ErrorKind::ConnectionRefused),
    }
}

/// Records that a run survived.
pub fn note_survived(call: &Call) {
    let (service, parts) = (call.service.name.clone(), call.likely_suspects());
    if parts.is_empty() {
        return;
    }
    let changes = call.shared.hub.ask(move |node, now| node.note_survived(&service, &parts, now));
    log_changes(&call.shared, &changes, None);
}

/// Waits until one of these parts is quarantined.
pub async fn until_quarantined(shared: Rc<Shared>, service: Arc<str>, parts: Vec<u64>) {
    loop {
        let changed = shared.quarantined.notified();
        let (service, parts) = (service.clone(), parts.clone());
        if shared.hub.ask(move |node, _| node.is_quarantined(&service, &parts)) {
            return;
        }
        changed.await;
    }
}

/// Logs changes of the quarantine, which another instance (`member`) or this one decided.
pub fn log_changes(shared: &Shared, changes: &[QuarantineChange], member: Option<&str>) {
    for change in changes {
        match change {
            QuarantineChange::Reported(process, age) => {
                let process = *process;
                let name = shared.hub.ask(move |node, _| node.endpoint_name(process));
                log_event!(shared.log, CRASH_REPORTED, "endpoint" => name.as_deref(),
                    "born" => process.born, "member" => member,
                    "age_ms" => age.as_millis() as u64);
            }
            QuarantineChange::Withdrawn(process, age) => {
                metrics::counter!("agatestair_serve_crashes_withdrawn_total").increment(1);
                let process = *process;
                let name = shared.hub.ask(move |node, _| node.endpoint_name(process));
                log_event!(shared.log, CRASH_WITHDRAWN, "endpoint" => name.as_deref(),
                    "born" => process.born, "age_ms" => age.as_millis() as u64);
            }
            QuarantineChange::Added(verdict) => {
                metrics::counter!("agatestair_serve_quarantined_total").increment(1);
                let service = verdict.part.service;
                let service = shared.hub.ask(move |node, _| node.service_name(service));
                log_event!(shared.log, PART_QUARANTINED, "part" => hex(verdict.part.part),
                    "service" => service.as_deref(), "crashes" => verdict.crashes,
                    "member" => member, "age_ms" => verdict.age.as_millis() as u64);
                shared.quarantined.notify_waiters();
            }
            QuarantineChange::Released(part) => log_event!(shared.log, PART_RELEASED,
                "part" => hex(part.part), "cause" => "a run survived", "member" => member),
            QuarantineChange::Unfounded(part) => log_event!(shared.log, PART_RELEASED,
                "part" => hex(part.part), "cause" => "crashes were withdrawn", "member" => member),
            QuarantineChange::Forgotten(part) => log_event!(shared.log, PART_RELEASED,
                "part" => hex(part.part), "cause" => "no requests", "member" => member),
        }
    }
}

fn list(parts: &[u64]) -> String {
    parts.iter().map(|part| hex(*part)).collect::<Vec<String>>().join(",")
}

fn hex(part: u64) -> String {
    format!("{part:x}")
}
