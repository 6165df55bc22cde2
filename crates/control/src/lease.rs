//! Leases on shards of endpoints: the rows of the table and what this instance holds.
//!
//! The table keeps no time. An instance that sees a row unchanged for the whole duration of the
//! lease, by its own clock, may take it. The holder counts from before its renewal was sent, on a
//! clock that also runs through suspension, and stops a margin before the lapse; so it always stops
//! before anyone else may take over, whatever the difference between the clocks.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use agatestair_policy::Moment;
use agatestair_policy::assign::assign_evenly;
use agatestair_schema::lists::{FormerHolder, LeaseRow};

/// Least time between two leases handed over to balance the instances.
const HANDOVER_INTERVAL: Duration = Duration::from_secs(2);

/// Time without a change of the live instances after which leases are taken.
const SETTLED_AFTER: Duration = Duration::from_secs(2);

/// Times of the leases.
#[derive(Clone, Copy, Debug)]
pub struct LeaseSettings {
    /// Number of shards.
    pub shards: u32,
    /// Duration of a lease.
    pub duration: Duration,
    /// Time before the lapse at which the holder stops; `None` if it never does, for tests only.
    pub margin: Option<Duration>,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self {
            shards: 8,
            duration: Duration::from_secs(6),
            margin: Some(Duration::from_millis(1500)),
        }
    }
}

/// A lease that this instance holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Held {
    /// Epoch.
    pub epoch: u64,
    /// Fencing number.
    pub fencing: u64,
    /// When orders must stop.
    pub deadline: Moment,
    /// Sequence number of the last order.
    pub sequence: u64,
    /// Whether the order rows were read since the lease was taken.
    pub loaded: bool,
}

/// One lease as last read, and whether this instance holds it.
#[derive(Clone, Debug, Default)]
pub struct Shard {
    /// Row, if any.
    pub row: Option<LeaseRow>,
    /// Version of the row, 0 if absent.
    pub version: u64,
    /// When the row was first read as it is.
    pub seen: Moment,
    /// The lease, if held.
    pub held: Option<Held>,
}

/// A transaction on lease rows.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaseOp {
    /// What it is for.
    pub kind: LeaseOpKind,
    /// New rows with the versions that they replace.
    pub rows: Vec<(LeaseRow, u64)>,
}

/// Purpose of a [`LeaseOp`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeaseOpKind {
    /// Acknowledge the loss of a lease.
    Acknowledge,
    /// Give a lease up.
    Release,
    /// Renew all leases held.
    Renew,
    /// Take a lease.
    Take,
}

/// What a plan is made from.
pub struct PlanInput<'a> {
    /// Present time.
    pub now: Moment,
    /// Instances that leases are spread over, in order.
    pub staying: &'a [Arc<str>],
    /// Whether this process is ending.
    pub stopping: bool,
    /// Whether orders of this instance for a shard are under way.
    pub busy: &'a dyn Fn(u32) -> bool,
    /// Whether the platform lists a run of an instance as gone.
    pub is_gone: &'a dyn Fn(&str, &str) -> bool,
}

/// All leases.
pub struct LeaseBook {
    settings: LeaseSettings,
    own: Arc<str>,
    boot: Arc<str>,
    shards: Vec<Shard>,
    staying: Vec<Arc<str>>,
    stable_since: Moment,
    handed_over: Option<Moment>,
}

impl LeaseBook {
    /// Knows no rows and holds no lease.
    pub fn new(settings: LeaseSettings, own: Arc<str>, boot: Arc<str>) -> Self {
        let shards = (0..settings.shards).map(|_| Shard::default()).collect();
        Self {
            settings,
            own,
            boot,
            shards,
            staying: Vec::new(),
            stable_since: Moment(0),
            handed_over: None,
        }
    }

    /// All shards in order.
    pub fn shards(&self) -> &[Shard] {
        &self.shards
    }

    /// The lease of a shard under which an order may be given now.
    ///
    /// With `acknowledged`, only once no former holder can still believe that it holds the lease.
    pub fn usable(&mut self, now: Moment, shard: u32, acknowledged: bool) -> Option<&mut Held> {
        let shard = self.shards.get_mut(shard as usize)?;
        let former = shard.row.as_ref().map_or(0, |row| row.former.len());
        if acknowledged && former > 0 {
            return None;
        }
        shard.held.as_mut().filter(|held| held.loaded && now < held.deadline)
    }

    /// Whether any lease is held that has not run out.
    pub fn holds_any(&self, now: Moment) -> bool {
        let held = self.shards.iter().filter_map(|shard| shard.held.as_ref());
        held.into_iter().any(|held| now < held.deadline)
    }

    /// Forgets a lease whose loss was learnt from an engine.
    pub fn lose(&mut self, shard: u32) {
        if let Some(shard) = self.shards.get_mut(shard as usize) {
            shard.held = None;
        }
    }

    /// Whether the lease of a shard is held.
    pub fn holds(&self, shard: u32) -> bool {
        self.shards.get(shard as usize).is_some_and(|shard| shard.held.is_some())
    }

    /// Asks for the order rows to be read again before the next order.
    pub fn unload(&mut self, shard: u32) {
        let shard = self.shards.get_mut(shard as usize);
        if let Some(held) = shard.and_then(|shard| shard.held.as_mut()) {
            held.loaded = false;
        }
    }

    /// Notes that the order rows were read after the leases of these epochs were taken.
    pub fn note_loaded(&mut self, epochs: &[(u32, u64)]) {
        for (shard, epoch) in epochs {
            let held = self.shards.get_mut(*shard as usize).and_then(|s| s.held.as_mut());
            if let Some(held) = held.filter(|held| held.epoch == *epoch) {
                held.loaded = true;
            }
        }
    }

    /// Leases held whose order rows are not read yet, as shards with epochs.
    pub fn unloaded(&self) -> Vec<(u32, u64)> {
        let held =
            self.shards.iter().zip(0..).filter_map(|(s, index)| Some((index, s.held.as_ref()?)));
        held.filter(|(_, held)| !held.loaded).map(|(index, held)| (index, held.epoch)).collect()
    }

    /// Takes over the rows as read; returns the losses that this instance learns of.
    pub fn note_rows(&mut self, now: Moment, rows: Vec<(LeaseRow, u64)>) -> Vec<LeaseRow> {
        let mut losses = Vec::new();
        for (row, version) in rows {
            losses.extend(self.note_row(now, row, version));
        }
        losses
    }

    fn note_row(&mut self, now: Moment, row: LeaseRow, version: u64) -> Option<LeaseRow> {
        let mine = *row.holder == *self.own && *row.boot == *self.boot && !row.released;
        let shard = self.shards.get_mut(row.shard as usize)?;
        if version < shard.version {
            return None;
        }
        if version != shard.version {
            shard.seen = now;
        }
        let lost = shard.held.as_ref().is_some_and(|held| !mine || held.epoch != row.epoch);
        if lost {
            shard.held = None;
        }
        if mine && shard.held.is_none() {
            shard.held = Some(new_held(&row, Moment(0)));
        }
        shard.version = version;
        shard.row = Some(row.clone());
        lost.then_some(row)
    }

    /// Takes over a transaction that took effect; `sent` is from before it was sent.
    pub fn note_committed(&mut self, sent: Moment, op: &LeaseOp, versions: &BTreeMap<u32, u64>) {
        for (row, before) in &op.rows {
            let deadline = self.deadline(sent);
            let Some(shard) = self.shards.get_mut(row.shard as usize) else {
                continue;
            };
            shard.version = versions.get(&row.shard).copied().unwrap_or(before + 1);
            shard.row = Some(row.clone());
            shard.seen = sent;
            match op.kind {
                LeaseOpKind::Acknowledge => {}
                LeaseOpKind::Release => shard.held = None,
                LeaseOpKind::Take => shard.held = Some(new_held(row, deadline)),
                LeaseOpKind::Renew => match &mut shard.held {
                    Some(held) if held.epoch == row.epoch => held.deadline = deadline,
                    _ => shard.held = Some(new_held(row, deadline)),
                },
            }
        }
    }

    fn deadline(&self, sent: Moment) -> Moment {
        match self.settings.margin {
            Some(margin) => sent + self.settings.duration.saturating_sub(margin),
            None => Moment(u64::MAX),
        }
    }

    /// Marks a former holder's loss as acknowledged; the next renewal writes it.
    pub fn note_acknowledged(&mut self, shard: u32, holder: &str, epoch: u64) {
        let shard = self.shards.get_mut(shard as usize).filter(|shard| shard.held.is_some());
        if let Some(row) = shard.and_then(|shard| shard.row.as_mut()) {
            row.former.retain(|former| former.holder != holder || former.epoch > epoch);
        }
    }

    /// Decides what to write next.
    pub fn plan(&mut self, input: &PlanInput<'_>) -> Vec<LeaseOp> {
        if self.staying != input.staying {
            self.staying = input.staying.to_vec();
            self.stable_since = input.now;
        }
        let names: Vec<Arc<str>> =
            (0..self.settings.shards).map(|n| format!("shard-{n}").into()).collect();
        let owners = assign_evenly(&names, input.staying);
        let mut renewals = Vec::new();
        let mut ops = Vec::new();
        for index in 0..self.shards.len() {
            let owner = owners.get(index).and_then(|owner| input.staying.get(*owner));
            let preferred = owner.is_some_and(|owner| *owner == self.own);
            match self.plan_shard(input, index, preferred, owner.is_some()) {
                Some(op) if op.kind == LeaseOpKind::Renew => renewals.extend(op.rows),
                op => ops.extend(op),
            }
        }
        if !renewals.is_empty() {
            ops.insert(0, LeaseOp { kind: LeaseOpKind::Renew, rows: renewals });
        }
        ops
    }

    fn plan_shard(
        &mut self,
        input: &PlanInput<'_>,
        index: usize,
        preferred: bool,
        owned: bool,
    ) -> Option<LeaseOp> {
        let number = u32::try_from(index).unwrap_or(u32::MAX);
        let shard = &self.shards[index];
        let version = shard.version;
        let busy = (input.busy)(number);
        if shard.held.is_some() {
            let row = shard.row.as_ref()?;
            let balance = !preferred && owned && self.may_hand_over(input.now);
            if !busy && (input.stopping || balance) {
                self.handed_over = Some(input.now);
                let row = LeaseRow {
                    holder: String::new(),
                    released: true,
                    renewal: row.renewal + 1,
                    ..row.clone()
                };
                return Some(LeaseOp { kind: LeaseOpKind::Release, rows: vec![(row, version)] });
            }
            let former = remaining(&row.former, input.is_gone);
            let row = LeaseRow { former, renewal: row.renewal + 1, ..row.clone() };
            return Some(LeaseOp { kind: LeaseOpKind::Renew, rows: vec![(row, version)] });
        }
        if let Some(row) = shard.row.as_ref().filter(|row| !busy && self.is_former(row)) {
            let row = LeaseRow { former: self.without_own(&row.former), ..row.clone() };
            return Some(LeaseOp { kind: LeaseOpKind::Acknowledge, rows: vec![(row, version)] });
        }
        let settled = input.now.since(self.stable_since) >= SETTLED_AFTER;
        let row = (settled && !input.stopping && !busy)
            .then(|| self.take_row(input, number, preferred))??;
        Some(LeaseOp { kind: LeaseOpKind::Take, rows: vec![(row, version)] })
    }

    /// Whether a lease may be handed over to balance the instances.
    fn may_hand_over(&self, now: Moment) -> bool {
        let rested = self.handed_over.is_none_or(|at| now.since(at) >= HANDOVER_INTERVAL);
        rested && now.since(self.stable_since) >= self.settings.duration
    }

    fn is_former(&self, row: &LeaseRow) -> bool {
        row.former.iter().any(|former| self.is_own(former))
    }

    fn is_own(&self, former: &FormerHolder) -> bool {
        *former.holder == *self.own && *former.boot == *self.boot
    }

    fn without_own(&self, former: &[FormerHolder]) -> Vec<FormerHolder> {
        former.iter().filter(|former| !self.is_own(former)).cloned().collect()
    }

    /// The row that takes a shard's lease, if it may be taken now.
    fn take_row(&self, input: &PlanInput<'_>, shard: u32, preferred: bool) -> Option<LeaseRow> {
        let known = &self.shards[shard as usize];
        let patience = if preferred { Duration::ZERO } else { self.settings.duration };
        let unchanged = input.now.since(known.seen);
        let Some(row) = &known.row else {
            let free = preferred || input.now.since(self.stable_since) >= self.settings.duration;
            return free.then(|| self.first_row(shard));
        };
        let mut former = row.former.clone();
        let free = row.released || row.holder.is_empty();
        let gone = !free && (input.is_gone)(&row.holder, &row.boot);
        if free || gone {
            if unchanged < patience {
                return None;
            }
        } else {
            if unchanged < self.settings.duration + patience {
                return None;
            }
            former.push(FormerHolder {
                boot: row.boot.clone(),
                epoch: row.epoch,
                holder: row.holder.clone(),
            });
        }
        Some(LeaseRow {
            boot: self.boot.to_string(),
            epoch: row.epoch + 1,
            fencing: row.fencing + 1,
            former: remaining(&former, input.is_gone),
            holder: self.own.to_string(),
            released: false,
            renewal: row.renewal + 1,
            ..row.clone()
        })
    }

    fn first_row(&self, shard: u32) -> LeaseRow {
        LeaseRow {
            boot: self.boot.to_string(),
            epoch: 1,
            expires_ms: u64::try_from(self.settings.duration.as_millis()).unwrap_or(u64::MAX),
            fencing: 1,
            former: Vec::new(),
            holder: self.own.to_string(),
            released: false,
            renewal: 1,
            shard,
        }
    }
}

fn new_held(row: &LeaseRow, deadline: Moment) -> Held {
    Held { epoch: row.epoch, fencing: row.fencing, deadline, sequence: 0, loaded: false }
}

/// Former holders that may still believe that they hold the lease.
fn remaining(former: &[FormerHolder], is_gone: &dyn Fn(&str, &str) -> bool) -> Vec<FormerHolder> {
    former.iter().filter(|former| !is_gone(&former.holder, &former.boot)).cloned().collect()
}

/// Shard of the endpoints of a service.
///
/// All endpoints of one service share a shard, so that one holder plans the roles of its pools.
pub fn shard_of(service: &str, shards: u32) -> u32 {
    let names: Vec<String> = (0..shards).map(|number| format!("shard-{number}")).collect();
    let index = agatestair_policy::assign::owner(service, &names).unwrap_or(0);
    u32::try_from(index).unwrap_or(0)
}
