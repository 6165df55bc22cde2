//! Finds out whether a run broke because its endpoint's process crashed, and under which prompts.

use std::io;
use std::time::Duration;

use agatestair_runtime::log_event;

use crate::attempt_guard::AttemptGuard;
use crate::call::Call;
use crate::connection::{Connection, ConnectionSettings};
use crate::events::ENDPOINT_CRASHED;
use crate::reach::note_unreachable;
use crate::shared::Shared;

/// Longest time to find out whether a process still accepts connections.
const CHECK_TIME: Duration = Duration::from_millis(50);

/// Records a run that broke, in case its endpoint's process has crashed; `answering` is the time
/// since its answer began.
pub async fn note_broken(call: &mut Call, guard: &AttemptGuard, answering: Option<Duration>) {
    let shared = call.shared.clone();
    let key = guard.placement.key;
    if !shared.hub.ask(move |node, _| node.board.is_open(key)) {
        // It was about to exit, or is no longer listed.
        return;
    }
    let Some(error) = refusal(&shared, guard).await else { return };
    note_unreachable(&shared, &guard.placement, &error);
    call.crashes += 1;
    metrics::counter!("agatestair_serve_crashed_runs_total").increment(1);
    log_event!(shared.log, ENDPOINT_CRASHED, "request" => call.forwarded.id.as_deref(),
        "endpoint" => &*guard.placement.name, "parts" => list(&call.shared_parts()),
        "answering_ms" => answering.map(|time| time.as_millis() as u64),
        "ms" => guard.elapsed().as_millis() as u64, "crashes" => call.crashes);
}

/// The error by which the endpoint's machine shows that no process listens any more.
async fn refusal(shared: &Shared, guard: &AttemptGuard) -> Option<io::Error> {
    let settings = ConnectionSettings { connect: CHECK_TIME, ..ConnectionSettings::default() };
    match Connection::open(guard.placement.address, &settings).await {
        Ok(connection) => {
            shared.pool.put(guard.placement.key, connection);
            None
        }
        Err(error) => Some(error).filter(|error| error.kind() == io::ErrorKind::ConnectionRefused),
    }
}

fn list(parts: &[u64]) -> String {
    parts.iter().map(|part| format!("{part:x}")).collect::<Vec<String>>().join(",")
}
