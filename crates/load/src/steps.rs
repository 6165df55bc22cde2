//! What happens to the fleet during a run.

use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use agatestair_ctl::{CtlError, Operator};
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

/// Name under which the load tool acts as an operator.
const OPERATOR: &str = "agatestair-load";
/// Times a write that lost a race is tried again.
const MAX_TRIES: u32 = 8;
/// Longest wait for an answer of a stand-in.
const STANDIN_TIMEOUT: Duration = Duration::from_secs(2);
/// Queue bound that a change of the lists alternates with the next higher number.
const BASE_QUEUE: u32 = 1000;

/// One timed action.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// Time since the start of the run.
    pub at: Duration,
    /// What happens.
    pub action: FleetAction,
}

/// What happens to the fleet.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetAction {
    /// Some engines get slow, and their load reports stay as they were at first.
    Slow {
        /// Number of engines.
        engines: usize,
        /// Factor on all processing times.
        factor: f64,
        /// Duration of the slowness.
        length: Duration,
        /// Time for which the reports do not show it.
        blind: Duration,
    },
    /// One engine is drained.
    Drain,
    /// One engine is replaced by another.
    Replace,
    /// One engine is withdrawn.
    Withdraw,
    /// Every endpoint asked to leave is to serve again.
    Restore,
    /// A new revision of the lists is applied.
    ChangeLists,
    /// The platform refuses everything for a while.
    Outage {
        /// Duration.
        length: Duration,
    },
    /// Coming transactions take effect without an answer.
    LoseReplies {
        /// Number of transactions.
        count: u32,
    },
}

/// What an action did.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct StepRecord {
    /// Time of its effect in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The action in words.
    pub action: String,
    /// Endpoints concerned.
    pub endpoints: Vec<String>,
    /// Revision applied, for a change of the lists.
    pub revision: Option<u64>,
    /// Why it did not succeed.
    pub failure: Option<String>,
}

/// Carries the steps out.
pub struct StepRunner {
    deployment: Deployment,
    operator: Operator,
    agent: Agent,
    rng: ChaCha8Rng,
    left: Vec<String>,
}

impl StepRunner {
    /// Creates the runner of one run; `seed` picks the endpoints.
    pub fn new(deployment: &Deployment, seed: u64) -> Self {
        let agent = Agent::config_builder()
            .http_status_as_error(true)
            .timeout_global(Some(STANDIN_TIMEOUT))
            .build()
            .into();
        Self {
            deployment: deployment.clone(),
            operator: Operator::new(&CtlSettings {
                platform: platform_settings(deployment),
                operator: OPERATOR.to_owned(),
                instances: Vec::new(),
            }),
            agent,
            rng: ChaCha8Rng::seed_from_u64(seed),
            left: Vec::new(),
        }
    }

    /// Carries out all steps at their times after `start`.
    pub fn run(mut self, start: Instant, steps: &[Step]) -> Vec<StepRecord> {
        let mut records = Vec::with_capacity(steps.len());
        for step in steps {
            thread::sleep((start + step.at).saturating_duration_since(Instant::now()));
            records.push(self.act(&step.action));
        }
        records
    }

    fn act(&mut self, action: &FleetAction) -> StepRecord {
        let result = match action {
            FleetAction::Slow { engines, factor, length, blind } => {
                self.slow(*engines, *factor, *length, *blind)
            }
            FleetAction::Drain => self.leave(WishState::Drain),
            FleetAction::Replace => self.leave(WishState::Replace),
            FleetAction::Withdraw => self.leave(WishState::Withdraw),
            FleetAction::Restore => self.restore(),
            FleetAction::ChangeLists => self.change_lists().map(Effect::Revision),
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
            Ok(Effect::Endpoints(names)) => record.endpoints = names,
            Ok(Effect::Revision(revision)) => record.revision = Some(revision),
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
    ) -> Result<Effect, String> {
        let engines = self.engines();
        let chosen: Vec<_> = engines.choose_multiple(&mut self.rng, count).cloned().collect();
        for place in &chosen {
            self.set_faults(place, &slow_faults(factor, length, true))?;
        }
        thread::sleep(blind);
        for place in &chosen {
            self.set_faults(place, &slow_faults(factor, length.saturating_sub(blind), false))?;
        }
        Ok(Effect::Endpoints(chosen.into_iter().map(|place| place.name).collect()))
    }

    fn set_faults(&self, place: &EndpointPlace, faults: &EndpointFaults) -> Result<(), String> {
        let url = format!("http://{}/faults/{}", self.deployment.recorder, place.name);
        self.post(&url, faults)
    }

    fn post<T: Serialize>(&self, url: &str, body: &T) -> Result<(), String> {
        let result = self.agent.post(url).send_json(body);
        result.map(drop).map_err(|error| format!("{url}: {error}"))
    }

    /// Asks for an engine to leave that has not been asked yet.
    fn leave(&mut self, state: WishState) -> Result<Effect, String> {
        let staying: Vec<EndpointPlace> =
            self.engines().into_iter().filter(|place| !self.left.contains(&place.name)).collect();
        let place = staying.choose(&mut self.rng).ok_or("no engine is left to ask")?;
        let successor = match state {
            WishState::Replace => staying.iter().find(|other| other.name != place.name),
            _ => None,
        };
        self.wish(&place.name, state, successor)?;
        self.left.push(place.name.clone());
        Ok(Effect::Endpoints(vec![place.name.clone()]))
    }

    fn restore(&mut self) -> Result<Effect, String> {
        let names = std::mem::take(&mut self.left);
        for name in &names {
            self.wish(name, WishState::Serve, None)?;
        }
        Ok(Effect::Endpoints(names))
    }

    fn wish(
        &self,
        name: &str,
        state: WishState,
        successor: Option<&EndpointPlace>,
    ) -> Result<(), String> {
        let successor = successor.map(|place| place.name.clone());
        let wish = || self.operator.wish(name, state, successor.clone());
        repeat(wish).map(drop)
    }

    /// Applies a new revision that differs in one queue bound.
    fn change_lists(&mut self) -> Result<u64, String> {
        let bound = BASE_QUEUE + self.rng.random_range(0..100);
        let lists = repeat(|| {
            let Some((mut lists, _)) = self.operator.current()? else {
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

    fn outage(&self, length: Duration) -> Result<Effect, String> {
        let url = format!("http://{}/faults", self.deployment.platform);
        self.post(&url, &PlatformFaults { outage: true, ..no_platform_faults() })?;
        thread::sleep(length);
        self.post(&url, &no_platform_faults())?;
        Ok(Effect::Endpoints(Vec::new()))
    }

    fn lose_replies(&self, count: u32) -> Result<Effect, String> {
        let url = format!("http://{}/faults", self.deployment.platform);
        self.post(&url, &PlatformFaults { lose_replies: count, ..no_platform_faults() })?;
        Ok(Effect::Endpoints(Vec::new()))
    }
}

/// Tries again after a lost race or a lost answer.
fn repeat<T>(mut attempt: impl FnMut() -> Result<T, CtlError>) -> Result<T, String> {
    let mut result = attempt();
    for _ in 1..MAX_TRIES {
        let lost = matches!(
            result,
            Err(CtlError::Conflict { .. }
                | CtlError::WishConflict { .. }
                | CtlError::Unknown { .. })
        );
        if !lost {
            break;
        }
        result = attempt();
    }
    result.map_err(|error| error.to_string())
}

enum Effect {
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
