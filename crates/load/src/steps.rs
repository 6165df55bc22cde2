//! Timed actions on the fleet during a run: faults, drains and configuration changes.

use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use agatestair_ctl::{CtlError, OperatorClient};
use agatestair_schema::lists::WishState;
use agatestair_schema::platform::PlatformFaults;
use agatestair_schema::settings::CtlSettings;
use agatestair_schema::standins::EndpointFaults;
use agatestair_schema::testbed::{Deployment, EndpointPlace, PlaceKind};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use ureq::Agent;

use crate::plans::platform_settings;

/// Operator name that the load tool uses.
const OPERATOR: &str = "agatestair-load";
/// Maximum attempts for a write that conflicts or whose result is unknown.
const MAX_ATTEMPTS: u32 = 8;
/// Timeout of requests to the stand-ins.
const STANDIN_TIMEOUT: Duration = Duration::from_secs(2);
/// Lowest queue bound that [`FleetAction::ChangeLists`] sets.
const MIN_QUEUE_BOUND: u32 = 1000;

/// Action at a scheduled time.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// Time since the start of the run.
    pub at: Duration,
    /// Action to perform.
    pub action: FleetAction,
}

/// Action on the fleet.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetAction {
    /// Slows some engines down; their load reports stay unchanged for the time `blind`.
    Slow {
        /// Number of engines.
        engines: usize,
        /// Multiplier of all processing times.
        factor: f64,
        /// Duration of the slowdown.
        length: Duration,
        /// Time for which the load reports do not show the slowdown.
        blind: Duration,
    },
    /// Drains one engine.
    Drain,
    /// Replaces one engine by another.
    Replace,
    /// Withdraws one engine.
    Withdraw,
    /// Puts every endpoint that was asked to leave back into service.
    Restore,
    /// Applies a new revision of the lists.
    ChangeLists,
    /// Makes the platform refuse all requests.
    Outage {
        /// Duration of the outage.
        length: Duration,
    },
    /// Drops the replies of the next transactions, which still take effect.
    LoseReplies {
        /// Number of transactions.
        count: u32,
    },
}

/// Outcome of an action.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct StepRecord {
    /// Time at which the action ended, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Debug representation of the action.
    pub action: String,
    /// Affected endpoints.
    pub endpoints: Vec<String>,
    /// Applied revision, if the action changed the lists.
    pub revision: Option<u64>,
    /// Error message, if the action failed.
    pub failure: Option<String>,
}

/// Executes the steps of a run.
pub struct StepRunner {
    deployment: Deployment,
    operator: OperatorClient,
    agent: Agent,
    rng: ChaCha8Rng,
    leaving: Vec<String>,
}

impl StepRunner {
    /// Creates the runner of one run; `seed` determines which endpoints are chosen.
    pub fn new(deployment: &Deployment, seed: u64) -> Self {
        let agent = Agent::config_builder()
            .http_status_as_error(true)
            .timeout_global(Some(STANDIN_TIMEOUT))
            .build()
            .into();
        Self {
            deployment: deployment.clone(),
            operator: OperatorClient::new(&CtlSettings {
                platform: platform_settings(deployment),
                operator: OPERATOR.to_owned(),
                instances: Vec::new(),
            }),
            agent,
            rng: ChaCha8Rng::seed_from_u64(seed),
            leaving: Vec::new(),
        }
    }

    /// Executes all steps at their scheduled times after `start`.
    pub fn run(mut self, start: Instant, steps: &[Step]) -> Vec<StepRecord> {
        let mut records = Vec::with_capacity(steps.len());
        for step in steps {
            thread::sleep((start + step.at).saturating_duration_since(Instant::now()));
            records.push(self.execute(&step.action));
        }
        records
    }

    fn execute(&mut self, action: &FleetAction) -> StepRecord {
        let result = match action {
            FleetAction::Slow { engines, factor, length, blind } => {
                self.slow(*engines, *factor, *length, *blind)
            }
            FleetAction::Drain => self.request_leave(WishState::Drain),
            FleetAction::Replace => self.request_leave(WishState::Replace),
            FleetAction::Withdraw => self.request_leave(WishState::Withdraw),
            FleetAction::Restore => self.restore(),
            FleetAction::ChangeLists => self.change_lists().map(ActionResult::Revision),
            FleetAction::Outage { length } => self.outage(*length),
            FleetAction::LoseReplies { count } => self.lose_replies(*count),
        };
        let mut record = StepRecord {
            at_ms: unix_ms(),
            action: format!("{action:?}"),
            endpoints: Vec::new(),
            revision: None,
            failure: None,
        };
        match result {
            Ok(ActionResult::Endpoints(names)) => record.endpoints = names,
            Ok(ActionResult::Revision(revision)) => record.revision = Some(revision),
            Err(failure) => record.failure = Some(failure),
        }
        record
    }

    fn engines(&self) -> Vec<EndpointPlace> {
        let places = self.deployment.endpoints.iter();
        places.filter(|place| place.kind == PlaceKind::Engine).cloned().collect()
    }

    fn slow(
        &mut self,
        count: usize,
        factor: f64,
        length: Duration,
        blind: Duration,
    ) -> Result<ActionResult, String> {
        let engines = self.engines();
        let chosen: Vec<_> = engines.choose_multiple(&mut self.rng, count).cloned().collect();
        for place in &chosen {
            self.set_faults(place, &slow_faults(factor, length, true))?;
        }
        thread::sleep(blind);
        for place in &chosen {
            self.set_faults(place, &slow_faults(factor, length.saturating_sub(blind), false))?;
        }
        Ok(ActionResult::Endpoints(chosen.into_iter().map(|place| place.name).collect()))
    }

    fn set_faults(&self, place: &EndpointPlace, faults: &EndpointFaults) -> Result<(), String> {
        let url = format!("http://{}/faults/{}", self.deployment.recorder, place.name);
        self.post(&url, faults)
    }

    fn post<T: Serialize>(&self, url: &str, body: &T) -> Result<(), String> {
        let result = self.agent.post(url).send_json(body);
        result.map(drop).map_err(|error| format!("{url}: {error}"))
    }

    /// Asks a random engine to leave, among those that have not been asked yet.
    fn request_leave(&mut self, state: WishState) -> Result<ActionResult, String> {
        let staying: Vec<EndpointPlace> = self
            .engines()
            .into_iter()
            .filter(|place| !self.leaving.contains(&place.name))
            .collect();
        let place = staying.choose(&mut self.rng).ok_or("no engine is left in service")?;
        let successor = match state {
            WishState::Replace => staying.iter().find(|other| other.name != place.name),
            _ => None,
        };
        self.set_wish(&place.name, state, successor)?;
        self.leaving.push(place.name.clone());
        Ok(ActionResult::Endpoints(vec![place.name.clone()]))
    }

    fn restore(&mut self) -> Result<ActionResult, String> {
        let names = std::mem::take(&mut self.leaving);
        for name in &names {
            self.set_wish(name, WishState::Serve, None)?;
        }
        Ok(ActionResult::Endpoints(names))
    }

    fn set_wish(
        &self,
        name: &str,
        state: WishState,
        successor: Option<&EndpointPlace>,
    ) -> Result<(), String> {
        let successor = successor.map(|place| place.name.clone());
        let write = || self.operator.set_wish(name, state, successor.clone());
        retry_conflicts(write).map(drop)
    }

    /// Applies a new revision of the lists that differs in one queue bound.
    fn change_lists(&mut self) -> Result<u64, String> {
        let bound = MIN_QUEUE_BOUND + self.rng.random_range(0..100);
        let lists = retry_conflicts(|| {
            let Some((mut lists, _)) = self.operator.current_lists()? else {
                let remedy = "apply them with `agatestairctl apply`".to_owned();
                return Err(CtlError::Missing { what: "lists".to_owned(), remedy });
            };
            if let Some(allowance) = lists.allowances.allowances.first_mut() {
                allowance.max_queue = bound;
            }
            self.operator.apply(lists.plans, lists.allowances, Some(lists.revision), "experiment")
        });
        lists.map(|lists| lists.revision)
    }

    fn outage(&self, length: Duration) -> Result<ActionResult, String> {
        let url = format!("http://{}/faults", self.deployment.platform);
        self.post(&url, &PlatformFaults { outage: true, ..no_platform_faults() })?;
        thread::sleep(length);
        self.post(&url, &no_platform_faults())?;
        Ok(ActionResult::Endpoints(Vec::new()))
    }

    fn lose_replies(&self, count: u32) -> Result<ActionResult, String> {
        let url = format!("http://{}/faults", self.deployment.platform);
        self.post(&url, &PlatformFaults { lose_replies: count, ..no_platform_faults() })?;
        Ok(ActionResult::Endpoints(Vec::new()))
    }
}

/// Makes up to [`MAX_ATTEMPTS`] attempts while a write conflicts or its result is unknown.
fn retry_conflicts<T>(mut attempt: impl FnMut() -> Result<T, CtlError>) -> Result<T, String> {
    let mut result = attempt();
    for _ in 1..MAX_ATTEMPTS {
        let retryable = matches!(
            result,
            Err(CtlError::Conflict { .. }
                | CtlError::WishConflict { .. }
                | CtlError::Unknown { .. })
        );
        if !retryable {
            break;
        }
        result = attempt();
    }
    result.map_err(|error| error.to_string())
}

enum ActionResult {
    Endpoints(Vec<String>),
    Revision(u64),
}

fn no_platform_faults() -> PlatformFaults {
    serde_json::from_str("{}").expect("every fault has a default")
}

fn slow_faults(factor: f64, length: Duration, stale: bool) -> EndpointFaults {
    let none: EndpointFaults = serde_json::from_str("{}").expect("every fault has a default");
    let slow_ms = u64::try_from(length.as_millis()).unwrap_or(u64::MAX);
    EndpointFaults { slow_factor: factor, slow_ms, stale_reports: stale, ..none }
}

/// Milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
