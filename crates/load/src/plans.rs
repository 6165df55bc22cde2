//! Latency targets of the customers' plans.

use std::time::Duration;

use agatestair_schema::lists::{Lists, Plan};
use agatestair_schema::settings::PlatformSettings;
use agatestair_schema::testbed::Deployment;
use agatestair_store::{PlatformClient, Purpose};

/// Key of the table row that holds the lists of plans and allowances.
const LISTS_KEY: &str = "lists";
/// Timeout of requests to the platform in milliseconds.
const TIMEOUT_MS: u64 = 2000;
/// Rate limit of the load tool's reads, and of its writes, per second.
const RATE_S: u32 = 1000;

/// Latency targets of one plan.
#[derive(Clone, Debug, PartialEq)]
pub struct PlanTargets {
    /// Name of the plan.
    pub name: String,
    /// Priority class; a higher value is served first.
    pub priority: u32,
    /// Target for the time to the first token.
    pub first: Duration,
    /// Target for the mean time between tokens.
    pub token: Duration,
    /// Deadline of a request, from its intended send time.
    pub deadline: Duration,
}

impl Default for PlanTargets {
    fn default() -> Self {
        Self {
            name: "default".to_owned(),
            priority: 0,
            first: Duration::from_millis(420),
            token: Duration::from_millis(71),
            deadline: Duration::from_secs(30),
        }
    }
}

impl From<&Plan> for PlanTargets {
    fn from(plan: &Plan) -> Self {
        Self {
            name: plan.name.clone(),
            priority: plan.priority,
            first: Duration::from_millis(plan.first_ms),
            token: Duration::from_millis(plan.token_ms),
            deadline: Duration::from_millis(plan.deadline_ms),
        }
    }
}

/// Settings for access to the platform of a deployment.
pub fn platform_settings(deployment: &Deployment) -> PlatformSettings {
    PlatformSettings {
        address: deployment.platform.clone(),
        timeout_ms: TIMEOUT_MS,
        reads_s: RATE_S,
        writes_s: RATE_S,
    }
}

/// Returns the targets of each customer, in the order of the deployment's customers.
///
/// Customers whose plan is not in the lists get the default targets; so do all customers if the
/// lists cannot be read.
pub fn customer_targets(deployment: &Deployment) -> Vec<PlanTargets> {
    let plans = read_lists(deployment).map(|lists| lists.plans.plans).unwrap_or_default();
    let targets = |name: &str| {
        let plan = plans.iter().find(|plan| plan.name == name);
        let fallback = || PlanTargets { name: name.to_owned(), ..PlanTargets::default() };
        plan.map_or_else(fallback, PlanTargets::from)
    };
    deployment.customers.iter().map(|customer| targets(&customer.plan)).collect()
}

/// Reads the lists from the platform's table service; `None` if they cannot be read.
pub fn read_lists(deployment: &Deployment) -> Option<Lists> {
    let row = PlatformClient::new(&platform_settings(deployment))
        .table()
        .row(Purpose::Lists, LISTS_KEY)
        .ok()??;
    serde_json::from_str(&row.value).ok()
}
