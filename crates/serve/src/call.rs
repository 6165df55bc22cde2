//! One request in work: what it needs, where it was, and whether it may go on.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use agatestair_policy::EndpointKey;
use agatestair_policy::board::{Denial, DenialCause, Trouble, Wanted};
use agatestair_runtime::log_event;
use rand::Rng;
use tokio::time::Instant;

use crate::answer::{DEFAULT_BACK, Failure, not_run, not_run_within};
use crate::configuration::{Route, Service};
use crate::dialect::{CallFacts, Outbound, Phase};
use crate::events::{ATTEMPT_FAILED, DENIED, ENDPOINT_EJECTED, PLACED};
use crate::front::Front;
use crate::node::{Backup, Place, Search};
use crate::send::{Passed, Sent, send};
use crate::ticket::Ticket;

/// Endpoints that a request is offered to at most, refusals included.
const MAX_SENDS: u32 = 3;

/// Times the objective that a request may wait for others if its answer cannot begin within the
/// objective: more would make later ones late as well, less would turn away callers who rather have
/// a late answer than none.
const SLACK_SHARE: f64 = 1.1;

/// Part of the time left up to which callers wait before they come back.
const RETURN_SHARE: u32 = 3;

/// Connections that are tried in vain at most before the request is refused.
const MAX_UNSENT: u32 = 6;

/// A request in work.
pub struct Call {
    /// The instance.
    pub front: Rc<Front>,
    /// What is passed on.
    pub passed: Passed,
    /// What the head says.
    pub facts: CallFacts,
    /// Its route.
    pub route: Arc<Route>,
    /// The service that it goes to.
    pub service: Arc<Service>,
    /// Version of the configuration that the route is from.
    pub version: u64,
    /// When it arrived.
    pub arrived: Instant,
    /// When its time is over.
    pub limit: Instant,
    /// Endpoints that are not used again.
    pub tried: Vec<EndpointKey>,
    /// Requests that endpoints were sent.
    pub sends: u32,
    /// Endpoints that it may have run on.
    pub runs: u32,
    /// Connections tried in vain.
    pub unsent: u32,
    /// Engine with a copy of the memory of the run in work.
    pub backup: Option<Backup>,
}

impl Call {
    /// What placement needs to know.
    pub fn wanted(&self) -> Wanted {
        let prompt = self.facts.prompt.clone().unwrap_or_default();
        let output = self.facts.expected.map_or(prompt.output, |told| told.min(prompt.output));
        Wanted {
            service: self.service.name.clone(),
            parts: prompt.parts,
            prompt: prompt.input,
            pause: self.route.pause,
            output,
            limit: self.left(),
            aim: self.left(),
            slack: self.left(),
            tried: self.tried.clone(),
            draw: rand::rng().random(),
            ..Wanted::default()
        }
    }

    /// Time left.
    pub fn left(&self) -> Duration {
        self.limit.saturating_duration_since(Instant::now())
    }

    /// Time left until the caller leaves because the answer has not begun.
    fn left_to_begin(&self) -> Duration {
        let patience = self.route.first_patience().saturating_sub(self.arrived.elapsed());
        if self.route.kind.is_stream() { patience.min(self.left()) } else { self.left() }
    }

    /// Chooses an endpoint and counts the attempt there.
    ///
    /// # Errors
    ///
    /// [`Denial`] if there is no place.
    pub fn place(&self, search: Search) -> Result<Ticket, Denial> {
        let mut wanted = self.wanted();
        if matches!(search, Search::Run { .. }) && self.sends == 0 {
            wanted.limit = self.left_to_begin();
            wanted.aim = wanted.limit.min(self.route.objective);
            wanted.slack = self.route.objective.mul_f64(SLACK_SHARE);
        }
        let connections = self.service.connections;
        let place =
            self.front.hub.ask(move |node, now| node.place(&wanted, search, connections, now));
        match place {
            Ok(place) => {
                self.log_place(search, &place);
                Ok(Ticket::new(self.front.clone(), place))
            }
            Err(denial) => {
                self.log_denial(search, &denial);
                Err(denial)
            }
        }
    }

    fn log_denial(&self, search: Search, denial: &Denial) {
        log_event!(self.front.log, DENIED, "request" => self.passed.id.as_deref(),
            "service" => &*self.service.name, "search" => search.label(),
            "cause" => format!("{:?}", denial.cause), "version" => self.version,
            "back_ms" => denial.back.as_millis() as u64,
            "aim_ms" => self.route.objective.as_millis() as u64,
            "left_ms" => self.left().as_millis() as u64, "sends" => self.sends);
    }

    fn log_place(&self, search: Search, place: &Place) {
        log_event!(self.front.log, PLACED, "request" => self.passed.id.as_deref(),
            "endpoint" => &*place.name, "search" => search.label(), "reads" => place.reads, "busy" => place.busy,
            "expected_ms" => place.expected.as_millis() as u64, "version" => self.version,
            "unread" => place.load.unread, "trial" => place.trial,
            "fetch" => place.fetch.map(|address| address.to_string()),
            "left_ms" => self.left().as_millis() as u64, "sends" => self.sends);
    }

    /// Sends the request to a place.
    pub async fn send(&mut self, ticket: &Ticket, phase: Phase<'_>, resume: Option<&str>) -> Sent {
        self.backup = self.place_backup(ticket, phase);
        let outbound = Outbound {
            deadline: self.left(),
            endpoint: &ticket.place.name,
            rank: self.route.rank,
            phase,
            fetch: ticket.place.fetch,
            backup: self.backup.map(|backup| backup.address),
            resume,
        };
        let sent = send(&self.front, &ticket.place, &self.passed, &outbound).await;
        if !matches!(sent, Sent::Unsent(_) | Sent::Withheld) {
            self.sends += 1;
        }
        sent
    }

    /// The engine that gets a copy of the run's memory, if the run could not go on without one.
    fn place_backup(&self, ticket: &Ticket, phase: Phase<'_>) -> Option<Backup> {
        let runs = !matches!(phase, Phase::Read) && self.facts.prompt.is_some();
        let lost = self.route.kind.is_stream() && !self.may_repeat();
        if !runs || !lost {
            return None;
        }
        let (wanted, key, connections) =
            (self.wanted(), ticket.place.key, self.service.connections);
        self.front.hub.ask(move |node, now| node.place_backup(&wanted, key, connections, now))
    }

    /// Whether the request may run once more by its kind.
    pub fn may_repeat(&self) -> bool {
        self.route.kind.may_repeat() && self.runs < self.route.attempts
    }

    /// Notes that an attempt failed at its endpoint, which is not used again.
    pub fn note_failed(&mut self, ticket: &Ticket, trouble: Trouble, cause: &str) {
        self.tried.push(ticket.place.key);
        metrics::counter!("agatestair_serve_attempts_failed_total").increment(1);
        log_event!(self.front.log, ATTEMPT_FAILED, "request" => self.passed.id.as_deref(),
            "endpoint" => &*ticket.place.name, "cause" => cause,
            "ms" => ticket.elapsed().as_millis() as u64);
        if ticket.note_failure(trouble) {
            log_event!(self.front.log, ENDPOINT_EJECTED, "endpoint" => &*ticket.place.name,
                "cause" => cause);
        }
    }

    /// Whether the request may go to one more endpoint; takes it from the budget.
    pub fn may_send_again(&self) -> bool {
        if self.sends >= MAX_SENDS || self.left().is_zero() {
            return false;
        }
        let service = self.service.name.clone();
        self.front.hub.ask(move |node, now| node.spend_retry(&service, now))
    }

    /// Whether the request may run once more after it may have run; takes it from the budget.
    pub fn may_run_again(&self) -> bool {
        self.may_repeat() && self.may_send_again()
    }

    /// Whether one more connection may be tried.
    pub fn may_connect_again(&mut self) -> bool {
        self.unsent += 1;
        self.unsent <= MAX_UNSENT && !self.left().is_zero()
    }

    /// The failure of a request that has found no place.
    pub fn denied(&self, denial: &Denial) -> Failure {
        if self.runs > 0 {
            return Failure::MayHaveRun("no endpoint left".to_owned());
        }
        let cause = match denial.cause {
            DenialCause::NoEndpoint => "no endpoint takes work",
            DenialCause::TooLate => "no endpoint can answer in time",
            DenialCause::Paused => {
                let cause = "all endpoints want no work for a while";
                return not_run_within(denial.back, self.left() / RETURN_SHARE, cause);
            }
        };
        not_run(denial.back, cause)
    }
}

/// Decides what follows an attempt without an answer: `None` to try another endpoint.
pub fn after_failure(call: &mut Call, ticket: &Ticket, sent: Sent) -> Option<Failure> {
    match sent {
        Sent::Unsent(cause) => {
            call.note_failed(ticket, Trouble::Broken, &cause);
            let again = call.may_connect_again();
            (!again).then(|| not_run(DEFAULT_BACK, "no endpoint can be reached"))
        }
        Sent::Withheld => {
            call.tried.push(ticket.place.key);
            let again = call.may_connect_again();
            (!again).then(|| not_run(DEFAULT_BACK, "endpoints want no work"))
        }
        Sent::Refused { status, moved } => {
            let cause = if moved { "another endpoint has the address" } else { "refused" };
            let cause = format!("{cause}, status {}", status.as_u16());
            call.note_failed(ticket, Trouble::Refused, &cause);
            let again = call.may_send_again();
            (!again).then(|| match call.runs {
                0 => not_run(DEFAULT_BACK, "endpoints are full"),
                _ => Failure::MayHaveRun("a further endpoint refused".to_owned()),
            })
        }
        Sent::Unknown(cause) => {
            call.runs += 1;
            call.note_failed(ticket, Trouble::Broken, &cause);
            let again = call.may_run_again();
            (!again).then_some(Failure::MayHaveRun(cause))
        }
        Sent::Answered(_) => unreachable!("an answer is no failure"),
    }
}
