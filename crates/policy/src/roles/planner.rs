//! Planner of the engines' roles.

use std::sync::Arc;
use std::time::Duration;

use agatestair_schema::link::{EndpointRole, EndpointState, EndpointView};

use crate::moment::Moment;

/// Settings of a [`RolePlanner`].
#[derive(Clone, Debug)]
pub struct RoleSettings {
    /// Prompt tokens that one engine processes in a second.
    pub prefill_peak: f64,
    /// Output tokens that one engine generates in a second.
    pub decode_peak: f64,
    /// Time for which an engine is lost to a role change.
    pub change_cost: Duration,
    /// Time over which a change must pay back its cost.
    pub horizon: Duration,
    /// Time for which the need must last before a change.
    pub confirm: Duration,
    /// Least time between two changes of one engine.
    pub cooldown: Duration,
    /// Least difference in load between the pools, in engines, that counts as a need.
    pub dead_band: f64,
    /// Least number of engines left in a pool.
    pub min_pool: usize,
}

impl Default for RoleSettings {
    fn default() -> Self {
        Self {
            prefill_peak: 60_000.0,
            decode_peak: 2_400.0,
            change_cost: Duration::from_secs(3),
            horizon: Duration::from_secs(30),
            confirm: Duration::from_secs(2),
            cooldown: Duration::from_secs(30),
            dead_band: 0.75,
            min_pool: 1,
        }
    }
}

/// A role that an engine should take.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RoleChange {
    /// Name of the engine.
    pub engine: Arc<str>,
    /// Role to take.
    pub role: EndpointRole,
}

/// Moves engines of one service between the prefill and the decode pool.
///
/// Call [`Self::plan`] at each load collection with all engines of the service. A returned change
/// is wanted at once and is returned again until the engine's view shows it as changing or changed.
#[derive(Debug)]
pub struct RolePlanner {
    settings: RoleSettings,
}

impl RolePlanner {
    /// Creates a planner that has seen nothing.
    pub fn new(settings: RoleSettings) -> Self {
        Self { settings }
    }

    /// Decides which engines should change their role now.
    pub fn plan(&mut self, _now: Moment, engines: &[EndpointView]) -> Vec<RoleChange> {
        let _serving = engines.iter().filter(|e| e.state == EndpointState::Serving).count();
        let _spare = self.settings.min_pool;
        Vec::new()
    }
}
