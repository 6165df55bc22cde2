//! Shutdown of an instance within its grace period.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use agatestair_runtime::log_event;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::directory::lifetime;
use crate::events::{REQUEST_CUT, ROW_WRITE_FAILED, STOPPED, STOPPING};
use crate::members::Member;
use crate::shared::Shared;
use crate::store::{Table, Transaction};

/// Number of lifetimes of a directory response for which some callers keep using it.
const DIRECTORY_LIFETIMES: u32 = 3;

/// Time reserved at the end of the grace period for the process to exit by itself.
const EXIT_MARGIN: Duration = Duration::from_millis(400);

/// Time before the exit at which requests without a response are answered with an error.
const ANSWER_MARGIN: Duration = Duration::from_millis(100);

/// Largest part of the grace period that each of these margins takes.
const MARGIN_DIVISOR: u32 = 5;

/// Longest silence of a sound endpoint that a request with an estimated end has time for.
const SILENCE: Duration = Duration::from_secs(2);

/// Largest part of the grace period that is kept for such a silence.
const SILENCE_DIVISOR: u32 = 4;

/// Longest grace period.
const MAX_GRACE: Duration = Duration::from_secs(24 * 3600);

/// Pause after a failed removal of the instance's row.
const REMOVAL_PAUSE: Duration = Duration::from_millis(500);

/// Time between two checks for open requests during shutdown.
const DRAIN_CHECK: Duration = Duration::from_millis(20);

/// Largest number of seconds of a shutdown that are counted apart; later ones add to the last.
const MAX_SECONDS: usize = 64;

/// Waits until there is no open work or the deadline has passed; lets other tasks run at least once.
async fn drained(shared: &Shared, deadline: Instant) {
    yield_now().await;
    while shared.open_work() > 0 && Instant::now() < deadline {
        sleep(DRAIN_CHECK).await;
    }
}

/// Progress of an instance's shutdown.
#[derive(Debug, Default)]
pub struct Shutdown {
    period: Cell<Option<GracePeriod>>,
    /// Requests that arrived, by second of the shutdown.
    taken: RefCell<Vec<u32>>,
    /// When the last of them arrived.
    last: Cell<Option<Instant>>,
}

/// The time in which an instance finishes its work.
#[derive(Clone, Copy, Debug)]
struct GracePeriod {
    begun: Instant,
    /// When requests without a response are answered with an error.
    end: Instant,
}

impl Shutdown {
    /// Time until requests are answered with an error; `None` if the instance is not shutting down.
    pub fn left(&self) -> Option<Duration> {
        self.period.get().map(|period| period.end.saturating_duration_since(Instant::now()))
    }

    /// Counts a request that arrived while the instance is shutting down.
    pub fn note_taken(&self, arrived: Instant) {
        let Some(period) = self.period.get() else { return };
        let second = arrived.saturating_duration_since(period.begun).as_secs() as usize;
        let mut taken = self.taken.borrow_mut();
        let second = second.min(MAX_SECONDS - 1);
        if taken.len() <= second {
            taken.resize(second + 1, 0);
        }
        taken[second] += 1;
        self.last.set(Some(arrived));
    }

    /// Whether a request arrived within the given time.
    fn is_used(&self, within: Duration) -> bool {
        self.last.get().is_some_and(|last| last.elapsed() < within)
    }

    /// Requests that arrived in each second of the shutdown, separated by commas.
    fn taken(&self) -> String {
        let taken: Vec<String> = self.taken.borrow().iter().map(u32::to_string).collect();
        taken.join(",")
    }
}

/// Withdraws the instance from directory responses, keeps serving what ends in time until callers
/// have moved on, and drains open requests within the grace period.
pub async fn shut_down(shared: &Rc<Shared>, own: &Member) {
    let begun = Instant::now();
    let grace = Duration::try_from_secs_f64(shared.settings().bounds.grace_s);
    let grace = grace.unwrap_or(MAX_GRACE).min(MAX_GRACE);
    let left = grace - EXIT_MARGIN.min(grace / MARGIN_DIVISOR);
    let working = left - ANSWER_MARGIN.min(grace / MARGIN_DIVISOR);
    let answers = begun + working;
    shared.shutdown.period.set(Some(GracePeriod { begun, end: answers }));
    let silence = SILENCE.min(grace / SILENCE_DIVISOR);
    shared.hub.ask(move |node, now| node.begin_shutdown(now + working, silence, now));
    shared.leaving.cancel();
    log_event!(shared.log, STOPPING, "open" => shared.open.len(),
        "grace_ms" => grace.as_millis() as u64);
    remove_row(shared, own);
    let lifetime = lifetime(shared);
    sleep_until((begun + lifetime * DIRECTORY_LIFETIMES).min(answers)).await;
    while Instant::now() < answers && is_needed(shared, lifetime) {
        sleep(DRAIN_CHECK).await;
    }
    shared.closing.cancel();
    drained(shared, answers).await;
    shared.ending.cancel();
    drained(shared, begun + left).await;
    if shared.row_unsure.get() {
        // The write may have been applied after the removal.
        let again = timeout(ANSWER_MARGIN, try_remove_row(shared, &own.name)).await;
        if again.is_err() {
            log_event!(shared.log, ROW_WRITE_FAILED, "error" => "no time to remove the row again");
        }
    }
    let cut = shared.open.list();
    for request in &cut {
        log_event!(shared.log, REQUEST_CUT, "request" => request.id.as_deref(),
            "ms" => request.arrived.elapsed().as_millis() as u64,
            "after_ms" => request.arrived.saturating_duration_since(begun).as_millis() as u64);
    }
    log_event!(shared.log, STOPPED, "open" => shared.open_work(), "cut" => cut.len(),
        "taken" => shared.shutdown.taken(), "ms" => begun.elapsed().as_millis() as u64);
}

/// Whether callers use this instance because no other one is ready.
fn is_needed(shared: &Shared, lifetime: Duration) -> bool {
    let used = shared.open_work() > 0 || shared.shutdown.is_used(lifetime);
    used && !shared.hub.ask(|node, now| node.others_ready(now))
}

/// Removes this instance's row from the store, until that succeeds or the process exits.
fn remove_row(shared: &Rc<Shared>, own: &Member) {
    let (shared, name): (Rc<Shared>, Arc<str>) = (shared.clone(), own.name.clone());
    tokio::task::spawn_local(async move {
        while !try_remove_row(&shared, &name).await {
            sleep(REMOVAL_PAUSE).await;
        }
    });
}

async fn try_remove_row(shared: &Shared, name: &Arc<str>) -> bool {
    let transaction = Transaction {
        table: Table::Instances,
        expected: Vec::new(),
        writes: Vec::new(),
        removals: vec![name.clone()],
    };
    let removed = shared.settle((shared.store.commit)(transaction).await);
    if let Err(error) = &removed {
        // Other instances remove a silent instance by themselves.
        log_event!(shared.log, ROW_WRITE_FAILED, "error" => error.to_string());
    }
    removed.is_ok()
}
