//! State of one request in flight: placement, attempts so far, and retry decisions.

use std::cell::OnceCell;
use std::future::ready;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use agatestair_policy::board::{Denial, DenialCause, FailureKind, PlacementRequest};
use agatestair_policy::{EndpointKey, QuarantineCheck, fingerprint};
use agatestair_runtime::log_event;
use http::header::AUTHORIZATION;
use rand::Rng;
use tokio::time::Instant;

use crate::attempt_guard::AttemptGuard;
use crate::configuration::{Route, Service};
use crate::customers::{Access, Credential, Customer};
use crate::dispatches::{DispatchKey, Dispatches, End, Work};
use crate::events::{
    ATTEMPT_FAILED, ATTEMPT_WITHHELD, ENDPOINT_EJECTED, ENDPOINT_SILENT, NOT_PLACED, PART_TRIED,
    PLACED,
};
use crate::hedge::Hedge;
use crate::node::{Backup, BegunKey, Placement, Search};
use crate::proof::boot_now;
use crate::response::{
    DEFAULT_RETRY_AFTER, ELSEWHERE_RETRY_AFTER, Failure, not_run, not_run_within,
};
use crate::run_meter::RunMeter;
use crate::send::{Dispatch, ForwardedRequest, SendOutcome, Written, build_request, send};
use crate::shared::Shared;
use crate::wire::{CallFacts, Outbound, Phase};

/// Maximum number of endpoints that a request is sent to, including those that refuse it.
const MAX_SENDS: u32 = 3;

/// Multiple of the latency objective that a request may queue for when its response cannot start
/// within the objective. A larger value delays later requests past their objective too; a smaller
/// one rejects callers that prefer a late response to none.
const SLACK_FACTOR: f64 = 1.1;

/// Divides the time remaining to get the longest retry delay that a paused service returns.
const RETRY_DIVISOR: u32 = 3;

/// Number of endpoints that may crash during runs of a request before it is given up.
const MAX_CRASHES: u32 = 2;

/// Cause of failures of quarantined requests.
pub const QUARANTINED_CAUSE: &str = "the request or a part of its prompt crashes endpoints";

/// Retry delay for callers whose request, or a part of its prompt, is quarantined.
const QUARANTINED_RETRY_AFTER: Duration = Duration::from_secs(60);

/// The same if it may only have stood beside the one that crashes endpoints, and is tried soon.
const DOUBTFUL_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Maximum number of attempts that send nothing and may be followed by another attempt.
const MAX_NOT_SENT: u32 = 6;

/// A request in flight.
pub struct Call {
    /// Shared state of the instance.
    pub shared: Rc<Shared>,
    /// The request as forwarded to endpoints.
    pub forwarded: ForwardedRequest,
    /// Values from the system's request headers.
    pub facts: CallFacts,
    /// API key of the request.
    pub credential: Credential,
    /// Customer that holds the key, if keys are checked.
    pub customer: Option<Arc<Customer>>,
    /// Route that the request matched.
    pub route: Arc<Route>,
    /// Service that handles the request.
    pub service: Arc<Service>,
    /// Version of the configuration that defines the route.
    pub version: u64,
    /// Time of arrival.
    pub arrived: Instant,
    /// Time at which the request times out.
    pub deadline: Instant,
    /// Endpoints that are excluded from further attempts.
    pub tried: Vec<EndpointKey>,
    /// Those of them that have not run the request.
    pub spared: Vec<EndpointKey>,
    /// Number of times the request was sent to an endpoint.
    pub sends: u32,
    /// Each time that the request was sent.
    pub dispatches: Dispatches,
    /// Number of attempts that ended before anything was sent.
    pub not_sent: u32,
    /// Engine that replicates the KV cache of the current run.
    pub backup: Option<Backup>,
    /// The first attempt that was placed.
    pub begun: Option<Begun>,
    /// Whether the response to the caller has begun.
    pub answering: bool,
    /// Endpoints that crashed during a run of the request.
    pub crashes: u32,
    /// Whether the request is the trial of a quarantined prompt part.
    pub trial: bool,
    /// Fingerprint of the request, once it was needed.
    pub fingerprint: OnceCell<u64>,
    /// Counts the request for the usage reports.
    pub meter: RunMeter,
    /// Its second attempt, if the settings allow any.
    pub hedge: Option<Hedge>,
}

/// A request on its way to an endpoint; dropping it closes the connection.
pub struct Sending {
    /// Completes with the response head or a failure.
    pub outcome: Pin<Box<dyn Future<Output = SendOutcome>>>,
    /// Engine that replicates the KV cache of the run.
    pub backup: Option<Backup>,
    /// When the request was written.
    pub written: Written,
    /// Its record.
    pub key: DispatchKey,
}

/// Counts a request with a placed attempt until it is dropped.
pub struct Begun {
    shared: Rc<Shared>,
    key: BegunKey,
    /// When the first attempt was placed.
    at: Instant,
    /// How long it was expected to take, if there is a model of it.
    expected: Option<Duration>,
}

impl Begun {
    fn new(call: &Call, expected: Option<Duration>) -> Self {
        let (route, service) = (call.route.name.clone(), call.service.name.clone());
        let key = call.shared.hub.ask(move |node, now| node.begin_request(&route, &service, now));
        Self { shared: call.shared.clone(), key, at: Instant::now(), expected }
    }
}

impl Drop for Begun {
    fn drop(&mut self) {
        let key = self.key;
        self.shared.hub.ask(move |node, _| node.end_request(key));
    }
}

impl Call {
    /// Builds the placement request of this request.
    pub fn placement_request(&self) -> PlacementRequest {
        let prompt = self.facts.prompt.clone().unwrap_or_default();
        let output =
            self.facts.expected.map_or(prompt.output, |expected| expected.min(prompt.output));
        PlacementRequest {
            route: self.route.name.clone(),
            service: self.service.name.clone(),
            parts: prompt.parts,
            prompt: prompt.input,
            max_gap: self.route.max_gap,
            output,
            max_output: prompt.output,
            left: self.remaining(),
            begun: self.begun.is_some(),
            limit: self.remaining(),
            objective: self.remaining(),
            max_wait: self.remaining(),
            tried: self.tried.clone(),
            rank: self.rank(),
            draw: rand::rng().random(),
            ..PlacementRequest::default()
        }
    }

    /// Priority among the requests of the service: that of the customer, or else of the route.
    pub fn rank(&self) -> u8 {
        let own = self.customer.as_ref().and_then(|customer| customer.rank);
        own.unwrap_or(self.route.rank)
    }

    /// Time until the deadline, zero once it has passed.
    pub fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Time within which the response must start: for streams until the caller is expected to
    /// give up, otherwise until the deadline.
    fn first_event_limit(&self) -> Duration {
        let patience = self.route.caller_patience().saturating_sub(self.arrived.elapsed());
        if self.route.kind.is_stream() { patience.min(self.remaining()) } else { self.remaining() }
    }

    /// Selects an endpoint and adds the attempt to its load.
    ///
    /// # Errors
    ///
    /// Returns a [`Denial`] if no endpoint can take the attempt.
    pub fn place(&mut self, search: Search) -> Result<AttemptGuard, Denial> {
        self.check_key(search)?;
        self.check_quarantine(search)?;
        let mut request = self.placement_request();
        if matches!(search, Search::Run { .. }) && self.sends == 0 {
            request.limit = self.first_event_limit();
            request.objective = request.limit.min(self.route.objective);
            request.max_wait = self.route.objective.mul_f64(SLACK_FACTOR);
        }
        if self.answering || matches!(search, Search::Decode(_) | Search::Copy(_)) {
            request.elapsed =
                self.begun.as_ref().map(|begun| begun.at.elapsed()).unwrap_or_default();
        }
        let connections = self.service.connections;
        let placement =
            self.shared.hub.ask(move |node, now| node.place(&request, search, connections, now));
        match placement {
            Ok(placement) => {
                self.log_placement(search, &placement);
                if self.begun.is_none() {
                    self.begun = Some(Begun::new(self, placement.duration));
                }
                Ok(AttemptGuard::new(self.shared.clone(), placement))
            }
            Err(denial) => {
                if denial.cause == DenialCause::Limited {
                    metrics::counter!("agatestair_serve_limited_total").increment(1);
                }
                let service = self.service.name.clone();
                let share = self.shared.hub.ask(move |node, now| node.limit_share(&service, now));
                self.log_denial(search, &denial, share, None);
                Err(denial)
            }
        }
    }

    /// Denies an attempt if the caller's key was withdrawn since the request was accepted.
    ///
    /// The configuration may have gained or lost all customers since then.
    pub fn check_key(&mut self, search: Search) -> Result<(), Denial> {
        let (route, credential) = (self.route.clone(), self.credential);
        let access =
            self.shared.hub.ask(move |node, _| node.access(&route, credential, boot_now()));
        if access != Access::Unchecked {
            self.forwarded.headers.remove(AUTHORIZATION);
        }
        let former = self.customer.take();
        let cause = match access {
            Access::Unchecked | Access::Anonymous => return Ok(()),
            Access::Granted(holder)
                if former.as_ref().is_none_or(|former| former.name == holder.name) =>
            {
                self.customer = Some(holder);
                return Ok(());
            }
            Access::Granted(_) | Access::Denied(_) => DenialCause::Withdrawn,
            Access::Unproven => DenialCause::Unproven,
        };
        // The attempts before count for the customer on whose behalf they were sent.
        self.customer = former;
        let denial = Denial { cause, retry_after: ELSEWHERE_RETRY_AFTER };
        self.log_denial(search, &denial, None, None);
        Err(denial)
    }

    /// Denies an attempt if the request or a part of its prompt is quarantined, unless it is the trial.
    fn check_quarantine(&mut self, search: Search) -> Result<(), Denial> {
        let parts = self.likely_suspects();
        if parts.is_empty() || self.trial {
            return Ok(());
        }
        let service = self.service.name.clone();
        let check =
            self.shared.hub.ask(move |node, now| node.check_quarantine(&service, &parts, now));
        match check {
            QuarantineCheck::Clear => Ok(()),
            QuarantineCheck::Trial(part) => {
                self.trial = true;
                log_event!(self.shared.log, PART_TRIED, "part" => format!("{part:x}"),
                    "request" => self.forwarded.id.as_deref());
                Ok(())
            }
            QuarantineCheck::Denied(part) => {
                metrics::counter!("agatestair_serve_quarantine_refusals_total").increment(1);
                let service = self.service.name.clone();
                let doubtful = self.shared.hub.ask(move |node, _| node.is_doubtful(&service, part));
                let retry_after =
                    if doubtful { DOUBTFUL_RETRY_AFTER } else { QUARANTINED_RETRY_AFTER };
                let denial = Denial { cause: DenialCause::Quarantined, retry_after };
                self.log_denial(search, &denial, None, Some(part));
                Err(denial)
            }
        }
    }

    /// What may crash an endpoint that runs the request: the request as a whole, and the parts of its
    /// prompt that it may share with other prompts, all but the last.
    pub fn suspects(&self) -> Vec<u64> {
        let mut suspects = self.shared_parts();
        suspects.push(self.fingerprint());
        suspects
    }

    /// Like [`Call::suspects`], with the request as a whole only if requests to the service may have
    /// crashed endpoints: its fingerprint takes time.
    pub fn likely_suspects(&self) -> Vec<u64> {
        let service = self.service.name.clone();
        let suspects_requests =
            self.shared.hub.ask(move |node, _| node.suspects_requests(&service));
        if suspects_requests { self.suspects() } else { self.shared_parts() }
    }

    fn shared_parts(&self) -> Vec<u64> {
        let parts = self.facts.prompt.iter().filter_map(|prompt| prompt.parts.split_last());
        parts.flat_map(|(_, shared)| shared.iter().map(|part| part.id)).collect()
    }

    /// Fingerprint of what is the same when a caller sends the request again.
    fn fingerprint(&self) -> u64 {
        *self.fingerprint.get_or_init(|| {
            let ForwardedRequest { method, uri, body, .. } = &self.forwarded;
            let customer = self.customer.as_ref().map_or("", |customer| &customer.name);
            let path = uri.path_and_query().map_or("", |path| path.as_str());
            let parts = self.facts.prompt.iter().flat_map(|prompt| &prompt.parts);
            let prompt: Vec<u8> = parts.flat_map(|part| part.id.to_le_bytes()).collect();
            let texts = [method.as_str(), path, customer].map(str::as_bytes);
            fingerprint(&[texts[0], texts[1], texts[2], &prompt, body])
        })
    }

    fn log_denial(&self, search: Search, denial: &Denial, share: Option<f64>, part: Option<u64>) {
        let (service, connections) = (self.service.name.clone(), self.service.connections);
        let tried = self.tried.clone();
        let used = self
            .shared
            .hub
            .ask(move |node, now| node.endpoints_used(&service, connections, &tried, now));
        log_event!(self.shared.log, NOT_PLACED, "request" => self.forwarded.id.as_deref(),
            "service" => &*self.service.name, "search" => search.label(),
            "cause" => format!("{:?}", denial.cause), "share" => share,
            "used" => used,
            "stop_ms" => self.shared.shutdown.left().map(|left| left.as_millis() as u64),
            "part" => part.map(|part| format!("{part:x}")), "version" => self.version,
            "back_ms" => denial.retry_after.as_millis() as u64,
            "aim_ms" => self.route.objective.as_millis() as u64,
            "left_ms" => self.remaining().as_millis() as u64, "sends" => self.sends);
    }

    /// Logs where an attempt is sent.
    pub fn log_placement(&self, search: Search, placement: &Placement) {
        log_event!(self.shared.log, PLACED, "request" => self.forwarded.id.as_deref(),
            "endpoint" => &*placement.name, "search" => search.label(),
            "reads" => placement.prefill_only, "busy" => placement.busy,
            "expected_ms" => placement.expected.as_millis() as u64,
            "end_ms" => placement.duration.map(|duration| duration.as_millis() as u64),
            "bound_ms" => placement.bound.map(|bound| bound.as_millis() as u64),
            "stop_ms" => self.shared.shutdown.left().map(|left| left.as_millis() as u64),
            "version" => self.version,
            "unread" => placement.load.unread, "trial" => placement.probe,
            "share" => placement.share,
            "fetch" => placement.fetch.map(|address| address.to_string()),
            "left_ms" => self.remaining().as_millis() as u64, "sends" => self.sends);
    }

    /// Sends the request to the endpoint selected by `guard` and waits for the response head.
    pub async fn send(
        &mut self,
        guard: &AttemptGuard,
        work: Work,
        phase: Phase<'_>,
    ) -> SendOutcome {
        let sending = self.begin_send(guard, work, phase, None);
        self.backup = sending.backup;
        let sent = sending.outcome.await;
        self.note_sent(sending.key, &sent);
        sent
    }

    /// Starts to send the request to the endpoint selected by `guard`, unless it must not run again;
    /// [`Call::note_sent`] takes the outcome into account.
    ///
    /// `resume` is the identifier of the last event that the caller has received.
    pub fn begin_send(
        &mut self,
        guard: &AttemptGuard,
        work: Work,
        phase: Phase<'_>,
        resume: Option<&str>,
    ) -> Sending {
        let backup = self.place_backup(guard, phase);
        let outbound = Outbound {
            deadline: self.remaining(),
            endpoint: &guard.placement.name,
            rank: self.rank(),
            phase,
            fetch: guard.placement.fetch,
            backup: backup.map(|backup| backup.address),
            resume,
            customer: self.customer.as_ref().map(|customer| &*customer.name),
        };
        let (kind, attempts) = (self.route.kind, self.route.attempts);
        let may_repeat = kind.may_repeat();
        let grounds = if guard.placement.hedge {
            self.dispatches.hedge_grounds(kind, attempts)
        } else {
            self.dispatches.grounds(work, kind, attempts)
        };
        let may_reuse = !self.dispatches.has_reached(guard.placement.key);
        let key = self.dispatches.begin(work, guard.placement.key);
        let written = Written::default();
        // A prefill is not a run.
        if matches!(work, Work::Run) {
            self.meter.begin(key, written.clone());
        }
        let Some(grounds) = grounds else {
            let sent = SendOutcome::Unknown("the request may have run before".to_owned());
            return Sending { outcome: Box::pin(ready(sent)), backup: None, written, key };
        };
        let request = build_request(&self.shared, &self.forwarded, &outbound);
        let (shared, id) = (self.shared.clone(), self.forwarded.id.clone());
        let dispatch =
            Dispatch { key, id, work, grounds, may_reuse, may_repeat, written: written.clone() };
        let sending = send(shared, guard.placement.clone(), dispatch, request);
        Sending { outcome: Box::pin(sending), backup, written, key }
    }

    /// Records what became of a request that was sent.
    pub fn note_sent(&mut self, key: DispatchKey, sent: &SendOutcome) {
        let end = match sent {
            SendOutcome::NotSent(_) | SendOutcome::Withheld(_) => Some(End::NotWritten),
            SendOutcome::Refused { .. } => Some(End::Refused),
            SendOutcome::Unknown(_) => Some(End::Unsure),
            SendOutcome::Responded(_) => None,
        };
        if let Some(end) = end {
            self.dispatches.end(key, end);
            if end != End::Unsure {
                self.meter.spare(key);
            }
        }
        if end != Some(End::NotWritten) {
            self.sends += 1;
        }
    }

    /// Selects an engine to replicate the run's KV cache, for streams that cannot be run again.
    fn place_backup(&self, guard: &AttemptGuard, phase: Phase<'_>) -> Option<Backup> {
        let generates = !matches!(phase, Phase::Prefill) && self.facts.prompt.is_some();
        let needs_backup = self.route.kind.is_stream() && !self.may_repeat();
        if !generates || !needs_backup {
            return None;
        }
        let (request, key, connections) =
            (self.placement_request(), guard.placement.key, self.service.connections);
        self.shared.hub.ask(move |node, now| node.place_backup(&request, key, connections, now))
    }

    /// Records the duration of a request that was answered completely or has timed out.
    pub fn note_duration(&self) {
        let Some(begun) = &self.begun else { return };
        let (route, service) = (self.route.name.clone(), self.service.name.clone());
        let durations = [begun.expected.unwrap_or_default(), begun.at.elapsed()];
        self.shared.hub.ask(move |node, now| node.note_duration(&route, &service, durations, now));
    }

    /// Records that an endpoint is silent, after `events` events of a stream, and excludes it from
    /// further attempts.
    pub fn note_silent(&mut self, guard: &AttemptGuard, cause: &str, events: Option<u64>) {
        self.tried.push(guard.placement.key);
        metrics::counter!("agatestair_serve_silences_total").increment(1);
        log_event!(self.shared.log, ENDPOINT_SILENT, "request" => self.forwarded.id.as_deref(),
            "endpoint" => &*guard.placement.name, "cause" => cause, "events" => events,
            "runs" => self.dispatches.runs(), "left_ms" => self.remaining().as_millis() as u64,
            "ms" => guard.elapsed().as_millis() as u64);
    }

    /// Whether the route's kind and its maximum number of attempts allow another run.
    pub fn may_repeat(&self) -> bool {
        self.dispatches.may_repeat(self.route.kind, self.route.attempts)
    }

    /// Records an attempt that was not sent although it was placed, and excludes its endpoint from
    /// further attempts.
    pub fn note_withheld(&mut self, guard: &AttemptGuard, cause: &str) {
        self.note_hedge_failed(guard);
        self.tried.push(guard.placement.key);
        self.not_sent += 1;
        log_event!(self.shared.log, ATTEMPT_WITHHELD, "request" => self.forwarded.id.as_deref(),
            "endpoint" => &*guard.placement.name, "cause" => cause,
            "ms" => guard.elapsed().as_millis() as u64);
    }

    /// Records an attempt without a response.
    pub fn note_unanswered(&mut self, guard: &AttemptGuard, sent: &SendOutcome) {
        match sent {
            SendOutcome::NotSent(cause) => {
                self.note_failed(guard, FailureKind::Broken, cause);
                self.not_sent += 1;
            }
            SendOutcome::Withheld(cause) => self.note_withheld(guard, cause),
            SendOutcome::Refused { status, moved } => {
                let cause =
                    if *moved { "the address belongs to another endpoint" } else { "refused" };
                let cause = format!("{cause}, status {}", status.as_u16());
                self.note_failed(guard, FailureKind::Refused, &cause);
            }
            SendOutcome::Unknown(cause) => {
                return self.note_failed(guard, FailureKind::Broken, cause);
            }
            SendOutcome::Responded(_) => unreachable!("a response is not a failed attempt"),
        }
        self.spared.push(guard.placement.key);
    }

    /// Allows further attempts at the endpoints that have not run the request.
    pub fn retry_spared(&mut self) {
        let spared = std::mem::take(&mut self.spared);
        self.tried.retain(|key| !spared.contains(key));
    }

    /// Records a failed attempt and excludes its endpoint from further attempts.
    pub fn note_failed(&mut self, guard: &AttemptGuard, kind: FailureKind, cause: &str) {
        self.note_hedge_failed(guard);
        self.tried.push(guard.placement.key);
        metrics::counter!("agatestair_serve_attempts_failed_total").increment(1);
        log_event!(self.shared.log, ATTEMPT_FAILED, "request" => self.forwarded.id.as_deref(),
            "endpoint" => &*guard.placement.name, "cause" => cause,
            "ms" => guard.elapsed().as_millis() as u64);
        if guard.note_failure(kind) {
            log_event!(self.shared.log, ENDPOINT_EJECTED, "endpoint" => &*guard.placement.name,
                "cause" => cause);
        }
    }

    /// Whether the request may be sent again; spends one unit of the service's retry budget.
    pub fn may_send_again(&self) -> bool {
        let max_crashes = if self.trial { 1 } else { MAX_CRASHES };
        if self.sends >= MAX_SENDS || self.crashes >= max_crashes || self.remaining().is_zero() {
            return false;
        }
        let service = self.service.name.clone();
        self.shared.hub.ask(move |node, now| node.spend_retry(&service, now))
    }

    /// Whether the request may be sent again although it may have run; spends one unit of the
    /// service's retry budget.
    pub fn may_run_again(&self) -> bool {
        self.may_repeat() && self.may_send_again()
    }

    /// Gives back a retry that was spent at this moment and not used.
    pub fn return_retry(&self) {
        let service = self.service.name.clone();
        self.shared.hub.ask(move |node, now| node.return_retry(&service, now));
    }

    /// Whether another endpoint may be tried after an attempt that sent nothing.
    pub fn may_connect_again(&self) -> bool {
        self.not_sent <= MAX_NOT_SENT && !self.remaining().is_zero()
    }

    /// Converts a placement denial into the failure that the caller receives.
    pub fn denial_failure(&self, denial: &Denial) -> Failure {
        if self.dispatches.runs() > 0 {
            return Failure::MayHaveRun("no endpoint left".to_owned());
        }
        let cause = match denial.cause {
            DenialCause::NoEndpoint => "no endpoint takes work",
            DenialCause::TooLate => "no endpoint can answer in time",
            DenialCause::Quarantined => QUARANTINED_CAUSE,
            DenialCause::Withdrawn => return Failure::Unauthorized("the API key was withdrawn"),
            DenialCause::Unproven => return Failure::unproven(),
            DenialCause::Stopping => {
                let (retry_after, cause) = (denial.retry_after, "the instance is shutting down");
                if retry_after >= DEFAULT_RETRY_AFTER {
                    return not_run(retry_after, cause);
                }
                return Failure::NotRun { retry_after, cause };
            }
            DenialCause::Paused => {
                let cause = "all endpoints want no work for a while";
                return not_run_within(denial.retry_after, self.remaining() / RETRY_DIVISOR, cause);
            }
            DenialCause::Limited => {
                let cause = "the endpoints' rate limits are reached";
                return not_run_within(denial.retry_after, self.remaining() / RETRY_DIVISOR, cause);
            }
        };
        not_run(denial.retry_after, cause)
    }
}

/// Handles an attempt without a response: returns `None` to try another endpoint, or the failure
/// for the caller.
pub fn after_failure(call: &mut Call, guard: &AttemptGuard, sent: SendOutcome) -> Option<Failure> {
    call.note_unanswered(guard, &sent);
    match sent {
        SendOutcome::NotSent(_) => (!call.may_connect_again())
            .then(|| not_run(DEFAULT_RETRY_AFTER, "no endpoint can be reached")),
        SendOutcome::Withheld(_) => (!call.may_connect_again())
            .then(|| not_run(DEFAULT_RETRY_AFTER, "endpoints want no work")),
        SendOutcome::Refused { .. } => {
            (!call.may_send_again()).then(|| match call.dispatches.runs() {
                0 => not_run(DEFAULT_RETRY_AFTER, "endpoints are full"),
                _ => Failure::MayHaveRun("a further endpoint refused".to_owned()),
            })
        }
        SendOutcome::Unknown(cause) => {
            (!call.may_run_again()).then_some(Failure::MayHaveRun(cause))
        }
        SendOutcome::Responded(_) => unreachable!("a response is not a failed attempt"),
    }
}
