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
    /// Prompt tokens that one engine processes per second.
    pub prefill_peak: f64,
    /// Output tokens that one engine generates per second.
    pub decode_peak: f64,
    /// Time for which an engine is unavailable during a role change.
    pub change_cost: Duration,
    /// Time over which a change must gain more engine time than it costs.
    pub horizon: Duration,
    /// Time for which a shortage must last before a change.
    pub confirm: Duration,
    /// Least time between two changes of one engine.
    pub cooldown: Duration,
    /// Load of a pool, as a fraction of its engines, up to which it needs no further engine.
    pub full_load: f64,
    /// Least number of engines left in a pool.
    pub min_pool: usize,
    /// Greatest fraction of the engines that change at the same time.
    pub max_fraction: f64,
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
            max_fraction: 0.15,
        }
    }
}

/// A role change of one engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RoleChange {
    /// Name of the engine.
    pub engine: Arc<str>,
    /// New role.
    pub role: EndpointRole,
}

/// A role that needs one more engine, and since when.
#[derive(Clone, Copy, Debug)]
struct Shortage {
    role: EndpointRole,
    since: Moment,
}

/// Moves engines of one service between the prefill and the decode pool.
///
/// Call [`Self::plan`] at each load collection with all engines of the service. A change is
/// returned once; if the engine's view shows neither the change nor the new role within
/// [`RoleSettings::change_cost`], the planner decides again. Mixed engines do both prefill and
/// decode, so the roles of a service with only mixed engines never change.
#[derive(Debug)]
pub struct RolePlanner {
    settings: RoleSettings,
    needs: Needs,
    shortage: Option<Shortage>,
    /// When the last change of each engine was planned.
    changed: BTreeMap<Arc<str>, Moment>,
    changes: u64,
}

impl RolePlanner {
    /// Creates a planner without load reports.
    pub fn new(settings: RoleSettings) -> Self {
        Self {
            settings,
            needs: Needs::default(),
            shortage: None,
            changed: BTreeMap::new(),
            changes: 0,
        }
    }

    /// Sets how many requests wait at the entries for the prefill and the decode pool.
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
        let Some(shortage) = self.shortage else { return Vec::new() };
        if now.since(shortage.since) < self.settings.confirm || pending >= self.limit(serving.len())
        {
            return Vec::new();
        }
        let Some(engine) = self.candidate(now, &serving, shortage.role) else { return Vec::new() };
        self.changed.insert(engine.clone(), now);
        self.changes += 1;
        vec![RoleChange { engine, role: shortage.role }]
    }

    /// Number of engines that may change at the same time.
    fn limit(&self, engines: usize) -> usize {
        ((engines as f64 * self.settings.max_fraction) as usize).max(1)
    }

    /// Whether an engine is changing its role, or a change was planned that its view may not show
    /// yet.
    fn is_pending(&self, now: Moment, engine: &EndpointView) -> bool {
        let last_change = self.changed.get(engine.name.as_str());
        engine.changing || last_change.is_some_and(|at| now.since(*at) < self.settings.change_cost)
    }

    /// The role that should get one more engine, if any.
    fn wanted_role(&self, serving: &[&EndpointView]) -> Option<EndpointRole> {
        let prefill = self.pool(serving, EndpointRole::Prefill);
        let decode = self.pool(serving, EndpointRole::Decode);
        if prefill.engines == 0 && decode.engines == 0 {
            return None;
        }
        if self.is_beneficial(prefill, decode) {
            return Some(EndpointRole::Prefill);
        }
        self.is_beneficial(decode, prefill).then_some(EndpointRole::Decode)
    }

    fn pool(&self, serving: &[&EndpointView], role: EndpointRole) -> PoolLoad {
        let engines = serving.iter().filter(|engine| engine.role == role).count();
        let need = self.needs.need(role);
        PoolLoad { engines, need }
    }

    /// Whether moving one engine from `donor` to `recipient` gains more than it costs.
    fn is_beneficial(&self, recipient: PoolLoad, donor: PoolLoad) -> bool {
        let full = self.settings.full_load;
        if donor.engines <= self.settings.min_pool || recipient.load() <= full {
            return false;
        }
        let before = recipient.excess(full) + donor.excess(full);
        let after = recipient.resized(1).excess(full) + donor.resized(-1).excess(full);
        let gain = (before - after) * self.settings.horizon.as_secs_f64();
        let cost = self.settings.change_cost.as_secs_f64();
        let even = donor.resized(-1).load() < recipient.load();
        even && gain > cost
    }

    /// Tracks since when the same role has been short of an engine.
    fn confirm(&mut self, now: Moment, wanted: Option<EndpointRole>) {
        self.shortage = match (wanted, self.shortage) {
            (Some(role), Some(shortage)) if shortage.role == role => Some(shortage),
            (Some(role), _) => Some(Shortage { role, since: now }),
            (None, _) => None,
        };
    }

    /// The engine of the other pool with the least work, among those that have not changed within
    /// the cooldown.
    fn candidate(
        &self,
        now: Moment,
        serving: &[&EndpointView],
        role: EndpointRole,
    ) -> Option<Arc<str>> {
        let cooled_down = |engine: &EndpointView| {
            let last_change = self.changed.get(engine.name.as_str());
            last_change.is_none_or(|at| now.since(*at) >= self.settings.cooldown)
        };
        let donors = serving.iter().filter(|engine| {
            let other = engine.role != role && engine.role != EndpointRole::Mixed;
            other && !engine.changing && cooled_down(engine)
        });
        let least = donors.min_by_key(|engine| (engine.active + engine.queued, &engine.name));
        least.map(|engine| engine.name.as_str().into())
    }
}
