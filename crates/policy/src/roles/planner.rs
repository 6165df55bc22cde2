//! Planner of the engines' roles.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use agatestair_schema::link::{EndpointKind, EndpointRole, EndpointState, EndpointView};

use crate::moment::Moment;
use crate::roles::need::{Needs, PoolLoad};

/// Settings of a [`RolePlanner`].
#[derive(Clone, Debug)]
pub struct RoleSettings {
    /// Prompt tokens that one engine processes in a second.
    pub prefill_peak: f64,
    /// Output tokens that one engine generates in a second.
    pub decode_peak: f64,
    /// Time for which an engine is lost to a role change.
    pub change_cost: Duration,
    /// Time over which a change must win more than it costs.
    pub horizon: Duration,
    /// Time for which the need must last before a change.
    pub confirm: Duration,
    /// Least time between two changes of one engine.
    pub cooldown: Duration,
    /// Load of a pool, as a part of its engines, up to which it needs no further engine.
    pub full_load: f64,
    /// Least number of engines left in a pool.
    pub min_pool: usize,
    /// Greatest part of the engines that change at a time.
    pub max_part: f64,
}

impl Default for RoleSettings {
    fn default() -> Self {
        Self {
            prefill_peak: 60_000.0,
            decode_peak: 2_400.0,
            change_cost: Duration::from_secs(3),
            horizon: Duration::from_secs(20),
            confirm: Duration::from_secs(1),
            cooldown: Duration::from_secs(10),
            full_load: 0.85,
            min_pool: 1,
            max_part: 0.15,
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

/// A direction of change that is needed, and since when.
#[derive(Clone, Copy, Debug)]
struct Need {
    role: EndpointRole,
    since: Moment,
}

/// Moves engines of one service between the prefill and the decode pool.
///
/// Call [`Self::plan`] at each load collection with all engines of the service. A change is
/// returned once; if the engine's view shows neither the change nor the new role within the time
/// that a change takes, the planner decides anew. Mixed engines do both kinds of work, so a service
/// with none but mixed engines needs no changes and gets none.
#[derive(Debug)]
pub struct RolePlanner {
    settings: RoleSettings,
    needs: Needs,
    need: Option<Need>,
    /// When each engine was last told to change.
    changed: BTreeMap<Arc<str>, Moment>,
    changes: u64,
}

impl RolePlanner {
    /// Creates a planner that has seen nothing.
    pub fn new(settings: RoleSettings) -> Self {
        Self { settings, needs: Needs::default(), need: None, changed: BTreeMap::new(), changes: 0 }
    }

    /// Takes over how many requests wait at the entries for the prefill and the decode pool.
    pub fn note_waiting(&mut self, prefill: u32, decode: u32) {
        self.needs.note_waiting(prefill, decode);
    }

    /// Number of changes planned so far.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Decides which engines should change their role now.
    pub fn plan(&mut self, now: Moment, engines: &[EndpointView]) -> Vec<RoleChange> {
        let serving: Vec<&EndpointView> = engines
            .iter()
            .filter(|e| e.kind == EndpointKind::Engine && e.state == EndpointState::Serving)
            .collect();
        self.changed.retain(|name, _| serving.iter().any(|engine| *engine.name == **name));
        self.needs.update(now, &serving, &self.settings);
        let pending = serving.iter().filter(|engine| self.is_pending(now, engine)).count();
        let wanted = self.wanted_role(&serving);
        self.confirm(now, wanted);
        let Some(need) = self.need else { return Vec::new() };
        if now.since(need.since) < self.settings.confirm || pending >= self.limit(serving.len()) {
            return Vec::new();
        }
        let Some(engine) = self.candidate(now, &serving, need.role) else { return Vec::new() };
        self.changed.insert(engine.clone(), now);
        self.changes += 1;
        vec![RoleChange { engine, role: need.role }]
    }

    /// Engines that may change at a time.
    fn limit(&self, engines: usize) -> usize {
        ((engines as f64 * self.settings.max_part) as usize).max(1)
    }

    /// Whether an engine changes, or was told to and has not yet shown it.
    fn is_pending(&self, now: Moment, engine: &EndpointView) -> bool {
        let told = self.changed.get(engine.name.as_str());
        engine.changing || told.is_some_and(|at| now.since(*at) < self.settings.change_cost)
    }

    /// The role that one more engine should have, if any.
    fn wanted_role(&self, serving: &[&EndpointView]) -> Option<EndpointRole> {
        let prefill = self.pool(serving, EndpointRole::Prefill);
        let decode = self.pool(serving, EndpointRole::Decode);
        if prefill.engines == 0 && decode.engines == 0 {
            return None;
        }
        if self.wins(prefill, decode) {
            return Some(EndpointRole::Prefill);
        }
        self.wins(decode, prefill).then_some(EndpointRole::Decode)
    }

    fn pool(&self, serving: &[&EndpointView], role: EndpointRole) -> PoolLoad {
        let engines = serving.iter().filter(|engine| engine.role == role).count();
        let need = self.needs.need(role);
        PoolLoad { engines, need }
    }

    /// Whether moving one engine from `donor` to `taker` wins more than it costs.
    fn wins(&self, taker: PoolLoad, donor: PoolLoad) -> bool {
        let full = self.settings.full_load;
        if donor.engines <= self.settings.min_pool || taker.load() <= full {
            return false;
        }
        let before = taker.excess(full) + donor.excess(full);
        let after = taker.with(1).excess(full) + donor.with(-1).excess(full);
        let won = (before - after) * self.settings.horizon.as_secs_f64();
        let cost = self.settings.change_cost.as_secs_f64();
        let even = donor.with(-1).load() < taker.load();
        even && won > cost
    }

    /// Starts, keeps or ends the wait for a need to prove lasting.
    fn confirm(&mut self, now: Moment, wanted: Option<EndpointRole>) {
        self.need = match (wanted, self.need) {
            (Some(role), Some(need)) if need.role == role => Some(need),
            (Some(role), _) => Some(Need { role, since: now }),
            (None, _) => None,
        };
    }

    /// The engine of the other pool with the least work that has not changed lately.
    fn candidate(
        &self,
        now: Moment,
        serving: &[&EndpointView],
        role: EndpointRole,
    ) -> Option<Arc<str>> {
        let rested = |engine: &EndpointView| {
            let told = self.changed.get(engine.name.as_str());
            told.is_none_or(|at| now.since(*at) >= self.settings.cooldown)
        };
        let donors = serving.iter().filter(|engine| {
            let other = engine.role != role && engine.role != EndpointRole::Mixed;
            other && !engine.changing && rested(engine)
        });
        let least = donors.min_by_key(|engine| (engine.active + engine.queued, &engine.name));
        least.map(|engine| engine.name.as_str().into())
    }
}
