//! The actor that owns the entry's state.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::mpsc::Sender;
use std::time::{Duration, Instant};

use agatestair_link::{LinkKey, LinkNode};
use agatestair_policy::{
    Action, AttemptEnd, AttemptKey, Moment, Refusal, RequestKey, Scheduler, SchedulerSettings,
};
use agatestair_schema::link::{Authority, FleetView};
use agatestair_schema::settings::EntrySettings;
use agatestair_schema::slo::SloCounts;
use slog::Logger;
use slotmap::SecondaryMap;
use stakker::sync::{Channel, ChannelGuard};
use stakker::{CX, MinTimerKey, after, call, fwd_to, lazy, timer_min};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::core::explain::ExplainRing;
use crate::core::job::{Attempt, Job};
use crate::core::message::{EntryMessage, RequestNumber};
use crate::core::slo::SloCounters;
use crate::endpoint::adapter::{EngineAdapter, standard};
use crate::protections::Protections;
use crate::refusal::Refused;
use crate::view::View;

/// Interval at which request deadlines and silent attempts are checked.
const TIMEOUT_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which the service-level counters are sent to the snapshot writer.
const SNAPSHOT_INTERVAL: Duration = Duration::from_secs(10);
/// Minimum delay before the scheduler is polled again.
const MIN_POLL_DELAY: Duration = Duration::from_millis(1);

/// Configuration and handles passed to the actor.
pub struct ActorParts {
    /// Settings.
    pub settings: Arc<EntrySettings>,
    /// Identifier of this run of the process.
    pub boot: Arc<str>,
    /// Enabled protections.
    pub protections: Protections,
    /// Link to the control process.
    pub node: LinkNode,
    /// Publishes the view for the threads that serve callers.
    pub view: watch::Sender<View>,
    /// Cancelled by the actor to stop accepting connections.
    pub closing: CancellationToken,
    /// Cancelled by the actor when requests that are still open must be answered.
    pub ending: CancellationToken,
    /// Cancelled by the actor to end the process.
    pub done: CancellationToken,
    /// Receives the service-level counters.
    pub snapshots: Option<Sender<Vec<SloCounts>>>,
    /// Log.
    pub log: Logger,
}

/// State of the link to the entry's control process.
#[derive(Default)]
pub struct ControlState {
    /// Open link.
    pub link: Option<LinkKey>,
    /// Last report on this link whether the lists are current.
    pub authority: Option<Authority>,
    /// When the lists were last confirmed as current.
    pub confirmed: Option<Instant>,
    /// Last fleet received.
    pub fleet: Option<FleetView>,
}

/// Phase of the entry's lifecycle.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// Serving.
    Serving,
    /// Shutting down: no longer announced to callers, still serving.
    Leaving,
    /// Draining: accepts no connections, finishes open requests.
    Closing,
}

/// Time of a shutdown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ShutdownPeriod {
    /// When it began.
    pub begun: Instant,
    /// When requests that are still open are cut.
    pub end: Instant,
}

/// Owns the entry's state.
pub struct EntryActor {
    pub(super) parts: ActorParts,
    pub(super) adapter: EngineAdapter,
    pub(super) channel: Channel<EntryMessage>,
    pub(super) scheduler: Scheduler,
    pub(super) jobs: SecondaryMap<RequestKey, Job>,
    pub(super) numbers: HashMap<RequestNumber, RequestKey>,
    pub(super) attempts: SecondaryMap<AttemptKey, Attempt>,
    pub(super) view: View,
    pub(super) control: ControlState,
    pub(super) ring: ExplainRing,
    pub(super) slo: SloCounters,
    pub(super) phase: Phase,
    pub(super) period: Option<ShutdownPeriod>,
    start: Instant,
    actions: Vec<Action>,
    poll_due: bool,
    wake: MinTimerKey,
    _guard: ChannelGuard,
}

impl EntryActor {
    /// Starts the actor; `ready` receives the channel to it.
    pub fn init(
        cx: CX![],
        parts: ActorParts,
        ready: Box<dyn FnOnce(Channel<EntryMessage>)>,
    ) -> Option<Self> {
        let receive = fwd_to!([cx], receive() as (EntryMessage));
        let (channel, guard) = Channel::new(cx, receive);
        ready(channel.clone());
        let scheduler = Scheduler::new(SchedulerSettings {
            policy: parts.settings.policy,
            seed: rand::random(),
            ..SchedulerSettings::default()
        });
        let start = cx.now();
        call!([cx], check_timeouts());
        call!([cx], report());
        call!([cx], snapshot());
        Some(Self {
            parts,
            adapter: standard(),
            channel,
            scheduler,
            jobs: SecondaryMap::new(),
            numbers: HashMap::new(),
            attempts: SecondaryMap::new(),
            view: View::default(),
            control: ControlState::default(),
            ring: ExplainRing::default(),
            slo: SloCounters::default(),
            phase: Phase::Serving,
            period: None,
            start,
            actions: Vec::new(),
            poll_due: false,
            wake: MinTimerKey::default(),
            _guard: guard,
        })
    }

    fn receive(&mut self, cx: CX![], message: EntryMessage) {
        let now = cx.now();
        match message {
            EntryMessage::Completion(job) => self.admit_completion(now, *job),
            EntryMessage::Call(job) => self.admit_call(now, *job),
            EntryMessage::CallerGone(number) => self.caller_gone(now, number),
            EntryMessage::Attempt { attempt, event } => self.attempt_event(now, attempt, event),
            EntryMessage::Link(event) => self.link_event(now, event),
            EntryMessage::Explain { request, customer, reply } => {
                // Fails if the caller has disconnected.
                let _ = reply.send(self.explain(&request, &customer));
            }
            EntryMessage::Count { plan, service, kind, outcome } => {
                self.slo.count(&plan, &service, kind, outcome);
            }
            EntryMessage::Shutdown => self.shut_down(cx),
            EntryMessage::Drained => self.drained(),
        }
        self.queue_poll(cx);
    }

    /// Schedules one poll of the scheduler, after all messages that are already queued.
    pub(super) fn queue_poll(&mut self, cx: CX![]) {
        if !self.poll_due {
            self.poll_due = true;
            lazy!([cx], poll());
        }
    }

    fn poll(&mut self, cx: CX![]) {
        self.poll_due = false;
        let now = cx.now();
        let moment = self.moment(now);
        let mut actions = std::mem::take(&mut self.actions);
        self.scheduler.poll(moment, &mut actions);
        self.apply(now, &mut actions);
        self.actions = actions;
        if let Some(at) = self.scheduler.next_wake(moment) {
            let wait = at.since(moment).max(MIN_POLL_DELAY);
            timer_min!(&mut self.wake, now + wait, [cx], poll());
        }
    }

    /// Carries out the scheduler's decisions.
    pub(super) fn apply(&mut self, now: Instant, actions: &mut Vec<Action>) {
        for action in actions.drain(..) {
            match action {
                Action::Start { request, attempt, name, address, purpose, priority, .. } => {
                    let target = Target { name, address, purpose, priority };
                    self.start_attempt(now, request, attempt, &target);
                }
                Action::Cancel { attempt } => self.cancel(now, attempt),
                Action::Refuse { request, refusal } => self.refuse(now, request, refusal),
            }
        }
    }

    fn refuse(&mut self, now: Instant, request: RequestKey, refusal: Refusal) {
        let Some(job) = self.jobs.get(request) else {
            return;
        };
        let mut refused = Refused::with_state(refusal.code.into(), job.state());
        refused.retry = refusal.retry_after.or(refused.retry);
        self.fail(now, request, refused);
    }

    /// Drops an attempt whose result is no longer needed and cancels it at its endpoint.
    pub(super) fn cancel(&mut self, now: Instant, attempt: AttemptKey) {
        let moment = self.moment(now);
        if let Some(cancelled) = self.attempts.remove(attempt) {
            cancelled.token.cancel();
            self.cancel_remote(&cancelled);
            if let Some(job) = self.jobs.get_mut(cancelled.request) {
                job.attempts.retain(|key| *key != attempt);
                job.may_have_run = true;
                let at = now.saturating_duration_since(job.admitted);
                job.explanation.add(at, format!("attempt at {} cancelled", cancelled.endpoint));
            }
        }
        self.scheduler.note_end(moment, attempt, AttemptEnd::Cancelled);
    }

    /// Ends requests whose deadline has passed and attempts that have timed out, and marks the silent
    /// attempts.
    pub(super) fn check_timeouts(&mut self, cx: CX![]) {
        let now = cx.now();
        let late: Vec<RequestKey> =
            self.jobs.iter().filter(|(_, job)| job.deadline <= now).map(|(key, _)| key).collect();
        for request in late {
            self.deadline_passed(now, request);
        }
        for attempt in self.find_attempts(|attempt| attempt.is_timed_out(now)) {
            self.attempt_timed_out(now, attempt);
        }
        for attempt in self.find_attempts(|attempt| attempt.is_silent(now)) {
            self.attempt_silent(now, attempt);
        }
        self.refresh_view(now);
        self.queue_poll(cx);
        after!(TIMEOUT_CHECK_INTERVAL, [cx], check_timeouts());
    }

    fn find_attempts(&self, matches: impl Fn(&Attempt) -> bool) -> Vec<AttemptKey> {
        self.attempts.iter().filter(|(_, attempt)| matches(attempt)).map(|(key, _)| key).collect()
    }

    /// Sends the counters to the snapshot writer.
    fn snapshot(&mut self, cx: CX![]) {
        if let Some(snapshots) = &self.parts.snapshots {
            // Fails only if the writer thread panicked, which was reported then.
            let _ = snapshots.send(self.slo.counts());
        }
        after!(SNAPSHOT_INTERVAL, [cx], snapshot());
    }

    /// Converts a point in time to the scheduler's clock.
    pub(super) fn moment(&self, now: Instant) -> Moment {
        let micros = now.saturating_duration_since(self.start).as_micros();
        Moment(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// Publishes the view to the threads that serve callers.
    pub(super) fn publish(&self) {
        self.parts.view.send_replace(self.view.clone());
    }
}

/// Destination and purpose of an attempt.
pub struct Target {
    /// Name of the endpoint.
    pub name: Arc<str>,
    /// Address of the endpoint.
    pub address: Arc<str>,
    /// Why the attempt is made.
    pub purpose: agatestair_policy::Purpose,
    /// Scheduling priority at the engine.
    pub priority: u32,
}
